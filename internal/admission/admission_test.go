package admission

import (
	"fmt"
	"testing"
	"time"
)

const objective = 800 * time.Millisecond

func newRequest(key string, predictedWait time.Duration, random float64) Request {
	return Request{Key: key, Priority: 1, PredictedWait: predictedWait, Objective: objective, Random: random}
}

// rejections returns how many of 100 requests are refused at a queue, where it has just come or stands for long.
func rejections(queue time.Duration, standing bool) int {
	rejected := 0
	for random := range 100 {
		c, now := &Controller{}, time.Duration(0)
		for i := 0; standing && i < 100; i++ {
			now += loadTimeConstant / 20
			c.Decide(now, newRequest("", queue, 1))
		}
		if _, reject := c.Decide(now, newRequest("", queue, float64(random)/100)); reject {
			rejected++
		}
	}
	return rejected
}

// TestRejectionRateRisesWithPredictedWait: one that has just come may use the objective up, one that stands is kept short, and nothing is
// refused for want of a queue.
func TestRejectionRateRisesWithPredictedWait(t *testing.T) {
	for _, c := range []struct {
		standing          bool
		noneUpTo, allFrom time.Duration // shares of the objective up to which nobody, and from which everybody, is refused
	}{
		{false, objective * 7 / 10, objective}, {true, objective * 15 / 100, objective * 45 / 100},
	} {
		before := 0
		for percent := range 120 {
			queue := objective * time.Duration(percent) / 100
			rejected := rejections(queue, c.standing)
			if queue <= c.noneUpTo && rejected > 0 || queue >= c.allFrom && rejected < 100 || rejected < before {
				t.Fatalf("stands %t: %d of 100 are refused at a queue of %v, %d before", c.standing, rejected, queue, before)
			}
			before = rejected
		}
	}
	if _, reject := (&Controller{}).Decide(0, Request{PredictedWait: time.Hour}); reject {
		t.Fatal("refused without an objective")
	}
}

// TestSingleQueuedRequestIsNotStandingQueue: where requests are few, a single one that meets a queue slides nothing.
func TestSingleQueuedRequestIsNotStandingQueue(t *testing.T) {
	c := &Controller{}
	for i := range 20 {
		queue := time.Duration(0)
		if i%10 == 9 {
			queue = objective * 6 / 10
		}
		if _, reject := c.Decide(time.Duration(i)*time.Second, newRequest("", queue, 0)); reject {
			t.Fatalf("number %d is refused", i)
		}
	}
}

// TestPredictionErrorIsCorrectedPerPriority for each rank by itself: what the urgent wait less than was predicted lets them in.
func TestPredictionErrorIsCorrectedPerPriority(t *testing.T) {
	c := &Controller{}
	for range 200 {
		c.ObserveWait(0, 1500*time.Millisecond, 150*time.Millisecond)
		c.ObserveWait(1, 400*time.Millisecond, 1200*time.Millisecond)
		c.ObserveWait(0, minObservedPrediction-1, time.Hour) // teaches nothing
	}
	urgent, other := c.ExpectedWait(0, 1500*time.Millisecond), c.ExpectedWait(1, 400*time.Millisecond)
	if urgent < 130*time.Millisecond || urgent > 170*time.Millisecond || other < 1100*time.Millisecond || other > 1300*time.Millisecond {
		t.Fatalf("%v and %v are expected", urgent, other)
	}
	if _, reject := c.Decide(0, Request{Priority: 0, PredictedWait: 1500 * time.Millisecond, Objective: objective}); reject {
		t.Fatal("an urgent request is refused for others' queue")
	}
	for range 10_000 {
		c.ObserveWait(5, time.Second, 0)
	}
	if lowest := c.ExpectedWait(5, time.Second); lowest < time.Second/(maxCorrection+1) {
		t.Fatalf("%v is expected", lowest)
	}
}

// TestRetriedRequestIsPreferred: at a queue at which new ones are refused, and only for a while.
func TestRetriedRequestIsPreferred(t *testing.T) {
	c := &Controller{}
	if _, reject := c.Decide(0, newRequest("a", time.Second, 0.5)); !reject {
		t.Fatal("not refused")
	}
	queue := 720 * time.Millisecond
	c.loads[1] = smoothedLoad{updatedAt: time.Second}
	if _, reject := c.Decide(time.Second, newRequest("b", queue, 0.3)); !reject {
		t.Fatal("a new one is let in")
	}
	if _, reject := c.Decide(time.Second, newRequest("a", queue, 0.3)); reject {
		t.Fatal("one that comes back is refused")
	}
	if _, reject := c.Decide(time.Second, newRequest("a", queue, 0.3)); !reject {
		t.Fatal("it goes first twice")
	}
	if _, reject := c.Decide(time.Second+rejectionTTL, newRequest("a", queue, 0.3)); !reject {
		t.Fatal("it is remembered for ever")
	}
}

// TestRetryAfterGrowsWithPredictedWait and is spread.
func TestRetryAfterGrowsWithPredictedWait(t *testing.T) {
	retryAfter := func(queue time.Duration, random float64) time.Duration {
		wait, reject := (&Controller{}).Decide(0, newRequest("", queue, random))
		if !reject {
			t.Fatalf("not refused at %v", queue)
		}
		return wait
	}
	if short, long := retryAfter(900*time.Millisecond, 0), retryAfter(2*time.Second, 0); short >= long || short < minRetryAfter {
		t.Fatalf("%v and %v", short, long)
	}
	if first, last := retryAfter(2*time.Second, 0), retryAfter(2*time.Second, 0.9); last <= first {
		t.Fatalf("%v and %v", first, last)
	}
	if longest := retryAfter(time.Hour, 0.9); longest > maxRetryAfter {
		t.Fatalf("%v", longest)
	}
}

// TestRecordedRejectionsAreBounded.
func TestRecordedRejectionsAreBounded(t *testing.T) {
	c := &Controller{}
	for i := range maxRejections + 100 {
		c.Decide(time.Duration(i), newRequest(fmt.Sprint(i), time.Hour, 0))
	}
	if len(c.rejectedAt) > maxRejections {
		t.Fatalf("%d are remembered", len(c.rejectedAt))
	}
	c.Sweep(time.Hour)
	if len(c.rejectedAt) > 0 {
		t.Fatalf("%d are remembered after an hour", len(c.rejectedAt))
	}
}

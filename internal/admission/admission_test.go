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

// rejections returns how many of 100 requests are rejected at a predicted wait, with a transient or a standing queue.
func rejections(predictedWait time.Duration, standing bool) int {
	rejected := 0
	for random := range 100 {
		c, now := &Controller{}, time.Duration(0)
		for i := 0; standing && i < 100; i++ {
			now += loadTimeConstant / 20
			c.Decide(now, newRequest("", predictedWait, 1))
		}
		if _, reject := c.Decide(now, newRequest("", predictedWait, float64(random)/100)); reject {
			rejected++
		}
	}
	return rejected
}

// A transient queue may use the whole objective, a standing queue is kept short, and without an objective nothing is
// rejected.
func TestRejectionRateRisesWithPredictedWait(t *testing.T) {
	for _, c := range []struct {
		standing          bool
		noneUpTo, allFrom time.Duration // predicted waits up to which none, and from which all, are rejected
	}{
		{false, objective * 7 / 10, objective}, {true, objective * 15 / 100, objective * 45 / 100},
	} {
		before := 0
		for percent := range 120 {
			queue := objective * time.Duration(percent) / 100
			rejected := rejections(queue, c.standing)
			if queue <= c.noneUpTo && rejected > 0 || queue >= c.allFrom && rejected < 100 || rejected < before {
				t.Fatalf("standing queue %t: %d of 100 requests rejected at a predicted wait of %v, %d at the shorter wait before",
					c.standing, rejected, queue, before)
			}
			before = rejected
		}
	}
	if _, reject := (&Controller{}).Decide(0, Request{PredictedWait: time.Hour}); reject {
		t.Fatal("request without an objective was rejected")
	}
}

// At a low request rate, single queued requests must not move the band.
func TestSingleQueuedRequestIsNotStandingQueue(t *testing.T) {
	c := &Controller{}
	for i := range 20 {
		queue := time.Duration(0)
		if i%10 == 9 {
			queue = objective * 6 / 10
		}
		if _, reject := c.Decide(time.Duration(i)*time.Second, newRequest("", queue, 0)); reject {
			t.Fatalf("request %d was rejected", i)
		}
	}
}

// Corrections are kept per priority, so urgent requests are admitted if they wait less than predicted.
func TestPredictionErrorIsCorrectedPerPriority(t *testing.T) {
	c := &Controller{}
	for range 200 {
		c.ObserveWait(0, 1500*time.Millisecond, 150*time.Millisecond)
		c.ObserveWait(1, 400*time.Millisecond, 1200*time.Millisecond)
		c.ObserveWait(0, minObservedPrediction-1, time.Hour) // too short to be recorded
	}
	urgent, other := c.ExpectedWait(0, 1500*time.Millisecond), c.ExpectedWait(1, 400*time.Millisecond)
	if urgent < 130*time.Millisecond || urgent > 170*time.Millisecond || other < 1100*time.Millisecond || other > 1300*time.Millisecond {
		t.Fatalf("expected waits of priorities 0 and 1 are %v and %v", urgent, other)
	}
	if _, reject := c.Decide(0, Request{Priority: 0, PredictedWait: 1500 * time.Millisecond, Objective: objective}); reject {
		t.Fatal("urgent request was rejected although it waits less than predicted")
	}
	for range 10_000 {
		c.ObserveWait(5, time.Second, 0)
	}
	if lowest := c.ExpectedWait(5, time.Second); lowest < time.Second/(maxCorrection+1) {
		t.Fatalf("expected wait is %v, below the bound of the correction", lowest)
	}
}

// A retry is admitted at a load at which new requests are rejected, once, and only until the rejection expires.
func TestRetriedRequestIsPreferred(t *testing.T) {
	c := &Controller{}
	if _, reject := c.Decide(0, newRequest("a", time.Second, 0.5)); !reject {
		t.Fatal("request beyond the objective was admitted")
	}
	queue := 720 * time.Millisecond
	c.loads[1] = smoothedLoad{updatedAt: time.Second}
	if _, reject := c.Decide(time.Second, newRequest("b", queue, 0.3)); !reject {
		t.Fatal("new request was admitted")
	}
	if _, reject := c.Decide(time.Second, newRequest("a", queue, 0.3)); reject {
		t.Fatal("retried request was rejected")
	}
	if _, reject := c.Decide(time.Second, newRequest("a", queue, 0.3)); !reject {
		t.Fatal("request was preferred twice")
	}
	if _, reject := c.Decide(time.Second+rejectionTTL, newRequest("a", queue, 0.3)); !reject {
		t.Fatal("retry was preferred after its rejection expired")
	}
}

// The retry delay grows with the predicted wait, is jittered and bounded.
func TestRetryAfterGrowsWithPredictedWait(t *testing.T) {
	retryAfter := func(queue time.Duration, random float64) time.Duration {
		wait, reject := (&Controller{}).Decide(0, newRequest("", queue, random))
		if !reject {
			t.Fatalf("request was admitted at a predicted wait of %v", queue)
		}
		return wait
	}
	if short, long := retryAfter(900*time.Millisecond, 0), retryAfter(2*time.Second, 0); short >= long || short < minRetryAfter {
		t.Fatalf("retry delays are %v at a short wait and %v at a long one", short, long)
	}
	if first, last := retryAfter(2*time.Second, 0), retryAfter(2*time.Second, 0.9); last <= first {
		t.Fatalf("retry delays are %v without jitter and %v with jitter", first, last)
	}
	if longest := retryAfter(time.Hour, 0.9); longest > maxRetryAfter {
		t.Fatalf("retry delay %v exceeds the maximum", longest)
	}
}

func TestRecordedRejectionsAreBounded(t *testing.T) {
	c := &Controller{}
	for i := range maxRejections + 100 {
		c.Decide(time.Duration(i), newRequest(fmt.Sprint(i), time.Hour, 0))
	}
	if len(c.rejectedAt) > maxRejections {
		t.Fatalf("%d rejections recorded, more than the maximum", len(c.rejectedAt))
	}
	c.Sweep(time.Hour)
	if len(c.rejectedAt) > 0 {
		t.Fatalf("%d rejections left after an hour", len(c.rejectedAt))
	}
}

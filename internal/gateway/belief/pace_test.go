package belief

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The estimate converges although every fourth sample was delayed by other requests, and stays within its bounds.
func TestPrefillEstimateConverges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{15, 30, 57, 110} { // tokens per ms
		p := DefaultPrefillEstimate()
		for i := range 400 {
			tokens := 1500 + random.IntN(9000)
			first := float64(tokens) / rate * (0.95 + 0.1*random.Float64())
			if i%4 == 0 {
				first *= 2.5
			}
			p = p.Observe(tokens, FromMilliseconds(first))
		}
		if got := 1 / p.tokenTime; got < 0.85*rate || got > 1.15*rate {
			t.Errorf("rate of %v tokens per ms was estimated as %.1f", rate, got)
		}
	}
	slow, fast, overloaded := DefaultPrefillEstimate(), DefaultPrefillEstimate(), DefaultPrefillEstimate()
	for range 1000 {
		slow, fast, overloaded = slow.Observe(tokenTimeSampleTokens, time.Hour), fast.Observe(1<<40, time.Nanosecond), overloaded.Observe(1, time.Hour)
	}
	if slow.tokenTime > DefaultPrefillEstimate().tokenTime*maxTokenTimeFactor || fast.tokenTime < DefaultPrefillEstimate().tokenTime/maxTokenTimeFactor || overloaded.overhead > maxOverhead {
		t.Errorf("estimates out of bounds: %v, %v and %v", slow, fast, overloaded)
	}
}

// Guards against counting the fixed overhead of each request as prefill time, which overestimates the queue of an
// engine.
func TestPrefillTimeExcludesOverhead(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, rate := range []float64{22, 38, 110} { // tokens per ms
		p := DefaultPrefillEstimate()
		for range 600 {
			tokens := random.IntN(500)
			if random.IntN(2) == 0 {
				tokens = 1500 + random.IntN(7500)
			}
			first := 60 + float64(tokens)/rate*(0.95+0.1*random.Float64())
			p = p.Observe(tokens, FromMilliseconds(first))
		}
		if got, want := Milliseconds(p.PrefillTime(2890)), 2890/rate; got < 0.8*want || got > 1.2*want {
			t.Errorf("prefill time of 2,890 tokens = %.0f ms, want %.0f", got, want)
		}
		if got := Milliseconds(p.TimeToFirstEvent(300)); got < 50 || got > 75 {
			t.Errorf("time to first event of a short prompt = %.0f ms, want 50 to 75", got)
		}
	}
}

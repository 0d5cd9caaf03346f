package belief

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPrefillEstimateConverges: from requests of which every fourth was not alone, and within bounds whatever is told.
func TestPrefillEstimateConverges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{15, 30, 57, 110} { // tokens a ms
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
			t.Errorf("%v tokens a ms are learnt as %.1f", rate, got)
		}
	}
	slow, fast, late := DefaultPrefillEstimate(), DefaultPrefillEstimate(), DefaultPrefillEstimate()
	for range 1000 {
		slow, fast, late = slow.Observe(tokenTimeSampleTokens, time.Hour), fast.Observe(1<<40, time.Nanosecond), late.Observe(1, time.Hour)
	}
	if slow.tokenTime > DefaultPrefillEstimate().tokenTime*maxTokenTimeFactor || fast.tokenTime < DefaultPrefillEstimate().tokenTime/maxTokenTimeFactor || late.overhead > maxOverhead {
		t.Errorf("%v, %v and %v", slow, fast, late)
	}
}

// TestPrefillTimeExcludesOverhead: each request takes 60 ms besides what it reads, of which the engine reads 110 tokens a ms. A queue of prompts is as
// long as their reading; before, the 60 ms of each counted too, so that engines with little to do seemed crowded.
//
// Cause: the pace was the whole time divided by the tokens. On a deployment whose engines read 112 tokens a ms, from its lines:
//
//	predicted 1,048 to 2,128 ms: first event after 162, 228, 363 ms (quartiles); predicted 271 to 361 ms: after 134, 211, 435 ms
func TestPrefillTimeExcludesOverhead(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, rate := range []float64{22, 38, 110} { // tokens a ms
		p := DefaultPrefillEstimate()
		for range 600 {
			tokens := random.IntN(500)
			if random.IntN(2) == 0 {
				tokens = 1500 + random.IntN(7500)
			}
			first := 60 + float64(tokens)/rate*(0.95+0.1*random.Float64())
			p = p.Observe(tokens, FromMilliseconds(first))
		}
		if got, wanted := Milliseconds(p.PrefillTime(2890)), 2890/rate; got < 0.8*wanted || got > 1.2*wanted {
			t.Errorf("2,890 tokens are taken to be read in %.0f ms, it takes %.0f", got, wanted)
		}
		if got := Milliseconds(p.TimeToFirstEvent(300)); got < 50 || got > 75 {
			t.Errorf("a short one is expected after %.0f ms", got)
		}
	}
}

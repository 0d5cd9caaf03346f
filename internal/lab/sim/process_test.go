package sim

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTimerPausesOnlyDuringSuspension guards against a timer that came due during a suspension being delayed by the
// whole suspension a second time.
func TestTimerPausesOnlyDuringSuspension(t *testing.T) {
	for _, due := range []time.Duration{time.Second, 20 * time.Second} {
		w := &world{random: rand.New(rand.NewPCG(1, 1))}
		p := newProcess(w, "p", "z")
		p.start()
		var firedAt time.Duration
		p.after(due, func() { firedAt = w.now() })
		w.after(500*time.Millisecond, func() { p.suspend(8 * time.Second) })
		for w.clock.Step(time.Minute) {
		}
		if wanted := due + 8*time.Second; firedAt != wanted {
			t.Errorf("timer of %v fired at %v, want %v", due, firedAt, wanted)
		}
	}
}

package sim

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTimerPausesOnlyDuringSuspension: what is left of a timer when its machine is suspended passes after it. One that was due meanwhile
// waited for the whole suspension again, so that a router that was suspended for 8 s asked for its lease 8 s after it woke.
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
			t.Errorf("a timer of %v rang at %v, wanted %v", due, firedAt, wanted)
		}
	}
}

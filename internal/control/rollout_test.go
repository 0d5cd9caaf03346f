package control

import (
	"testing"
	"time"
)

// TestLoadTimeIsLearnt: whatever engines take for new weights, they are first looked at shortly before that; an order whose
// time is not known teaches nothing.
func TestLoadTimeIsLearnt(t *testing.T) {
	for _, length := range []time.Duration{250 * time.Millisecond, 760 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		lead := &leadership{}
		if first := lead.firstCheck(); first <= 0 || first > loadFirst {
			t.Fatalf("before any load: %v", first)
		}
		lead.noteLoad(length, 0)
		if lead.loadTime != 0 {
			t.Fatalf("learnt %v from nothing", lead.loadTime)
		}
		lead.noteLoad(time.Second+5*time.Second, time.Second)
		for i := range 20 {
			taken := time.Duration(i+1) * time.Minute
			lead.noteLoad(taken+length, taken)
		}
		first := lead.firstCheck()
		if wanted := time.Duration(checkShare * float64(length)); first < wanted-nextCheck || first > wanted+nextCheck {
			t.Fatalf("loads of %v are first looked at after %v", length, first)
		}
	}
}

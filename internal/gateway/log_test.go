package gateway

import (
	"testing"
	"time"
)

// TestSparseLinesAreCounted: one a second for each key, with the count of those between; keys without lines are forgotten.
func TestSparseLinesAreCounted(t *testing.T) {
	lines := newSparse()
	for i, wanted := range []struct {
		at   time.Duration
		key  string
		held int
		due  bool
	}{{0, "a", 0, true}, {1, "a", 0, false}, {2, "b", 0, true}, {3, "a", 0, false}, {sparseEach, "a", 2, true}, {2 * sparseEach, "a", 0, true}} {
		if held, due := lines.due(wanted.at, wanted.key); held != wanted.held || due != wanted.due {
			t.Errorf("%d: %d held, due %v", i, held, due)
		}
	}
	lines.sweep(2*sparseEach + sparseKept)
	if len(lines.lines) != 1 {
		t.Errorf("%d keys are kept", len(lines.lines))
	}
}

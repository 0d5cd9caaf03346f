package catalog

import (
	"testing"

	"pgregory.net/rapid"
)

// TestLifeAndIDAgree: an id leads back to its life, whatever the back end's name is, and no two lives share one.
func TestLifeAndIDAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Life {
			return Life{Name: rapid.StringMatching(`[a-z@0-9-]{1,6}`).Draw(t, label), Born: rapid.Int64Range(0, 3).Draw(t, label+" born")}
		}
		first, second := draw("first"), draw("second")
		if got := LifeOf(first.ID()); got != first {
			t.Fatalf("%+v has the id %q, which names %+v", first, first.ID(), got)
		}
		if first != second && first.ID() == second.ID() {
			t.Fatalf("%+v and %+v have the id %q", first, second, first.ID())
		}
	})
}

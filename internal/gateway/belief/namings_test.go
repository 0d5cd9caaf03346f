package belief

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

func wantedVersion(version uint64, age time.Duration) []roster.Publication {
	return []roster.Publication{{Model: "m", Version: version, Age: age}}
}

// Guards against a new leader with a later record or a slower clock moving the deadline for old weights later
// while requests wait for it.
func TestPublishTimeNeverMovesLater(t *testing.T) {
	checkOldest := func(t *testing.T, n *PublishTimes, held uint64, want time.Duration) {
		t.Helper()
		if got, ok := n.OldestMissing("m", held); !ok || got != want {
			t.Fatalf("oldest version above %d: published at %v (known: %t), want %v", held, got, ok, want)
		}
	}
	t.Run("new leader reports a smaller age", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 1, wantedVersion(2, 4*time.Second))
		regressions := n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(2, time.Second))
		checkOldest(t, n, 1, 6*time.Second)
		if len(regressions) != 1 || regressions[0].Known != 6*time.Second || regressions[0].Reported != time.Second {
			t.Fatalf("regressions %+v", regressions)
		}
		if again := n.Update(13*time.Second, 13*time.Second, 2, wantedVersion(2, 2*time.Second)); len(again) > 0 {
			t.Fatalf("regression returned again: %+v", again)
		}
	})
	t.Run("new leader reports a greater age", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 1, wantedVersion(2, time.Second))
		n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(2, 9*time.Second))
		checkOldest(t, n, 1, 3*time.Second)
	})
	// A leader that knows only the newest version must not hide an older one that a back end lacks too.
	t.Run("new leader reports fewer versions", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 1, append(wantedVersion(2, 5*time.Second), wantedVersion(3, time.Second)...))
		n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(3, 3*time.Second))
		checkOldest(t, n, 1, 5*time.Second)
		checkOldest(t, n, 2, 9*time.Second)
	})
	// A delayed answer yields too early a time, which the next answer of the same leader corrects. Otherwise a
	// suspended gateway would exclude back ends too early for good.
	t.Run("delayed answer", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(18*time.Second, 10*time.Second, 1, wantedVersion(2, 8*time.Second))
		n.Update(19*time.Second, 19*time.Second, 1, wantedVersion(2, 9*time.Second))
		checkOldest(t, n, 1, 10*time.Second)
	})
	// A gateway that switches replicas gets replies from a leader, its successor and the first again.
	t.Run("alternating leaders", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 2, wantedVersion(2, 4*time.Second))
		n.Update(11*time.Second, 11*time.Second, 1, wantedVersion(2, time.Second))
		n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(2, time.Second))
		checkOldest(t, n, 1, 6*time.Second)
	})
	t.Run("at most MaxPublications versions", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		for version := range uint64(100) {
			n.Update(time.Second, time.Second, 1, wantedVersion(version+1, 0))
		}
		if kept := len(n.models["m"]); kept > catalog.MaxPublications {
			t.Fatalf("%d publications are kept", kept)
		}
		checkOldest(t, n, 99, time.Second)
	})
}

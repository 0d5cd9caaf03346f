package belief

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

func wantedVersion(version uint64, age time.Duration) []roster.Wanted {
	return []roster.Wanted{{Model: "m", Version: version, Age: age}}
}

// TestPublishTimeNeverMovesLater: a gateway knew how long ago a version had been named. Then another replica led, which had heard of it later
// or whose clock was behind, and told a smaller age: the limit for old weights moved later while requests waited for it.
func TestPublishTimeNeverMovesLater(t *testing.T) {
	at := func(t *testing.T, n *PublishTimes, held uint64, want time.Duration) {
		t.Helper()
		if got, lacks := n.OldestMissing("m", held); !lacks || got != want {
			t.Fatalf("version above %d is taken to be named at %v (known: %t), not at %v", held, got, lacks, want)
		}
	}
	t.Run("a new leader tells less", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 1, wantedVersion(2, 4*time.Second))
		regressions := n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(2, time.Second))
		at(t, n, 1, 6*time.Second)
		if len(regressions) != 1 || regressions[0].Known != 6*time.Second || regressions[0].Reported != time.Second {
			t.Fatalf("told %+v", regressions)
		}
		if again := n.Update(13*time.Second, 13*time.Second, 2, wantedVersion(2, 2*time.Second)); len(again) > 0 {
			t.Fatalf("told again: %+v", again)
		}
	})
	t.Run("a new leader tells more", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 1, wantedVersion(2, time.Second))
		n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(2, 9*time.Second))
		at(t, n, 1, 3*time.Second)
	})
	// A new leader that knew only the newest version told of no other. A back end that lacks both is late by the older one.
	t.Run("a new leader tells of fewer", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 1, append(wantedVersion(2, 5*time.Second), wantedVersion(3, time.Second)...))
		n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(3, 3*time.Second))
		at(t, n, 1, 5*time.Second)
		at(t, n, 2, 9*time.Second)
	})
	// An answer that took long names the time in the question's past. The next answer of the same leader, which always tells of one time,
	// may correct that: otherwise a gateway that was suspended would turn back ends away for that long too early, for good.
	t.Run("an answer that took long", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(18*time.Second, 10*time.Second, 1, wantedVersion(2, 8*time.Second))
		n.Update(19*time.Second, 19*time.Second, 1, wantedVersion(2, 9*time.Second))
		at(t, n, 1, 10*time.Second)
	})
	// A gateway that moves between replicas hears of a leader, of its successor, and of the first again.
	t.Run("back and forth", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		n.Update(10*time.Second, 10*time.Second, 2, wantedVersion(2, 4*time.Second))
		n.Update(11*time.Second, 11*time.Second, 1, wantedVersion(2, time.Second))
		n.Update(12*time.Second, 12*time.Second, 2, wantedVersion(2, time.Second))
		at(t, n, 1, 6*time.Second)
	})
	t.Run("so many at the most", func(t *testing.T) {
		n := NewPublishTimes(guard.Set{})
		for version := range uint64(100) {
			n.Update(time.Second, time.Second, 1, wantedVersion(version+1, 0))
		}
		if kept := len(n.models["m"]); kept > catalog.MaxPublications {
			t.Fatalf("%d are kept", kept)
		}
		at(t, n, 99, time.Second)
	})
}

package relay

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

// nextRequest returns a question that must be due.
func nextRequest(t *testing.T, r *Relay, now time.Duration) Request {
	t.Helper()
	question, due := r.NextRequest(now)
	if !due {
		t.Fatalf("no question at %v", now)
	}
	return question
}

// resolve returns the clients that are answered now, and those that nobody confirmed.
func resolve(r *Relay, now time.Duration, applied uint64, news bool) (answered, failed []uint64) {
	r.Resolve(now, applied, func(PendingWatch) bool { return news }, func(w PendingWatch, result Result) {
		if result == Ready {
			answered = append(answered, w.Client)
		} else {
			failed = append(failed, w.Client)
		}
	})
	return answered, failed
}

func pendingWatch(client uint64, due time.Duration, held roster.Version) PendingWatch {
	return PendingWatch{Client: client, Due: due, Report: Report{Gateway: fmt.Sprint("g-", client), Roster: held}}
}

// TestOnlyConfirmedWatchesAreAnswered: one that comes after the question to the leader has left waits for the next; one that the
// leader doesn't list yet does too.
func TestOnlyConfirmedWatchesAreAnswered(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 0, roster.Version{}))
	r.Add(pendingWatch(2, 0, roster.Version{}))
	first := nextRequest(t, r, 0)
	r.Add(pendingWatch(3, 0, roster.Version{}))
	if answered, _ := resolve(r, 0, 9, true); len(first.Reports) != 2 || len(answered) > 0 {
		t.Fatalf("%+v; %v were answered before the leader's answer", first, answered)
	}
	r.Observe(&Reply{Number: 1, Applied: 5, Version: roster.Version{Term: 1, Count: 1}, Roster: &roster.Update{Full: true}, Unlisted: []string{"g-2"}})
	if answered, _ := resolve(r, time.Millisecond, 4, true); len(answered) > 0 {
		t.Fatalf("%v were answered before this replica had applied what the leader had", answered)
	}
	if answered, _ := resolve(r, time.Millisecond, 5, true); len(answered) != 1 || answered[0] != 1 {
		t.Fatalf("%v were answered, wanted 1", answered)
	}
	if again := nextRequest(t, r, minRequestInterval); len(again.Reports) != 2 {
		t.Fatalf("the next question names %+v", again.Reports)
	}
	r.Observe(&Reply{Number: 2, Version: roster.Version{Term: 1, Count: 1}})
	if answered, _ := resolve(r, minRequestInterval, 5, true); len(answered) != 2 {
		t.Fatalf("%v were answered, wanted 2 and 3", answered)
	}
}

// TestRosterNeverGoesBack: a gateway that holds a newer roster waits until this replica has caught up; answers of a leader before, or to
// a question that was given up, change nothing.
func TestRosterNeverGoesBack(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 0, roster.Version{Term: 2, Count: 9}))
	nextRequest(t, r, 0)
	r.Observe(&Reply{Number: 1, Version: roster.Version{Term: 2, Count: 8}, Roster: &roster.Update{Full: true}})
	if answered, _ := resolve(r, 0, 0, true); len(answered) > 0 {
		t.Fatalf("%v were taken back to roster 8", answered)
	}
	nextRequest(t, r, idleRequestInterval)
	nextRequest(t, r, idleRequestInterval+RequestTimeout)
	r.Observe(&Reply{Number: 2, Version: roster.Version{Term: 2, Count: 20}, Roster: &roster.Update{}})
	if r.Version().Count != 8 {
		t.Fatalf("an answer to a question that was given up made the roster %+v", r.Version())
	}
	r.Observe(&Reply{Number: 3, Version: roster.Version{Term: 1, Count: 30}, Roster: &roster.Update{Full: true}})
	if r.Version().Term != 2 {
		t.Fatalf("an answer of a leader before made the roster %+v", r.Version())
	}
}

// TestUnconfirmedWatchesExpire: while the leader is silent, shortly after their time.
func TestUnconfirmedWatchesExpire(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 100*time.Millisecond, roster.Version{}))
	nextRequest(t, r, 0)
	r.RecordFailure(1)
	if _, failed := resolve(r, 100*time.Millisecond, 0, false); len(failed) > 0 {
		t.Fatalf("%v ended in their time", failed)
	}
	if _, failed := resolve(r, 100*time.Millisecond+leaderGracePeriod, 0, false); len(failed) != 1 {
		t.Fatalf("%v ended", failed)
	}
}

// TestPendingWatchesAreBounded: the rest is turned away at once.
func TestPendingWatchesAreBounded(t *testing.T) {
	r := New(guard.Set{})
	for i := range maxPendingWatches {
		if !r.Add(pendingWatch(uint64(i), 0, roster.Version{})) {
			t.Fatalf("question %d was turned away", i)
		}
	}
	if r.Add(pendingWatch(1, 0, roster.Version{})) {
		t.Fatal("one more than may wait was taken")
	}
}

// TestRequestRateIsIndependentOfGateways: in a second, by a replica whose gateways ask three times each; twice the gateways are the same
// number of questions, and each gateway is named once for each of its own.
func TestRequestRateIsIndependentOfGateways(t *testing.T) {
	asked := func(gateways int) (questions, reports int) {
		r := New(guard.Set{})
		client := uint64(0)
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			for range gateways * 3 / 1000 {
				client++
				r.Add(pendingWatch(client, now+400*time.Millisecond, roster.Version{}))
			}
			if question, due := r.NextRequest(now); due {
				questions, reports = questions+1, reports+len(question.Reports)
				r.Observe(&Reply{Number: question.Number, Version: roster.Version{Term: 1, Count: 1}})
			}
			resolve(r, now, 0, false)
		}
		return questions, reports
	}
	few, fewReports := asked(1000)
	many, manyReports := asked(2000)
	if many != few || many > int(time.Second/minRequestInterval)+1 {
		t.Fatalf("%d questions for 1,000 gateways, %d for 2,000", few, many)
	}
	if fewReports > 3000 || manyReports > 2*3000 {
		t.Fatalf("gateways were named %d and %d times", fewReports, manyReports)
	}
}

// TestOnlyEnginesAreCacheEventSources: back ends without weights keep no prompts; what is read follows layout and roster.
func TestOnlyEnginesAreCacheEventSources(t *testing.T) {
	r := New(guard.Set{})
	entry := func(id string, versions map[string]uint64) roster.Entry {
		return roster.Entry{Instance: catalog.Instance{ID: id, Zone: "z"}, Versions: versions}
	}
	layout := &Layout{Version: roster.Version{Term: 1, Count: 1}, Mesh: &mesh.Layout{Zones: map[string]mesh.Zone{"z": {Schedulers: []mesh.Peer{{Name: "s", Address: "s"}}}}}}
	nextRequest(t, r, 0)
	r.Observe(&Reply{Number: 1, Version: roster.Version{Term: 1, Count: 1}, Layout: layout, Roster: &roster.Update{
		Full: true, Entries: []roster.Entry{entry("engine", map[string]uint64{"m": 1}), entry("small", nil)},
	}})
	if reads := r.CacheEventSources("s"); len(reads) != 1 || reads[0] != "engine" || len(r.CacheEventSources("other")) > 0 {
		t.Fatalf("reads %v", reads)
	}
	nextRequest(t, r, idleRequestInterval)
	r.Observe(&Reply{Number: 2, Version: roster.Version{Term: 1, Count: 2}, Roster: &roster.Update{Removed: []string{"engine"}}})
	if reads := r.CacheEventSources("s"); len(reads) > 0 {
		t.Fatalf("reads %v after the engine had gone", reads)
	}
}

// TestPublicationAgeIncludesReplyDelay: an answer of the leader took a while to reach the replica that asked for gateways. The ages in it are of when it
// left, and the replica told them as of when it came.
func TestPublicationAgeIncludesReplyDelay(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 0, roster.Version{}))
	nextRequest(t, r, 0)
	const way = 300 * time.Millisecond
	r.Observe(&Reply{Number: 1, Version: roster.Version{Term: 1, Count: 1}, Publications: []roster.Publication{{Model: "m", Version: 2, Age: time.Second}}})
	if told := r.Publications(way)[0].Age; told < time.Second+way {
		t.Fatalf("told to be %v old, it may be %v", told, time.Second+way)
	}
}

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

// nextRequest returns the next request, which must be due.
func nextRequest(t *testing.T, r *Relay, now time.Duration) Request {
	t.Helper()
	request, due := r.NextRequest(now)
	if !due {
		t.Fatalf("no request is due at %v", now)
	}
	return request
}

// resolve returns the clients whose watches are answered at now, and those whose watches expire.
func resolve(r *Relay, now time.Duration, applied uint64, changed bool) (answered, expired []uint64) {
	r.Resolve(now, applied, func(PendingWatch) bool { return changed }, func(w PendingWatch, result Result) {
		if result == Ready {
			answered = append(answered, w.Client)
		} else {
			expired = append(expired, w.Client)
		}
	})
	return answered, expired
}

func pendingWatch(client uint64, due time.Duration, held roster.Version) PendingWatch {
	return PendingWatch{Client: client, Due: due, Report: Report{Gateway: fmt.Sprint("g-", client), Roster: held}}
}

// TestOnlyConfirmedWatchesAreAnswered: a watch that arrives after a request was sent waits for the next request, and so
// does the watch of a gateway that the leader has not listed yet.
func TestOnlyConfirmedWatchesAreAnswered(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 0, roster.Version{}))
	r.Add(pendingWatch(2, 0, roster.Version{}))
	first := nextRequest(t, r, 0)
	r.Add(pendingWatch(3, 0, roster.Version{}))
	if answered, _ := resolve(r, 0, 9, true); len(first.Reports) != 2 || len(answered) > 0 {
		t.Fatalf("request %+v; watches %v were answered before the leader's reply", first, answered)
	}
	r.Observe(0, &Reply{Number: 1, Applied: 5, Version: roster.Version{Term: 1, Count: 1}, Roster: &roster.Update{Full: true}, Unlisted: []string{"g-2"}})
	if answered, _ := resolve(r, time.Millisecond, 4, true); len(answered) > 0 {
		t.Fatalf("watches %v were answered before this replica had applied the leader's log index", answered)
	}
	if answered, _ := resolve(r, time.Millisecond, 5, true); len(answered) != 1 || answered[0] != 1 {
		t.Fatalf("watches %v were answered, want 1", answered)
	}
	if next := nextRequest(t, r, minRequestInterval); len(next.Reports) != 2 {
		t.Fatalf("the next request has reports %+v, want 2", next.Reports)
	}
	r.Observe(0, &Reply{Number: 2, Version: roster.Version{Term: 1, Count: 1}})
	if answered, _ := resolve(r, minRequestInterval, 5, true); len(answered) != 2 {
		t.Fatalf("watches %v were answered, want 2 and 3", answered)
	}
}

// TestRosterNeverGoesBack: a gateway with a newer roster waits until this replica has caught up. Replies that are older than what
// is held, or from a previous leader, change nothing.
func TestRosterNeverGoesBack(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 0, roster.Version{Term: 2, Count: 9}))
	nextRequest(t, r, 0)
	r.Observe(0, &Reply{Number: 1, Version: roster.Version{Term: 2, Count: 8}, Roster: &roster.Update{Full: true}})
	if answered, _ := resolve(r, 0, 0, true); len(answered) > 0 {
		t.Fatalf("watches %v were answered with the older roster 8", answered)
	}
	nextRequest(t, r, idleRequestInterval)
	nextRequest(t, r, idleRequestInterval+requestRepeatInterval)
	r.Observe(0, &Reply{Number: 3, Version: roster.Version{Term: 2, Count: 20}, Roster: &roster.Update{}})
	r.Observe(0, &Reply{Number: 2, Version: roster.Version{Term: 2, Count: 12}, Roster: &roster.Update{Removed: []string{"engine"}}})
	if r.Version().Count != 20 {
		t.Fatalf("roster %+v after an older reply that came later", r.Version())
	}
	nextRequest(t, r, 2*idleRequestInterval+requestRepeatInterval)
	r.Observe(0, &Reply{Number: 4, Version: roster.Version{Term: 1, Count: 30}, Roster: &roster.Update{Full: true}})
	r.Observe(0, &Reply{Number: 3, Version: roster.Version{Term: 3, Count: 1}, Roster: &roster.Update{Full: true}})
	if r.Version() != (roster.Version{Term: 2, Count: 20}) {
		t.Fatalf("roster %+v after a reply from a previous leader, and a reply that came twice", r.Version())
	}
}

// TestLateReplyConfirmsWatches guards against gateways without a view for as long as the leader's replies take longer than until
// the next request is sent.
func TestLateReplyConfirmsWatches(t *testing.T) {
	const replyTime = 3 * requestRepeatInterval / 2
	r := New(guard.Set{})
	replies := map[time.Duration]uint64{}
	confirmed := 0
	for now, client := time.Duration(0), uint64(0); now < 20*time.Second; now += 10 * time.Millisecond {
		if now%(400*time.Millisecond) == 0 {
			client++
			r.Add(pendingWatch(client, now+400*time.Millisecond, roster.Version{}))
		}
		if request, due := r.NextRequest(now); due {
			replies[now+replyTime] = request.Number
		}
		if number, arrives := replies[now]; arrives {
			r.Observe(now, &Reply{Number: number, Version: roster.Version{Term: 1, Count: 1}})
		}
		answered, _ := resolve(r, now, 0, false)
		confirmed += len(answered)
	}
	if confirmed < 40 {
		t.Fatalf("%d of 50 watches were confirmed, want 40 at least", confirmed)
	}
}

// TestUnconfirmedWatchesExpire: watches that the leader does not confirm expire a grace period after they are due.
func TestUnconfirmedWatchesExpire(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 100*time.Millisecond, roster.Version{}))
	nextRequest(t, r, 0)
	r.RecordFailure(1)
	if _, expired := resolve(r, 100*time.Millisecond, 0, false); len(expired) > 0 {
		t.Fatalf("watches %v expired before the grace period", expired)
	}
	if _, expired := resolve(r, 100*time.Millisecond+minLeaderGrace, 0, false); len(expired) != 1 {
		t.Fatalf("watches %v expired, want 1", expired)
	}
}

// TestPendingWatchesAreBounded: further watches are rejected.
func TestPendingWatchesAreBounded(t *testing.T) {
	r := New(guard.Set{})
	for i := range maxPendingWatches {
		if !r.Add(pendingWatch(uint64(i), 0, roster.Version{})) {
			t.Fatalf("watch %d was rejected", i)
		}
	}
	if r.Add(pendingWatch(1, 0, roster.Version{})) {
		t.Fatal("a watch beyond the limit was accepted")
	}
}

// TestRequestRateIsIndependentOfGateways: a follower sends as many requests per second for twice the gateways, and
// names each gateway once per watch.
func TestRequestRateIsIndependentOfGateways(t *testing.T) {
	relayOneSecond := func(gateways int) (requests, reports int) {
		r := New(guard.Set{})
		client := uint64(0)
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			for range gateways * 3 / 1000 {
				client++
				r.Add(pendingWatch(client, now+400*time.Millisecond, roster.Version{}))
			}
			if request, due := r.NextRequest(now); due {
				requests, reports = requests+1, reports+len(request.Reports)
				r.Observe(0, &Reply{Number: request.Number, Version: roster.Version{Term: 1, Count: 1}})
			}
			resolve(r, now, 0, false)
		}
		return requests, reports
	}
	few, fewReports := relayOneSecond(1000)
	many, manyReports := relayOneSecond(2000)
	if many != few || many > int(time.Second/minRequestInterval)+1 {
		t.Fatalf("%d requests for 1,000 gateways, %d for 2,000", few, many)
	}
	if fewReports > 3000 || manyReports > 2*3000 {
		t.Fatalf("requests named gateways %d times for 1,000 gateways and %d times for 2,000", fewReports, manyReports)
	}
}

// TestOnlyEnginesAreCacheEventSources: the sources follow layout and roster, without back ends that have no weights.
func TestOnlyEnginesAreCacheEventSources(t *testing.T) {
	r := New(guard.Set{})
	entry := func(id string, versions map[string]uint64) roster.Entry {
		return roster.Entry{Instance: catalog.Instance{ID: id, Zone: "z"}, Versions: versions}
	}
	layout := &Layout{Version: roster.Version{Term: 1, Count: 1}, Mesh: &mesh.Layout{Zones: map[string]mesh.Zone{"z": {Schedulers: []mesh.Peer{{Name: "s", Address: "s"}}}}}}
	nextRequest(t, r, 0)
	r.Observe(0, &Reply{Number: 1, Version: roster.Version{Term: 1, Count: 1}, Layout: layout, Roster: &roster.Update{
		Full: true, Entries: []roster.Entry{entry("engine", map[string]uint64{"m": 1}), entry("small", nil)},
	}})
	if sources := r.CacheEventSources("s"); len(sources) != 1 || sources[0] != "engine" || len(r.CacheEventSources("other")) > 0 {
		t.Fatalf("sources %v", sources)
	}
	nextRequest(t, r, idleRequestInterval)
	r.Observe(0, &Reply{Number: 2, Version: roster.Version{Term: 1, Count: 2}, Roster: &roster.Update{Removed: []string{"engine"}}})
	if sources := r.CacheEventSources("s"); len(sources) > 0 {
		t.Fatalf("sources %v after the engine was removed", sources)
	}
}

// TestPublicationAgeIncludesReplyDelay: the ages in a reply are as of when the leader sent it. Taking them as of its
// arrival would make publications appear younger than they are.
func TestPublicationAgeIncludesReplyDelay(t *testing.T) {
	r := New(guard.Set{})
	r.Add(pendingWatch(1, 0, roster.Version{}))
	nextRequest(t, r, 0)
	const delay = 300 * time.Millisecond
	r.Observe(0, &Reply{Number: 1, Version: roster.Version{Term: 1, Count: 1}, Publications: []roster.Publication{{Model: "m", Version: 2, Age: time.Second}}})
	if age := r.Publications(delay)[0].Age; age < time.Second+delay {
		t.Fatalf("age %v, want at least %v", age, time.Second+delay)
	}
}

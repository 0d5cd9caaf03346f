package reachability

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testBackEnds = 5

// trackerModel compares a Tracker with the observations themselves.
type trackerModel struct {
	tracker *Tracker
	now     time.Duration
	// observed are the answers and the results of comparisons, in order.
	observed []observation
	// lostSince is when the paths were lost, by state; 0 if they aren't.
	lostSince [Disconnected + 1]time.Duration
}

type observation struct {
	at, sentAt time.Duration
	address    string
	unreached  bool
	isNew      bool
}

func (m *trackerModel) Wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
}

func (m *trackerModel) Answer(t *rapid.T) {
	o := m.draw(t)
	o.isNew = rapid.Bool().Draw(t, "new")
	m.observed = append(m.observed, o)
	m.tracker.RecordAnswer(m.now, Answered{Address: o.address, SentAt: o.sentAt, New: o.isNew}, testBackEnds)
	for _, state := range []State{NewConnectionsLost, Disconnected} {
		if m.lostSince[state] > 0 && m.answeredSince(state) >= minUnreached {
			m.lostSince[state] = 0
		}
	}
}

func (m *trackerModel) Unreached(t *rapid.T) {
	o := m.draw(t)
	o.unreached = true
	m.observed = append(m.observed, o)
	m.tracker.RecordUnreached(m.now, o.address, o.sentAt, testBackEnds)
	for _, state := range []State{NewConnectionsLost, Disconnected} {
		if m.lostSince[state] == 0 && m.unreachedCount(state) >= minUnreached {
			m.lostSince[state] = m.now
		}
	}
}

// draw draws a back end and when something was sent to it.
func (m *trackerModel) draw(t *rapid.T) observation {
	return observation{
		at: m.now, address: fmt.Sprint(rapid.IntRange(1, testBackEnds).Draw(t, "back end")),
		sentAt: max(0, m.now-time.Duration(rapid.IntRange(0, 3000).Draw(t, "sent before"))*time.Millisecond),
	}
}

// counts reports whether an answer tells of the connections that a state is about.
func (o observation) counts(state State) bool {
	return !o.unreached && (o.isNew || state == Disconnected)
}

// provenAt returns when the latest thing was sent that was answered.
func (m *trackerModel) provenAt(state State) (at time.Duration) {
	for _, o := range m.observed {
		if o.counts(state) {
			at = max(at, o.sentAt)
		}
	}
	return at
}

// unreachedCount returns how many back ends are known to be unreachable by something that was sent after all that was answered.
func (m *trackerModel) unreachedCount(state State) int {
	latest := map[string]observation{}
	for _, o := range m.observed {
		switch old, known := latest[o.address]; {
		case o.unreached:
			latest[o.address] = o
		case known && o.sentAt >= old.sentAt:
			delete(latest, o.address)
		}
	}
	count := 0
	for _, o := range latest {
		if m.now-o.at < unreachedTTL && o.sentAt > m.provenAt(state) {
			count++
		}
	}
	return count
}

// answeredSince returns how many back ends have answered something that was sent since the paths were lost.
func (m *trackerModel) answeredSince(state State) int {
	addresses := map[string]struct{}{}
	for _, o := range m.observed {
		if o.counts(state) && o.at >= m.lostSince[state] && o.sentAt > m.lostSince[state] {
			addresses[o.address] = struct{}{}
		}
	}
	return len(addresses)
}

func (m *trackerModel) Check(t *rapid.T) {
	want := Connected
	switch {
	case m.lostSince[Disconnected] > 0:
		want = Disconnected
	case m.lostSince[NewConnectionsLost] > 0:
		want = NewConnectionsLost
	}
	if got := m.tracker.State(); got != want {
		t.Fatalf("at %v: %v, want %v", m.now, got, want)
	}
}

// All paths are lost once peers reach two back ends that answered nothing sent since the last answer of any, until two answer.
func TestTrackerFollowsObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&trackerModel{tracker: New(), now: time.Minute}))
	})
}

// What arrives late of a request that was sent before the paths were lost restores nothing, nor does it prove that they work.
func TestLateAnswersRestoreNothing(t *testing.T) {
	tracker := New()
	now := time.Minute
	for _, address := range []string{"a", "b"} {
		tracker.RecordUnreached(now, address, now-time.Second, testBackEnds)
	}
	for _, address := range []string{"a", "b", "c"} {
		tracker.RecordAnswer(now, Answered{Address: address, SentAt: now - 2*time.Second, New: true}, testBackEnds)
	}
	if tracker.State() != Disconnected || tracker.IsProvenSince(now-time.Second) {
		t.Errorf("state %v, proven %t", tracker.State(), tracker.IsProvenSince(now-time.Second))
	}
}

// The only back end decides by itself.
func TestSingleBackEndDecides(t *testing.T) {
	tracker := New()
	tracker.RecordUnreached(time.Minute, "a", time.Minute-time.Second, 1)
	if tracker.State() != Disconnected {
		t.Fatalf("state %v", tracker.State())
	}
	tracker.RecordAnswer(time.Minute+2, Answered{Address: "a", SentAt: time.Minute + 1, New: true}, 1)
	if tracker.State() != Connected {
		t.Fatalf("state %v", tracker.State())
	}
}

// Comparisons that tell nothing become rare, since back ends out of capacity would get ever more questions.
func TestComparisonsThatTellNothingBecomeRare(t *testing.T) {
	tracker := New()
	const minutes = 5
	count := 0
	for now := time.Minute; now < (1+minutes)*time.Minute; now += 10 * time.Millisecond {
		if tracker.BeginComparison(now) {
			count++
			tracker.EndComparison(now, FalseAlarm)
		}
	}
	if most := minutes*60/int(maxComparisonInterval.Seconds()) + 8; count > most {
		t.Errorf("%d comparisons in %d minutes, want %d at most", count, minutes, most)
	}
}

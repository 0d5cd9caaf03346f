// Package reachability decides whether a process has lost its direct paths to all back ends, by what it and its peers hear of them.
// It uses no I/O, locks, clock or randomness of its own.
//
// A process that is cut off hears nothing, and so does one whose back ends are out of capacity. What tells them apart is a comparison:
// the same back end is asked the same question directly and through a peer. If the peer gets a reply and the process doesn't, its path
// to that back end is lost; if that holds for several, and none has answered anything that was sent to it since, all paths are.
// What one back end shows so counts for all others, as a process of a large fleet sends too little to learn it of each.
package reachability

import (
	"maps"
	"time"
)

const (
	// minUnreached is how many back ends must be unreachable for all paths to count as lost, and how many must answer directly for
	// them to be restored; fewer if fewer are known.
	minUnreached = 2
	// unreachedTTL is how long the result of a comparison counts.
	unreachedTTL = 5 * time.Second
	// staleAfter is after how long without an answer it isn't sure any more that the paths work.
	staleAfter = 2 * time.Second
	// minComparisonInterval and maxComparisonInterval bound the time between comparisons. It doubles with each false alarm, so that back
	// ends out of capacity aren't asked by all processes over and over, and is short again after calmTime without any.
	minComparisonInterval = 300 * time.Millisecond
	maxComparisonInterval = 2 * time.Second
	calmTime              = 10 * time.Second
	// reachedInterval is the time until the next comparison after one that a prompt reply ended.
	reachedInterval = 600 * time.Millisecond
)

// State is which direct paths a process has.
type State uint8

// States of a process, from good to bad.
const (
	Connected          State = iota
	NewConnectionsLost       // new connections carry nothing, open ones may
	Disconnected             // nothing that is sent is answered
)

// String returns the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"connected", "new-connections-lost", "disconnected"}[s]
}

// Result is what a comparison showed.
type Result uint8

// Results of a comparison.
const (
	Reached    Result = iota // a back end replied promptly, before peers were asked
	FalseAlarm               // peers got no reply either, or the process got one after they were asked
	Unreached                // only peers got replies
)

// Answered describes something that a back end answered directly.
type Answered struct {
	Address string
	SentAt  time.Duration
	New     bool // it was the first answer on its connection
}

// unreached is a back end that answers peers only.
type unreached struct {
	at     time.Duration // of the comparison
	sentAt time.Duration // of the question without a reply
}

// Tracker holds what one process knows of its paths. It is not safe for concurrent use. All times are durations on one clock.
type Tracker struct {
	heardAt      time.Duration // when an answer last arrived
	provenAt     time.Duration // when the latest thing was sent that was answered
	provenNewAt  time.Duration // the same, of new connections
	unreached    map[string]unreached
	disconnected outage
	newLost      outage
	comparing    bool
	nextAt       time.Duration // no comparison begins before
	interval     time.Duration // between comparisons
}

// outage is a period in which paths are lost.
type outage struct {
	since    time.Duration
	active   bool
	answered map[string]struct{} // back ends that answered something sent since
}

// New returns a Tracker of a process that has all paths.
func New() *Tracker {
	return &Tracker{unreached: map[string]unreached{}, interval: minComparisonInterval}
}

// State returns which paths the process has.
func (t *Tracker) State() State {
	switch {
	case t.disconnected.active:
		return Disconnected
	case t.newLost.active:
		return NewConnectionsLost
	}
	return Connected
}

// IsStale reports whether answers have arrived, but none lately.
func (t *Tracker) IsStale(now time.Duration) bool {
	return t.heardAt > 0 && now-t.heardAt >= staleAfter
}

// IsProvenSince reports whether a back end answered something that was sent at a time or later.
func (t *Tracker) IsProvenSince(sentAt time.Duration) bool { return t.provenAt >= sentAt }

// UnansweredFor returns for how long nothing that was sent has been answered.
func (t *Tracker) UnansweredFor(now time.Duration) time.Duration { return now - t.provenAt }

// HasHeardSince reports whether any answer has arrived since a time. In a partition none does, while back ends that are out of capacity
// go on with earlier requests.
func (t *Tracker) HasHeardSince(at time.Duration) bool { return t.heardAt > 0 && t.heardAt >= at }

// RecordAnswer records that one of a number of back ends began to answer directly.
func (t *Tracker) RecordAnswer(now time.Duration, a Answered, backEnds int) {
	t.heardAt = max(t.heardAt, now)
	t.provenAt = max(t.provenAt, a.SentAt)
	if a.New {
		t.provenNewAt = max(t.provenNewAt, a.SentAt)
	}
	if old, known := t.unreached[a.Address]; known && a.SentAt >= old.sentAt {
		delete(t.unreached, a.Address)
	}
	t.disconnected.recordAnswer(a, backEnds)
	if a.New {
		t.newLost.recordAnswer(a, backEnds)
	}
}

// recordAnswer ends the outage once enough back ends have answered what was sent since it began.
func (o *outage) recordAnswer(a Answered, backEnds int) {
	if !o.active || a.SentAt <= o.since {
		return
	}
	o.answered[a.Address] = struct{}{}
	if len(o.answered) >= min(minUnreached, max(1, backEnds)) {
		*o = outage{}
	}
}

// begin starts the outage if it isn't active.
func (o *outage) begin(now time.Duration) {
	if !o.active {
		*o = outage{since: now, active: true, answered: map[string]struct{}{}}
	}
}

// RecordUnreached records that one of a number of back ends answered a peer, but nothing that was sent to it directly at sentAt or
// later, on a new connection.
func (t *Tracker) RecordUnreached(now time.Duration, address string, sentAt time.Duration, backEnds int) {
	t.unreached[address] = unreached{at: now, sentAt: sentAt}
	needed := min(minUnreached, max(1, backEnds))
	if t.unreachedSince(now, t.provenAt) >= needed {
		t.disconnected.begin(now)
	}
	if t.unreachedSince(now, t.provenNewAt) >= needed {
		t.newLost.begin(now)
	}
}

// unreachedSince returns the number of back ends that were found unreachable lately by a question sent after a time.
func (t *Tracker) unreachedSince(now, after time.Duration) (count int) {
	for _, u := range t.unreached {
		if now-u.at < unreachedTTL && u.sentAt > after {
			count++
		}
	}
	return count
}

// BeginComparison reports whether a comparison may begin, and if so records that it has.
func (t *Tracker) BeginComparison(now time.Duration) bool {
	if t.comparing || now < t.nextAt {
		return false
	}
	if now-t.nextAt >= calmTime {
		t.interval = minComparisonInterval
	}
	t.comparing = true
	return true
}

// EndComparison records the end of a comparison.
func (t *Tracker) EndComparison(now time.Duration, result Result) {
	t.comparing = false
	switch result {
	case Reached:
		t.nextAt = now + reachedInterval
	case FalseAlarm:
		t.nextAt = now + t.interval
		t.interval = min(2*t.interval, maxComparisonInterval)
	case Unreached:
		t.nextAt, t.interval = now, minComparisonInterval
	}
}

// Reset makes no path count as lost.
func (t *Tracker) Reset() {
	t.disconnected, t.newLost = outage{}, outage{}
	clear(t.unreached)
}

// Sweep removes expired results.
func (t *Tracker) Sweep(now time.Duration) {
	maps.DeleteFunc(t.unreached, func(_ string, u unreached) bool { return now-u.at >= unreachedTTL })
}

// Package relay is how a replica answers gateways for the leader. It has no I/O, lock or clock.
//
// The leader alone can confirm a view, and there is one of it however many gateways ask. So a replica gathers the questions of the gateways
// that ask it, has the leader confirm them all with one question, and tells each what it lacks from a copy of what the leader tells. What
// the leader answers grows with the replicas.
//
// Invariants: a gateway is answered only after an answer of the leader to a question that named it and left after the gateway's own had
// come, so that its view may count from when it asked; what it is told is at least as new as that answer; and the leader counts each
// gateway that a question names as heard when that question arrives, which is later than the gateway asked.
package relay

import (
	"slices"
	"time"

	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

const (
	// minRequestInterval is the least time between two questions to the leader, so that what it answers doesn't grow with the gateways. It is what a view
	// may be confirmed later than by the leader itself.
	minRequestInterval = 40 * time.Millisecond
	// idleRequestInterval is the pause between two questions while no gateway waits, to go on being known as a replica that answers.
	idleRequestInterval = 200 * time.Millisecond
	// RequestTimeout is how long an answer may take before the leader is asked again.
	RequestTimeout = 400 * time.Millisecond
	// leaderGracePeriod is how long a gateway's question waits, beyond its own time, for the leader.
	leaderGracePeriod = 150 * time.Millisecond
	// maxPendingWatches bounds the questions that wait.
	maxPendingWatches = 4096
)

// Report is what a gateway's question tells of it.
type Report struct {
	Gateway string         `json:"gateway"`
	Zone    string         `json:"zone"`
	Address string         `json:"address,omitempty"` // for other gateways
	Roster  roster.Version `json:"held"`              // newest roster that it has taken up
	Running map[string]int `json:"running,omitempty"` // its requests by instance
	Closing bool           `json:"closing,omitempty"`
}

// Request is what a replica asks the leader for the gateways that ask it.
type Request struct {
	Number  uint64         `json:"number"` // rises with each of a replica's life
	Name    string         `json:"name"`   // of the replica
	Zone    string         `json:"zone"`
	Address string         `json:"address"` // that gateways are to ask it at
	Roster  roster.Version `json:"roster"`  // that it holds
	Layout  roster.Version `json:"layout"`  // the same
	Reports []Report       `json:"reports,omitempty"`
}

// Reply confirms that the leader held this state, with a valid lease, after the question had arrived.
type Reply struct {
	Number       uint64               `json:"number"`  // of the question
	Applied      uint64               `json:"applied"` // index of the log up to which the leader had applied it
	Version      roster.Version       `json:"version"`
	Roster       *roster.Update       `json:"roster,omitempty"` // when it differs from the replica's
	Layout       *Layout              `json:"layout,omitempty"` // the same
	Publications []roster.Publication `json:"wanted,omitempty"`
	Gateways     int                  `json:"gateways"`
	Unlisted     []string             `json:"unlisted,omitempty"` // gateways that the question named and that aren't confirmed yet
}

// Layout is how gateways are laid out, and which replicas answer those of each zone.
type Layout struct {
	Version        roster.Version      `json:"version"`
	Mesh           *mesh.Layout        `json:"mesh"`
	NearbyReplicas map[string][]string `json:"near,omitempty"` // addresses by zone, rising
}

// PendingWatch is a gateway's question that isn't answered yet.
type PendingWatch struct {
	Client uint64
	Report Report
	Due    time.Duration // when it is answered although there are no news
	Watch  any           // what else the question says; the caller's

	requestNumber uint64 // number of the question to the leader that names it; 0 when none on its way does
	confirmed     bool   // the leader has confirmed it
	minApplied    uint64 // index that must be applied here before it is answered
}

// Relay is a replica that doesn't lead.
type Relay struct {
	guards           guard.Set
	roster           roster.Log
	version          roster.Version
	published        roster.Version // newest one that waiting questions are answered for
	publishedAt      time.Duration
	layout           *Layout
	publications     []roster.Publication
	publicationsAsOf time.Duration // no later than the ages in wanted are of: when the question left
	gateways         int
	pending          []PendingWatch // in the order in which they came; at most waitingMost
	requestNumber    uint64         // of the newest question
	inFlight         bool           // it has no answer yet
	requestedAt      time.Duration
	readers          cacheEventReaders
}

// New returns a relay that knows nothing yet.
func New(guards guard.Set) *Relay {
	return &Relay{guards: guards, layout: &Layout{Mesh: &mesh.Layout{}}}
}

// Add takes a gateway's question, or returns false when too many wait.
func (r *Relay) Add(w PendingWatch) bool {
	if len(r.pending) >= maxPendingWatches {
		return false
	}
	w.requestNumber, w.confirmed, w.minApplied = 0, false, 0
	r.pending = append(r.pending, w)
	return true
}

// Drain returns all questions that wait and forgets them.
func (r *Relay) Drain() []PendingWatch {
	dropped := r.pending
	r.pending, r.inFlight = nil, false
	return dropped
}

// NextRequestAt returns when Ask has something to do at the latest, if nothing comes.
func (r *Relay) NextRequestAt() time.Duration {
	switch {
	case r.inFlight:
		return r.requestedAt + RequestTimeout
	case r.hasUnconfirmed():
		return r.requestedAt + minRequestInterval
	}
	return r.requestedAt + idleRequestInterval
}

func (r *Relay) hasUnconfirmed() bool {
	return slices.ContainsFunc(r.pending, func(w PendingWatch) bool { return !w.confirmed })
}

// NextRequest returns the next question to the leader, if one is due. The caller adds who asks.
func (r *Relay) NextRequest(now time.Duration) (Request, bool) {
	if r.requestNumber > 0 && now < r.NextRequestAt() {
		return Request{}, false
	}
	r.requestNumber++
	r.inFlight, r.requestedAt = true, now
	question := Request{Number: r.requestNumber, Roster: r.version, Layout: r.layout.Version}
	for i := range r.pending {
		if w := &r.pending[i]; !w.confirmed {
			w.requestNumber = r.requestNumber
			question.Reports = append(question.Reports, w.Report)
		}
	}
	return question, true
}

// RecordFailure notes that a question got no answer, or none of a leader.
func (r *Relay) RecordFailure(number uint64) {
	if number == r.requestNumber {
		r.inFlight = false
	}
}

// Observe takes the leader's answer up.
func (r *Relay) Observe(answer *Reply) {
	if !r.inFlight || answer.Number != r.requestNumber || answer.Version.Term < r.version.Term {
		return // of a question that was given up, or of a leader before
	}
	r.inFlight = false
	if answer.Roster != nil {
		r.roster.Apply(answer.Version.Count, answer.Roster)
		r.readers.stale = true
	}
	r.version = answer.Version
	if answer.Layout != nil {
		r.layout, r.readers.stale = answer.Layout, true
	}
	r.publications, r.publicationsAsOf, r.gateways = answer.Publications, r.requestedAt, answer.Gateways
	for i := range r.pending {
		w := &r.pending[i]
		if w.requestNumber == r.requestNumber && !slices.Contains(answer.Unlisted, w.Report.Gateway) {
			w.confirmed, w.minApplied = true, answer.Applied
		}
	}
}

// Result is what becomes of a question that waits.
type Result uint8

// Results.
const (
	Waiting Result = iota
	Ready          // it is to be answered
	Expired        // the leader confirmed nothing in its time
)

// Resolve calls visit for each question that is to be answered, or that nobody confirmed, and forgets these. news says whether there
// is something new for a confirmed one; applied is the index up to which this replica has applied the log.
func (r *Relay) Resolve(now time.Duration, applied uint64, news func(PendingWatch) bool, visit func(PendingWatch, Result)) {
	r.pending = slices.DeleteFunc(r.pending, func(w PendingWatch) bool {
		result := r.resultOf(now, applied, w, news)
		if result != Waiting {
			visit(w, result)
		}
		return result != Waiting
	})
}

func (r *Relay) resultOf(now time.Duration, applied uint64, w PendingWatch, news func(PendingWatch) bool) Result {
	covered := w.confirmed || !r.guards.On(guard.RelayConfirmed) && r.version.Term > 0
	current := applied >= w.minApplied || !r.guards.On(guard.RelayApplied)
	confirmed := covered && current && !r.isBehind(w.Report.Roster)
	switch {
	case confirmed && (now >= w.Due || news(w)):
		return Ready
	case !confirmed && now >= w.Due+leaderGracePeriod:
		return Expired
	}
	return Waiting
}

// isBehind reports whether somebody holds a newer roster than this replica.
func (r *Relay) isBehind(held roster.Version) bool {
	return held.Term > r.version.Term || held.Term == r.version.Term && held.Count > r.version.Count
}

// Version returns the version of the roster that is told.
func (r *Relay) Version() roster.Version { return r.version }

// Gateways returns how many gateways may trust their view.
func (r *Relay) Gateways() int { return r.gateways }

// PublishIfDue lets the newest roster be told if the last telling is long enough ago.
func (r *Relay) PublishIfDue(now time.Duration) {
	if r.published == r.version || r.published.Term == r.version.Term && now < r.publishedAt+roster.PublishInterval(r.gateways) {
		return
	}
	r.published, r.publishedAt = r.version, now
}

// HasRosterUpdate reports whether a question is to be answered for the roster's sake.
func (r *Relay) HasRosterUpdate(held roster.Version) bool {
	return held.Term != r.published.Term || held.Count < r.published.Count
}

// RosterUpdate returns what a gateway lacks of the roster, or nil.
func (r *Relay) RosterUpdate(held roster.Version) *roster.Update {
	switch {
	case held == r.version:
		return nil
	case held.Term != r.version.Term:
		return r.roster.Since(0)
	}
	return r.roster.Since(held.Count)
}

// Publications returns the weights that were named lately, as of now.
func (r *Relay) Publications(now time.Duration) []roster.Publication {
	wanted := slices.Clone(r.publications)
	for i := range wanted {
		wanted[i].Age += now - r.publicationsAsOf
	}
	return wanted
}

// Layout returns how gateways are laid out.
func (r *Relay) Layout() *Layout { return r.layout }

// CacheEventSources returns the engines whose cache events a gateway reads, rising.
func (r *Relay) CacheEventSources(gateway string) []string {
	return r.readers.sourcesOf(gateway, r.layout.Mesh, &r.roster)
}

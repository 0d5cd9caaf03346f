// Package relay lets a follower answer the watches of gateways on behalf of the leader. It has no I/O, locks or clock.
//
// Only the leader can confirm that a view is current. A follower collects the watches of its gateways, has the leader
// confirm all of them with one request, and sends each gateway what it lacks from its own copy of the roster. The load
// of the leader thus grows with the number of replicas and not of gateways.
//
// Invariants: a watch is answered only after the leader replied to a request that names it. The follower sent that
// request after the watch had arrived, so the gateway may count its view as current from when it sent the watch. The
// content of the answer is at least as new as the leader's reply. The leader counts each gateway named in a request as
// seen when the request arrives, which is later than when the gateway sent its watch.
package relay

import (
	"cmp"
	"slices"
	"time"

	"kitetiller/internal/control/mesh"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

const (
	// minRequestInterval is the minimum interval between two requests to the leader, so that the load of the leader
	// does not grow with the number of gateways. It is also the delay that relaying may add to the confirmation of a
	// view.
	minRequestInterval = 40 * time.Millisecond
	// idleRequestInterval is the interval between two requests while no watch is pending. They keep the leader informed
	// that this follower answers gateways.
	idleRequestInterval = 200 * time.Millisecond
	// requestRepeatInterval is how long a reply may take before the next request is sent. A reply that comes later counts all
	// the same, until LateReplyTimeout.
	requestRepeatInterval = 400 * time.Millisecond
	// LateReplyTimeout is how long a reply is awaited, and maxAwaitedReplies how many are.
	LateReplyTimeout  = 2 * time.Second
	maxAwaitedReplies = 8
	// minLeaderGrace is how long beyond its due time a watch waits for confirmation by the leader at least. Where the leader's
	// replies take longer, it waits leaderGraceFactor times as long as the latest one took.
	minLeaderGrace    = 150 * time.Millisecond
	leaderGraceFactor = 1.5
	// maxPendingWatches limits the number of pending watches.
	maxPendingWatches = 4096
)

// Report is the state of a gateway as stated in its watch.
type Report struct {
	Gateway string         `json:"gateway"`
	Zone    string         `json:"zone"`
	Address string         `json:"address,omitempty"` // for other gateways; may be empty
	Tunnel  string         `json:"tunnel,omitempty"`  // address at which the gateway opens tunnels; may be empty
	Roster  roster.Version `json:"held"`              // newest roster that the gateway uses
	Running map[string]int `json:"running,omitempty"` // running requests by instance
	Closing bool           `json:"closing,omitempty"`
}

// Request asks the leader to confirm the views of the gateways that the reports are from.
type Request struct {
	Number  uint64         `json:"number"` // incremented with each request of a process
	Name    string         `json:"name"`   // of the follower
	Zone    string         `json:"zone"`
	Address string         `json:"address"` // at which the follower answers gateways
	Roster  roster.Version `json:"roster"`  // version that the follower holds
	Layout  roster.Version `json:"layout"`  // version that the follower holds
	Reports []Report       `json:"reports,omitempty"`
}

// Reply holds the state of the leader, which had a valid lease after the request arrived.
type Reply struct {
	Number       uint64               `json:"number"`  // of the request
	Applied      uint64               `json:"applied"` // log index that the leader has applied
	Version      roster.Version       `json:"version"`
	Roster       *roster.Update       `json:"roster,omitempty"` // set if it differs from the version that the follower holds
	Layout       *Layout              `json:"layout,omitempty"` // set if it differs from the version that the follower holds
	Publications []roster.Publication `json:"wanted,omitempty"`
	Gateways     int                  `json:"gateways"`
	Unlisted     []string             `json:"unlisted,omitempty"` // gateways in the request that are not in the log yet, so their views are not confirmed
}

// Layout is the layout of the gateways and the followers that answer the gateways of each zone.
type Layout struct {
	Version        roster.Version      `json:"version"`
	Mesh           *mesh.Layout        `json:"mesh"`
	NearbyReplicas map[string][]string `json:"near,omitempty"` // sorted addresses by zone
}

// PendingWatch is a watch of a gateway that is not answered yet.
type PendingWatch struct {
	Client uint64
	Report Report
	Due    time.Duration // when it is answered even if nothing has changed
	Watch  any           // the watch itself; opaque to this package

	requestNumber uint64 // number of the first request that names it, or 0
	confirmed     bool   // the leader has confirmed the gateway's view
	minApplied    uint64 // log index that must be applied here before it is answered
}

// awaitedReply is a request whose reply may still come.
type awaitedReply struct {
	number uint64
	at     time.Duration // when the request was sent
}

// Relay holds the pending watches of a follower and its copy of the leader's state.
type Relay struct {
	guards           guard.Set
	roster           roster.Log
	version          roster.Version // of roster
	published        roster.Version // newest version for which pending watches are answered
	publishedAt      time.Duration
	layout           *Layout
	publications     []roster.Publication
	publicationsAsOf time.Duration // time from which the ages in publications are counted on: when the request was sent
	gateways         int
	pending          []PendingWatch // in order of arrival; at most maxPendingWatches
	requestNumber    uint64         // of the latest request
	requestedAt      time.Duration
	awaited          []awaitedReply // in order of sending; at most maxAwaitedReplies
	replyTime        time.Duration  // that the latest reply took
	readers          cacheEventReaders
}

// New returns a relay without any state of the leader.
func New(guards guard.Set) *Relay {
	return &Relay{guards: guards, layout: &Layout{Mesh: &mesh.Layout{}}}
}

// Add adds a watch. It returns false if too many are pending.
func (r *Relay) Add(w PendingWatch) bool {
	if len(r.pending) >= maxPendingWatches {
		return false
	}
	w.requestNumber, w.confirmed, w.minApplied = 0, false, 0
	r.pending = append(r.pending, w)
	return true
}

// Drain removes and returns all pending watches.
func (r *Relay) Drain() []PendingWatch {
	drained := r.pending
	r.pending, r.awaited = nil, nil
	return drained
}

// NextRequestAt returns when the next request is due if no watch is added until then.
func (r *Relay) NextRequestAt() time.Duration {
	switch {
	case r.awaits(r.requestNumber):
		return r.requestedAt + requestRepeatInterval
	case r.hasUnconfirmed():
		return r.requestedAt + minRequestInterval
	}
	return r.requestedAt + idleRequestInterval
}

func (r *Relay) hasUnconfirmed() bool {
	return slices.ContainsFunc(r.pending, func(w PendingWatch) bool { return !w.confirmed })
}

// NextRequest returns the next request to the leader, if one is due. The caller fills in Name, Zone and Address.
func (r *Relay) NextRequest(now time.Duration) (Request, bool) {
	if r.requestNumber > 0 && now < r.NextRequestAt() {
		return Request{}, false
	}
	r.requestNumber++
	r.requestedAt = now
	r.awaited = append(r.awaited, awaitedReply{number: r.requestNumber, at: now})
	r.awaited = r.awaited[max(0, len(r.awaited)-maxAwaitedReplies):]
	request := Request{Number: r.requestNumber, Roster: r.version, Layout: r.layout.Version}
	for i := range r.pending {
		if w := &r.pending[i]; !w.confirmed {
			w.requestNumber = cmp.Or(w.requestNumber, r.requestNumber)
			request.Reports = append(request.Reports, w.Report)
		}
	}
	return request, true
}

// RecordFailure records that a request got no reply from a leader.
func (r *Relay) RecordFailure(number uint64) {
	r.awaited = slices.DeleteFunc(r.awaited, func(a awaitedReply) bool { return a.number == number })
}

// awaits reports whether the reply to a request may still come.
func (r *Relay) awaits(number uint64) bool {
	return slices.ContainsFunc(r.awaited, func(a awaitedReply) bool { return a.number == number })
}

// Observe applies a reply of the leader. One that comes after later requests were sent still confirms the watches that its
// request names.
func (r *Relay) Observe(now time.Duration, reply *Reply) {
	at := slices.IndexFunc(r.awaited, func(a awaitedReply) bool { return a.number == reply.Number })
	if at < 0 {
		return
	}
	asked := r.awaited[at]
	r.awaited = slices.Delete(r.awaited, at, at+1)
	r.replyTime = now - asked.at
	if !r.applyRoster(reply) {
		return
	}
	if reply.Layout != nil && !reply.Layout.Version.Precedes(r.layout.Version) {
		r.layout, r.readers.stale = reply.Layout, true
	}
	if asked.at >= r.publicationsAsOf {
		r.publications, r.publicationsAsOf, r.gateways = reply.Publications, asked.at, reply.Gateways
	}
	for i := range r.pending {
		w := &r.pending[i]
		if w.requestNumber > 0 && w.requestNumber <= reply.Number && !slices.Contains(reply.Unlisted, w.Report.Gateway) {
			w.confirmed, w.minApplied = true, max(w.minApplied, reply.Applied)
		}
	}
}

// applyRoster applies the roster of a reply, and reports whether the one held is at least as new then. An update that was asked
// for with an older roster holds all later changes as well.
func (r *Relay) applyRoster(reply *Reply) bool {
	if reply.Version.Precedes(r.version) {
		return reply.Version.Term == r.version.Term // of a previous leader otherwise
	}
	if reply.Roster != nil {
		r.roster.Apply(reply.Version.Count, reply.Roster)
		r.readers.stale = true
	}
	r.version = reply.Version
	return true
}

// Result is the state of a pending watch.
type Result uint8

// Results.
const (
	Waiting Result = iota
	Ready          // to be answered
	Expired        // the leader did not confirm it in time
)

// Resolve removes each watch that is ready or has expired and calls visit for it. changed reports whether there is
// something new for a confirmed watch, and applied is the log index that this replica has applied.
func (r *Relay) Resolve(now time.Duration, applied uint64, changed func(PendingWatch) bool, visit func(PendingWatch, Result)) {
	r.pending = slices.DeleteFunc(r.pending, func(w PendingWatch) bool {
		result := r.resultOf(now, applied, w, changed)
		if result != Waiting {
			visit(w, result)
		}
		return result != Waiting
	})
}

func (r *Relay) resultOf(now time.Duration, applied uint64, w PendingWatch, changed func(PendingWatch) bool) Result {
	confirmed := w.confirmed || !r.guards.On(guard.RelayConfirmed) && r.version.Term > 0
	current := applied >= w.minApplied || !r.guards.On(guard.RelayApplied)
	answerable := confirmed && current && !r.isBehind(w.Report.Roster)
	switch {
	case answerable && (now >= w.Due || changed(w)):
		return Ready
	case !answerable && now >= w.Due+r.leaderGrace():
		return Expired
	}
	return Waiting
}

// leaderGrace returns how long beyond its due time a watch waits for confirmation by the leader.
func (r *Relay) leaderGrace() time.Duration {
	return min(max(minLeaderGrace, time.Duration(leaderGraceFactor*float64(r.replyTime))), LateReplyTimeout)
}

// isBehind reports whether a gateway holds a newer roster than this replica.
func (r *Relay) isBehind(held roster.Version) bool {
	return r.version.Precedes(held)
}

// Version returns the version of the roster that gateways get.
func (r *Relay) Version() roster.Version { return r.version }

// Gateways returns the number of gateways that may trust their view.
func (r *Relay) Gateways() int { return r.gateways }

// PublishIfDue marks the newest roster as published if the minimum interval has passed since the last publication.
func (r *Relay) PublishIfDue(now time.Duration) {
	if r.published == r.version || r.published.Term == r.version.Term && now < r.publishedAt+roster.PublishInterval(r.gateways) {
		return
	}
	r.published, r.publishedAt = r.version, now
}

// HasRosterUpdate reports whether the published roster is newer than the one held or from another term.
func (r *Relay) HasRosterUpdate(held roster.Version) bool {
	return held.Term != r.published.Term || held.Count < r.published.Count
}

// RosterUpdate returns the update from the roster held by a gateway to the newest one, or nil if there is none.
func (r *Relay) RosterUpdate(held roster.Version) *roster.Update {
	switch {
	case held == r.version:
		return nil
	case held.Term != r.version.Term:
		return r.roster.Since(0)
	}
	return r.roster.Since(held.Count)
}

// Publications returns the recently published weights versions with their ages at now.
func (r *Relay) Publications(now time.Duration) []roster.Publication {
	publications := slices.Clone(r.publications)
	for i := range publications {
		publications[i].Age += now - r.publicationsAsOf
	}
	return publications
}

// Layout returns the layout that the leader sent last.
func (r *Relay) Layout() *Layout { return r.layout }

// CacheEventSources returns the sorted IDs of the engines whose cache events a gateway reads.
func (r *Relay) CacheEventSources(gateway string) []string {
	return r.readers.sourcesOf(gateway, r.layout.Mesh, &r.roster)
}

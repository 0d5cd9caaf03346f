package control

import (
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/guard"
)

const (
	// silentAfter is the silence after which a back end is shown as silent: it may be cut off from control only.
	silentAfter = 3500 * time.Millisecond
	// forgetAfter is the silence after which a back end is taken off the roster. It may register again.
	forgetAfter = 12 * time.Second
	// fleetPeriod is how often the roster is looked through.
	fleetPeriod = 100 * time.Millisecond
	// usageCounts is how long a router's figures of its work count.
	usageCounts = 2 * time.Second
)

// Beat is a back end's heartbeat. The first one registers it.
type Beat struct {
	Instance catalog.Instance  `json:"instance"`
	Sequence uint64            `json:"sequence"` // rises with each heartbeat of a life
	ColdLeft time.Duration     `json:"cold_left_ns"`
	Versions map[string]uint64 `json:"versions,omitempty"` // weights by model
	Leaves   bool              `json:"leaves,omitempty"`   // the instance ends
}

// memberState is what the leader keeps of a back end in memory.
type memberState struct {
	heardAt   time.Duration
	sequence  uint64
	coldUntil time.Duration
	versions  map[string]uint64
	silent    bool
	rollout   rolloutState
}

// RosterEntry is a back end as gateways see it.
type RosterEntry struct {
	catalog.Instance
	Versions map[string]uint64 `json:"versions,omitempty"`
	Loading  bool              `json:"loading,omitempty"` // weights are being replaced: nothing new may be sent
	Silent   bool              `json:"silent,omitempty"`  // no heartbeat came for a while
	ColdLeft time.Duration     `json:"cold_left_ns,omitempty"`
}

// WantedVersion is a weights version of a model that was named lately. The list rises by version; each one has its own
// time, since a back end that lacks several is late by the oldest of them.
type WantedVersion struct {
	Model   string        `json:"model"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"` // since it was named, as far as this replica knows
}

// beat takes a heartbeat. What ends or registers a life is answered once a majority holds it, since the back end
// relies on it; everything else is soft state of the leader.
func (r *Replica) beat(now time.Duration, client uint64, beat Beat) {
	id := beat.Instance.ID
	if !r.config.Guards.On(guard.DrainCommitted) {
		r.reply(client, Response{Kind: ResponseOK})
		client = 0
	}
	held, known := r.machine.catalog.Instances()[id]
	switch {
	case beat.Leaves:
		r.propose(now, client, Command{Catalog: &catalog.Command{Remove: id}})
	case r.machine.catalog.Ended(id):
		r.reply(client, Response{Kind: ResponseOK})
	case !known:
		r.heard(now, beat)
		r.propose(now, client, Command{Catalog: &catalog.Command{Register: &beat.Instance}})
	case beat.Instance.State == catalog.StateDraining && held.State != catalog.StateDraining:
		r.propose(now, client, Command{Catalog: &catalog.Command{Drain: id}})
	default:
		r.heard(now, beat)
		r.reply(client, Response{Kind: ResponseOK})
	}
}

// heard updates the soft state of a back end. Heartbeats may overtake each other; an older one changes nothing.
func (r *Replica) heard(now time.Duration, beat Beat) {
	state := r.member(now, beat.Instance.ID)
	state.heardAt = now
	if beat.Sequence < state.sequence {
		return
	}
	state.sequence = beat.Sequence
	state.coldUntil = now + beat.ColdLeft
	if state.silent {
		state.silent = false
		r.lead.rosterChanged()
	}
	if state.rollout.phase == phaseIdle && r.takeVersions(state, beat.Versions) {
		r.lead.rosterChanged()
	}
}

// takeVersions notes the weights that a back end holds and reports whether they are news. A heartbeat may be older
// than a report, so versions only rise.
func (r *Replica) takeVersions(state *memberState, versions map[string]uint64) bool {
	changed := false
	for model, version := range versions {
		if state.versions[model] < version {
			state.versions[model] = version
			changed = true
		}
	}
	return changed
}

// member returns the soft state of a back end, made when it is first named.
func (r *Replica) member(now time.Duration, id string) *memberState {
	state := r.lead.fleet[id]
	if state == nil {
		state = &memberState{heardAt: now, versions: map[string]uint64{}}
		r.lead.fleet[id] = state
	}
	return state
}

// watchFleet marks silent back ends and forgets those that stay silent.
func (r *Replica) watchFleet(now time.Duration) {
	if now < r.lead.fleetAt+fleetPeriod {
		return
	}
	r.lead.fleetAt = now
	instances := r.machine.catalog.Instances()
	for _, id := range sortedKeys(instances) {
		state := r.member(now, id)
		silence := now - state.heardAt
		if silence > silentAfter && !state.silent {
			state.silent = true
			r.lead.rosterChanged()
		}
		if silence > forgetAfter {
			r.propose(now, 0, Command{Catalog: &catalog.Command{Forget: id}})
			state.heardAt = now
		}
	}
	for id := range r.lead.fleet {
		if _, known := instances[id]; !known && now-r.lead.fleet[id].heardAt > silentAfter {
			delete(r.lead.fleet, id)
		}
	}
}

// roster returns the back ends as gateways see them, ordered by id.
func (r *Replica) roster(now time.Duration) []RosterEntry {
	instances := r.machine.catalog.Instances()
	entries := make([]RosterEntry, 0, len(instances))
	for _, id := range sortedKeys(instances) {
		state := r.member(now, id)
		entries = append(entries, RosterEntry{
			Instance: instances[id], Versions: state.versions, Loading: state.rollout.loading(),
			Silent: state.silent, ColdLeft: max(0, state.coldUntil-now),
		})
	}
	return entries
}

// namedVersion is a version and when it was applied here.
type namedVersion struct {
	version uint64
	at      time.Duration
}

// namingsKept bounds the versions of a model whose times are remembered.
const namingsKept = 32

// noteNaming remembers when a version was named.
func (r *Replica) noteNaming(now time.Duration, model string, version uint64) {
	namings := append(r.namings[model], namedVersion{version: version, at: now})
	r.namings[model] = namings[max(0, len(namings)-namingsKept):]
}

// wantedVersions returns the versions that were named lately, with how long ago that was. A version that came with a
// snapshot counts from the start of this process.
func (r *Replica) wantedVersions(now time.Duration) []WantedVersion {
	var wanted []WantedVersion
	versions := r.machine.catalog.Versions()
	for _, model := range sortedKeys(versions) {
		namings := r.namings[model]
		if len(namings) == 0 {
			namings = []namedVersion{{version: versions[model]}}
		}
		for _, naming := range namings {
			wanted = append(wanted, WantedVersion{Model: model, Version: naming.version, Age: now - naming.at})
		}
	}
	return wanted
}

// applyCatalog applies a command of the catalog and tells watchers of it.
func (r *Replica) applyCatalog(now time.Duration, command catalog.Command) *catalog.Outcome {
	before := command.Version != nil && r.machine.catalog.Versions()[command.Version.Model] < command.Version.Version
	outcome := r.machine.catalog.Apply(command)
	if before {
		r.noteNaming(now, command.Version.Model, command.Version.Version)
	}
	if r.lead != nil {
		r.lead.rosterChanged()
	}
	return &outcome
}

// Watch is a gateway's question for news. It is answered at once when the gateway lacks something, else when
// something changes or Hold has passed.
type Watch struct {
	Gateway  string         `json:"gateway"`
	Zone     string         `json:"zone"`
	Address  string         `json:"address"`  // for other gateways, or ""
	Revision uint64         `json:"revision"` // of the document it holds
	Roster   RosterVersion  `json:"roster"`   // it holds
	Hold     time.Duration  `json:"hold_ns"`
	Usage    map[string]int `json:"usage,omitempty"` // its running requests by instance
	Closing  bool           `json:"closing,omitempty"`
}

// RosterVersion tells rosters apart. It is only compared for equality: each leader counts anew.
type RosterVersion struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// WatchReply confirms that a leader with a valid lease held this state after the question had arrived, so a gateway may
// count its view as current from the moment when it asked.
type WatchReply struct {
	Revision uint64            `json:"revision"`
	Document *catalog.Document `json:"document,omitempty"` // when it is newer than the gateway's
	Version  RosterVersion     `json:"version"`
	Roster   []RosterEntry     `json:"roster,omitempty"` // when it differs from the gateway's
	Wanted   []WantedVersion   `json:"wanted,omitempty"`
	Usage    map[string]int    `json:"usage,omitempty"` // running requests of the other gateways by instance
	Gateways int               `json:"gateways"`        // that asked lately
	Peers    []string          `json:"peers,omitempty"` // addresses of other gateways to tell of sends
	Replicas []string          `json:"replicas"`        // addresses of the control group
}

// watcher is a question that is being held.
type watcher struct {
	client uint64
	watch  Watch
	due    time.Duration
}

// usageReport is a gateway's figures of its own work.
type usageReport struct {
	at      time.Duration
	address string
	held    RosterVersion // newest roster that it has taken up
	running map[string]int
}

// maximumHold bounds how long a question may be held.
const maximumHold = time.Second

func (r *Replica) watch(now time.Duration, client uint64, watch Watch) {
	r.lead.usage[watch.Gateway] = usageReport{at: now, address: watch.Address, held: watch.Roster, running: watch.Usage}
	if watch.Closing {
		delete(r.lead.usage, watch.Gateway)
	}
	held := watcher{client: client, watch: watch, due: now + min(watch.Hold, maximumHold)}
	if !r.answerWatch(now, held) {
		r.lead.watchers = append(r.lead.watchers, held)
	}
}

// confirms reports whether this replica may confirm a gateway's view: it leads, and its lease runs.
func (r *Replica) confirms(now time.Duration) bool {
	return r.current(now) || !r.config.Guards.On(guard.ConfirmedView)
}

// answerWatchers answers the questions for which there is news, or whose time has come.
func (r *Replica) answerWatchers(now time.Duration) {
	r.lead.watchers = slices.DeleteFunc(r.lead.watchers, func(held watcher) bool { return r.answerWatch(now, held) })
}

func (r *Replica) answerWatch(now time.Duration, held watcher) bool {
	news := held.watch.Revision < r.machine.catalog.Document().Revision || held.watch.Roster != r.lead.rosterVersion()
	if !news && now < held.due {
		return false
	}
	if !r.confirms(now) {
		r.reply(held.client, Response{Kind: ResponseNoQuorum})
		return true
	}
	r.reply(held.client, Response{Kind: ResponseOK, Watch: r.watchReply(now, held.watch)})
	return true
}

func (r *Replica) watchReply(now time.Duration, watch Watch) *WatchReply {
	document := r.machine.catalog.Document()
	reply := &WatchReply{
		Revision: document.Revision, Version: r.lead.rosterVersion(), Wanted: r.wantedVersions(now),
		Usage: map[string]int{},
	}
	if watch.Revision < document.Revision {
		sent := *document
		sent.Source = nil
		reply.Document = &sent
	}
	if watch.Roster != reply.Version {
		reply.Roster = r.roster(now)
	}
	r.addUsage(now, watch.Gateway, reply)
	reply.Peers = r.peersOf(now, watch.Gateway)
	for _, member := range r.members() {
		reply.Replicas = append(reply.Replicas, member.Address)
	}
	return reply
}

// trustEnd is how long after its last question a gateway may have trusted its view, by a clock that runs slower than ours.
func (r *Replica) trustEnd() time.Duration {
	return r.config.GatewayTrust + r.config.GatewayTrust/leaseMarginShare
}

// turnedAway reports whether every gateway that may still send has taken up the roster of a count. One that is silent for
// longer than it may trust its view sends nothing any more; those of an earlier leader's time have had to ask this one.
func (r *Replica) turnedAway(now time.Duration, count uint64) bool {
	if !r.config.Guards.On(guard.TurnAwayFirst) {
		return true
	}
	for _, report := range r.lead.usage {
		behind := report.held.Term != r.lead.term || report.held.Count < count
		if behind && now-report.at < r.trustEnd() {
			return false
		}
	}
	return true
}

// maximumPeers bounds the gateways that one gateway tells of its sends.
const maximumPeers = 16

// peersOf returns the gateways that come after the asking one by name, so that each is told by as many as it tells.
func (r *Replica) peersOf(now time.Duration, asking string) []string {
	names := sortedKeys(r.lead.usage)
	at, _ := slices.BinarySearch(names, asking)
	var peers []string
	for step := range names {
		name := names[(at+step)%len(names)]
		report := r.lead.usage[name]
		if name != asking && report.address != "" && now-report.at <= usageCounts && len(peers) < maximumPeers {
			peers = append(peers, report.address)
		}
	}
	return peers
}

func (r *Replica) addUsage(now time.Duration, asking string, reply *WatchReply) {
	for gateway, report := range r.lead.usage {
		if now-report.at > usageCounts {
			continue
		}
		reply.Gateways++
		if gateway == asking {
			continue
		}
		for id, running := range report.running {
			reply.Usage[id] += running
		}
	}
}

// closeWatchers answers every held question when the leadership ends.
func (r *Replica) closeWatchers(lead *leadership) {
	for _, held := range lead.watchers {
		r.reply(held.client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
	}
	lead.watchers = nil
}

func (l *leadership) rosterChanged() { l.rosterCount++ }

func (l *leadership) rosterVersion() RosterVersion {
	return RosterVersion{Term: l.term, Count: l.rosterCount}
}

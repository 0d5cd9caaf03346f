package control

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/relay"
	"kitetiller/internal/guard"
	"kitetiller/internal/payload"
	"kitetiller/internal/quarantine"
)

// Watch is a gateway's question for news. It is answered at once when the gateway lacks something, else when
// something changes or Hold has passed.
type Watch struct {
	Gateway   string         `json:"gateway"`
	Zone      string         `json:"zone"`
	Address   string         `json:"address"`  // for other gateways, or ""
	Revision  uint64         `json:"revision"` // of the document it holds
	Roster    RosterVersion  `json:"roster"`   // it holds
	Hold      time.Duration  `json:"hold_ns"`
	Usage     map[string]int `json:"usage,omitempty"` // its running requests by instance
	Closing   bool           `json:"closing,omitempty"`
	ProbeOnly bool           `json:"brief,omitempty"` // it only looks for who answers: document and roster are left out

	Quarantine uint64 `json:"quarantine"` // version of the news that it holds
}

// WatchReply confirms that a leader with a valid lease held this state after the question had arrived, so a gateway may
// count its view as current from the moment when it asked.
type WatchReply struct {
	Revision          uint64               `json:"revision"`
	Document          *catalog.Document    `json:"document,omitempty"` // when it is newer than the gateway's
	Version           RosterVersion        `json:"version"`
	Roster            *RosterUpdate        `json:"roster,omitempty"` // when it differs from the gateway's
	Publications      []WeightsPublication `json:"wanted,omitempty"`
	Gateways          int                  `json:"gateways"`        // that may trust their view: so many share the equal parts of limits
	Mesh              Mesh                 `json:"mesh"`            // other gateways to tell of sends
	Replicas          []string             `json:"replicas"`        // addresses of the control group
	NearbyReplicas    []string             `json:"near,omitempty"`  // replicas of the gateway's zone that answer for the leader; none where it answers all
	CacheEventSources []string             `json:"reads,omitempty"` // engines whose cache events the gateway reads for all

	Quarantine *quarantine.Update `json:"quarantine,omitempty"` // when they differ from the gateway's

	sharedDocument *payload.Shared // Document as JSON; or nil
}

// Parts returns a response as it travels. What many gateways are told, document and roster, is encoded and compressed once for all of them:
// when a whole fleet asks at once, an answer costs what it tells this one alone.
func (r Response) Parts() ([]payload.Part, error) {
	var parts []payload.Part
	if r.Watch != nil {
		own := *r.Watch
		if own.sharedDocument != nil {
			parts = append(parts, payload.Part{Own: []byte(`,"document":`)}, payload.Part{Shared: own.sharedDocument})
			own.Document = nil
		}
		if own.Roster != nil && own.Roster.Shared() != nil {
			parts = append(parts, payload.Part{Own: []byte(`,"roster":`)}, payload.Part{Shared: own.Roster.Shared()})
			own.Roster = nil
		}
		r.Watch = &own
	}
	type plain Response
	encoded, err := json.Marshal(plain(r))
	if err != nil || len(parts) == 0 {
		return []payload.Part{{Own: encoded}}, err
	}
	open, closed := bytes.CutSuffix(encoded, []byte("}}")) // the reply is the last thing in a response that has one
	if !closed {
		panic("control: a reply to a gateway isn't the last thing in its response: " + string(encoded))
	}
	return append(append([]payload.Part{{Own: open}}, parts...), payload.Part{Own: []byte("}}")}), nil
}

// heldWatch is a question that is being held.
type heldWatch struct {
	client uint64
	watch  Watch
	due    time.Duration
}

// usageReport is a gateway's figures of its own work.
type usageReport struct {
	receivedAt time.Duration
	zone       string
	address    string        // for other gateways, or ""
	roster     RosterVersion // newest roster that it has taken up
	running    map[string]int
}

// maxWatchHold bounds how long a question may be held.
const maxWatchHold = time.Second

func (r *Replica) handleWatch(now time.Duration, client uint64, watch Watch) {
	if !r.recordReport(now, watch.report()) {
		r.leader.gatewayUnlisted = true
		r.updateGatewayList(now)
	}
	held := heldWatch{client: client, watch: watch, due: now + min(watch.Hold, maxWatchHold)}
	if !r.answerWatch(now, held) {
		r.leader.watchers = append(r.leader.watchers, held)
	}
}

// report returns what a question tells of its gateway.
func (w *Watch) report() relay.Report {
	return relay.Report{Gateway: w.Gateway, Zone: w.Zone, Address: w.Address, Roster: w.Roster, Running: w.Usage, Closing: w.Closing}
}

// handleAsFollower answers a request at a replica that does not lead. In a large fleet it answers gateways for the leader; else a gateway's question is
// held while no leader is known, so that gateways hear of a new one at once and need not ask again and again.
func (r *Replica) handleAsFollower(now time.Duration, client uint64, request Request) {
	if request.Watch != nil && r.actsAsRelay() && r.relayWatch(now, client, *request.Watch) {
		return
	}
	if request.Watch != nil && r.leaderAddress() == "" && len(r.awaitingLeader) < maxAwaitingLeader {
		due := now + min(request.Watch.Hold, maxWatchHold)
		r.awaitingLeader = append(r.awaitingLeader, heldWatch{client: client, watch: *request.Watch, due: due})
		return
	}
	r.reply(client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
}

// holdUntilFormed holds a gateway's question until the group has its size, so that a whole fleet that starts doesn't ask again and again
// meanwhile. One whose time is over is not held.
func (r *Replica) holdUntilFormed(now time.Duration, client uint64, watch Watch) bool {
	due := now + min(watch.Hold, maxWatchHold)
	if now >= due || len(r.awaitingLeader) >= maxAwaitingLeader {
		return false
	}
	r.awaitingLeader = append(r.awaitingLeader, heldWatch{client: client, watch: watch, due: due})
	return true
}

// maxAwaitingLeader bounds the questions that are held while no leader is known.
const maxAwaitingLeader = 4096

// resolveAwaitingLeader takes up the held questions when this replica leads, and answers them when it hears of a leader or their
// time is over.
func (r *Replica) resolveAwaitingLeader(now time.Duration) {
	if len(r.awaitingLeader) == 0 {
		return
	}
	leader := r.leaderAddress()
	waiting := r.awaitingLeader
	r.awaitingLeader = nil
	for _, held := range waiting {
		switch {
		case r.leader != nil && (!r.hasCurrentState(now) || !r.formed()) && now < held.due:
			r.awaitingLeader = append(r.awaitingLeader, held) // it may not confirm anything yet
		case r.leader != nil:
			held.watch.Hold = max(0, held.due-now)
			r.Handle(now, held.client, Request{Watch: &held.watch})
		case leader == "" && now < held.due:
			r.awaitingLeader = append(r.awaitingLeader, held)
		case r.actsAsRelay() && r.relayWatch(now, held.client, held.watch):
		default:
			r.reply(held.client, Response{Kind: ResponseNotLeader, Leader: leader})
		}
	}
}

// mayConfirmViews reports whether this replica may confirm a gateway's view: it leads, and its lease runs.
func (r *Replica) mayConfirmViews(now time.Duration) bool {
	return r.hasCurrentState(now) || !r.config.Guards.On(guard.ConfirmedView)
}

// answerWatches answers the questions for which there is news, or whose time has come.
func (r *Replica) answerWatches(now time.Duration) {
	r.leader.publishRosterIfDue(now)
	r.leader.watchers = slices.DeleteFunc(r.leader.watchers, func(held heldWatch) bool { return r.answerWatch(now, held) })
}

func (r *Replica) answerWatch(now time.Duration, held heldWatch) bool {
	news := held.watch.Revision < r.machine.catalog.Document().Revision || r.leader.hasRosterUpdate(held.watch.Roster) ||
		held.watch.Quarantine != r.machine.catalog.Quarantine().Version()
	if !news && now < held.due {
		return false
	}
	unlisted := r.unlisted(held.watch)
	if unlisted && now < held.due+gatewayListTimeout {
		r.leader.gatewayUnlisted = true
		return false
	}
	if !r.mayConfirmViews(now) || unlisted {
		r.reply(held.client, Response{Kind: ResponseNoQuorum})
		return true
	}
	r.reply(held.client, Response{Kind: ResponseOK, Watch: r.watchReply(now, held.watch)})
	return true
}

func (r *Replica) watchReply(now time.Duration, watch Watch) *WatchReply {
	reply := r.localWatchReply(&watch)
	reply.Version, reply.Publications = r.leader.rosterVersion(), r.weightsPublications(now)
	if watch.Roster != reply.Version && !watch.ProbeOnly {
		reply.Roster = r.rosterUpdate(now, watch.Roster)
	}
	_, reply.Gateways = r.trustingGateways(now)
	reply.setLayout(r.layout(now), &watch)
	reply.CacheEventSources = r.cacheEventSourcesOf(now, watch.Gateway)
	return reply
}

// localWatchReply returns the part of a reply that follows from what this replica has applied.
func (r *Replica) localWatchReply(watch *Watch) *WatchReply {
	document := r.machine.catalog.Document()
	reply := &WatchReply{Revision: document.Revision}
	if watch.Revision < document.Revision && !watch.ProbeOnly {
		reply.Document, reply.sharedDocument = r.publishedDocument(document)
	}
	reply.Quarantine = r.quarantineUpdate(watch.Quarantine)
	for _, member := range r.members() {
		reply.Replicas = append(reply.Replicas, member.Address)
	}
	return reply
}

// publishedDocument returns the document as gateways are told it, and as JSON that all who lack it share.
func (r *Replica) publishedDocument(document *catalog.Document) (*catalog.Document, *payload.Shared) {
	if r.published.document == nil || r.published.document.Revision != document.Revision {
		sent := *document
		sent.Source = nil
		r.published.document, r.published.shared = &sent, nil
		if shared, err := payload.NewShared(&sent); err == nil {
			r.published.shared = shared // else whoever tells it meets the error
		}
	}
	return r.published.document, r.published.shared
}

// setLayout adds where the gateway is laid out.
func (w *WatchReply) setLayout(layout *relay.Layout, watch *Watch) {
	w.Mesh, w.NearbyReplicas = layout.Mesh.MeshOf(watch.Zone, watch.Gateway), layout.NearbyReplicas[watch.Zone]
}

// viewExpiry is how long after its last question a gateway may have trusted its view, by a clock that runs slower than ours.
func (r *Replica) viewExpiry() time.Duration {
	return r.config.GatewayTrust + r.config.GatewayTrust/leaseMarginDivisor
}

// ackedRosterCount returns the count of the newest roster that every gateway which may still send has taken up. One that is silent for
// longer than it may trust its view sends nothing any more; those of an earlier leader's time have had to ask this one.
func (r *Replica) ackedRosterCount(now time.Duration) uint64 {
	taken := uint64(math.MaxUint64)
	if !r.config.Guards.On(guard.DrainBeforeWeightsChange) {
		return taken
	}
	for _, report := range r.leader.usage {
		switch {
		case now-report.receivedAt >= r.viewExpiry():
		case report.roster.Term != r.leader.term:
			return 0
		default:
			taken = min(taken, report.roster.Count)
		}
	}
	return taken
}

// usageTotals is the work of all gateways, added up now and then: a reply would otherwise cost the more the more there are.
type usageTotals struct {
	at      time.Duration
	running map[string]int // requests by instance; nil before the first sum
}

// usageTotalsInterval is how often the work of all gateways is added up.
const usageTotalsInterval = 50 * time.Millisecond

// currentUsage returns the work of all gateways that asked lately.
func (r *Replica) currentUsage(now time.Duration) *usageTotals {
	sum := &r.leader.totals
	if sum.running != nil && now < sum.at+usageTotalsInterval {
		return sum
	}
	*sum = usageTotals{at: now, running: map[string]int{}}
	for _, report := range r.leader.usage {
		if now-report.receivedAt > usageTTL {
			continue
		}
		for id, running := range report.running {
			sum.running[id] += running
		}
	}
	return sum
}

// closeWatches answers every held question when the leadership ends.
func (r *Replica) closeWatches(lead *leaderState) {
	for _, held := range lead.watchers {
		r.reply(held.client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
	}
	lead.watchers = nil
}

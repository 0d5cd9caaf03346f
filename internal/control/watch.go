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

// Watch is a gateway's long-polling request for updates. It is answered at once if the gateway lacks something, and
// otherwise when something changes or Hold has passed.
type Watch struct {
	Gateway   string         `json:"gateway"`
	Zone      string         `json:"zone"`
	Address   string         `json:"address"`          // for other gateways, or ""
	Tunnel    string         `json:"tunnel,omitempty"` // address at which the gateway opens tunnels to back ends; "" if it opens none
	Revision  uint64         `json:"revision"`         // of the document that the gateway holds
	Roster    RosterVersion  `json:"roster"`           // version that the gateway holds
	Hold      time.Duration  `json:"hold_ns"`
	Usage     map[string]int `json:"usage,omitempty"` // running requests by instance
	Closing   bool           `json:"closing,omitempty"`
	ProbeOnly bool           `json:"brief,omitempty"` // the reply omits document and roster; finds a replica that answers

	Quarantine uint64 `json:"quarantine"` // version of the quarantine list that the gateway holds
}

// WatchReply holds the state of a leader that had a valid lease after the watch arrived. The gateway may count its view
// as current from when it sent the watch.
type WatchReply struct {
	Revision     uint64               `json:"revision"`
	Document     *catalog.Document    `json:"document,omitempty"` // set if it is newer than the one that the gateway holds
	Version      RosterVersion        `json:"version"`
	Roster       *RosterUpdate        `json:"roster,omitempty"` // set if it differs from the version that the gateway holds
	Publications []WeightsPublication `json:"wanted,omitempty"`
	Gateways     int                  `json:"gateways"` // number that may trust their view; they share limits equally
	// Offers holds the optional features of back ends, by service. It is set along with Document, and derived from its
	// source when it is sent: stored documents lack it, so that builds of all levels store the same.
	Offers            map[string]catalog.Offer `json:"offers,omitempty"`
	Mesh              Mesh                     `json:"mesh"`            // peers to announce dispatched requests to
	Replicas          []string                 `json:"replicas"`        // addresses of the control replicas
	NearbyReplicas    []string                 `json:"near,omitempty"`  // followers in the gateway's zone that answer gateways; empty if the leader answers all
	CacheEventSources []string                 `json:"reads,omitempty"` // engines whose cache events the gateway reads on behalf of all gateways

	// StoreSources holds the addresses of the stores whose cache events the gateway reads on behalf of all gateways.
	StoreSources []string `json:"stores,omitempty"`

	Quarantine *quarantine.Update `json:"quarantine,omitempty"` // set if it differs from the list that the gateway holds

	sharedDocument *payload.SharedJSON // Document encoded as JSON, or nil
}

// Parts returns the encoded response. Document and roster update are encoded and compressed once and shared by all
// responses that contain them, so that the cost per response stays small when a whole fleet asks at once.
func (r Response) Parts() ([]payload.Part, error) {
	var parts []payload.Part
	if r.Watch != nil {
		watchReply := *r.Watch
		if watchReply.sharedDocument != nil {
			parts = append(parts, payload.Part{Raw: []byte(`,"document":`)}, payload.Part{Shared: watchReply.sharedDocument})
			watchReply.Document = nil
		}
		if watchReply.Roster != nil && watchReply.Roster.Shared() != nil {
			parts = append(parts, payload.Part{Raw: []byte(`,"roster":`)}, payload.Part{Shared: watchReply.Roster.Shared()})
			watchReply.Roster = nil
		}
		r.Watch = &watchReply
	}
	type plain Response
	encoded, err := json.Marshal(plain(r))
	if err != nil || len(parts) == 0 {
		return []payload.Part{{Raw: encoded}}, err
	}
	head, found := bytes.CutSuffix(encoded, []byte("}}")) // a watch reply is the last field of its response
	if !found {
		panic("control: a watch reply is not the last field of its response: " + string(encoded))
	}
	return append(append([]payload.Part{{Raw: head}}, parts...), payload.Part{Raw: []byte("}}")}), nil
}

// heldWatch is a watch that is answered when something changes or it is due.
type heldWatch struct {
	client uint64
	watch  Watch
	due    time.Duration
}

// usageReport is the latest report of a gateway on its load.
type usageReport struct {
	receivedAt time.Duration
	zone       string
	address    string         // for other gateways, or ""
	tunnel     string         // address at which it opens tunnels, or ""
	roster     RosterVersion  // newest roster that the gateway uses
	running    map[string]int // requests by instance
}

// maxWatchHold limits how long a watch may be held.
const maxWatchHold = time.Second

func (r *Replica) handleWatch(now time.Duration, client uint64, watch Watch) {
	if !r.recordReport(now, watch.report()) {
		r.leader.gatewayUnlisted = true
		r.updateGatewayList(now)
	}
	held := heldWatch{client: client, watch: watch, due: now + min(watch.Hold, maxWatchHold)}
	if !r.answerWatch(now, held) {
		r.leader.heldWatches = append(r.leader.heldWatches, held)
	}
}

// report returns the state of the gateway as stated in its watch.
func (w *Watch) report() relay.Report {
	return relay.Report{Gateway: w.Gateway, Zone: w.Zone, Address: w.Address, Tunnel: w.Tunnel, Roster: w.Roster, Running: w.Usage, Closing: w.Closing}
}

// handleAsFollower handles a request at a replica that does not lead. In a large fleet it answers watches on behalf of
// the leader. While no leader is known it holds watches, so that gateways learn of a new leader at once and need not
// retry. Everything else is rejected.
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

// holdUntilFormed holds a watch until the group has formed, so that a starting fleet does not retry in the meantime. It
// returns false if the watch is due or too many are held.
func (r *Replica) holdUntilFormed(now time.Duration, client uint64, watch Watch) bool {
	due := now + min(watch.Hold, maxWatchHold)
	if now >= due || len(r.awaitingLeader) >= maxAwaitingLeader {
		return false
	}
	r.awaitingLeader = append(r.awaitingLeader, heldWatch{client: client, watch: watch, due: due})
	return true
}

// maxAwaitingLeader limits the number of watches held while no leader is known.
const maxAwaitingLeader = 4096

// resolveAwaitingLeader handles the held watches once this replica leads, and answers or relays them once it knows
// another leader or they are due.
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
			r.awaitingLeader = append(r.awaitingLeader, held) // this replica may not confirm views yet
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

// mayConfirmViews reports whether this replica is a leader with a valid lease and so may confirm that views are
// current.
func (r *Replica) mayConfirmViews(now time.Duration) bool {
	return r.hasCurrentState(now) || !r.config.Guards.On(guard.ConfirmedView)
}

// answerWatches answers the held watches that are due or for which something has changed.
func (r *Replica) answerWatches(now time.Duration) {
	r.leader.publishRosterIfDue(now)
	r.leader.heldWatches = slices.DeleteFunc(r.leader.heldWatches, func(held heldWatch) bool { return r.answerWatch(now, held) })
}

// answerWatch answers a watch if it is due or something has changed, and reports whether it did. It waits for up to
// gatewayListTimeout longer if the gateway is not in the log yet.
func (r *Replica) answerWatch(now time.Duration, held heldWatch) bool {
	changed := held.watch.Revision < r.machine.catalog.Document().Revision || r.leader.hasRosterUpdate(held.watch.Roster) ||
		held.watch.Quarantine != r.machine.catalog.Quarantine().Version()
	if !changed && now < held.due {
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
	reply.StoreSources = r.storeSourcesOf(r.layout(now).Mesh, watch.Gateway)
	return reply
}

// localWatchReply returns the part of a reply that comes from the log that this replica has applied.
func (r *Replica) localWatchReply(watch *Watch) *WatchReply {
	document := r.machine.catalog.Document()
	reply := &WatchReply{Revision: document.Revision}
	if watch.Revision < document.Revision && !watch.ProbeOnly {
		reply.Document, reply.sharedDocument = r.publishedDocument(document)
		reply.Offers = r.published.offers
	}
	reply.Quarantine = r.quarantineUpdate(watch.Quarantine)
	for _, member := range r.members() {
		reply.Replicas = append(reply.Replicas, member.Address)
	}
	return reply
}

// publishedDocument returns the document without its source, as sent to gateways, and its shared encoding.
func (r *Replica) publishedDocument(document *catalog.Document) (*catalog.Document, *payload.SharedJSON) {
	if r.published.document == nil || r.published.document.Revision != document.Revision {
		sent := *document
		sent.Source = nil
		r.published = publishedDocument{document: &sent}
		if r.readOffers != nil {
			r.published.offers = r.readOffers(document.Source)
		}
		if shared, err := payload.NewSharedJSON(&sent); err == nil {
			r.published.shared = shared // on failure, encoding the response reports the error
		}
	}
	return r.published.document, r.published.shared
}

// setLayout sets the mesh of the gateway and the replicas in its zone.
func (w *WatchReply) setLayout(layout *relay.Layout, watch *Watch) {
	w.Mesh, w.NearbyReplicas = layout.Mesh.MeshOf(watch.Zone, watch.Gateway), layout.NearbyReplicas[watch.Zone]
}

// viewExpiry returns how long after its last watch a gateway may still trust its view, allowing for a clock that runs
// slower than ours.
func (r *Replica) viewExpiry() time.Duration {
	return r.config.GatewayViewTTL + r.config.GatewayViewTTL/leaseMarginDivisor
}

// ackedRosterCount returns the count of the newest roster that is in use at every gateway that may still send requests;
// a gateway stops sending when its view expires. It returns 0 while one of them uses a roster of an earlier leader, and
// the maximum count if there are none.
func (r *Replica) ackedRosterCount(now time.Duration) uint64 {
	acked := uint64(math.MaxUint64)
	if !r.config.Guards.On(guard.DrainBeforeWeightsChange) {
		return acked
	}
	for _, report := range r.leader.usage {
		switch {
		case now-report.receivedAt >= r.viewExpiry():
		case report.roster.Term != r.leader.term:
			return 0
		default:
			acked = min(acked, report.roster.Count)
		}
	}
	return acked
}

// usageTotals is the sum of the usage reports of all gateways. It is cached, since the cost of the sum grows with their
// number.
type usageTotals struct {
	at      time.Duration
	running map[string]int // requests by instance; nil until first computed
}

// usageTotalsInterval is the maximum age of the cached sum.
const usageTotalsInterval = 50 * time.Millisecond

// currentUsage returns the sum of the usage reports received within usageTTL.
func (r *Replica) currentUsage(now time.Duration) *usageTotals {
	totals := &r.leader.totals
	if totals.running != nil && now < totals.at+usageTotalsInterval {
		return totals
	}
	*totals = usageTotals{at: now, running: map[string]int{}}
	for _, report := range r.leader.usage {
		if now-report.receivedAt > usageTTL {
			continue
		}
		for id, running := range report.running {
			totals.running[id] += running
		}
	}
	return totals
}

// closeWatches rejects every held watch when this replica stops leading.
func (r *Replica) closeWatches(leader *leaderState) {
	for _, held := range leader.heldWatches {
		r.reply(held.client, Response{Kind: ResponseNotLeader, Leader: r.leaderAddress()})
	}
	leader.heldWatches = nil
}

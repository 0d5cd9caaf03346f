package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/listen"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/transport"
)

// Paths that receive announcements, by whom the receiver forwards them to after applying them.
const (
	pathSends        = "/internal/v1/sends"          // nobody
	pathRow          = "/internal/v1/sends/row"      // its column
	pathOtherZone    = "/internal/v1/sends/imported" // its row and its column
	pathViaScheduler = "/internal/v1/sends/handed"   // all other schedulers
)

// Paths on which a scheduler receives placement requests, and the ends of the placed requests.
const (
	pathPlace = "/internal/v1/place"
	pathEnd   = "/internal/v1/place/end"
)

const (
	announceQueueSize = 2048
	announceTimeout   = 250 * time.Millisecond
	announceBatchSize = 128
	// Batching periods: how long an announcement waits for others to be sent in the same message.
	ownPeriod        = 15 * time.Millisecond
	columnPeriod     = 40 * time.Millisecond
	otherZonesPeriod = 25 * time.Millisecond
)

// announcement informs other gateways of a request that its gateway sent to an engine, so that they can account for the
// engine's prefill work and the parts it will have cached. The last part is specific to the request, but occupies cache
// memory too. An empty Salt means that a request has ended. Other kinds are marked by the fields from Unreachable on.
type announcement struct {
	Gateway      string
	Load         belief.Load // the gateway's current load on the instance
	Instance     string
	Salt         string
	Parts        []prefix.Part
	Uncached     int             // prompt tokens to prefill
	SavedToStore bool            // the parts are saved to the store as well
	Transfer     belief.Transfer // of cached parts to the engine or to the store
	// Unreachable means that the connection failed, so that no request was sent.
	Unreachable bool
	// CacheReport means that Parts were reported as cached by the engine itself. No request was sent.
	CacheReport bool
	// RejectedRequest is the ID of a request that was rejected due to overload, so that none was sent.
	RejectedRequest string
	// Signals are load and limit signals of the back end. If there are any, only they are announced.
	Signals pushback.Signals
	Queue   queueAnnouncement // of services with queues
	// StoreReport is what was read from a store. If there is one, only it is announced.
	StoreReport *storeindex.Report
	Age         time.Duration // time since the announced event
}

// wireAnnouncement is the JSON form of an announcement. Its names are short since each announcement goes to every
// scheduler.
type wireAnnouncement struct {
	Gateway         string   `json:"g"`
	Running         int      `json:"n,omitempty"`
	RunningTokens   int      `json:"m,omitempty"` // tokens of the running requests
	Instance        string   `json:"i"`
	Salt            string   `json:"s,omitempty"`
	Parts           []string `json:"p,omitempty"`
	Tokens          []int    `json:"t,omitempty"` // of each part
	Uncached        int      `json:"u,omitempty"`
	SavedToStore    bool     `json:"v,omitempty"`
	TransferFrom    string   `json:"f,omitempty"`
	TransferMS      int64    `json:"d,omitempty"`
	Unreachable     bool     `json:"x,omitempty"`
	CacheReport     bool     `json:"k,omitempty"`
	RejectedRequest string   `json:"r,omitempty"`
	BackoffMS       int64    `json:"q,omitempty"` // requested by the back end of the announcing gateway
	Draining        bool     `json:"l,omitempty"` // the back end states that it is draining
	Limit           *float64 `json:"b,omitempty"` // advertised by the back end, in requests per second of all gateways
	LimitWithdrawn  bool     `json:"e,omitempty"` // the back end no longer advertises a limit
	AgeMS           int64    `json:"a"`
	QueueNumber     uint64   `json:"qi,omitempty"` // of the request at the announcing gateway, which reports its first event
	QueuePriority   int      `json:"qp,omitempty"`
	FirstEvent      bool     `json:"qf,omitempty"` // the request had its first event
	FirstEventAgeMS int64    `json:"qa,omitempty"` // time from the first event to the announcement
	Removed         bool     `json:"qx,omitempty"` // the request ended without a first event

	StoreReport *wireStoreReport `json:"h,omitempty"`
}

func (s announcement) toWire(waited time.Duration) wireAnnouncement {
	w := wireAnnouncement{
		Gateway: s.Gateway, Running: s.Load.Running, RunningTokens: s.Load.Tokens,
		Instance: s.Instance, Salt: s.Salt, Uncached: s.Uncached, SavedToStore: s.SavedToStore, Unreachable: s.Unreachable, CacheReport: s.CacheReport, RejectedRequest: s.RejectedRequest,
		BackoffMS: s.Signals.Backoff.Milliseconds(), Draining: s.Signals.Draining, AgeMS: (s.Age + waited).Milliseconds(), TransferFrom: s.Transfer.From, TransferMS: s.Transfer.Time.Milliseconds(),
	}
	w.Parts, w.Tokens = partsToWire(s.Parts)
	w.Limit, w.LimitWithdrawn = limitToWire(s.Signals.Limit)
	s.Queue.toWire(&w)
	w.StoreReport = storeReportToWire(s.StoreReport)
	return w
}

// partsToWire returns the IDs and token counts of parts, as sent in messages.
func partsToWire(parts []prefix.Part) (ids []string, tokens []int) {
	for _, p := range parts {
		ids, tokens = append(ids, p.ID), append(tokens, p.Tokens)
	}
	return ids, tokens
}

// partsFromWire is the inverse of partsToWire. IDs without a token count are dropped.
func partsFromWire(ids []string, tokens []int) []prefix.Part {
	var parts []prefix.Part
	for i := range min(len(ids), len(tokens)) {
		parts = append(parts, prefix.Part{ID: ids[i], Tokens: max(0, tokens[i])})
	}
	return parts
}

// maxWireMS bounds the milliseconds that are converted to a duration; larger ones could overflow it.
const maxWireMS = int64(24 * time.Hour / time.Millisecond)

// signedDurationFromMS converts received milliseconds to a duration. Negative ones yield -1 ms, for receivers that count
// them, and those above maxWireMS are clamped.
func signedDurationFromMS(ms int64) time.Duration {
	return time.Duration(min(max(-1, ms), maxWireMS)) * time.Millisecond
}

// durationFromMS converts received milliseconds to a duration. Negative ones yield 0, and those above maxWireMS are
// reduced to it, since larger ones may overflow.
func durationFromMS(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxWireMS)) * time.Millisecond
}

// announcement converts a received announcement, and replaces negative numbers with 0.
func (w wireAnnouncement) announcement() announcement {
	return announcement{
		Gateway: w.Gateway, Load: belief.Load{Running: max(0, w.Running), Tokens: max(0, w.RunningTokens)},
		Instance: w.Instance, Salt: w.Salt, Uncached: max(0, w.Uncached), SavedToStore: w.SavedToStore, Unreachable: w.Unreachable, CacheReport: w.CacheReport, RejectedRequest: w.RejectedRequest,
		Signals: pushback.Signals{Backoff: durationFromMS(min(w.BackoffMS, pushback.MaxBackoff.Milliseconds())), Draining: w.Draining, Limit: limitFromWire(w.Limit, w.LimitWithdrawn)}, Age: durationFromMS(w.AgeMS), Transfer: belief.Transfer{From: w.TransferFrom, Time: durationFromMS(w.TransferMS)}, Parts: partsFromWire(w.Parts, w.Tokens),
		Queue:       w.queueAnnouncement(),
		StoreReport: storeReportFromWire(w.StoreReport),
	}
}

// limitToWire returns a limit as sent in messages.
func limitToWire(limit pushback.Limit) (rate *float64, withdrawn bool) {
	if limit.Advertised {
		rate = &limit.Rate
	}
	return rate, limit.Withdrawn
}

// limitFromWire is the inverse of limitToWire; a negative rate yields 0.
func limitFromWire(rate *float64, withdrawn bool) pushback.Limit {
	if rate != nil {
		return pushback.Limit{Advertised: true, Rate: max(0, *rate)}
	}
	return pushback.Limit{Withdrawn: withdrawn}
}

// peerAnnouncer sends announcements along the mesh that control assigns to all gateways that place requests, the
// schedulers. So all have the same view of engines' queues and caches without asking the engines. It is safe for
// concurrent use.
type peerAnnouncer struct {
	row, column, otherZones *transport.Announcer[announcement]
	viaScheduler            *transport.Announcer[announcement] // to a scheduler that forwards to all others
	useScheduler            atomic.Bool                        // the mesh names schedulers for this gateway
	disabled                bool                               // nothing is announced
}

func newPeerAnnouncer(c *transport.Client) *peerAnnouncer {
	announcer := func(path string, period time.Duration) *transport.Announcer[announcement] {
		settings := transport.AnnouncerSettings{
			Path: path, QueueSize: announceQueueSize, MaxBatch: announceBatchSize, BatchDelay: period, Timeout: announceTimeout,
		}
		return transport.NewAnnouncer(c, settings, batchToWire)
	}
	return &peerAnnouncer{
		row: announcer(pathRow, ownPeriod), column: announcer(pathSends, columnPeriod), otherZones: announcer(pathOtherZone, otherZonesPeriod),
		viaScheduler: announcer(pathViaScheduler, ownPeriod),
	}
}

func batchToWire(batch []transport.Timestamped[announcement]) any {
	announcements := make([]wireAnnouncement, 0, len(batch))
	for _, aged := range batch {
		announcements = append(announcements, aged.Item.toWire(clock.Now()-aged.At))
	}
	return announcements
}

// setMesh replaces the mesh.
func (p *peerAnnouncer) setMesh(mesh control.Mesh) {
	p.row.SetPeers(mesh.Row)
	p.column.SetPeers(mesh.Column)
	p.otherZones.SetPeers(mesh.OtherZones)
	p.useScheduler.Store(len(mesh.Schedulers) > 0)
	if n := len(mesh.Schedulers); n > 0 {
		p.viaScheduler.SetPeers([]string{mesh.Schedulers[rand.IntN(n)]})
	}
}

// run starts the sending goroutines.
func (p *peerAnnouncer) run(ctx context.Context, start func(func())) {
	for _, a := range []*transport.Announcer[announcement]{p.row, p.column, p.otherZones, p.viaScheduler} {
		start(func() { a.Run(ctx) })
	}
}

// announce sends an announcement to all other schedulers.
func (p *peerAnnouncer) announce(item announcement) {
	if p.disabled {
		return
	}
	if p.useScheduler.Load() {
		p.viaScheduler.Announce(item)
		return
	}
	p.otherZones.Announce(item)
	p.announceInZone(item)
}

// announceInZone sends an announcement to the other schedulers of the own zone.
func (p *peerAnnouncer) announceInZone(item announcement) {
	p.row.Announce(item)
	p.column.Announce(item)
}

// servePeers starts the server for other gateways, if an address is configured.
func (g *Gateway) servePeers(ctx context.Context) (*transport.Server, error) {
	if g.settings.PeerAddress == "" {
		return nil, nil
	}
	return listen.Retry(ctx, func() (*transport.Server, error) {
		return transport.Listen(cmp.Or(g.settings.PeerListen, g.settings.PeerAddress), g.settings.Token, g.handlePeer, zap.NewNop())
	})
}

func closePeers(server *transport.Server) {
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	_ = server.Close(ctx) // the process exits in any case
}

func (g *Gateway) handlePeer(request transport.Request, respond transport.Respond) {
	if g.streams.Handle(request, respond) {
		return
	}
	var forward func(announcement)
	switch request.Path {
	case pathPlace:
		g.handlePlacementRequest(request, respond)
		return
	case pathEnd:
		g.handlePlacementEnd(request, respond)
		return
	case control.PathHello:
		g.handleHello(request, respond)
		return
	case pathViaScheduler:
		forward = g.peers.announce
	case pathSends:
		forward = func(announcement) {}
	case pathRow:
		forward = g.peers.column.Announce
	case pathOtherZone:
		forward = g.peers.announceInZone
	default:
		respond(http.StatusNotFound, nil)
		return
	}
	var received []wireAnnouncement
	if json.Unmarshal(request.Body, &received) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	announcements := make([]announcement, 0, len(received))
	for _, w := range received {
		announcements = append(announcements, w.announcement())
		forward(announcements[len(announcements)-1])
	}
	for _, signal := range g.table.applySends(g.now(), announcements) {
		if signal.signals.Draining {
			g.log.info(events.InstanceLeaving, zap.String(events.FieldInstance, signal.instance), zap.String("told_by", sourceGateway))
		}
		g.logLimit(g.now(), signal.instance, signal.signals.Limit, sourceGateway, "")
	}
	respond(http.StatusOK, struct{}{})
}

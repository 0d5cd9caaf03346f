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
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/transport"
)

// Paths on which a gateway is told of sends, by what it does with them beside noting them.
const (
	pathSends        = "/internal/v1/sends"          // nothing
	pathRow          = "/internal/v1/sends/row"      // it tells its column
	pathOtherZone    = "/internal/v1/sends/imported" // it tells its row and its column
	pathViaScheduler = "/internal/v1/sends/handed"   // it tells all others
)

// Paths on which a scheduler is asked for placements, and told how the requests ended.
const (
	pathPlace = "/internal/v1/place"
	pathEnd   = "/internal/v1/place/end"
)

const (
	announceQueueSize = 2048
	announceTimeout   = 250 * time.Millisecond
	announceBatchSize = 128
	// ownPeriod, columnPeriod and abroadPeriod are how long a send waits for others to be told with it.
	ownPeriod        = 15 * time.Millisecond
	columnPeriod     = 40 * time.Millisecond
	otherZonesPeriod = 25 * time.Millisecond
)

// announcement is a request that a gateway sent to an engine, as the others are told: what the engine now has to read, and which
// parts it will hold; the last of them is of use to nobody else, but takes its memory. Without a salt it tells of a
// request that has ended.
type announcement struct {
	Gateway      string
	Load         belief.Load // what the gateway now has running there
	Instance     string
	Salt         string
	Parts        []prefix.Part
	Uncached     int             // prompt tokens
	SavedToStore bool            // the parts go to the store as well
	Transfer     belief.Transfer // of cached parts to the engine, or to the store
	// Unreachable says that no connection came up; then nothing was sent, and there is no salt.
	Unreachable bool
	// CacheReport says that parts and their tokens are what the engine itself says that it keeps; nothing was sent then.
	CacheReport bool
	// RejectedRequest names a request that was turned away from here for overload; nothing was sent then.
	RejectedRequest string
	// Signals is what the back end said of itself in an answer to this gateway; nothing else is told then.
	Signals pushback.Signals
	Age     time.Duration
}

// wireAnnouncement is a send in a message. Names are short since every send goes to every gateway.
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
	BackoffMS       int64    `json:"q,omitempty"` // the back end asked the gateway for rest
	Draining        bool     `json:"l,omitempty"` // the back end says that it leaves
	Limit           *float64 `json:"b,omitempty"` // requests a second that the back end takes from all
	LimitWithdrawn  bool     `json:"e,omitempty"` // the back end names no limit any more
	AgeMS           int64    `json:"a"`
}

func (s announcement) toWire(waited time.Duration) wireAnnouncement {
	w := wireAnnouncement{
		Gateway: s.Gateway, Running: s.Load.Running, RunningTokens: s.Load.Tokens,
		Instance: s.Instance, Salt: s.Salt, Uncached: s.Uncached, SavedToStore: s.SavedToStore, Unreachable: s.Unreachable, CacheReport: s.CacheReport, RejectedRequest: s.RejectedRequest,
		BackoffMS: s.Signals.Backoff.Milliseconds(), Draining: s.Signals.Draining, AgeMS: (s.Age + waited).Milliseconds(), TransferFrom: s.Transfer.From, TransferMS: s.Transfer.Time.Milliseconds(),
	}
	w.Parts, w.Tokens = partsToWire(s.Parts)
	w.Limit, w.LimitWithdrawn = limitToWire(s.Signals.Limit)
	return w
}

// partsToWire returns parts as messages carry them: their ids, and the tokens of each.
func partsToWire(parts []prefix.Part) (ids []string, tokens []int) {
	for _, p := range parts {
		ids, tokens = append(ids, p.ID), append(tokens, p.Tokens)
	}
	return ids, tokens
}

// partsFromWire is the reverse; parts without a size are left out.
func partsFromWire(ids []string, tokens []int) []prefix.Part {
	var parts []prefix.Part
	for i := range min(len(ids), len(tokens)) {
		parts = append(parts, prefix.Part{ID: ids[i], Tokens: max(0, tokens[i])})
	}
	return parts
}

// durationFromMS returns a time that a message tells in milliseconds; none is below 0.
func durationFromMS(ms int64) time.Duration { return time.Duration(max(0, ms)) * time.Millisecond }

// announcement returns what a message tells; parts without a size are left out.
func (w wireAnnouncement) announcement() announcement {
	return announcement{
		Gateway: w.Gateway, Load: belief.Load{Running: max(0, w.Running), Tokens: max(0, w.RunningTokens)},
		Instance: w.Instance, Salt: w.Salt, Uncached: max(0, w.Uncached), SavedToStore: w.SavedToStore, Unreachable: w.Unreachable, CacheReport: w.CacheReport, RejectedRequest: w.RejectedRequest,
		Signals: pushback.Signals{Backoff: durationFromMS(min(w.BackoffMS, pushback.MaxBackoff.Milliseconds())), Draining: w.Draining, Limit: limitFromWire(w.Limit, w.LimitWithdrawn)}, Age: durationFromMS(w.AgeMS), Transfer: belief.Transfer{From: w.TransferFrom, Time: durationFromMS(w.TransferMS)}, Parts: partsFromWire(w.Parts, w.Tokens),
	}
}

// limitToWire returns a limit as messages carry it.
func limitToWire(limit pushback.Limit) (rate *float64, withdrawn bool) {
	if limit.Advertised {
		rate = &limit.Rate
	}
	return rate, limit.Withdrawn
}

// limitFromWire is the reverse; no rate is below 0.
func limitFromWire(rate *float64, withdrawn bool) pushback.Limit {
	if rate != nil {
		return pushback.Limit{Advertised: true, Rate: max(0, *rate)}
	}
	return pushback.Limit{Withdrawn: withdrawn}
}

// peerAnnouncer tells the other gateways of sends over the mesh that control laid out, so that all see the same queues and
// holders without asking engines. It is safe for concurrent use.
type peerAnnouncer struct {
	row, column, otherZones *transport.Announcer[announcement]
	viaScheduler            *transport.Announcer[announcement] // to a scheduler that tells the others
	useScheduler            atomic.Bool                        // this gateway is no scheduler
	disabled                bool                               // other gateways are told nothing
}

func newPeerAnnouncer(c *transport.Client) *peerAnnouncer {
	announcer := func(path string, period time.Duration) *transport.Announcer[announcement] {
		settings := transport.AnnouncerSettings{
			Path: path, Ring: announceQueueSize, Batch: announceBatchSize, Period: period, Timeout: announceTimeout,
		}
		return transport.NewAnnouncer(c, settings, batchToWire)
	}
	return &peerAnnouncer{
		row: announcer(pathRow, ownPeriod), column: announcer(pathSends, columnPeriod), otherZones: announcer(pathOtherZone, otherZonesPeriod),
		viaScheduler: announcer(pathViaScheduler, ownPeriod),
	}
}

func batchToWire(batch []transport.Aged[announcement]) any {
	sends := make([]wireAnnouncement, 0, len(batch))
	for _, aged := range batch {
		sends = append(sends, aged.Item.toWire(clock.Now()-aged.At))
	}
	return sends
}

// setMesh replaces the mesh.
func (s *peerAnnouncer) setMesh(mesh control.Mesh) {
	s.row.SetPeers(mesh.Row)
	s.column.SetPeers(mesh.Column)
	s.otherZones.SetPeers(mesh.Abroad)
	s.useScheduler.Store(len(mesh.Schedulers) > 0)
	if n := len(mesh.Schedulers); n > 0 {
		s.viaScheduler.SetPeers([]string{mesh.Schedulers[rand.IntN(n)]})
	}
}

// run starts the threads that tell.
func (s *peerAnnouncer) run(ctx context.Context, start func(func())) {
	for _, a := range []*transport.Announcer[announcement]{s.row, s.column, s.otherZones, s.viaScheduler} {
		start(func() { a.Run(ctx) })
	}
}

// announce tells of a send of this gateway.
func (s *peerAnnouncer) announce(item announcement) {
	if s.disabled {
		return
	}
	if s.useScheduler.Load() {
		s.viaScheduler.Announce(item)
		return
	}
	s.otherZones.Announce(item)
	s.announceInZone(item)
}

// announceInZone tells the own zone of a send from another one.
func (s *peerAnnouncer) announceInZone(item announcement) {
	s.row.Announce(item)
	s.column.Announce(item)
}

// listenPeers serves the other gateways, when there is an address for it.
func (g *Gateway) listenPeers() (*transport.Server, error) {
	if g.settings.PeerAddress == "" {
		return nil, nil
	}
	return transport.Listen(cmp.Or(g.settings.PeerListen, g.settings.PeerAddress), g.settings.Token, g.handlePeer, zap.NewNop())
}

func closePeers(listener *transport.Server) {
	if listener == nil {
		return
	}
	closing, done := context.WithTimeout(context.Background(), announceTimeout)
	defer done()
	_ = listener.Close(closing) // the process ends anyway
}

func (g *Gateway) handlePeer(request transport.Request, respond transport.Respond) {
	var forward func(announcement)
	switch request.Path {
	case pathPlace:
		g.takeQuestion(request, respond)
		return
	case pathEnd:
		g.takeEnd(request, respond)
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
	sends := make([]announcement, 0, len(received))
	for _, w := range received {
		sends = append(sends, w.announcement())
		forward(sends[len(sends)-1])
	}
	for _, signal := range g.table.applySends(g.now(), sends) {
		if signal.news.Draining {
			g.log.info(events.InstanceLeaving, zap.String(events.FieldInstance, signal.instance), zap.String("told_by", toldByGateway))
		}
		g.noteLimit(g.now(), signal.instance, signal.news.Limit, toldByGateway, "")
	}
	respond(http.StatusOK, struct{}{})
}

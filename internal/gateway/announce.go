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
	pathSends   = "/internal/v1/sends"          // nothing
	pathRow     = "/internal/v1/sends/row"      // it tells its column
	pathImports = "/internal/v1/sends/imported" // it tells its row and its column
	pathHanded  = "/internal/v1/sends/handed"   // it tells all others
)

// Paths on which a scheduler is asked for placements, and told how the requests ended.
const (
	pathPlace = "/internal/v1/place"
	pathEnd   = "/internal/v1/place/end"
)

const (
	announceRing    = 2048
	announceTimeout = 250 * time.Millisecond
	announceBatch   = 128
	// ownPeriod, columnPeriod and abroadPeriod are how long a send waits for others to be told with it.
	ownPeriod    = 15 * time.Millisecond
	columnPeriod = 40 * time.Millisecond
	abroadPeriod = 25 * time.Millisecond
)

// send is a request that a gateway sent to an engine, as the others are told: what the engine now has to read, and which
// parts it will hold; the last of them is of use to nobody else, but takes its memory. Without a salt it tells of a
// request that has ended.
type send struct {
	Gateway  string
	Load     belief.Load // what the gateway now has running there
	Instance string
	Salt     string
	Parts    []prefix.Part
	Uncached int             // prompt tokens
	Saved    bool            // the parts go to the store as well
	Move     belief.Transfer // of cached parts to the engine, or to the store
	// Unreached says that no connection came up; then nothing was sent, and there is no salt.
	Unreached bool
	// Kept says that parts and their tokens are what the engine itself says that it keeps; nothing was sent then.
	Kept bool
	// Refused names a request that was turned away from here for overload; nothing was sent then.
	Refused string
	// Said is what the back end said of itself in an answer to this gateway; nothing else is told then.
	Said pushback.Signals
	Age  time.Duration
}

// wireSend is a send in a message. Names are short since every send goes to every gateway.
type wireSend struct {
	Gateway   string   `json:"g"`
	Running   int      `json:"n,omitempty"`
	Held      int      `json:"m,omitempty"` // tokens of the running requests
	Instance  string   `json:"i"`
	Salt      string   `json:"s,omitempty"`
	Parts     []string `json:"p,omitempty"`
	Tokens    []int    `json:"t,omitempty"` // of each part
	Uncached  int      `json:"u,omitempty"`
	Saved     bool     `json:"v,omitempty"`
	MoveFrom  string   `json:"f,omitempty"`
	MoveMS    int64    `json:"d,omitempty"`
	Unreached bool     `json:"x,omitempty"`
	Kept      bool     `json:"k,omitempty"`
	Refused   string   `json:"r,omitempty"`
	RestMS    int64    `json:"q,omitempty"` // the back end asked the gateway for rest
	Leaving   bool     `json:"l,omitempty"` // the back end says that it leaves
	Limit     *float64 `json:"b,omitempty"` // requests a second that the back end takes from all
	Unlimited bool     `json:"e,omitempty"` // the back end names no limit any more
	AgeMS     int64    `json:"a"`
}

func (s send) wire(waited time.Duration) wireSend {
	w := wireSend{
		Gateway: s.Gateway, Running: s.Load.Running, Held: s.Load.Tokens,
		Instance: s.Instance, Salt: s.Salt, Uncached: s.Uncached, Saved: s.Saved, Unreached: s.Unreached, Kept: s.Kept, Refused: s.Refused,
		RestMS: s.Said.Backoff.Milliseconds(), Leaving: s.Said.Draining, AgeMS: (s.Age + waited).Milliseconds(), MoveFrom: s.Move.From, MoveMS: s.Move.Time.Milliseconds(),
	}
	w.Parts, w.Tokens = wireParts(s.Parts)
	w.Limit, w.Unlimited = wireLimit(s.Said.Limit)
	return w
}

// wireParts returns parts as messages carry them: their ids, and the tokens of each.
func wireParts(parts []prefix.Part) (ids []string, tokens []int) {
	for _, p := range parts {
		ids, tokens = append(ids, p.ID), append(tokens, p.Tokens)
	}
	return ids, tokens
}

// partsOfWire is the reverse; parts without a size are left out.
func partsOfWire(ids []string, tokens []int) []prefix.Part {
	var parts []prefix.Part
	for i := range min(len(ids), len(tokens)) {
		parts = append(parts, prefix.Part{ID: ids[i], Tokens: max(0, tokens[i])})
	}
	return parts
}

// wireTime returns a time that a message tells in milliseconds; none is below 0.
func wireTime(ms int64) time.Duration { return time.Duration(max(0, ms)) * time.Millisecond }

// send returns what a message tells; parts without a size are left out.
func (w wireSend) send() send {
	return send{
		Gateway: w.Gateway, Load: belief.Load{Running: max(0, w.Running), Tokens: max(0, w.Held)},
		Instance: w.Instance, Salt: w.Salt, Uncached: max(0, w.Uncached), Saved: w.Saved, Unreached: w.Unreached, Kept: w.Kept, Refused: w.Refused,
		Said: pushback.Signals{Backoff: wireTime(min(w.RestMS, pushback.MaxBackoff.Milliseconds())), Draining: w.Leaving, Limit: limitOfWire(w.Limit, w.Unlimited)}, Age: wireTime(w.AgeMS), Move: belief.Transfer{From: w.MoveFrom, Time: wireTime(w.MoveMS)}, Parts: partsOfWire(w.Parts, w.Tokens),
	}
}

// wireLimit returns a limit as messages carry it.
func wireLimit(limit pushback.Limit) (rate *float64, over bool) {
	if limit.Advertised {
		rate = &limit.Rate
	}
	return rate, limit.Withdrawn
}

// limitOfWire is the reverse; no rate is below 0.
func limitOfWire(rate *float64, over bool) pushback.Limit {
	if rate != nil {
		return pushback.Limit{Advertised: true, Rate: max(0, *rate)}
	}
	return pushback.Limit{Withdrawn: over}
}

// spread tells the other gateways of sends over the mesh that control laid out, so that all see the same queues and
// holders without asking engines. It is safe for concurrent use.
type spread struct {
	row, column, abroad *transport.Announcer[send]
	handed              *transport.Announcer[send] // to a scheduler that tells the others
	hands               atomic.Bool                // this gateway is no scheduler
	silent              bool                       // other gateways are told nothing
}

func newSpread(c *transport.Client) *spread {
	announcer := func(path string, period time.Duration) *transport.Announcer[send] {
		settings := transport.AnnouncerSettings{
			Path: path, Ring: announceRing, Batch: announceBatch, Period: period, Timeout: announceTimeout,
		}
		return transport.NewAnnouncer(c, settings, wireBatch)
	}
	return &spread{
		row: announcer(pathRow, ownPeriod), column: announcer(pathSends, columnPeriod), abroad: announcer(pathImports, abroadPeriod),
		handed: announcer(pathHanded, ownPeriod),
	}
}

func wireBatch(batch []transport.Aged[send]) any {
	sends := make([]wireSend, 0, len(batch))
	for _, told := range batch {
		sends = append(sends, told.Item.wire(clock.Now()-told.At))
	}
	return sends
}

// use replaces the mesh.
func (s *spread) use(mesh control.Mesh) {
	s.row.SetPeers(mesh.Row)
	s.column.SetPeers(mesh.Column)
	s.abroad.SetPeers(mesh.Abroad)
	s.hands.Store(len(mesh.Schedulers) > 0)
	if n := len(mesh.Schedulers); n > 0 {
		s.handed.SetPeers([]string{mesh.Schedulers[rand.IntN(n)]})
	}
}

// run starts the threads that tell.
func (s *spread) run(ctx context.Context, start func(func())) {
	for _, a := range []*transport.Announcer[send]{s.row, s.column, s.abroad, s.handed} {
		start(func() { a.Run(ctx) })
	}
}

// own tells of a send of this gateway.
func (s *spread) own(made send) {
	if s.silent {
		return
	}
	if s.hands.Load() {
		s.handed.Announce(made)
		return
	}
	s.abroad.Announce(made)
	s.imported(made)
}

// imported tells the own zone of a send from another one.
func (s *spread) imported(made send) {
	s.row.Announce(made)
	s.column.Announce(made)
}

// listenPeers serves the other gateways, when there is an address for it.
func (g *Gateway) listenPeers() (*transport.Server, error) {
	if g.settings.Internal == "" {
		return nil, nil
	}
	return transport.Listen(cmp.Or(g.settings.Bind, g.settings.Internal), g.settings.Token, g.handlePeer, zap.NewNop())
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
	var pass func(send)
	switch request.Path {
	case pathPlace:
		g.handlePlacementRequest(request, respond)
		return
	case pathEnd:
		g.handlePlacementEnd(request, respond)
		return
	case pathHanded:
		pass = g.spread.own
	case pathSends:
		pass = func(send) {}
	case pathRow:
		pass = g.spread.column.Announce
	case pathImports:
		pass = g.spread.imported
	default:
		respond(http.StatusNotFound, nil)
		return
	}
	var told []wireSend
	if json.Unmarshal(request.Body, &told) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	sends := make([]send, 0, len(told))
	for _, w := range told {
		sends = append(sends, w.send())
		pass(sends[len(sends)-1])
	}
	for _, told := range g.table.applySends(g.now(), sends) {
		if told.signals.Draining {
			g.log.note(events.InstanceLeaving, zap.String(events.FieldInstance, told.instance), zap.String("told_by", sourceGateway))
		}
		g.logLimit(g.now(), told.instance, told.signals.Limit, sourceGateway, "")
	}
	respond(http.StatusOK, struct{}{})
}

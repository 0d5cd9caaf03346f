package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/transport"
)

// wirePlacementRequest asks a scheduler for a placement. Names are short since every request of a large fleet asks once.
type wirePlacementRequest struct {
	PlacementID     string   `json:"i"` // name of the placement, given by who asks; unique in the fleet
	Gateway         string   `json:"g"` // who asks
	Service         string   `json:"s"`
	IsolatedTenant  string   `json:"w,omitempty"` // tenant whose cached parts nobody else may use, or ""
	Model           string   `json:"m,omitempty"`
	Parts           []string `json:"p,omitempty"`
	PartTokens      []int    `json:"t,omitempty"` // of each part
	PromptTokens    int      `json:"l,omitempty"` // tokens of the whole prompt
	Excluded        []string `json:"x,omitempty"` // back ends that are not wanted
	TimeoutMS       int64    `json:"d"`           // the request is over by then
	FirstAttempt    bool     `json:"f,omitempty"` // no back end was sent the request yet, so that it may be turned away
	Priority        int      `json:"r,omitempty"` // of urgency; 0 is the most urgent
	LatencyTargetMS int64    `json:"o,omitempty"` // objective of its route
}

// wirePlacementReply answers a question; without an instance there is no back end to be had.
type wirePlacementReply struct {
	Instance        string  `json:"i,omitempty"`
	Version         uint64  `json:"v,omitempty"` // of its weights; 0 unknown
	Uncached        int     `json:"u,omitempty"` // prompt tokens that it will read
	Recomputed      int     `json:"r,omitempty"` // of them, tokens of shared parts
	RecomputeReason string  `json:"c,omitempty"` // of Reread, for logs
	WaitMS          float64 `json:"w,omitempty"` // predicted time until the request begins
	RetryAfterMS    int64   `json:"b,omitempty"` // the request is to be turned away and should come back after this time
	FetchFrom       string  `json:"f,omitempty"`
	SaveTo          string  `json:"k,omitempty"`
	// Limit is what the instance names as its limit, in requests a second, and LimitAgeMS since when that is known; absent where it names none.
	Limit      *float64 `json:"n,omitempty"`
	LimitAgeMS int64    `json:"a,omitempty"`
}

// wirePlacementEnd tells a scheduler how a request ended that it placed.
type wirePlacementEnd struct {
	PlacementID  string         `json:"i"`
	Gateway      string         `json:"g"`
	Outcome      attemptOutcome `json:"o,omitempty"`
	Unreached    bool           `json:"x,omitempty"` // no connection to the back end came up
	DurationMS   int64          `json:"t,omitempty"` // how long the request was there
	FirstEventMS int64          `json:"f,omitempty"` // how long its first event took; 0 none came
}

// call returns what the question tells of the caller's request; parts without a size are left out.
func (q *wirePlacementRequest) call() Call {
	return Call{Model: q.Model, PromptTokens: max(0, q.PromptTokens), Parts: partsOfWire(q.Parts, q.PartTokens)}
}

// placement is a request that this gateway placed for another one, until that one tells of its end.
type placement struct {
	row        *endpoint
	load       belief.Load
	uncached   int           // prompt tokens to read
	engineIdle bool          // nothing else was to be read there
	expiresAt  time.Duration // it counts no longer, whatever was told
	priority   int
	queueWait  float64 // predicted time until its prompt is read, in milliseconds
}

// handlePlacementRequest answers another gateway that asks for a placement.
func (g *Gateway) handlePlacementRequest(request transport.Request, respond transport.Respond) {
	var req wirePlacementRequest
	if json.Unmarshal(request.Body, &req) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	respond(http.StatusOK, g.placeForPeer(g.now(), &req))
}

// placeForPeer chooses a back end for another gateway's request and counts it from now on.
func (g *Gateway) placeForPeer(now time.Duration, req *wirePlacementRequest) wirePlacementReply {
	current := g.view.Load()
	if current == nil || current.services[req.Service] == nil || !g.trusted(now) {
		return wirePlacementReply{}
	}
	call := req.call()
	in := selectionInput{service: current.services[req.Service], call: &call, tried: g.table.rowsByID(req.Excluded), trusted: true, sentByPeer: true}
	if req.IsolatedTenant != "" {
		in.tenant = &catalog.Tenant{Name: req.IsolatedTenant, Isolated: true}
	}
	if g.on(mechanism.Store) {
		in.store = current.storeOf(call.Parts)
	}
	in.firstAttempt, in.priority, in.latencyTarget = req.FirstAttempt, req.Priority, wireTime(req.LatencyTargetMS)
	chosen := g.choose(now, in)
	if chosen == nil {
		return wirePlacementReply{}
	}
	if retryAfter, rejected := g.checkAdmission(now, chosen, in); rejected {
		return wirePlacementReply{Instance: chosen.row.entry.ID, WaitMS: chosen.wait, RetryAfterMS: max(1, retryAfter.Milliseconds())}
	}
	load := g.table.addPlacement(now, req.PlacementID, placement{
		row: chosen.row, load: loadOf(&call), uncached: chosen.uncached, engineIdle: chosen.engineIdle, expiresAt: now + wireTime(req.TimeoutMS),
		priority: req.Priority, queueWait: chosen.queueWait,
	})
	g.announce(now, chosen, call.Parts, load)
	reply := wirePlacementReply{
		Instance: chosen.row.entry.ID, Version: chosen.version, Uncached: chosen.uncached, Recomputed: chosen.recomputed, RecomputeReason: string(chosen.recomputeReason), WaitMS: chosen.wait, FetchFrom: chosen.fetchFrom, SaveTo: chosen.saveTo,
	}
	if limit, _ := g.table.advertisedLimit(now, chosen.row); limit != nil {
		reply.Limit, reply.LimitAgeMS = &limit.Rate, limit.Age.Milliseconds()
	}
	return reply
}

// handlePlacementEnd notes how a request ended that this gateway placed for another one.
func (g *Gateway) handlePlacementEnd(request transport.Request, respond transport.Respond) {
	var end wirePlacementEnd
	if json.Unmarshal(request.Body, &end) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	respond(http.StatusOK, struct{}{})
	now := g.now()
	p, load, known := g.table.endPlacement(now, &end)
	if !known {
		return
	}
	row := p.row
	g.table.observePrefill(row, p.engineIdle, p.uncached, wireTime(end.FirstEventMS))
	g.table.observeQueueWait(row.entry.Service, p.priority, p.queueWait, p.uncached, wireTime(end.FirstEventMS), wireTime(end.DurationMS))
	g.spread.own(send{Gateway: g.nick, Load: load, Instance: row.entry.ID})
	if end.Unreached {
		g.spread.own(send{Gateway: end.Gateway, Instance: row.entry.ID, Unreached: true})
	}
}

// addPlacement counts a placement, and returns what now runs at its back end as far as this gateway tells others.
func (t *table) addPlacement(now time.Duration, ticket string, p placement) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.placed[ticket] = p
	here := &p.row.occupancy
	here.Placed = here.Placed.Plus(p.load)
	t.addPrefill(now, p.row, p.uncached)
	t.pacePeerPlacement(now, p.row)
	return here.Local()
}

// endPlacement takes a placement out. That no connection came up, or that one broke, is one gateway's report, like one that came
// over the mesh.
func (t *table) endPlacement(now time.Duration, end *wirePlacementEnd) (p placement, remaining belief.Load, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, known = t.placed[end.PlacementID]
	if !known {
		return p, belief.Load{}, false
	}
	t.removePlacement(end.PlacementID, p)
	row := p.row
	switch {
	case end.Unreached:
		t.recordPeerReport(now, row, end.Gateway)
	case end.Outcome == outcomeFailure:
		row.raiseFailureRate()
		t.recordPeerReport(now, row, end.Gateway)
	default:
		row.recordOutcome(now, end.Outcome)
	}
	if end.Outcome == outcomeSuccess {
		t.recordDuration(row, wireTime(end.DurationMS))
	}
	return p, row.occupancy.Local(), true
}

// removePlacement takes a placement out of the sums. The caller holds the mutex.
func (t *table) removePlacement(ticket string, p placement) {
	delete(t.placed, ticket)
	p.row.occupancy.Placed = p.row.occupancy.Placed.Minus(p.load)
}

// expirePlacements forgets placements whose end was never told. The caller holds the mutex.
func (t *table) expirePlacements(now time.Duration) {
	for ticket, p := range t.placed {
		if now > p.expiresAt {
			t.removePlacement(ticket, p)
		}
	}
}

// rowsByID returns the back ends of the given ids that are known.
func (t *table) rowsByID(ids []string) []*endpoint {
	if len(ids) == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []*endpoint
	for _, id := range ids {
		if row := t.rows[id]; row != nil {
			found = append(found, row)
		}
	}
	return found
}

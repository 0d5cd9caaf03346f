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

// wirePlacementRequest asks a scheduler for a placement. JSON names are short because a large fleet sends one for every
// request.
type wirePlacementRequest struct {
	PlacementID     string   `json:"i"` // assigned by the requesting gateway; unique in the fleet
	Gateway         string   `json:"g"` // that requests the placement
	Service         string   `json:"s"`
	IsolatedTenant  string   `json:"w,omitempty"` // tenant that shares its cached parts with no other tenant, or ""
	Model           string   `json:"m,omitempty"`
	Parts           []string `json:"p,omitempty"`
	PartTokens      []int    `json:"t,omitempty"` // of each part
	PromptTokens    int      `json:"l,omitempty"` // of the whole prompt
	Excluded        []string `json:"x,omitempty"` // back ends not to choose
	TimeoutMS       int64    `json:"d"`           // the request ends within this time
	FirstAttempt    bool     `json:"f,omitempty"` // no back end was sent the request yet, so it may be rejected
	Priority        int      `json:"r,omitempty"` // 0 is the most urgent
	LatencyTargetMS int64    `json:"o,omitempty"` // the route's objective
}

// wirePlacementReply answers a wirePlacementRequest. Instance is empty if no back end is available.
type wirePlacementReply struct {
	Instance        string  `json:"i,omitempty"`
	Version         uint64  `json:"v,omitempty"` // of the weights expected there; 0 if unknown
	Uncached        int     `json:"u,omitempty"` // prompt tokens to prefill
	Recomputed      int     `json:"r,omitempty"` // tokens of shared parts among Uncached
	RecomputeReason string  `json:"c,omitempty"` // reason for Recomputed, for logs
	WaitMS          float64 `json:"w,omitempty"` // predicted time until the request starts
	RetryAfterMS    int64   `json:"b,omitempty"` // if not 0, the request is rejected and may be retried after this time
	FetchFrom       string  `json:"f,omitempty"`
	SaveTo          string  `json:"k,omitempty"`
	// Limit is the rate limit that the instance advertises, in requests per second, and LimitAgeMS the time since it
	// was observed. Both are absent if there is none.
	Limit      *float64 `json:"n,omitempty"`
	LimitAgeMS int64    `json:"a,omitempty"`

	CopySource string `json:"y,omitempty"` // where shared parts are copied from, for logs
	StoreGap   string `json:"z,omitempty"` // why they are not fetched from the store, for logs
}

// wirePlacementEnd reports to a scheduler how a request that it placed ended.
type wirePlacementEnd struct {
	PlacementID  string         `json:"i"`
	Gateway      string         `json:"g"`
	Outcome      attemptOutcome `json:"o,omitempty"`
	Unreached    bool           `json:"x,omitempty"` // no connection to the back end was established
	DurationMS   int64          `json:"t,omitempty"` // since the attempt began
	FirstEventMS int64          `json:"f,omitempty"` // time until the first event; 0 if there was none
}

// call returns the part of the caller's request that the message carries. Parts without a size are left out.
func (q *wirePlacementRequest) call() Call {
	return Call{Model: q.Model, PromptTokens: max(0, q.PromptTokens), Parts: partsFromWire(q.Parts, q.PartTokens)}
}

// placement is a request that this gateway placed for another one and whose end has not been reported yet.
type placement struct {
	row        *endpoint
	load       belief.Load
	uncached   int           // prompt tokens to prefill
	engineIdle bool          // no other prefill was running or queued there
	expiresAt  time.Duration // the placement is dropped then, even if no end was reported
	priority   int
	queueWait  float64 // predicted time until the prefill starts, in milliseconds
}

// handlePlacementRequest handles another gateway's request for a placement.
func (g *Gateway) handlePlacementRequest(request transport.Request, respond transport.Respond) {
	var req wirePlacementRequest
	if json.Unmarshal(request.Body, &req) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	respond(http.StatusOK, g.placeForPeer(g.now(), &req))
}

// placeForPeer chooses a back end for another gateway's request and counts the request there.
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
	in.latencyCritical, in.offer = current.critical[req.Service], current.offer(req.Service)
	if g.enabled(mechanism.StoreTransfers) {
		in.store = current.storeOf(call.Parts)
	}
	in.firstAttempt, in.priority, in.latencyTarget = req.FirstAttempt, req.Priority, durationFromMS(req.LatencyTargetMS)
	chosen := g.choose(now, in)
	if chosen == nil {
		return wirePlacementReply{}
	}
	if retryAfter, rejected := g.checkAdmission(now, chosen, in); rejected {
		return wirePlacementReply{Instance: chosen.row.entry.ID, WaitMS: chosen.wait, RetryAfterMS: max(1, retryAfter.Milliseconds())}
	}
	load := g.table.addPlacement(now, req.PlacementID, placement{
		row: chosen.row, load: loadOf(&call), uncached: chosen.uncached, engineIdle: chosen.engineIdle, expiresAt: now + durationFromMS(req.TimeoutMS),
		priority: req.Priority, queueWait: chosen.queueWait,
	})
	g.announcePlacement(now, chosen, call.Parts, load)
	reply := wirePlacementReply{
		Instance: chosen.row.entry.ID, Version: chosen.version, Uncached: chosen.uncached, Recomputed: chosen.recomputed, RecomputeReason: string(chosen.recomputeReason), WaitMS: chosen.wait, FetchFrom: chosen.fetchFrom, SaveTo: chosen.saveTo,
	}
	reply.CopySource, reply.StoreGap = chosen.copySource.String(), chosen.storeGap.String()
	if limit, _ := g.table.advertisedLimit(now, chosen.row); limit != nil {
		reply.Limit, reply.LimitAgeMS = &limit.Rate, limit.Age.Milliseconds()
	}
	return reply
}

// handlePlacementEnd handles another gateway's report that a request ended which this gateway placed.
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
	g.table.observePrefill(row, p.engineIdle, p.uncached, durationFromMS(end.FirstEventMS))
	g.table.observeQueueWait(row.entry.Service, p.priority, p.queueWait, p.uncached, durationFromMS(end.FirstEventMS), durationFromMS(end.DurationMS))
	g.peers.announce(announcement{Gateway: g.shortName, Load: load, Instance: row.entry.ID})
	if end.Unreached {
		g.peers.announce(announcement{Gateway: end.Gateway, Instance: row.entry.ID, Unreachable: true})
	}
}

// addPlacement adds a placement and returns the back end's load as this gateway reports it to others.
func (t *table) addPlacement(now time.Duration, id string, p placement) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.placed[id] = p
	here := &p.row.occupancy
	here.Placed = here.Placed.Plus(p.load)
	t.addPrefill(now, p.row, p.uncached)
	t.pacePeerPlacement(now, p.row)
	return here.Local()
}

// endPlacement removes a placement and records its outcome. A failed connection or a broken response counts as one
// gateway's report, like those of the mesh.
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
		t.recordDuration(row, durationFromMS(end.DurationMS))
	}
	return p, row.occupancy.Local(), true
}

// removePlacement removes a placement and its load. The caller holds the mutex.
func (t *table) removePlacement(id string, p placement) {
	delete(t.placed, id)
	p.row.occupancy.Placed = p.row.occupancy.Placed.Minus(p.load)
}

// expirePlacements removes placements whose end was not reported in time. The caller holds the mutex.
func (t *table) expirePlacements(now time.Duration) {
	for id, p := range t.placed {
		if now > p.expiresAt {
			t.removePlacement(id, p)
		}
	}
}

// rowsByID returns the known back ends among the given IDs.
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

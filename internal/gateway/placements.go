package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/streamorigin"
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
	Tenant          string   `json:"n,omitempty"` // "" from builds without reservations
	// WaitMS is how long the call may be held open until a slot of a small service is free; nil asks for a placement at
	// once. Zone is that of the requesting gateway, and BackEnd the back end whose slot is asked for; "" from builds with
	// one scheduler for all back ends of a service.
	WaitMS  *int64 `json:"wait,omitempty"`
	Zone    string `json:"zone,omitempty"`
	BackEnd string `json:"be,omitempty"`
	// ReportsFirstEvent means that the requesting gateway reports the first event if the reply asks for it. Older builds
	// don't, and a buffered response has none.
	ReportsFirstEvent bool `json:"rf,omitempty"`
	// Software is the software version that the back end must have; "" for any. Older builds ignore it, so the requesting
	// gateway checks the reply.
	Software string `json:"sw,omitempty"`
	// SharingEpoch is that of the requesting gateway's document, if the tenant is not isolated.
	SharingEpoch uint64 `json:"se,omitempty"`
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
	// ReportFirstEvent asks for a report of the request's first event.
	ReportFirstEvent bool `json:"qf,omitempty"`
	// The prediction by the engine's queue, for logs: the wait before the prefill starts, the longest pause of streams,
	// and the factor by which the engine is taken to be slower than its service.
	QueueMS  float64 `json:"qw,omitempty"`
	PauseMS  float32 `json:"qm,omitempty"`
	Slowness float32 `json:"qs,omitempty"`
	// What was decided on the reservation of the request, for logs; see reservation.Decision.
	Rejection string `json:"y,omitempty"`
	Return    string `json:"z,omitempty"`
	HasPlace  bool   `json:"p,omitempty"`
	// Slot means that the reply comes from the queue of a back end of a small service, WaitedMS is how long the call was
	// held, and NextWaitMS how long a new request is predicted to wait there.
	Slot       bool   `json:"slot,omitempty"`
	WaitedMS   int64  `json:"waited,omitempty"`
	NextWaitMS int64  `json:"next,omitempty"`
	CopySource string `json:"ys,omitempty"` // where shared parts are copied from, for logs
	StoreGap   string `json:"yg,omitempty"` // why they are not fetched from the store, for logs
}

// wirePlacementEnd reports to a scheduler how a request that it placed ended, or that it had its first event.
type wirePlacementEnd struct {
	PlacementID  string         `json:"i"`
	Gateway      string         `json:"g"`
	Outcome      attemptOutcome `json:"o,omitempty"`
	Unreached    bool           `json:"x,omitempty"` // no connection to the back end was established
	DurationMS   int64          `json:"t,omitempty"` // since the attempt began
	FirstEventMS int64          `json:"f,omitempty"` // time until the first event; 0 if there was none
	// Running means that the request had its first event and goes on. It is sent only if the scheduler asked for it.
	Running bool  `json:"qr,omitempty"`
	PauseMS int64 `json:"qm,omitempty"` // longest time between two events of the stream
	// Service and BackEnd are set if the request asked for a slot of a small service.
	Service string `json:"s,omitempty"`
	BackEnd string `json:"be,omitempty"`
}

// call returns the part of the caller's request that the message carries. Parts without a size are left out.
func (q *wirePlacementRequest) call() Call {
	return Call{Model: q.Model, PromptTokens: max(0, q.PromptTokens), Parts: partsFromWire(q.Parts, q.PartTokens)}
}

// placement is a request that this gateway placed for another one and whose end has not been reported yet.
type placement struct {
	row                 *endpoint
	load                belief.Load
	uncached            int           // prompt tokens to prefill
	promptTokens        int           // of the whole prompt
	engineIdle          bool          // no other prefill was running or queued there
	expiresAt           time.Duration // the placement is dropped then, even if no end was reported
	priority            int
	queueWait           float64 // predicted time until the prefill starts, in milliseconds
	prefillToFirstEvent float64 // predicted time from then until the first event, in milliseconds; for services with queues
	queued              queuedRequest
	ended               queueAnnouncement // set at the end
	slot                bool              // placed by the queue of a small service
}

// handlePlacementRequest handles another gateway's request for a placement.
func (g *Gateway) handlePlacementRequest(request transport.Request, respond transport.Respond) {
	var req wirePlacementRequest
	if json.Unmarshal(request.Body, &req) != nil {
		respond(http.StatusBadRequest, nil)
		return
	}
	if g.servesSlots(&req) {
		g.handleSlotRequest(&req, respond)
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
	in.namespace = namespace{isolated: req.IsolatedTenant, epoch: req.SharingEpoch}
	in.latencyCritical, in.offer = current.critical[req.Service], current.offer(req.Service)
	in.maxEventGap = current.gaps[req.Service]
	if g.enabled(mechanism.StoreTransfers) {
		in.store = current.storeOf(call.Parts)
	}
	in.firstAttempt, in.priority, in.latencyTarget = req.FirstAttempt, req.Priority, durationFromMS(req.LatencyTargetMS)
	if req.Software != "" {
		required := streamorigin.SameAs(streamorigin.Known(req.Software))
		in.software = &required
	}
	in.tenantName, in.timeLeft, in.reportsFirstEvent = req.Tenant, durationFromMS(req.TimeoutMS), req.ReportsFirstEvent
	chosen := g.choose(now, in)
	if chosen == nil {
		return wirePlacementReply{}
	}
	if retryAfter, rejected := g.checkAdmission(now, chosen, in); rejected {
		rejection := wirePlacementReply{Instance: chosen.row.entry.ID, WaitMS: chosen.wait, RetryAfterMS: max(1, retryAfter.Milliseconds())}
		rejection.setForecast(chosen)
		rejection.setReserved(chosen.reserved)
		return rejection
	}
	load := g.table.addPlacement(now, req.PlacementID, placement{
		row: chosen.row, load: loadOf(&call), uncached: chosen.uncached, promptTokens: call.promptTokens(), engineIdle: chosen.engineIdle, expiresAt: now + durationFromMS(req.TimeoutMS),
		priority: req.Priority, queueWait: chosen.queueWait, prefillToFirstEvent: chosen.prefillToFirstEvent(), queued: queuedRequest{number: chosen.queueNumber, placedAt: now},
	})
	g.announcePlacement(now, chosen, call.Parts, load)
	g.slotDesk.count(now, req, chosen.row.entry.ID)
	reply := wirePlacementReply{
		Instance: chosen.row.entry.ID, Version: chosen.version, Uncached: chosen.uncached, Recomputed: chosen.recomputed, RecomputeReason: string(chosen.recomputeReason), WaitMS: chosen.wait, FetchFrom: chosen.fetchFrom, SaveTo: chosen.saveTo,
		ReportFirstEvent: chosen.queueNumber > 0,
	}
	reply.setForecast(chosen)
	reply.setReserved(chosen.reserved)
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
	if end.Running {
		g.handleFirstEvent(now, &end)
		return
	}
	g.slotDesk.end(now, g.applyPlacementEnd(now, &end), &end)
}

// applyPlacementEnd applies the report that a request ended which this gateway placed, and returns its back end's ID, or
// "" if it is not known.
func (g *Gateway) applyPlacementEnd(now time.Duration, end *wirePlacementEnd) (backEnd string) {
	p, load, known := g.table.endPlacement(now, end)
	if !known {
		return end.BackEnd
	}
	row := p.row
	g.table.observePrefill(row, p.engineIdle, p.uncached, durationFromMS(end.FirstEventMS))
	if p.prefillToFirstEvent > 0 {
		g.table.observeForecastWait(row.entry.Service, p.priority, p.queueWait, p.prefillToFirstEvent, durationFromMS(end.FirstEventMS), durationFromMS(end.DurationMS))
	} else {
		g.table.observeQueueWait(row.entry.Service, p.priority, p.queueWait, p.uncached, durationFromMS(end.FirstEventMS), durationFromMS(end.DurationMS))
	}
	g.table.observeRead(now, row.entry.Service, p.priority, p.queueWait, p.prefillToFirstEvent, p.uncached, durationFromMS(end.FirstEventMS), durationFromMS(end.DurationMS))
	g.peers.announce(announcement{Gateway: g.shortName, Load: load, Instance: row.entry.ID, Queue: p.ended})
	if end.Unreached {
		g.peers.announce(announcement{Gateway: end.Gateway, Instance: row.entry.ID, Unreachable: true})
	}
	return row.entry.ID
}

// addPlacement adds a placement and returns the back end's load as this gateway reports it to others.
func (t *table) addPlacement(now time.Duration, id string, p placement) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.placed[id] = p
	here := &p.row.occupancy
	here.Placed = here.Placed.Plus(p.load)
	t.addPrefill(now, p.row, p.uncached)
	if !p.slot {
		t.queueSent(now, p.row, p.queued.number, p.priority, p.uncached)
	}
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
	p.ended = t.endQueued(now, row, &p.queued, firstEventTime(end.FirstEventMS), durationFromMS(end.DurationMS), durationFromMS(end.PauseMS))
	switch {
	case end.Unreached:
		t.recordPeerReport(now, row, end.Gateway)
	case end.Outcome == outcomeFailure:
		row.raiseFailureRate()
		t.recordPeerReport(now, row, end.Gateway)
	case p.slot && end.Outcome == outcomeRejected:
		row.lastByteAt = now // the queue counts its slots as taken, so it need not be avoided
	default:
		row.recordOutcome(now, end.Outcome)
	}
	if end.Outcome == outcomeSuccess {
		t.recordDuration(row, p.promptTokens, durationFromMS(end.DurationMS))
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
			t.endQueued(now, p.row, &p.queued, 0, 0, 0)
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

package gateway

import (
	"math/rand/v2"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/slotqueue"
	"kitetiller/internal/mechanism"
)

const (
	// maxGrantAge is how old a grant may be when the request is sent. An older one may have been taken back.
	maxGrantAge = 200 * time.Millisecond
	// slotProbeDelay is how long a scheduler may hold a call before it is probed, and slotProbeTimeout bounds the probe.
	// A partition of the network leaves calls without a reply, just as a long queue does. A gateway that has used up
	// its share of a processor answers up to 100 ms late.
	slotProbeDelay   = 60 * time.Millisecond
	slotProbeTimeout = 150 * time.Millisecond
	// slotEndAttempts is how often the end of a request is reported until the scheduler replies.
	slotEndAttempts = 2
	// maxSlotAsks bounds the calls for one attempt: the schedulers of two back ends, and another call after a scheduler
	// that could not be reached.
	maxSlotAsks = 3
	// minSlotBound is the least time that a request may wait for a slot while its deadline permits.
	minSlotBound = 50 * time.Millisecond
	// slotWaitTTL is how long the wait told for a back end counts. It decreases to 0 meanwhile.
	slotWaitTTL = 500 * time.Millisecond
	// maxToldWaits is the number of told waits above which expired ones are removed.
	maxToldWaits = 256
	// slotLateLimit is how long a scheduler may leave all calls without a reply in time, though its probes are answered,
	// until it is replaced. A shorter limit would let two schedulers grant the same slots whenever one is busy.
	slotLateLimit = 2 * time.Second
	// slotWorkSmoothing is the weight of the newest request in a service's mean work.
	slotWorkSmoothing = 0.1
	// causeGrantExpired: the grant was too old right before the send.
	causeGrantExpired = "grant-expired"
	// Sources of a slot other than a scheduler's address, in logs.
	slotSourceSelf  = "self"
	slotSourceShare = "share"
)

// slotGrant is the permission to send a request to one back end of a small service.
type slotGrant struct {
	scheduler   string // address; "" for this gateway's own queue
	placementID string
	backEnd     string        // ID of the one whose queue was asked
	share       bool          // taken from this gateway's equal part of the slots
	sendBy      time.Duration // no send starts later; 0 for a slot of the equal part
}

// expired reports whether the grant is too old to send the request.
func (s *slotGrant) expired(now time.Duration) bool {
	return s != nil && s.sendBy > 0 && now >= s.sendBy
}

// slotTrace describes how the latest slot of a request was obtained, for logs.
type slotTrace struct {
	source string        // scheduler's address, slotSourceSelf or slotSourceShare; "" if none was asked for
	waited time.Duration // in queues, and for replies that did not come in time
}

// sharedSlots returns the slots of a service's ready back ends, and whether one scheduler for each back end assigns them:
// there are fewer of them than gateways. A back end whose slots are unknown may run any number of requests.
func (g *Gateway) sharedSlots(service *catalog.Service) (slots int, shared bool) {
	gateways := int(g.gatewayCount.Load())
	if service.Engine || gateways == 0 || !g.enabled(mechanism.SharedSlots) || !g.slots.exist() {
		return 0, false
	}
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	for _, row := range g.table.services[service.Name] {
		if !row.acceptsRequests() {
			continue
		}
		if row.entry.Slots < 0 || row.entry.Slots > slotqueue.MaxSlots {
			g.metrics.slotInvalid.Inc()
			return 0, false
		}
		slots += row.entry.Slots
		if row.entry.Slots == 0 || slots >= gateways {
			return 0, false
		}
	}
	return slots, slots > 0
}

// placeInSlot selects the back end of a request to a small service by the schedulers of two of its back ends. decided is
// false if the service is not one of these. A nil candidate then means that the request gets no slot.
func (x *exchange) placeInSlot(in selectionInput) (chosen *candidate, decided bool) {
	g := x.gateway
	slots, shared := g.sharedSlots(x.service)
	if !shared || in.software != nil { // schedulers of slots know no software versions
		return nil, false
	}
	in.trusted = g.trusted(g.now())
	x.slot = slotTrace{}
	options := x.awaitSlotOptions(in)
	if len(options) == 0 {
		return nil, true
	}
	ways, spare := options[:min(2, len(options))], options[min(2, len(options)):]
	var unreached []string       // schedulers that can't be asked
	var retryAfter time.Duration // shortest that a scheduler gave
	for asks := 0; asks < maxSlotAsks && len(ways) > 0 && x.ctx.Err() == nil; asks++ {
		if asks > 0 && !x.canStillAsk(retryAfter > 0) {
			break
		}
		address, found := "", false
		if len(unreached) < maxSchedulersAsked {
			address, found = g.slotScheduler(x.service.Name, ways[0].id, unreached)
		}
		if !found {
			if retryAfter > 0 {
				break
			}
			return x.placeInShare(slots, in), true
		}
		granted, outcome := x.askForSlot(address, ways[0].id, len(ways) > 1, in)
		switch outcome {
		case slotGranted:
			return granted, true
		case slotUnanswered:
			unreached = append(unreached, address)
			continue
		case slotNoReply:
			if len(unreached) > 0 { // most likely, this gateway is cut off
				unreached = append(unreached, address)
				continue
			}
		case slotRejected:
			if retryAfter == 0 || granted.retryAfter < retryAfter {
				retryAfter = granted.retryAfter
			}
		case slotUnusable:
			ways, spare = append(ways, spare[:min(1, len(spare))]...), spare[min(1, len(spare)):]
		}
		ways = ways[1:]
	}
	if x.ctx.Err() != nil {
		return nil, true
	}
	return x.slotRejection(retryAfter), true
}

// canStillAsk reports whether a request can use a slot of another back end: its deadline leaves the mean work and, after
// a rejection, its objective does.
func (x *exchange) canStillAsk(rejected bool) bool {
	done := x.gateway.now() + x.gateway.slots.meanWork(x.service.Name)
	if rejected && x.route.Objective > 0 && done >= x.arrived+x.route.Objective {
		return false
	}
	return done < x.deadline
}

// awaitSlotOptions returns the back ends to ask for, in order. If none is eligible for the first attempt, it waits up to
// backendWait for one.
func (x *exchange) awaitSlotOptions(in selectionInput) []slotOption {
	g := x.gateway
	for waitUntil := g.now() + backendWait; ; {
		changed := g.table.rosterChanged.Next()
		now := g.now()
		if options := g.slotOptions(now, in); len(options) > 0 {
			return g.slots.pick(now, g.settings.Zone, options, rand.IntN)
		}
		if now >= waitUntil || len(x.tried) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(min(slotPollInterval, waitUntil-now)):
		case <-x.ctx.Done():
			return nil
		}
	}
}

// slotOptions returns the eligible back ends of a small service.
func (g *Gateway) slotOptions(now time.Duration, in selectionInput) []slotOption {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	rows := g.table.services[in.service.Name]
	options := make([]slotOption, 0, len(rows))
	for _, row := range rows {
		if row.entry.Slots > 0 && g.eligible(now, row, in) {
			options = append(options, slotOption{id: row.entry.ID, zone: row.entry.Zone, slots: row.entry.Slots, avoided: g.avoided(now, row)})
		}
	}
	return options
}

// endSlot reports the end of a request in a slot.
func (g *Gateway) endSlot(grant *slotGrant, end wirePlacementEnd) {
	end.PlacementID, end.Gateway, end.BackEnd = grant.placementID, g.shortName, grant.backEnd
	switch {
	case grant.share:
		g.slots.releaseShare(end.Service)
	case grant.scheduler == "":
		g.slotDesk.end(g.now(), end.BackEnd, &end)
	default:
		g.slots.reportEnd(grant.scheduler, end)
	}
}

// endSlot reports the outcome of the attempt to whoever granted its slot.
func (a *attempt) endSlot() {
	g := a.exchange.gateway
	took := g.now() - a.startedAt
	if a.outcome == outcomeSuccess {
		g.slots.recordWork(a.exchange.service.Name, took)
	}
	g.endSlot(a.plan.slot, wirePlacementEnd{
		Service: a.exchange.service.Name, Outcome: a.outcome, Unreached: a.unreachable, DurationMS: took.Milliseconds(), FirstEventMS: a.timeToFirstEvent().Milliseconds(),
	})
}

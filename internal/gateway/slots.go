package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/events"
	"kitetiller/internal/gateway/slotqueue"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/transport"
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
	// maxSlotAsks bounds the calls for one attempt: two schedulers, and another call after a grant that could not be
	// used.
	maxSlotAsks = 3
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
	share       bool          // taken from this gateway's equal part of the slots
	sendBy      time.Duration // no send starts later; 0 for a slot of the equal part
}

// expired reports whether the grant is too old to send the request.
func (s *slotGrant) expired(now time.Duration) bool {
	return s != nil && s.sendBy > 0 && now >= s.sendBy
}

// slotTrace describes how the latest slot of a request was obtained, for logs.
type slotTrace struct {
	source string // scheduler's address, slotSourceSelf or slotSourceShare; "" if none was asked for
	waited time.Duration
}

// slotClient asks for slots of small services. It is safe for concurrent use.
type slotClient struct {
	transport *transport.Client
	endSlots  chan struct{} // one element per report in flight

	mu           sync.Mutex
	schedulers   []string                 // serving schedulers of all zones
	down         map[string]time.Duration // schedulers that failed to reply, with the time of the next probe
	shareRunning map[string]int           // requests in slots of the equal part, by service
	work         map[string]time.Duration // smoothed time that requests take, by service
}

func newSlotClient(client *transport.Client) *slotClient {
	return &slotClient{
		transport: client, endSlots: make(chan struct{}, maxPendingEnds), down: map[string]time.Duration{}, shareRunning: map[string]int{}, work: map[string]time.Duration{},
	}
}

// setSchedulers replaces the schedulers of the fleet.
func (c *slotClient) setSchedulers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedulers = addresses
	for address := range c.down {
		if !slices.Contains(addresses, address) {
			delete(c.down, address)
		}
	}
}

// exist reports whether control names schedulers of the fleet.
func (c *slotClient) exist() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.schedulers) > 0
}

// forService returns the schedulers that reply, in the order in which all gateways ask them for a service, and those
// that have to be probed.
func (c *slotClient) forService(now time.Duration, service string) (usable, probe []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.schedulers {
		probeAt, down := c.down[address]
		switch {
		case !down:
			usable = append(usable, address)
		case now >= probeAt:
			c.down[address] = now + schedulerRetryInterval
			probe = append(probe, address)
		}
	}
	key := xxhash.Sum64String(service)
	slices.SortFunc(usable, func(a, b string) int {
		return cmp.Or(cmp.Compare(mix(key^xxhash.Sum64String(b)), mix(key^xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
	return usable, probe
}

// setDown records that a scheduler did not reply.
func (c *slotClient) setDown(now time.Duration, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.schedulers, address) {
		c.down[address] = now + schedulerRetryInterval
	}
}

// setUp records that a scheduler replies.
func (c *slotClient) setUp(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, address)
}

// probe asks whether a scheduler replies, by reporting the end of no request.
func (c *slotClient) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, slotProbeTimeout)
	defer cancel()
	return c.transport.Post(ctx, address, pathEnd, wirePlacementEnd{}, nil) == nil
}

// probeInBackground probes schedulers that failed to reply, and uses them again if they do. Requests don't wait for it.
func (c *slotClient) probeInBackground(addresses []string) {
	for _, address := range addresses {
		go func() {
			if c.probe(context.Background(), address) {
				c.setUp(address)
			}
		}()
	}
}

// probeOthers probes the schedulers that count as replying, other than the given ones, after one has failed: a gateway
// that is cut off from a zone would otherwise wait for each scheduler of that zone in turn.
func (c *slotClient) probeOthers(now time.Duration, except ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.schedulers {
		if _, down := c.down[address]; down || slices.Contains(except, address) {
			continue
		}
		go func() {
			if !c.probe(context.Background(), address) {
				c.setDown(now, address)
			}
		}()
	}
}

// reportEnd reports the end of a request in the background, and again if there is no reply: until the request's
// time-out a lost report blocks one of few slots.
func (c *slotClient) reportEnd(address string, end wirePlacementEnd) {
	select {
	case c.endSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.endSlots }()
		for range slotEndAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), placementEndTimeout)
			err := c.transport.Post(ctx, address, pathEnd, end, nil)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// meanWork returns the mean time that a service's requests take.
func (c *slotClient) meanWork(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.work[service], slotqueue.InitialWork)
}

// recordWork records the time that a request took.
func (c *slotClient) recordWork(service string, took time.Duration) {
	mean := c.meanWork(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work[service] = mean + time.Duration(slotWorkSmoothing*float64(took-mean))
}

// acquireShare takes a slot of the equal part if fewer than limit are taken.
func (c *slotClient) acquireShare(service string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shareRunning[service] >= limit {
		return false
	}
	c.shareRunning[service]++
	return true
}

// releaseShare returns a slot of the equal part.
func (c *slotClient) releaseShare(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shareRunning[service]--; c.shareRunning[service] <= 0 {
		delete(c.shareRunning, service)
	}
}

// sharedSlots returns the slots of a service's ready back ends, and whether one scheduler assigns them: there are fewer
// of them than gateways. A back end whose slots are unknown may run any number of requests.
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

// placeInSlot selects the back end of a request to a small service by one scheduler of the fleet. decided is false if
// the service is not one of these. A nil candidate then means that the request gets no slot.
func (x *exchange) placeInSlot(in selectionInput) (chosen *candidate, decided bool) {
	g := x.gateway
	slots, shared := g.sharedSlots(x.service)
	if !shared {
		return nil, false
	}
	in.trusted = g.trusted(g.now())
	var unanswered, unusable []string // schedulers without a usable reply; back ends granted that this gateway may not send to
	for asks := 0; asks < maxSlotAsks && len(unanswered) < maxSchedulersAsked && x.ctx.Err() == nil; asks++ {
		address, found := g.slotScheduler(x.service.Name, unanswered)
		if !found {
			break
		}
		granted, outcome := x.askForSlot(address, in, unusable)
		switch outcome {
		case slotGranted, slotRejected:
			return granted.candidate, true
		case slotUnusable:
			unusable = append(unusable, granted.instance)
		case slotUnanswered:
			unanswered = append(unanswered, address)
		}
	}
	if x.ctx.Err() != nil {
		return nil, true
	}
	return x.placeInShare(slots, in), true
}

// slotOutcome classifies the result of asking one scheduler for a slot.
type slotOutcome uint8

const (
	slotUnanswered slotOutcome = iota // no usable reply; the next scheduler is to be asked
	slotGranted
	slotRejected // the candidate has the retry time, or is nil if the request may have run
	slotUnusable // this gateway must not send the request to the back end
	slotLate     // the grant was too old; the same scheduler is to be asked again
)

// grantedSlot is what a scheduler's reply means for a request.
type grantedSlot struct {
	candidate *candidate
	instance  string
}

// slotScheduler returns the scheduler to ask for a service, other than the given ones.
func (g *Gateway) slotScheduler(service string, unanswered []string) (address string, found bool) {
	usable, probe := g.slots.forService(g.now(), service)
	g.slots.probeInBackground(probe)
	index := slices.IndexFunc(usable, func(address string) bool { return !slices.Contains(unanswered, address) })
	if index < 0 {
		return "", false
	}
	return usable[index], true
}

// askForSlot asks one scheduler for a slot and waits until it is granted, rejected, or the bound has passed.
func (x *exchange) askForSlot(address string, in selectionInput, unusable []string) (grantedSlot, slotOutcome) {
	g := x.gateway
	x.slot = slotTrace{source: address}
	askedAt := g.now()
	wait := x.slotBound(askedAt, in)
	req := x.slotRequest(in, wait)
	req.Excluded = append(req.Excluded, unusable...)
	grant := slotGrant{scheduler: address, placementID: req.PlacementID}
	var reply *wirePlacementReply
	var err error
	if address == g.settings.PeerAddress {
		grant.scheduler = ""
		reply, err = g.askOwnDesk(x.ctx, req)
	} else {
		reply, err = g.postForSlot(x.ctx, address, req, wait+placementTimeout)
	}
	if err != nil {
		g.endSlot(&grant, wirePlacementEnd{Service: x.service.Name}) // it may have been granted, or still be waiting
		if x.ctx.Err() == nil {
			g.recordSlotTimeout(address, err)
		}
		return grantedSlot{}, slotUnanswered
	}
	return x.applySlotReply(reply, grant, askedAt, in)
}

// applySlotReply returns the candidate in a scheduler's reply.
func (x *exchange) applySlotReply(reply *wirePlacementReply, grant slotGrant, askedAt time.Duration, in selectionInput) (grantedSlot, slotOutcome) {
	g := x.gateway
	now := g.now()
	elapsed := now - askedAt
	waited := time.Duration(max(-1, min(reply.WaitedMS, maxWireMS))) * time.Millisecond
	if waited < 0 || waited > elapsed || reply.RetryAfterMS < 0 || reply.RetryAfterMS > maxWireMS {
		g.metrics.slotInvalid.Inc()
		waited = 0
	}
	source := cmp.Or(grant.scheduler, slotSourceSelf)
	switch {
	case reply.RetryAfterMS > 0 && reply.RetryAfterMS <= maxWireMS:
		x.slot = slotTrace{source: source, waited: waited}
		return grantedSlot{candidate: x.slotRejection(durationFromMS(reply.RetryAfterMS))}, slotRejected
	case reply.Instance == "":
		return grantedSlot{}, slotUnanswered // it doesn't know the service, or an older one has no back end for it
	case !reply.Slot: // a scheduler of an earlier build
		chosen := g.candidateFromReply(reply, schedulerPlacement{scheduler: grant.scheduler, placementID: grant.placementID}, in)
		if chosen == nil {
			return grantedSlot{}, slotUnanswered
		}
		return grantedSlot{candidate: chosen}, slotGranted
	}
	x.slot = slotTrace{source: source, waited: waited}
	g.observeSchedulerLimit(now, reply)
	grant.sendBy = askedAt + waited + maxGrantAge
	g.table.mutex.Lock()
	row := g.table.rows[reply.Instance]
	eligible := row != nil && g.eligible(now, row, in)
	g.table.mutex.Unlock()
	if !eligible || grant.expired(now) {
		g.endSlot(&grant, wirePlacementEnd{Service: x.service.Name})
		if eligible {
			return grantedSlot{}, slotLate
		}
		return grantedSlot{instance: reply.Instance}, slotUnusable
	}
	chosen := &candidate{row: row, slot: &grant}
	if grant.scheduler != "" {
		chosen.scheduled = &schedulerPlacement{scheduler: grant.scheduler, placementID: grant.placementID}
	}
	return grantedSlot{candidate: chosen}, slotGranted
}

// slotBound returns how long a request may wait for a slot: until its objective, or until its deadline less the mean
// work if it may not be rejected.
func (x *exchange) slotBound(now time.Duration, in selectionInput) time.Duration {
	bound := x.deadline - now - x.gateway.slots.meanWork(x.service.Name)
	if in.firstAttempt && x.route.Objective > 0 {
		bound = min(bound, x.arrived+x.route.Objective-now)
	}
	return max(0, bound)
}

// slotRequest returns the message that asks a scheduler for a slot.
func (x *exchange) slotRequest(in selectionInput, wait time.Duration) *wirePlacementRequest {
	g := x.gateway
	in.priority = max(0, in.priority)
	req := x.placementRequest(in)
	req.PlacementID = g.schedulers.newPlacementID(g.shortName)
	req.Excluded = g.table.slotExcluded(g.now(), x.service.Name, in.tried)
	waitMS := wait.Milliseconds()
	req.WaitMS, req.Zone, req.TimeoutMS = &waitMS, g.settings.Zone, max(1, req.TimeoutMS)
	return &req
}

// slotExcluded is like excluded, but keeps the back ends that this gateway merely avoids if no others are left.
func (t *table) slotExcluded(now time.Duration, service string, tried []*endpoint) []string {
	excluded := t.excluded(now, service, tried)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var strict []string
	others := false
	for _, row := range t.services[service] {
		others = others || row.acceptsRequests() && !slices.Contains(excluded, row.entry.ID)
		if slices.Contains(tried, row) || t.restrictionCause(now, row, false) != "" {
			strict = append(strict, row.entry.ID)
		}
	}
	if others {
		return excluded
	}
	return strict
}

// slotRejection returns the candidate that rejects a request with a retry time, or nil if the request may have run: it
// then ends like any other that finds no back end.
func (x *exchange) slotRejection(retryAfter time.Duration) *candidate {
	if x.mayHaveRun || x.headRelayed {
		return nil
	}
	return &candidate{retryAfter: max(minRetryAfter, retryAfter)}
}

// postForSlot asks another gateway for a slot. The call fails before its time if that gateway turns out not to be
// reachable.
func (g *Gateway) postForSlot(ctx context.Context, address string, req *wirePlacementRequest, timeout time.Duration) (*wirePlacementReply, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	probe := time.AfterFunc(slotProbeDelay, func() {
		if !g.slots.probe(call, address) {
			cancel()
		}
	})
	defer probe.Stop()
	var reply wirePlacementReply
	err := g.slots.transport.Post(call, address, pathPlace, req, &reply)
	return &reply, err
}

// askOwnDesk asks this gateway's own queue for a slot.
func (g *Gateway) askOwnDesk(ctx context.Context, req *wirePlacementRequest) (*wirePlacementReply, error) {
	if !g.servesSlots(req) {
		return &wirePlacementReply{}, nil
	}
	answered := make(chan wirePlacementReply, 1)
	g.slotDesk.ask(g.now(), req, func(reply wirePlacementReply) { answered <- reply })
	select {
	case reply := <-answered:
		return &reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordSlotTimeout records and logs that a scheduler did not answer.
func (g *Gateway) recordSlotTimeout(address string, err error) {
	now := g.now()
	g.slots.setDown(now, address)
	g.slots.probeOthers(now, address, g.settings.PeerAddress)
	g.metrics.schedulerFailures.Inc()
	g.log.info(events.SchedulerTimeout, zap.String("address", address), zap.String(events.FieldCause, err.Error()))
}

// placeInShare selects a back end within this gateway's equal part of the slots, for when no scheduler replies. The
// back end is chosen by the gateway's own hash, so that gateways spread over all of them without communicating.
func (x *exchange) placeInShare(slots int, in selectionInput) *candidate {
	g := x.gateway
	x.slot = slotTrace{source: slotSourceShare}
	limit := max(1, slots/max(1, int(g.gatewayCount.Load())))
	if !g.slots.acquireShare(x.service.Name, limit) {
		return x.slotRejection(g.slots.meanWork(x.service.Name))
	}
	row := g.shareBackEnd(in)
	if row == nil {
		g.slots.releaseShare(x.service.Name)
		return nil
	}
	return &candidate{row: row, slot: &slotGrant{share: true}}
}

// shareBackEnd returns the eligible back end that this gateway's hash selects, or nil. One that is avoided is selected
// only if there is no other.
func (g *Gateway) shareBackEnd(in selectionInput) *endpoint {
	now := g.now()
	key := xxhash.Sum64String(g.settings.Name)
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	var best *endpoint
	for _, row := range g.table.services[in.service.Name] {
		if !g.eligible(now, row, in) {
			continue
		}
		if best == nil || cmp.Or(compareFlags(g.avoided(now, row), g.avoided(now, best)), cmp.Compare(mix(key^best.hash), mix(key^row.hash))) < 0 {
			best = row
		}
	}
	return best
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// endSlot reports the end of a request in a slot.
func (g *Gateway) endSlot(grant *slotGrant, end wirePlacementEnd) {
	end.PlacementID, end.Gateway = grant.placementID, g.shortName
	switch {
	case grant.share:
		g.slots.releaseShare(end.Service)
	case grant.scheduler == "":
		g.slotDesk.end(g.now(), end.Service, &end)
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

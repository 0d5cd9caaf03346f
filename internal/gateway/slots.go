package gateway

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
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

var (
	errSlotLate        = errors.New("no reply within the bound of the call")
	errSlotProbeFailed = errors.New("no reply to the probe")
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

// slotClient asks for slots of small services. It is safe for concurrent use.
type slotClient struct {
	transport *transport.Client
	endSlots  chan struct{} // one element per report in flight

	mu           sync.Mutex
	schedulers   []string                 // serving schedulers of all zones
	down         map[string]time.Duration // schedulers that failed to reply, with the time of the next probe
	shareRunning map[string]int           // requests in slots of the equal part, by service
	work         map[string]time.Duration // smoothed time that requests take, by service
	waits        map[string]toldWait      // by back end
	lateSince    map[string]time.Duration // schedulers that have replied late since then, and not in time
}

// toldWait is the predicted wait of a new request at a back end, as told by its scheduler.
type toldWait struct{ wait, at time.Duration }

func newSlotClient(client *transport.Client) *slotClient {
	return &slotClient{
		transport: client, endSlots: make(chan struct{}, maxPendingEnds), down: map[string]time.Duration{}, shareRunning: map[string]int{}, work: map[string]time.Duration{},
		waits: map[string]toldWait{}, lateSince: map[string]time.Duration{},
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
	for address := range c.lateSince {
		if !slices.Contains(addresses, address) {
			delete(c.lateSince, address)
		}
	}
}

// exist reports whether control names schedulers of the fleet.
func (c *slotClient) exist() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.schedulers) > 0
}

// forBackEnd returns the schedulers that reply, in the order in which all gateways ask them for a back end of a service,
// and those that have to be probed.
func (c *slotClient) forBackEnd(now time.Duration, service, backEnd string) (usable, probe []string) {
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
	key := mix(xxhash.Sum64String(service)) ^ xxhash.Sum64String(backEnd)
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

// recordReply records that a scheduler replied to a call in time.
func (c *slotClient) recordReply(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lateSince, address)
}

// recordLate records that a scheduler did not reply to a call in time. It reports whether it is the first call since the
// latest reply in time, and whether the scheduler has to be replaced.
func (c *slotClient) recordLate(now time.Duration, address string) (first, replace bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, known := c.lateSince[address]
	if !known {
		c.lateSince[address] = now
		return true, false
	}
	if now-since < slotLateLimit {
		return false, false
	}
	delete(c.lateSince, address)
	return false, true
}

// recordWait records the wait that a scheduler told for a back end.
func (c *slotClient) recordWait(now time.Duration, backEnd string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waits) >= maxToldWaits {
		maps.DeleteFunc(c.waits, func(_ string, told toldWait) bool { return now >= told.at+slotWaitTTL })
	}
	c.waits[backEnd] = toldWait{wait: wait, at: now}
}

// slotOption is a back end whose slots a request may ask for.
type slotOption struct {
	id, zone string
	slots    int
	avoided  bool
}

// pick puts two random options first, weighted by their slots: the one with the shorter wait, on ties the one in the
// given zone, before the other. Avoided options are left out unless all are avoided. intN returns a random number below
// its argument. The given slice is modified.
func (c *slotClient) pick(now time.Duration, zone string, options []slotOption, intN func(int) int) []slotOption {
	if slices.ContainsFunc(options, func(o slotOption) bool { return !o.avoided }) {
		options = slices.DeleteFunc(options, func(o slotOption) bool { return o.avoided })
	}
	picked := options[:min(2, len(options))]
	for i := range picked {
		sum := 0
		for _, o := range options[i:] {
			sum += o.slots
		}
		drawn, j := intN(sum), i
		for ; drawn >= options[j].slots; j++ {
			drawn -= options[j].slots
		}
		options[i], options[j] = options[j], options[i]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(picked, func(a, b slotOption) int {
		return cmp.Or(cmp.Compare(c.expectedWait(now, a.id), c.expectedWait(now, b.id)), compareFlags(a.zone != zone, b.zone != zone))
	})
	return options
}

// expectedWait returns the wait told for a back end, in milliseconds. It decreases to 0 over slotWaitTTL. The caller
// holds the mutex.
func (c *slotClient) expectedWait(now time.Duration, backEnd string) int64 {
	told := c.waits[backEnd]
	left := max(0, min(slotWaitTTL, told.at+slotWaitTTL-now))
	return int64(float64(told.wait.Milliseconds()) * float64(left) / float64(slotWaitTTL))
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
	if !shared {
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

// slotOutcome classifies the result of asking one scheduler for a slot.
type slotOutcome uint8

const (
	slotUnanswered slotOutcome = iota // the scheduler can't be asked; the next one for the back end is to be asked
	slotGranted
	slotRejected // the candidate has the retry time
	slotUnusable // the request must not be sent to the back end, as the scheduler or this gateway knows
	slotLate     // the grant came too late; another back end is to be asked for
	slotNoReply  // the scheduler did not reply within the bound, but may be reachable; another back end is to be asked for
)

// slotScheduler returns the scheduler to ask for a back end, other than the given ones.
func (g *Gateway) slotScheduler(service, backEnd string, unreached []string) (address string, found bool) {
	usable, probe := g.slots.forBackEnd(g.now(), service, backEnd)
	g.slots.probeInBackground(probe)
	index := slices.IndexFunc(usable, func(address string) bool { return !slices.Contains(unreached, address) })
	if index < 0 {
		return "", false
	}
	return usable[index], true
}

// askForSlot asks the scheduler of a back end for a slot and waits until it is granted, rejected, or the bound has passed.
// alternative means that another back end can be asked for afterwards.
func (x *exchange) askForSlot(address, backEnd string, alternative bool, in selectionInput) (*candidate, slotOutcome) {
	g := x.gateway
	x.slot.source = address
	askedAt := g.now()
	wait := x.slotBound(askedAt, alternative)
	req := x.slotRequest(in, backEnd, wait)
	grant := slotGrant{scheduler: address, placementID: req.PlacementID, backEnd: backEnd}
	var reply *wirePlacementReply
	var err error
	if address == g.settings.PeerAddress {
		grant.scheduler = ""
		reply, err = g.askOwnDesk(x.ctx, req, wait+placementTimeout)
	} else {
		reply, err = g.postForSlot(x.ctx, address, req, wait+placementTimeout)
	}
	if err == nil {
		g.slots.recordReply(address)
		return x.applySlotReply(reply, grant, askedAt, in)
	}
	g.endSlot(&grant, wirePlacementEnd{Service: x.service.Name}) // it may have been granted, or still be waiting
	switch {
	case x.ctx.Err() != nil:
	case errors.Is(err, errSlotLate):
		now := g.now()
		x.slot.waited += now - askedAt
		g.slots.recordWait(now, backEnd, now-askedAt)
		g.recordSlotLate(now, address)
		return nil, slotNoReply
	default:
		g.recordSlotTimeout(address, err)
	}
	return nil, slotUnanswered
}

// applySlotReply returns the candidate in a scheduler's reply.
func (x *exchange) applySlotReply(reply *wirePlacementReply, grant slotGrant, askedAt time.Duration, in selectionInput) (*candidate, slotOutcome) {
	g := x.gateway
	now := g.now()
	elapsed := now - askedAt
	waited := time.Duration(max(-1, min(reply.WaitedMS, maxWireMS))) * time.Millisecond
	if waited < 0 || waited > elapsed || reply.RetryAfterMS < 0 || reply.RetryAfterMS > maxWireMS {
		g.metrics.slotInvalid.Inc()
		waited = 0
	}
	switch {
	case reply.NextWaitMS < 0 || reply.NextWaitMS > maxWireMS:
		g.metrics.slotInvalid.Inc()
	case reply.Slot:
		g.slots.recordWait(now, grant.backEnd, time.Duration(reply.NextWaitMS)*time.Millisecond)
	}
	source := cmp.Or(grant.scheduler, slotSourceSelf)
	switch {
	case reply.RetryAfterMS > 0 && reply.RetryAfterMS <= maxWireMS:
		x.slot = slotTrace{source: source, waited: x.slot.waited + waited}
		return &candidate{retryAfter: max(minRetryAfter, durationFromMS(reply.RetryAfterMS))}, slotRejected
	case reply.Instance == "" && reply.Slot:
		return nil, slotUnusable // the back end may get no requests
	case reply.Instance == "":
		return nil, slotUnanswered // it doesn't know the service, or an older one has no back end for it
	case !reply.Slot: // a scheduler of an earlier build
		chosen := g.candidateFromReply(reply, schedulerPlacement{scheduler: grant.scheduler, placementID: grant.placementID}, in)
		if chosen == nil {
			return nil, slotUnanswered
		}
		return chosen, slotGranted
	}
	x.slot = slotTrace{source: source, waited: x.slot.waited + waited}
	g.observeSchedulerLimit(now, reply)
	grant.sendBy = askedAt + waited + maxGrantAge
	g.table.mutex.Lock()
	row := g.table.rows[reply.Instance]
	eligible := row != nil && g.eligible(now, row, in)
	g.table.mutex.Unlock()
	if !eligible || grant.expired(now) {
		g.endSlot(&grant, wirePlacementEnd{Service: x.service.Name})
		if eligible {
			g.slots.recordWait(now, grant.backEnd, elapsed)
			return nil, slotLate
		}
		return nil, slotUnusable
	}
	chosen := &candidate{row: row, slot: &grant}
	if grant.scheduler != "" {
		chosen.scheduled = &schedulerPlacement{scheduler: grant.scheduler, placementID: grant.placementID}
	}
	return chosen, slotGranted
}

// slotBound returns how long a request may wait for a slot: until its objective less the mean work, though at least
// minSlotBound, and no longer than its deadline less the mean work. While there is an alternative it is the mean work at
// most: the wait told for the back end is often outdated, and the other one may have a free slot.
func (x *exchange) slotBound(now time.Duration, alternative bool) time.Duration {
	work := x.gateway.slots.meanWork(x.service.Name)
	sendBy := now + work
	bound := x.deadline - sendBy
	if alternative {
		bound = min(bound, max(minSlotBound, work))
	}
	if x.route.Objective > 0 {
		bound = min(bound, max(minSlotBound, x.arrived+x.route.Objective-sendBy))
	}
	return max(0, bound)
}

// slotRequest returns the message that asks a scheduler for a slot of a back end. The excluded back ends are for schedulers
// of earlier builds, which choose the back end.
func (x *exchange) slotRequest(in selectionInput, backEnd string, wait time.Duration) *wirePlacementRequest {
	g := x.gateway
	in.priority = max(0, in.priority)
	req := x.placementRequest(in)
	req.PlacementID = g.schedulers.newPlacementID(g.shortName)
	req.Excluded = nil
	for _, row := range in.tried {
		req.Excluded = append(req.Excluded, row.entry.ID)
	}
	waitMS := wait.Milliseconds()
	req.WaitMS, req.Zone, req.BackEnd, req.TimeoutMS = &waitMS, g.settings.Zone, backEnd, max(1, req.TimeoutMS)
	return &req
}

// slotRejection returns the candidate that rejects a request with a retry time, or nil if the request may have run: it
// then ends like any other that finds no back end.
func (x *exchange) slotRejection(retryAfter time.Duration) *candidate {
	if x.mayHaveRun || x.headRelayed {
		return nil
	}
	return &candidate{retryAfter: max(minRetryAfter, retryAfter)}
}

// postForSlot asks another gateway for a slot. The error is errSlotLate if that gateway did not reply within the timeout.
// The call fails earlier if the gateway turns out not to be reachable.
func (g *Gateway) postForSlot(ctx context.Context, address string, req *wirePlacementRequest, timeout time.Duration) (*wirePlacementReply, error) {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	late := time.AfterFunc(timeout, func() { cancel(errSlotLate) })
	defer late.Stop()
	probe := time.AfterFunc(slotProbeDelay, func() {
		// The probe goes on when the call ends without a reply, which tells whether the scheduler is busy or cut off.
		if g.slots.probe(context.Background(), address) {
			return
		}
		cancel(errSlotProbeFailed)
		if errors.Is(context.Cause(call), errSlotLate) {
			g.recordSlotTimeout(address, errSlotProbeFailed)
		}
	})
	defer probe.Stop()
	var reply wirePlacementReply
	err := g.slots.transport.Post(call, address, pathPlace, req, &reply)
	if err != nil && call.Err() != nil {
		err = context.Cause(call)
	}
	return &reply, err
}

// askOwnDesk asks this gateway's own queue for a slot. The error is errSlotLate if it did not reply within the timeout.
func (g *Gateway) askOwnDesk(ctx context.Context, req *wirePlacementRequest, timeout time.Duration) (*wirePlacementReply, error) {
	if !g.servesSlots(req) {
		return &wirePlacementReply{}, nil
	}
	answered := make(chan wirePlacementReply, 1)
	g.slotDesk.ask(g.now(), req, func(reply wirePlacementReply) { answered <- reply })
	late := time.NewTimer(timeout)
	defer late.Stop()
	select {
	case reply := <-answered:
		return &reply, nil
	case <-late.C:
		return nil, errSlotLate
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordSlotLate records that a scheduler did not reply in time although it may be reachable. It is replaced only if
// that lasts: another scheduler would not know what runs in the slots.
func (g *Gateway) recordSlotLate(now time.Duration, address string) {
	first, replace := g.slots.recordLate(now, address)
	switch {
	case replace:
		g.recordSlotTimeout(address, errSlotLate)
		return
	case first:
		g.log.info(events.SchedulerTimeout, zap.String("address", address), zap.String(events.FieldCause, errSlotLate.Error()))
	}
	g.metrics.schedulerFailures.Inc()
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
	x.slot.source = slotSourceShare
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

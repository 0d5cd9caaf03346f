package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

var (
	errSlotLate        = errors.New("no reply within the bound of the call")
	errSlotProbeFailed = errors.New("no reply to the probe")
)

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
	waited := signedDurationFromMS(reply.WaitedMS)
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
	if x.mayHaveRun || x.headRelayed.Load() {
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

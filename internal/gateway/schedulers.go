package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/prefix"
	"kitetiller/internal/transport"
)

const (
	// placementTimeout bounds the wait for a scheduler's reply. It is a multiple of the reply time of a busy scheduler.
	// After maxSchedulersAsked schedulers have failed to reply, the gateway places the request itself.
	placementTimeout   = 60 * time.Millisecond
	maxSchedulersAsked = 2
	// schedulerRetryInterval is how long a scheduler that did not reply is skipped.
	schedulerRetryInterval = 500 * time.Millisecond
	// placementEndTimeout bounds the report of one placement's end, and maxPendingEnds the number of concurrent
	// reports.
	placementEndTimeout = 250 * time.Millisecond
	maxPendingEnds      = 256
)

// schedulers are the gateways that place requests for this one. While there are none, the gateway places its requests
// itself. It is safe for concurrent use.
type schedulers struct {
	client   *transport.Client
	endSlots chan struct{} // one element per report in flight

	mu              sync.Mutex
	addresses       []string
	failedAt        map[string]time.Duration // when each last failed to reply
	lastPlacementID uint64
}

func newSchedulers(client *transport.Client) *schedulers {
	return &schedulers{client: client, endSlots: make(chan struct{}, maxPendingEnds), failedAt: map[string]time.Duration{}}
}

// setAddresses replaces the schedulers.
func (s *schedulers) setAddresses(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	for address := range s.failedAt {
		if !slices.Contains(addresses, address) {
			delete(s.failedAt, address)
		}
	}
}

// forPrompt returns the schedulers to ask for a prompt, best first. Prompts with the same shared parts go to the same
// scheduler of the zone while it replies, so that it knows of all requests which can use those parts.
func (s *schedulers) forPrompt(now time.Duration, parts []prefix.Part) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := xxhash.Sum64String(prefix.AffinityKey(parts))
	var usable []string
	for _, address := range s.addresses {
		if lastFailure, known := s.failedAt[address]; !known || now > lastFailure+schedulerRetryInterval {
			usable = append(usable, address)
		}
	}
	slices.SortFunc(usable, func(a, b string) int {
		return cmp.Compare(mix(key^xxhash.Sum64String(b)), mix(key^xxhash.Sum64String(a)))
	})
	return usable[:min(len(usable), maxSchedulersAsked)]
}

// recordFailure records that a scheduler did not reply.
func (s *schedulers) recordFailure(now time.Duration, address string) {
	s.mu.Lock()
	s.failedAt[address] = now
	s.mu.Unlock()
}

// newPlacementID returns a placement ID that is unique in the fleet.
func (s *schedulers) newPlacementID(gateway string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPlacementID++
	return gateway + "-" + strconv.FormatUint(s.lastPlacementID, saltBase)
}

// reportEnd reports the end of a placement to a scheduler in the background. A report that fails or exceeds
// maxPendingEnds is dropped; the placement then expires at the scheduler. That of a first event is dropped if more than
// half of maxPendingEnds are in flight, since its loss costs less than that of an end.
func (s *schedulers) reportEnd(address string, end wirePlacementEnd) {
	if end.Running && len(s.endSlots) > maxPendingEnds/2 {
		return
	}
	select {
	case s.endSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.endSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), placementEndTimeout)
		defer cancel()
		_ = s.client.Post(ctx, address, pathEnd, end, nil) // best effort
	}()
}

// schedulerPlacement identifies a placement that a scheduler made.
type schedulerPlacement struct {
	scheduler   string // address
	placementID string
	// reportFirstEvent is set if the scheduler asked for a report of the first event.
	reportFirstEvent bool
}

// requestPlacement returns the candidate that a scheduler chose, or nil if there is no scheduler to ask or none has a
// back end available.
func (x *exchange) requestPlacement(in selectionInput) *candidate {
	g := x.gateway
	if !in.trusted {
		return nil
	}
	addresses := g.schedulers.forPrompt(g.now(), x.call.Parts)
	if len(addresses) == 0 {
		return nil
	}
	req := x.placementRequest(in)
	for _, address := range addresses {
		placed := schedulerPlacement{scheduler: address, placementID: g.schedulers.newPlacementID(g.shortName)}
		req.PlacementID = placed.placementID
		var reply wirePlacementReply
		ctx, cancel := context.WithTimeout(x.ctx, placementTimeout)
		err := g.schedulers.client.Post(ctx, address, pathPlace, req, &reply)
		cancel()
		if err == nil {
			return g.candidateFromReply(&reply, placed, in)
		}
		if x.ctx.Err() != nil {
			return nil
		}
		g.recordNoReply(address, err)
		g.schedulers.reportEnd(address, wirePlacementEnd{PlacementID: placed.placementID, Gateway: g.shortName}) // the request may have been placed
	}
	return nil
}

// recordNoReply records and logs that a scheduler did not reply.
func (g *Gateway) recordNoReply(address string, err error) {
	g.schedulers.recordFailure(g.now(), address)
	g.metrics.schedulerFailures.Inc()
	g.log.info(events.SchedulerTimeout, zap.String("address", address), zap.String(events.FieldCause, err.Error()))
}

// placementRequest returns the message that asks schedulers for a placement.
func (x *exchange) placementRequest(in selectionInput) wirePlacementRequest {
	g := x.gateway
	req := wirePlacementRequest{
		Gateway: g.shortName, Service: x.service.Name, Model: x.call.Model, PromptTokens: x.call.PromptTokens,
		Excluded: g.table.excluded(g.now(), x.service.Name, in.tried), TimeoutMS: (x.deadline - g.now()).Milliseconds(),
	}
	req.FirstAttempt, req.Priority, req.LatencyTargetMS = in.firstAttempt, in.priority, in.latencyTarget.Milliseconds()
	if in.software != nil {
		req.Software = in.software.Version().Name()
	}
	req.Tenant, req.ReportsFirstEvent = in.tenantName, in.reportsFirstEvent
	req.IsolatedTenant, req.SharingEpoch = in.namespace.isolated, in.namespace.epoch
	req.Parts, req.PartTokens = partsToWire(x.call.Parts)
	return req
}

// excluded returns the back ends that the request was sent to already, and those that this gateway avoids or whose
// signals exclude them.
func (t *table) excluded(now time.Duration, service string, tried []*endpoint) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for _, row := range t.services[service] {
		if now < row.avoidUntil || slices.Contains(tried, row) || t.restrictionCause(now, row, false) != "" {
			ids = append(ids, row.entry.ID)
		}
	}
	return ids
}

// candidateFromReply returns the candidate in a scheduler's reply, or nil if this gateway may not send there: its own
// view of the back end and its weights takes precedence over the scheduler's.
func (g *Gateway) candidateFromReply(reply *wirePlacementReply, placed schedulerPlacement, in selectionInput) *candidate {
	if reply.Instance == "" {
		return nil
	}
	if reply.RetryAfterMS > 0 {
		return &candidate{wait: reply.WaitMS, queueWait: reply.QueueMS, pause: reply.PauseMS, slowness: reply.Slowness, retryAfter: durationFromMS(reply.RetryAfterMS), reserved: reply.reserved()}
	}
	placed.reportFirstEvent = reply.ReportFirstEvent
	now := g.now()
	g.observeSchedulerLimit(now, reply)
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	chosen := &candidate{
		row: g.table.rows[reply.Instance], version: reply.Version, namespace: in.namespace, salt: in.namespace.salt(reply.Version), wait: reply.WaitMS,
		uncached: max(0, reply.Uncached), recomputed: max(0, reply.Recomputed), recomputeReason: recomputeCause(reply.RecomputeReason), fetchFrom: reply.FetchFrom, saveTo: reply.SaveTo, reserved: reply.reserved(), scheduled: &placed,
		queueWait: reply.QueueMS, pause: reply.PauseMS, slowness: reply.Slowness,
	}
	chosen.copySource, chosen.storeGap = copySourceFromWire(reply.CopySource), storeGapFromWire(reply.StoreGap)
	if reply.Version == 0 {
		chosen.salt = uniqueSalt()
	}
	if chosen.row == nil || !g.eligible(now, chosen.row, in) || g.scoredTooLate(now, chosen, in) {
		g.schedulers.reportEnd(placed.scheduler, wirePlacementEnd{PlacementID: placed.placementID, Gateway: g.shortName})
		return nil
	}
	return chosen
}

// timeToFirstEvent returns the time from the start of the attempt to the first event, or 0 if there was none.
func (a *attempt) timeToFirstEvent() time.Duration {
	if !a.streamStarted.Load() {
		return 0
	}
	return max(0, a.exchange.firstEventAt-a.startedAt)
}

// timeToOwnFirstEvent returns the time from the start of the attempt to its own first event, or 0 if there was none.
// Unlike timeToFirstEvent it takes effect for resumed streams, whose first event came in an earlier attempt.
func (a *attempt) timeToOwnFirstEvent() time.Duration {
	if a.firstEventAt == 0 {
		return 0
	}
	return a.firstEventAt - a.startedAt
}

// reportEnd reports the outcome of the attempt to the scheduler that placed it.
func (a *attempt) reportEnd() {
	if a.plan.slot != nil {
		a.endSlot()
		return
	}
	placed := a.plan.scheduled
	if placed == nil {
		return
	}
	g := a.exchange.gateway
	end := wirePlacementEnd{
		FirstEventMS: a.timeToFirstEvent().Milliseconds(),
		PlacementID:  placed.placementID, Gateway: g.shortName, Outcome: a.outcome, Unreached: a.unreachable, DurationMS: (g.now() - a.startedAt).Milliseconds(),
	}
	if placed.reportFirstEvent {
		end.FirstEventMS, end.PauseMS = a.timeToOwnFirstEvent().Milliseconds(), a.longestGap.Milliseconds()
	}
	g.schedulers.reportEnd(placed.scheduler, end)
}

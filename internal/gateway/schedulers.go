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
	// placementTimeout is how long a scheduler may take to answer: some times what it takes while it is busy, and little beside
	// what a request may take. askMost schedulers are asked for one request before the gateway places it by itself.
	placementTimeout   = 60 * time.Millisecond
	maxSchedulersAsked = 2
	// schedulerRetryInterval is how long a scheduler that gave no answer is left alone.
	schedulerRetryInterval = 500 * time.Millisecond
	// placementEndTimeout is how long a scheduler may take to take an end, and endsAtOnce bounds how many are being told.
	placementEndTimeout = 250 * time.Millisecond
	maxPendingEnds      = 256
)

// schedulers are the gateways that place requests for this one. Their zero number means that it places its own. It is safe for
// concurrent use.
type schedulers struct {
	client   *transport.Client
	endSlots chan struct{} // a place for each end that is being told

	mu              sync.Mutex
	addresses       []string
	failedAt        map[string]time.Duration // when one last gave no answer
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

// forPrompt returns the schedulers to ask for a prompt, best first: the same one for the same shared parts while it answers, so
// that one sees all of a prompt's requests in a zone.
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

// recordFailure notes that a scheduler gave no answer.
func (s *schedulers) recordFailure(now time.Duration, address string) {
	s.mu.Lock()
	s.failedAt[address] = now
	s.mu.Unlock()
}

// newPlacementID returns a new name of a placement.
func (s *schedulers) newPlacementID(nick string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPlacementID++
	return nick + "-" + strconv.FormatUint(s.lastPlacementID, saltBase)
}

// reportEnd tells a scheduler of an end, beside what the caller does. One that cannot be told is forgotten there by its time.
func (s *schedulers) reportEnd(address string, end wirePlacementEnd) {
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

// schedulerPlacement is a placement that a scheduler made.
type schedulerPlacement struct {
	scheduler   string // its address
	placementID string
}

// requestPlacement returns where a scheduler places the request, or nil when none is to be asked or none knows a back end.
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
		placed := schedulerPlacement{scheduler: address, placementID: g.schedulers.newPlacementID(g.nick)}
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
		g.schedulers.reportEnd(address, wirePlacementEnd{PlacementID: placed.placementID, Gateway: g.nick}) // it may have placed the request
	}
	return nil
}

// recordNoReply notes and logs that a scheduler gave no answer.
func (g *Gateway) recordNoReply(address string, err error) {
	g.schedulers.recordFailure(g.now(), address)
	g.metrics.unasked.Inc()
	g.log.note(events.SchedulerSilent, zap.String("address", address), zap.String(events.FieldCause, err.Error()))
}

// placementRequest returns what schedulers are asked.
func (x *exchange) placementRequest(in selectionInput) wirePlacementRequest {
	g := x.gateway
	req := wirePlacementRequest{
		Gateway: g.nick, Service: x.service.Name, Model: x.call.Model, PromptTokens: x.call.PromptTokens,
		Excluded: g.table.excluded(g.now(), x.service.Name, in.tried), TimeoutMS: (x.deadline - g.now()).Milliseconds(),
	}
	req.FirstAttempt, req.Priority, req.LatencyTargetMS = in.firstAttempt, in.priority, in.latencyTarget.Milliseconds()
	if in.tenant != nil && in.tenant.Isolated {
		req.IsolatedTenant = in.tenant.Name
	}
	req.Parts, req.PartTokens = wireParts(x.call.Parts)
	return req
}

// excluded returns the back ends that a request was sent to already, and those that this gateway avoids.
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

// candidateFromReply returns what a scheduler's answer means here, or nil if this gateway may not send there: what it was told
// itself of a back end and its weights decides.
func (g *Gateway) candidateFromReply(reply *wirePlacementReply, placed schedulerPlacement, in selectionInput) *candidate {
	if reply.Instance == "" {
		return nil
	}
	if reply.RetryAfterMS > 0 {
		return &candidate{wait: reply.WaitMS, retryAfter: wireTime(reply.RetryAfterMS)}
	}
	now := g.now()
	g.observeSchedulerLimit(now, reply)
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	chosen := &candidate{
		row: g.table.rows[reply.Instance], version: reply.Version, salt: cacheSalt(reply.Version, in.tenant), wait: reply.WaitMS,
		uncached: max(0, reply.Uncached), recomputed: max(0, reply.Recomputed), recomputeReason: recomputeCause(reply.RecomputeReason), fetchFrom: reply.FetchFrom, saveTo: reply.SaveTo, scheduled: &placed,
	}
	if reply.Version == 0 {
		chosen.salt = uniqueSalt()
	}
	if chosen.row == nil || !g.eligible(now, chosen.row, in) || g.scoredTooLate(now, chosen, in) {
		g.schedulers.reportEnd(placed.scheduler, wirePlacementEnd{PlacementID: placed.placementID, Gateway: g.nick})
		return nil
	}
	return chosen
}

// timeToFirstEvent returns how long after the send the timeToFirstEvent event came, or 0.
func (a *attempt) timeToFirstEvent() time.Duration {
	if !a.begun.Load() {
		return 0
	}
	return max(0, a.exchange.firstAt-a.began)
}

// reportEnd tells the scheduler that placed an attempt how it ended.
func (a *attempt) reportEnd() {
	placed := a.plan.scheduled
	if placed == nil {
		return
	}
	g := a.exchange.gateway
	g.schedulers.reportEnd(placed.scheduler, wirePlacementEnd{
		FirstEventMS: a.timeToFirstEvent().Milliseconds(),
		PlacementID:  placed.placementID, Gateway: g.nick, Outcome: a.grade, Unreached: a.noWay, DurationMS: (g.now() - a.began).Milliseconds(),
	})
}

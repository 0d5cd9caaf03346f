package control

import (
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/allowance"
	"kitetiller/internal/events"
	"kitetiller/internal/quota"
)

// gatewaySilenceThreshold is the silence after which a gateway is taken to be out of touch, so that it uses its equal part of what is
// limited: some times the pause between its questions.
const gatewaySilenceThreshold = 700 * time.Millisecond

// lending is what a leader lends of limited resources; each leadership begins it anew.
type lending struct {
	allocator *allowance.Allocator
	revision  uint64 // of the document that the limits were taken from
	sweptAt   time.Duration
}

// advertisedSweepInterval is how often accounts are looked through that nobody asks for any more; there may be one for each back end.
const advertisedSweepInterval = time.Second

// allocateShares answers a gateway's question for amounts. Only a leader with a lease gets here, so that nobody else lends.
func (r *Replica) allocateShares(now time.Duration, client uint64, request allowance.Request) {
	r.updateLimits(now)
	reply := r.leader.lending.allocator.Allocate(now, request)
	r.reply(client, Response{Kind: ResponseOK, Lent: &reply})
}

// updateLimits follows the document in force, and keeps back the parts of gateways that are out of touch.
func (r *Replica) updateLimits(now time.Duration) {
	lending := &r.leader.lending
	if document := r.machine.catalog.Document(); document.Revision != lending.revision {
		lending.revision = document.Revision
		lending.allocator.SetLimits(now, quota.Limits(document, r.config.Quota))
	}
	lending.allocator.Withhold(now, r.silentFraction(now))
	if now >= lending.sweptAt+advertisedSweepInterval {
		lending.sweptAt = now
		lending.allocator.SweepAdvertised(now)
	}
}

// silentFraction returns the part of the gateways that are silent but may still trust their view: they use their equal parts
// of what is limited, on their own.
func (r *Replica) silentFraction(now time.Duration) float64 {
	silent, all := r.trustingGateways(now)
	if silent == 0 {
		return 0
	}
	return float64(silent) / float64(all)
}

// gatewayCounts are the gateways that may still trust their view, counted now and then: a tick or a reply would otherwise cost the more the
// more there are.
type gatewayCounts struct {
	countedAt   time.Duration
	counted     bool
	silent, all int
}

// gatewayCountInterval is how often they are counted; silence is judged by 700 ms.
const gatewayCountInterval = 20 * time.Millisecond

// trustingGateways returns how many gateways may still trust their view, and how many of them are silent.
func (r *Replica) trustingGateways(now time.Duration) (silent, all int) {
	counts := &r.leader.trusting
	if !counts.counted || now >= counts.countedAt+gatewayCountInterval {
		counts.silent, counts.all = r.countTrustingGateways(now)
		counts.counted, counts.countedAt = true, now
	}
	return counts.silent, counts.all
}

// countTrustingGateways counts them. Those of an earlier leader's time count until they have asked this one.
func (r *Replica) countTrustingGateways(now time.Duration) (silent, all int) {
	for _, report := range r.leader.usage {
		silence := now - report.receivedAt
		if silence > r.viewExpiry() {
			continue
		}
		all++
		if silence > gatewaySilenceThreshold {
			silent++
		}
	}
	if now < r.leader.startedAt+r.viewExpiry() {
		for _, name := range r.machine.catalog.Gateways() {
			if _, asked := r.leader.usage[name]; !asked {
				all++
				silent++
			}
		}
	}
	return silent, all
}

// limitLogInterval is how often a leader looks for limits that were reached or left, for the log.
const limitLogInterval = 250 * time.Millisecond

// limitLogState are the limits that the log says are reached. They are owned by the decide thread.
type limitLogState struct {
	checkedAt time.Duration
	reached   map[string]bool
}

// logLimitChanges logs when a limit begins and ends to turn requests away, one line each.
func (s *Server) logLimitChanges() {
	now := s.now()
	if s.replica.leader == nil || now < s.overLimitLog.checkedAt+limitLogInterval {
		return
	}
	s.overLimitLog.checkedAt = now
	reached := map[string]bool{}
	for _, state := range s.replica.leader.lending.allocator.States(now) {
		if state.OverLimit {
			reached[state.Name] = true
		}
		if state.OverLimit == s.overLimitLog.reached[state.Name] {
			continue
		}
		event := events.LimitCleared
		if state.OverLimit {
			event = events.LimitReached
		}
		s.log.Info(event, zap.String(events.FieldResource, state.Name), zap.Float64("rate", state.Limit.Rate), zap.Float64("level", state.Level),
			zap.Float64("lent", state.Granted), zap.Float64("refused", state.Refused), zap.Float64("withheld", state.Withheld))
	}
	s.overLimitLog.reached = reached
}

package control

import (
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/allowance"
	"kitetiller/internal/events"
	"kitetiller/internal/quota"
)

// gatewaySilenceThreshold is the silence after which a gateway is assumed to be disconnected and to use its fallback
// share. It is several times the interval between its requests.
const gatewaySilenceThreshold = 700 * time.Millisecond

// lending is the leader's allocation of fleet-wide limits. A new leader starts without any grants.
type lending struct {
	allocator *allowance.Allocator
	revision  uint64 // of the routing document that the limits come from
	sweptAt   time.Duration
}

// advertisedSweepInterval is the interval between sweeps of unused advertised limits.
const advertisedSweepInterval = time.Second

// allocateShares answers a gateway's request for shares of limits. It is called only while this replica holds the
// leader lease, so that no two replicas allocate the same limit.
func (r *Replica) allocateShares(now time.Duration, client uint64, request allowance.Request) {
	r.updateLimits(now)
	reply := r.leader.lending.allocator.Allocate(now, request)
	r.reply(client, Response{Kind: ResponseOK, AllowanceReply: &reply})
}

// updateLimits applies the limits of the document in force and withholds the fallback shares of disconnected gateways.
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

// silentFraction returns the fraction of gateways that are silent but may still use their view. They use their fallback
// shares without asking the leader.
func (r *Replica) silentFraction(now time.Duration) float64 {
	silent, total := r.trustingGateways(now)
	if silent == 0 {
		return 0
	}
	return float64(silent) / float64(total)
}

// gatewayCounts caches the number of gateways that may still use their view, since counting them on each tick and reply
// would be expensive with many gateways.
type gatewayCounts struct {
	countedAt     time.Duration
	counted       bool
	silent, total int
}

// gatewayCountInterval is the lifetime of gatewayCounts, short compared with gatewaySilenceThreshold.
const gatewayCountInterval = 20 * time.Millisecond

// trustingGateways returns how many gateways may still use their view, and how many of them are silent.
func (r *Replica) trustingGateways(now time.Duration) (silent, total int) {
	counts := &r.leader.gatewayCounts
	if !counts.counted || now >= counts.countedAt+gatewayCountInterval {
		counts.silent, counts.total = r.countTrustingGateways(now)
		counts.counted, counts.countedAt = true, now
	}
	return counts.silent, counts.total
}

// countTrustingGateways computes trustingGateways. Gateways that the log lists from an earlier leader's term count as
// silent until they send this leader a request or their views have expired.
func (r *Replica) countTrustingGateways(now time.Duration) (silent, total int) {
	for _, report := range r.leader.usage {
		silence := now - report.receivedAt
		if silence > r.viewExpiry() {
			continue
		}
		total++
		if silence > gatewaySilenceThreshold {
			silent++
		}
	}
	if now < r.leader.startedAt+r.viewExpiry() {
		for _, name := range r.machine.catalog.Gateways() {
			if _, reported := r.leader.usage[name]; !reported {
				total++
				silent++
			}
		}
	}
	return silent, total
}

// limitLogInterval is the interval at which a leader checks limits for changes to log.
const limitLogInterval = 250 * time.Millisecond

// limitLogState holds the limits last logged as reached. It is owned by the goroutine that owns the replica.
type limitLogState struct {
	checkedAt time.Duration
	reached   map[string]bool
}

// logLimitChanges logs each limit that starts or stops rejecting requests.
func (s *Server) logLimitChanges() {
	now := s.now()
	if s.replica.leader == nil || now < s.limitLog.checkedAt+limitLogInterval {
		return
	}
	s.limitLog.checkedAt = now
	reached := map[string]bool{}
	for _, state := range s.replica.leader.lending.allocator.States(now) {
		if state.OverLimit {
			reached[state.Name] = true
		}
		if state.OverLimit == s.limitLog.reached[state.Name] {
			continue
		}
		event := events.LimitCleared
		if state.OverLimit {
			event = events.LimitReached
		}
		s.log.Info(event, zap.String(events.FieldResource, state.Name), zap.Float64("rate", state.Limit.Rate), zap.Float64("level", state.Level),
			zap.Float64("lent", state.Granted), zap.Float64("refused", state.Refused), zap.Float64("withheld", state.Withheld))
	}
	s.limitLog.reached = reached
}

package control

import (
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/allowance"
	"kitetiller/internal/events"
	"kitetiller/internal/quota"
)

// silentGateway is the silence after which a gateway is taken to be out of touch, so that it uses its equal part of what is
// limited: some times the pause between its questions.
const silentGateway = 700 * time.Millisecond

// lending is what a leader lends of limited resources; each leadership begins it anew.
type lending struct {
	lender   *allowance.Allocator
	revision uint64 // of the document that the limits were taken from
	forgotAt time.Duration
}

// forgetEach is how often accounts are looked through that nobody asks for any more; there may be one for each back end.
const forgetEach = time.Second

// lend answers a gateway's question for amounts. Only a leader with a lease gets here, so that nobody else lends.
func (r *Replica) lend(now time.Duration, client uint64, asked allowance.Request) {
	r.tendLimits(now)
	answer := r.leader.lending.lender.Allocate(now, asked)
	r.reply(client, Response{Kind: ResponseOK, Lent: &answer})
}

// tendLimits follows the document in force, and keeps back the parts of gateways that are out of touch.
func (r *Replica) tendLimits(now time.Duration) {
	held := &r.leader.lending
	if document := r.machine.catalog.Document(); document.Revision != held.revision {
		held.revision = document.Revision
		held.lender.SetLimits(now, quota.Limits(document, r.config.Quota))
	}
	held.lender.Withhold(now, r.partOutOfTouch(now))
	if now >= held.forgotAt+forgetEach {
		held.forgotAt = now
		held.lender.SweepAdvertised(now)
	}
}

// partOutOfTouch returns the part of the gateways that are silent but may still trust their view: they use their equal parts
// of what is limited, on their own.
func (r *Replica) partOutOfTouch(now time.Duration) float64 {
	silent, all := r.gatewaysThatTrust(now)
	if silent == 0 {
		return 0
	}
	return float64(silent) / float64(all)
}

// trusting are the gateways that may still trust their view, counted now and then: a tick or a reply would otherwise cost the more the
// more there are.
type trusting struct {
	at          time.Duration
	counted     bool
	silent, all int
}

// trustingEach is how often they are counted; silence is judged by 700 ms.
const trustingEach = 20 * time.Millisecond

// gatewaysThatTrust returns how many gateways may still trust their view, and how many of them are silent.
func (r *Replica) gatewaysThatTrust(now time.Duration) (silent, all int) {
	held := &r.leader.trusting
	if !held.counted || now >= held.at+trustingEach {
		held.silent, held.all = r.countTrusting(now)
		held.counted, held.at = true, now
	}
	return held.silent, held.all
}

// countTrusting counts them. Those of an earlier leader's time count until they have asked this one.
func (r *Replica) countTrusting(now time.Duration) (silent, all int) {
	for _, report := range r.leader.usage {
		silence := now - report.receivedAt
		if silence > r.viewExpiry() {
			continue
		}
		all++
		if silence > silentGateway {
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

// overEach is how often a leader looks for limits that were reached or left, for the log.
const overEach = 250 * time.Millisecond

// overNotes are the limits that the log says are reached. They are owned by the decide thread.
type overNotes struct {
	at      time.Duration
	reached map[string]bool
}

// noteOverLimits logs when a limit begins and ends to turn requests away, one line each.
func (s *Server) noteOverLimits() {
	now := s.now()
	if s.replica.leader == nil || now < s.overLimitLog.at+overEach {
		return
	}
	s.overLimitLog.at = now
	reached := map[string]bool{}
	for _, state := range s.replica.leader.lending.lender.States(now) {
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

package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/quarantine/reporter"
)

// sweepPeriod is how often what is long past is forgotten.
const sweepPeriod = 5 * time.Second

// sweep forgets what is long past.
func (s *Server) sweep() {
	s.quarantine.Sweep()
	s.saidLines.Sweep(s.now())
}

// newReporter returns what this router does about requests that end their back ends.
func (s *Server) newReporter() *reporter.Reporter {
	return reporter.New(reporter.Config{
		Submit:             s.group.Quarantine,
		RefusesConnections: reporter.RefusesTCP(&net.Dialer{}),
		Log:                func(event string, fields ...zap.Field) { s.log.Info(event, fields...) },
		Now:                s.now,
	})
}

// again is what stays of a request when it comes again. Callers name each router by an address of its own, so that no host belongs to it.
func again(r *http.Request, in received) quarantine.Request {
	return quarantine.Request{Method: r.Method, Path: r.URL.RequestURI(), Caller: in.tenant, Body: in.body}
}

// lives returns how many lives of back ends ended under a request, as far as this router knows.
func (s *Server) lives(run *exchange) int {
	if s.quarantine.IsEmpty() {
		return 0
	}
	f, ok := s.quarantine.Fingerprint(run.again)
	if !ok {
		return 0
	}
	return s.quarantine.CrashCount(f)
}

// heldBack answers a request that ends whoever runs it.
func (s *Server) heldBack(run *exchange, r *http.Request) bool {
	lives := s.lives(run)
	if lives < quarantine.QuarantineThreshold {
		return false
	}
	f, _ := s.quarantine.Fingerprint(run.again) // there is one, or it would have no lives
	s.log.Info(events.RequestRejected, zap.String(events.FieldRequest, run.name), zap.String(events.FieldReason, string(core.ReasonQuarantined)),
		zap.Stringer(events.FieldFingerprint, f), zap.Int(events.FieldIncarnations, lives))
	status, title := api.Describe(core.ReasonQuarantined)
	s.refuse(run.writer, r, run.name, &callerError{core.ReasonQuarantined, status, title, ""})
	return true
}

// barred reports whether a request may not be sent to a back end, or to another one, since too many have ended under it.
func (s *Server) barred(run *exchange) bool {
	lives := s.lives(run)
	return lives >= quarantine.QuarantineThreshold || run.mayHaveRun() && lives >= quarantine.SuspectThreshold
}

// mayHaveRun reports whether a back end got the request. A send that none took spends nothing of what a suspected request still has: its caller
// would be told that it is held back although it isn't yet.
func (e *exchange) mayHaveRun() bool { return e.attempts > e.notRun.Load() }

// life names the life of a back end that an attempt was sent to.
func (a *attemptRun) life() string {
	return fmt.Sprintf("%s/%d", a.action.Backend, a.action.Incarnation)
}

// brokeOff notes that an attempt broke off without our doing.
func (s *Server) brokeOff(ctx context.Context, a *attemptRun) {
	if ctx.Err() != nil || a.action.Incarnation == 0 {
		return
	}
	if f, ok := s.quarantine.Fingerprint(a.run.again); ok {
		s.quarantine.RecordFailure(a.life(), a.action.Address, f)
	}
}

// noteFailure notes what a failed send says of its back end.
func (s *Server) noteFailure(ctx context.Context, a *attemptRun, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.quarantine.ConfirmEnds(reporter.ConnectionRefused, a.life())
	case !neverSent(err):
		s.brokeOff(ctx, a)
	}
}

// endedWell notes that a back end ran a request to a good end.
func (s *Server) endedWell(run *exchange) {
	if f, ok := s.quarantine.Fingerprint(run.again); ok {
		s.quarantine.RecordCompletion(f)
	}
}

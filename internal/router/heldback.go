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

// sweepInterval is how often what is long past is forgotten.
const sweepInterval = 5 * time.Second

// sweep forgets what is long past.
func (s *Server) sweep() {
	s.quarantine.Sweep()
	s.pushbackLogs.Sweep(s.now())
}

// newReporter returns what this router does about requests that end their back ends.
func (s *Server) newReporter() *reporter.Reporter {
	return reporter.New(reporter.Config{
		Submit:             s.control.Quarantine,
		RefusesConnections: reporter.RefusesTCP(&net.Dialer{}),
		Log:                func(event string, fields ...zap.Field) { s.log.Info(event, fields...) },
		Now:                s.now,
	})
}

// quarantineRequest is what stays of a request when it comes quarantineRequest. Callers name each router by an address of its own, so that no host belongs to it.
func quarantineRequest(r *http.Request, in authenticatedRequest) quarantine.Request {
	return quarantine.Request{Method: r.Method, Path: r.URL.RequestURI(), Caller: in.tenant, Body: in.body}
}

// crashCount returns how many crashCount of back ends ended under a request, as far as this router knows.
func (s *Server) crashCount(ex *exchange) int {
	if s.quarantine.IsEmpty() {
		return 0
	}
	fingerprint, ok := s.quarantine.Fingerprint(ex.quarantineRequest)
	if !ok {
		return 0
	}
	return s.quarantine.CrashCount(fingerprint)
}

// rejectIfQuarantined answers a request that ends whoever runs it.
func (s *Server) rejectIfQuarantined(ex *exchange, r *http.Request) bool {
	crashes := s.crashCount(ex)
	if crashes < quarantine.QuarantineThreshold {
		return false
	}
	fingerprint, _ := s.quarantine.Fingerprint(ex.quarantineRequest) // there is one, or it would have no lives
	s.log.Info(events.RequestRejected, zap.String(events.FieldRequest, ex.name), zap.String(events.FieldReason, string(core.ReasonQuarantined)),
		zap.Stringer(events.FieldFingerprint, fingerprint), zap.Int(events.FieldIncarnations, crashes))
	status, title := api.Describe(core.ReasonQuarantined)
	s.reject(ex.writer, r, ex.name, &requestError{core.ReasonQuarantined, status, title, ""})
	return true
}

// tooManyCrashes reports whether a request may not be sent to a back end, or to another one, since too many have ended under it.
func (s *Server) tooManyCrashes(ex *exchange) bool {
	crashes := s.crashCount(ex)
	return crashes >= quarantine.QuarantineThreshold || ex.mayHaveRun() && crashes >= quarantine.SuspectThreshold
}

// mayHaveRun reports whether a back end got the request. A send that none took spends nothing of what a suspected request still has: its caller
// would be told that it is held back although it isn't yet.
func (e *exchange) mayHaveRun() bool { return e.attempts > e.notRun.Load() }

// incarnationID names the incarnationID of a back end that an attempt was sent to.
func (a *activeAttempt) incarnationID() string {
	return fmt.Sprintf("%s/%d", a.action.Backend, a.action.Incarnation)
}

// recordBrokenAttempt notes that an attempt broke off without our doing.
func (s *Server) recordBrokenAttempt(ctx context.Context, a *activeAttempt) {
	if ctx.Err() != nil || a.action.Incarnation == 0 {
		return
	}
	if fingerprint, ok := s.quarantine.Fingerprint(a.exchange.quarantineRequest); ok {
		s.quarantine.RecordFailure(a.incarnationID(), a.action.Address, fingerprint)
	}
}

// recordSendFailure notes what a failed send says of its back end.
func (s *Server) recordSendFailure(ctx context.Context, a *activeAttempt, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.quarantine.ConfirmEnds(reporter.ConnectionRefused, a.incarnationID())
	case !neverSent(err):
		s.recordBrokenAttempt(ctx, a)
	}
}

// recordCompletion notes that a back end ran a request to a good end.
func (s *Server) recordCompletion(ex *exchange) {
	if fingerprint, ok := s.quarantine.Fingerprint(ex.quarantineRequest); ok {
		s.quarantine.RecordCompletion(fingerprint)
	}
}

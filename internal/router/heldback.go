package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/events"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/quarantine/reporter"
	"kitetiller/internal/tunnel"
)

const sweepInterval = 5 * time.Second

// sweep removes expired crash records and log rate limits.
func (s *Server) sweep() {
	s.quarantine.Sweep()
	s.streams.Sweep()
	s.pushbackLogs.Sweep(s.now())
}

// newReporter returns the reporter of requests that crash their back ends.
func (s *Server) newReporter() *reporter.Reporter {
	return reporter.New(reporter.Config{
		Submit:             s.control.Quarantine,
		RefusesConnections: s.paths.dialer.Refuses,
		Log:                func(event string, fields ...zap.Field) { s.log.Info(event, fields...) },
		Now:                s.now,
	})
}

// quarantineRequest returns the parts of a request that are the same when it is repeated. The host is not one of them:
// clients reach each router at a different address.
func quarantineRequest(r *http.Request, in authenticatedRequest) quarantine.Request {
	return quarantine.Request{Method: r.Method, Path: r.URL.RequestURI(), Caller: in.tenant, Body: in.body}
}

// quarantineSubject returns the fingerprints of a request and of the messages of its conversation that other requests may
// share: all but the last. ok is false while the seed is unknown.
func (s *Server) quarantineSubject(ex *exchange) (subject quarantine.Subject, ok bool) {
	var partIDs []string
	if ex.completion != nil {
		messages := ex.completion.Messages
		for _, message := range messages[:max(0, len(messages)-1)] {
			partIDs = append(partIDs, message.Role+"\n"+message.Content)
		}
	}
	return s.quarantine.Subject(ex.quarantineRequest, partIDs...)
}

// rejectIfQuarantined rejects a quarantined request and reports whether it did.
func (s *Server) rejectIfQuarantined(ex *exchange, r *http.Request) bool {
	if s.quarantine.IsEmpty() {
		return false
	}
	subject, ok := s.quarantineSubject(ex)
	if !ok || !s.quarantine.IsQuarantined(subject) {
		return false
	}
	fingerprint, crashes := s.quarantine.Explain(subject)
	s.log.Info(events.RequestRejected, zap.String(events.FieldRequest, ex.name), zap.String(events.FieldReason, string(core.ReasonQuarantined)),
		zap.Stringer(events.FieldFingerprint, fingerprint), zap.Bool(events.FieldPart, fingerprint.IsPart()), zap.Int(events.FieldIncarnations, crashes))
	status, title := api.DescribeReason(core.ReasonQuarantined)
	s.reject(ex.writer, r, ex.name, &requestError{core.ReasonQuarantined, status, title, ""})
	return true
}

// tooManyCrashes reports whether a request may not be dispatched because of the crashes attributed to it or to its parts.
// A suspected request gets no further attempt once a back end may have run it.
func (s *Server) tooManyCrashes(ex *exchange) bool {
	if s.quarantine.IsEmpty() {
		return false
	}
	subject, ok := s.quarantineSubject(ex)
	return ok && (s.quarantine.IsQuarantined(subject) || ex.mayHaveRun() && s.quarantine.IsSuspect(subject))
}

// mayHaveRun reports whether a back end may have run the request. Attempts that provably did not run are left out, or a
// suspected request would be rejected as quarantined too early.
func (e *exchange) mayHaveRun() bool { return e.attempts > e.attemptsNotRun.Load() }

// incarnationID identifies the incarnation of the back end that an attempt was dispatched to.
func (a *activeAttempt) incarnationID() string {
	return fmt.Sprintf("%s/%d", a.action.Backend, a.action.Incarnation)
}

// recordBrokenAttempt records an attempt that broke off without being cancelled, which may mean a crash.
func (s *Server) recordBrokenAttempt(ctx context.Context, a *activeAttempt) {
	if ctx.Err() != nil || a.action.Incarnation == 0 {
		return
	}
	if subject, ok := s.quarantineSubject(a.exchange); ok {
		s.quarantine.RecordFailure(a.incarnationID(), a.action.Address, subject)
	}
}

// recordSendFailure records what a failed send implies about the back end: a refused connection confirms that the
// incarnation has ended, and a failure after connecting may mean a crash.
func (s *Server) recordSendFailure(ctx context.Context, a *activeAttempt, err error) {
	switch {
	case tunnel.IsRefused(err):
		s.quarantine.ConfirmEnds(reporter.ConnectionRefused, a.incarnationID())
	case !neverSent(err):
		s.recordBrokenAttempt(ctx, a)
	}
}

// recordCompletion records that a back end completed a request.
func (s *Server) recordCompletion(ex *exchange) {
	if subject, ok := s.quarantineSubject(ex); ok {
		s.quarantine.RecordCompletion(subject)
	}
}

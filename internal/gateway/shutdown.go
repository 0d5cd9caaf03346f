package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
)

const (
	// drainPeriod is how long a stopping gateway accepts requests while its readiness check already fails.
	drainPeriod = 2700 * time.Millisecond
	// rejectPeriod is how long it then rejects requests before it closes connections.
	rejectPeriod = 500 * time.Millisecond
	// answerPeriod is how long before the end of the stop requests that can't be completed any more get their answers.
	answerPeriod = 200 * time.Millisecond
	// shutdownMargin is the part of Settings.ShutdownTimeout reserved for the exit of the process.
	shutdownMargin = 150 * time.Millisecond
)

// shutdown is the progress of a planned stop. Requests that arrive while the process rejects them are not accepted, and those
// accepted before are sent to a back end only if they can be completed before it ends. It is safe for concurrent use.
type shutdown struct {
	draining  atomic.Bool
	endsAt    atomic.Int64 // when answers must be complete, in ns on the gateway's clock; set before rejecting begins
	rejecting context.Context
	ending    context.Context // done once what is not answered yet must be

	startRejecting, end context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.rejecting, s.startRejecting = context.WithCancel(context.Background())
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// isRejecting reports whether new requests are rejected.
func (s *shutdown) isRejecting() bool { return s.rejecting.Err() != nil }

// isEnding reports whether requests that are not answered yet must be now.
func (s *shutdown) isEnding() bool { return s.ending.Err() != nil }

// closeConnection makes a response end its caller's connection while the process stops.
func (s *shutdown) closeConnection(header http.Header) {
	if s.draining.Load() {
		header.Set("Connection", "close")
	}
}

// timeLeft returns how long a request that is sent to a back end now may take.
func (s *shutdown) timeLeft(now time.Duration) time.Duration {
	return time.Duration(s.endsAt.Load()) - now
}

// drain performs a planned stop. The readiness check fails at once, new requests are still served until load balancers
// have noticed, then rejected, and requests in flight are completed, or answered before the process ends.
func (g *Gateway) drain(public *http.Server) {
	startedAt, timeout := g.now(), g.settings.ShutdownTimeout
	g.shutdown.draining.Store(true)
	g.log.info(events.GatewayStopping, zap.Int64("active", g.active.Load()))
	time.Sleep(min(drainPeriod, timeout/2))
	endsAt := startedAt + timeout - shutdownMargin - min(answerPeriod, timeout/16)
	g.shutdown.endsAt.Store(int64(endsAt))
	g.shutdown.startRejecting()
	time.Sleep(min(rejectPeriod, timeout/8))
	ending := time.AfterFunc(endsAt-g.now(), g.shutdown.end)
	defer ending.Stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), startedAt+timeout-shutdownMargin-g.now())
	defer cancel()
	_ = public.Shutdown(shutdownCtx) // requests still running then are cut off when the process exits
	g.tunnels.Wait(shutdownCtx)
}

// canFinish reports whether the request may still be sent to a back end: while the process stops, one that can't be repeated
// only if its deadline comes first, any other one if there is the time that a back end may take to begin its answer.
func (x *exchange) canFinish() bool {
	s := x.gateway.shutdown
	if !s.isRejecting() {
		return true
	}
	now := x.gateway.now()
	needed := x.deadline - now
	if x.route.Retryable() {
		needed = min(needed, max(minSilenceTimeout, time.Duration(engineSilenceFactor*float64(x.route.Objective))))
	}
	return needed <= s.timeLeft(now)
}

// interruptBody ends the reading of the body once the request can't be sent any more, until stop is called.
func (x *exchange) interruptBody(controller *http.ResponseController) (stop func() bool) {
	return context.AfterFunc(x.gateway.shutdown.rejecting, func() {
		if !x.canFinish() {
			_ = controller.SetReadDeadline(time.Now())
		}
	})
}

// cancelAtEnd cancels the request at the end of a planned stop, unless its response has begun, until stop is called.
func (x *exchange) cancelAtEnd(cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(x.gateway.shutdown.ending, func() {
		if !x.headRelayed.Load() {
			cancel()
		}
	})
}

package gateway

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// lateResponseTimeout bounds how long a response is awaited after the deadline of its request. It tells when the back end is
	// done with the request, and spares both sides a new connection.
	lateResponseTimeout = 5 * time.Second
	// maxLateResponses is how many are awaited at once.
	maxLateResponses = 256
)

// interrupt ends what the attempt waits for when its context is done. If the deadline has passed, the connection is only taken
// from the attempt.
func (a *attempt) interrupt() {
	if a.passedDeadline() && a.awaitsHead.Load() {
		_ = a.conn.SetDeadline(time.Now())
		return
	}
	_ = a.conn.Close()
}

// passedDeadline reports whether the attempt ended because of its request's deadline, while the caller was still there.
func (a *attempt) passedDeadline() bool {
	return context.Cause(a.ctx) == context.DeadlineExceeded && a.exchange.request.Context().Err() == nil
}

// leaveToLate awaits the response in the background if the deadline has passed before any byte of it came, and reports whether
// it does.
func (a *attempt) leaveToLate(readErr error) bool {
	if !a.passedDeadline() || !errors.Is(readErr, os.ErrDeadlineExceeded) || a.conn.head.HasBegun() || a.conn.peer != "" || !a.requestWritten() {
		return false
	}
	g := a.exchange.gateway
	if g.lateResponses.Add(1) > maxLateResponses {
		g.lateResponses.Add(-1)
		return false
	}
	a.headReleased, a.waitHandedOver = true, true
	g.metrics.givenUp.WithLabelValues(a.wait.service).Inc()
	go g.awaitLateResponse(a.conn, a.row.entry.ID, a.exchange.request.Method, a.wait)
	return true
}

// awaitLateResponse reads a response that nobody waits for any more, and keeps its connection for other requests.
func (g *Gateway) awaitLateResponse(conn *connection, instance, method string, wait *serviceWait) {
	defer g.lateResponses.Add(-1)
	defer wait.end()
	defer conn.head.ReleaseHead()
	_ = conn.SetDeadline(time.Now().Add(lateResponseTimeout))
	response, err := conn.readResponse(method, g.dialect.SingleHeaders())
	if err != nil {
		_ = conn.Close()
		return
	}
	wait.answered(false)
	whole := discardBody(response) == nil
	_ = conn.SetDeadline(time.Time{})
	if g.pool.keep(instance, conn, response, whole) {
		g.metrics.lateResponses.Inc()
	}
}

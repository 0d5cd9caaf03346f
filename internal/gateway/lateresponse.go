package gateway

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// lateResponseTimeout bounds how long a response is awaited after its request was given up. It tells when the back end is
	// done with the request, and spares both sides a new connection.
	lateResponseTimeout = 15 * time.Second
	// countedLateTime is how long of that the request counts as one that its back end works on. On a lost path nothing comes.
	countedLateTime = 5 * time.Second
	// maxLateResponses is how many are awaited at once.
	maxLateResponses = 256
)

// interrupt ends what the attempt waits for when its context is done. If its back end may still respond, the connection is only taken
// from the attempt.
func (a *attempt) interrupt() {
	if a.mayRespondLate() && a.awaitsHead.Load() {
		_ = a.conn.SetDeadline(time.Now())
		return
	}
	_ = a.conn.Close()
}

// passedDeadline reports whether the attempt ended because of its request's deadline, while the caller was still there.
func (a *attempt) passedDeadline() bool {
	return context.Cause(a.ctx) == context.DeadlineExceeded && a.exchange.request.Context().Err() == nil
}

// mayRespondLate reports whether the attempt was given up only because its back end takes long. The work of an engine on an attempt
// that is followed by another is stopped by closing the connection.
func (a *attempt) mayRespondLate() bool {
	return a.passedDeadline() || context.Cause(a.ctx) == errSilent && !a.exchange.service.Engine
}

// leaveToLate awaits the response in the background if the attempt was given up before any byte of it came, and reports whether it
// does.
func (a *attempt) leaveToLate(readErr error) bool {
	if !a.mayRespondLate() || !errors.Is(readErr, os.ErrDeadlineExceeded) || a.conn.head.HasBegun() || a.conn.peer != "" || !a.requestWritten() {
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
	defer time.AfterFunc(countedLateTime, wait.end).Stop()
	defer conn.head.ReleaseHead()
	_ = conn.SetDeadline(time.Now().Add(lateResponseTimeout))
	response, err := conn.readResponse(method, g.dialect.SingleHeaders())
	if err != nil {
		_ = conn.Close()
		return
	}
	wait.answered(false)
	conn.opening.responded()
	whole := discardBody(response) == nil
	_ = conn.SetDeadline(time.Time{})
	if g.pool.keep(instance, conn, response, whole) {
		g.metrics.lateResponses.Inc()
	}
}

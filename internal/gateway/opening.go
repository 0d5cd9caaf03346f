package gateway

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/admission/congestion"
	"kitetiller/internal/catalog"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/reachability"
)

const (
	// minConnectionWait and maxConnectionWait bound how long a request may wait for a connection, as fractions of the time that it
	// has left.
	minConnectionWait = 0.25
	maxConnectionWait = 0.75
	// responseMargin is how many times the mean wait for a response is to be left after that.
	responseMargin = 1.5
	// idleCheckInterval is how often a request that waits for a connection looks for one without being told of a change.
	idleCheckInterval = 50 * time.Millisecond
	// minWaitedCost is the least cost of a new connection for which a request waits for an idle one.
	minWaitedCost = 20 * time.Millisecond
	// maxQueueWait is how long requests may be expected to wait for those that wait for a connection already.
	maxQueueWait = time.Second
	// reasonNoConnection: no connection became idle in time, and as many are being opened as may be.
	reasonNoConnection = "no-connection"
)

// errNoConnection: as many connections are being opened as may be, and none to the back end is idle.
var errNoConnection = eris.New("no connection is idle or may be opened")

// connectionState is what is known of the connections to a service's back ends.
type connectionState struct {
	window *congestion.ConnectionWindow
	cost   congestion.ConnectionCost
	// waiting is the number of requests that wait for a connection.
	waiting int
}

// opening is a connection that is being opened.
type opening struct {
	control    *congestionControl
	service    string
	entry      *congestion.Opening
	needsCheck bool // a question is asked before the first request
	done       atomic.Bool
}

// checked records the reply to the question that was asked first.
func (o *opening) checked() {
	o.finish(func(now time.Duration, w *congestion.ConnectionWindow) { w.Checked(now, o.entry) })
}

// responded records the first response on the connection. It has no effect after checked.
func (o *opening) responded() {
	o.finish(func(now time.Duration, w *congestion.ConnectionWindow) { w.Responded(now, o.entry) })
}

// withdraw records that the connection was not established or isn't needed.
func (o *opening) withdraw() {
	o.finish(func(_ time.Duration, w *congestion.ConnectionWindow) { w.Withdraw(o.entry) })
}

// fail records that the connection was closed. It has no effect after a response.
func (o *opening) fail() {
	o.finish(func(now time.Duration, w *congestion.ConnectionWindow) { w.Failed(now, o.entry) })
}

func (o *opening) finish(record func(now time.Duration, w *congestion.ConnectionWindow)) {
	if o != nil && !o.done.Swap(true) {
		o.control.withConnections(o.service, func(now time.Duration, s *connectionState) { record(now, s.window) })
		o.control.changed.Notify()
	}
}

// withConnections calls a function with the state of a service's connections.
func (c *congestionControl) withConnections(service string, f func(now time.Duration, s *connectionState)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.connections[service]
	if s == nil {
		s = &connectionState{window: congestion.NewConnectionWindow(int(c.gateway.gatewayCount.Load()))}
		c.connections[service] = s
	}
	f(c.gateway.now(), s)
}

// allowsConnection reports whether another connection to a back end of a service may be opened. Where nothing can be asked that takes
// a back end no time, services that take long by themselves can't be told from ones out of capacity, so nothing is bounded.
func (c *congestionControl) allowsConnection(service *catalog.Service) (allowed bool) {
	if !c.gateway.enabled(mechanism.ConnectionWindow) || !service.Engine && service.HealthPath == "" {
		return true
	}
	if state := c.gateway.paths.State(); state == reachability.NewConnectionsLost || state == reachability.Connected && c.gateway.dialer.LostCount() > 0 {
		return true // connections without a response are those of lost paths
	}
	c.withConnections(service.Name, func(now time.Duration, s *connectionState) { allowed = s.window.Allows(now) })
	return allowed
}

// connectionCost returns how much longer a request of a service takes on a new connection. At engines responses tell more of prompts
// than of connections, so it is the mean time of replies to the question for the incarnation.
func (c *congestionControl) connectionCost(service *catalog.Service, lifeReplies time.Duration) (cost time.Duration) {
	if service.Engine {
		return lifeReplies
	}
	if c.gateway.enabled(mechanism.ConnectionWindow) {
		c.withConnections(service.Name, func(_ time.Duration, s *connectionState) { cost = s.cost.Value() })
	}
	return cost
}

// openConnection begins a new connection for the attempt. If it continues a run, which no other
// back end can, it waits until one may be opened.
func (a *attempt) openConnection() (*opening, error) {
	x := a.exchange
	c := x.gateway.congestion
	until := x.connectionWaitEnd()
	for {
		changed := c.changed.Next()
		if c.allowsConnection(x.service) {
			return a.beginOpening(), nil
		}
		if !a.continues || x.gateway.now() >= until || a.ctx.Err() != nil {
			return nil, errNoConnection
		}
		x.awaitChange(changed)
	}
}

func (a *attempt) beginOpening() *opening {
	x := a.exchange
	o := &opening{control: x.gateway.congestion, service: x.service.Name}
	x.gateway.congestion.withConnections(x.service.Name, func(now time.Duration, s *connectionState) {
		o.needsCheck = s.window.NeedsCheck() && x.gateway.checkPath(x.service) != ""
		o.entry = s.window.Open(now, a.expectedResponse(s, o.needsCheck))
	})
	return o
}

// checkPath returns the path of a question that takes a back end no time, or "".
func (g *Gateway) checkPath(service *catalog.Service) string {
	if service.Engine {
		return g.dialect.StatePath()
	}
	return service.HealthPath
}

// expectedResponse returns how long the first response on a new connection is expected to take by itself.
func (a *attempt) expectedResponse(s *connectionState, isChecked bool) time.Duration {
	switch {
	case isChecked, a.needsLifeCheck():
		return 0
	case a.exchange.service.Engine:
		return a.predictedSilence()
	}
	return s.cost.Reused()
}

// recordConnection records that a response has begun on the attempt's connection.
func (a *attempt) recordConnection() {
	x := a.exchange
	a.conn.opening.responded()
	x.gateway.congestion.withConnections(x.service.Name, func(now time.Duration, s *connectionState) {
		s.cost.Record(a.conn.reused, now-a.sentAt)
	})
}

// canReachAnother reports whether a request could be sent again without waiting for a connection.
func (x *exchange) canReachAnother() bool {
	return x.gateway.congestion.allowsConnection(x.service) || x.gateway.hasIdleConnection(x)
}

// awaitChange waits until a connection becomes idle or may be opened, idleCheckInterval at most.
func (x *exchange) awaitChange(changed <-chan struct{}) {
	wait := time.NewTimer(idleCheckInterval)
	defer wait.Stop()
	select {
	case <-changed:
	case <-wait.C:
	case <-x.ctx.Done():
	}
}

// connectionWaitEnd returns until when the request may wait for a connection, so that the response may come in time.
func (x *exchange) connectionWaitEnd() time.Duration {
	now := x.gateway.now()
	left := float64(x.deadline - now)
	response := responseMargin * float64(x.gateway.congestion.meanWait(x.service.Name))
	return now + time.Duration(min(maxConnectionWait*left, max(minConnectionWait*left, left-response)))
}

// awaitConnection waits until a connection to a back end of the service is idle, for as long as a new one costs, or until one may be
// opened. It reports whether there is a way to go on; otherwise it has rejected the request.
func (x *exchange) awaitConnection() bool {
	c := x.gateway.congestion
	until := x.connectionWaitEnd()
	openFrom := min(x.gateway.now()+x.idleWait(), until)
	for queued := false; ; {
		changed := c.changed.Next()
		x.onlyConnected = !c.allowsConnection(x.service)
		now := x.gateway.now()
		if !x.onlyConnected && now >= openFrom || x.gateway.hasIdleConnection(x) {
			return true
		}
		if x.endIfExpired() {
			return false
		}
		if now >= until || !queued && !c.enqueue(x.service.Name) {
			x.giveUp(reasonNoConnection, max(minRetryAfter, c.retryAfter(x.service.Name)))
			return false
		}
		if !queued {
			queued = true
			defer c.dequeue(x.service.Name)
		}
		x.awaitChange(changed)
	}
}

// idleWait returns for how long the request waits for an idle connection rather than open one: as long as a new one costs, if
// there are connections in use that may become idle.
func (x *exchange) idleWait() time.Duration {
	c := x.gateway.congestion
	cost := c.connectionCost(x.service, x.gateway.table.lifeReplyMean(x.service.Name))
	if cost < minWaitedCost || c.inUse(x.service.Name) == 0 {
		return 0
	}
	return cost
}

// enqueue adds to the requests of a service that wait for a connection, and reports whether it did: not if those that wait take all
// connections in use for longer than maxQueueWait.
func (c *congestionControl) enqueue(service string) (queued bool) {
	response, inUse := c.meanWait(service), c.inUse(service)
	c.withConnections(service, func(_ time.Duration, s *connectionState) {
		queued = time.Duration(s.waiting)*response <= maxQueueWait*time.Duration(max(1, inUse))
		if queued {
			s.waiting++
		}
	})
	return queued
}

// dequeue removes a request from those that wait for a connection.
func (c *congestionControl) dequeue(service string) {
	c.withConnections(service, func(_ time.Duration, s *connectionState) { s.waiting-- })
}

// hasIdleConnection reports whether a connection is idle to a back end that the request was not sent to.
func (g *Gateway) hasIdleConnection(x *exchange) bool {
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	maxIdle := maxIdleTime(x.route)
	return slices.ContainsFunc(g.table.services[x.service.Name], func(row *endpoint) bool {
		return row.acceptsRequests() && !slices.Contains(x.tried, row) && g.pool.hasIdle(row.entry.ID, maxIdle)
	})
}

// maxIdleTime returns how long a connection may have been idle that a route's requests use.
func maxIdleTime(route *catalog.Route) time.Duration {
	if route.Retryable() {
		return maxIdleRetryable
	}
	return maxIdleOnce
}

// allowConnected lets a request be sent to back ends to which its earlier attempts got no connection in time, once one is idle.
func (x *exchange) allowConnected() {
	x.awaited = slices.DeleteFunc(x.awaited, func(row *endpoint) bool {
		idle := x.gateway.pool.hasIdle(row.entry.ID, maxIdleTime(x.route))
		if idle {
			x.forgetTried(row)
		}
		return idle
	})
}

// keepsWaiting reports whether an attempt ended because no connection was idle or could be opened, so that the request waits for one
// again. Its back end may be chosen again.
func (x *exchange) keepsWaiting(a *attempt) bool {
	switch {
	case errors.Is(a.connectErr, errNoConnection) && !a.continues:
		x.forgetTried(a.row)
		return true
	case errors.Is(a.connectErr, errLifeReplyLate):
		x.awaited = append(x.awaited, a.row)
	}
	return false
}

package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kitetiller/internal/admission/congestion"
	"kitetiller/internal/events"
	"kitetiller/internal/mechanism"
)

// reasonCongested: the back ends of the service answer late, and as many requests wait for them as they answer in time.
const reasonCongested = "congested"

const (
	// minRetrySpread and maxRetrySpread are the factors between which retry times are drawn, so that callers which were rejected
	// together don't return together.
	minRetrySpread, maxRetrySpread = 0.5, 1.5
	// minConnectionCost is the least time that a new connection is taken to cost at a congested service.
	minConnectionCost = 100 * time.Millisecond
)

// congestionControl holds the limiters of services. It is safe for concurrent use.
type congestionControl struct {
	gateway *Gateway

	mu          sync.Mutex
	services    map[string]*congestion.Limiter // guarded by mu, with the limiters
	connections map[string]*connectionState    // guarded by mu, with the states
	changed     *notifier                      // notified when a connection becomes idle, gets its first response or ends
}

func newCongestionControl(g *Gateway) *congestionControl {
	return &congestionControl{
		gateway: g, services: map[string]*congestion.Limiter{}, connections: map[string]*connectionState{}, changed: newNotifier(),
	}
}

// with calls a function with the limiter of a service.
func (c *congestionControl) with(service string, f func(now time.Duration, l *congestion.Limiter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.services[service]
	if l == nil {
		l = congestion.New()
		c.services[service] = l
	}
	c.apply(service, l, f)
}

// apply calls a function with a limiter, and logs when a limit comes into force or is lifted. The caller holds mu.
func (c *congestionControl) apply(service string, l *congestion.Limiter, f func(now time.Duration, l *congestion.Limiter)) {
	before := l.Limit()
	f(c.gateway.now(), l)
	switch after := l.Limit(); {
	case before == 0 && after > 0:
		c.gateway.metrics.congestions.WithLabelValues(service).Inc()
		c.gateway.log.info(events.ServiceCongested, zap.String("service", service), zap.Int("waiting", l.Waiting()), zap.Float64("limit", after), zap.Duration("wait", l.MeanWait()))
	case before > 0 && after == 0:
		c.gateway.log.info(events.ServiceRelieved, zap.String("service", service), zap.Duration("wait", l.MeanWait()))
	}
}

// isLimited reports whether a limit is in force for a service.
func (c *congestionControl) isLimited(service string) (limited bool) {
	c.with(service, func(now time.Duration, l *congestion.Limiter) { limited = l.Limited(now) })
	return limited && c.gateway.enabled(mechanism.CongestionLimit)
}

// admit reports whether another request may be sent to a service. If not, it returns the retry time for the caller.
func (c *congestionControl) admit(service string) (retryAfter time.Duration, admitted bool) {
	if !c.gateway.enabled(mechanism.CongestionLimit) {
		return 0, true
	}
	c.with(service, func(now time.Duration, l *congestion.Limiter) { retryAfter, admitted = l.Admit(now) })
	return spreadRetry(retryAfter), admitted
}

// meanWait returns the mean time until responses of a service begin.
func (c *congestionControl) meanWait(service string) (wait time.Duration) {
	c.with(service, func(_ time.Duration, l *congestion.Limiter) { wait = l.MeanWait() })
	return wait
}

// inUse returns the number of requests that wait for a response of a service.
func (c *congestionControl) inUse(service string) (count int) {
	c.with(service, func(_ time.Duration, l *congestion.Limiter) { count = l.Waiting() })
	return count
}

// retryAfter returns the retry time for callers of requests that get no connection in time.
func (c *congestionControl) retryAfter(service string) time.Duration {
	return spreadRetry(c.meanWait(service))
}

// spreadRetry draws a retry time around the given one.
func spreadRetry(after time.Duration) time.Duration {
	return time.Duration((minRetrySpread + (maxRetrySpread-minRetrySpread)*rand.Float64()) * float64(after))
}

// sweep removes the limiters of services that get no requests.
func (c *congestionControl) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.services, func(service string, l *congestion.Limiter) (idle bool) {
		c.apply(service, l, func(now time.Duration, l *congestion.Limiter) { idle = l.IsIdle(now) })
		return idle
	})
}

// limitedConnectionCost returns how long a new connection to a back end of a service delays a request under a limit: congested back
// ends take as long for it as for a response.
func (c *congestionControl) limitedConnectionCost(service string) (cost time.Duration) {
	if !c.gateway.enabled(mechanism.CongestionLimit) {
		return 0
	}
	c.with(service, func(now time.Duration, l *congestion.Limiter) {
		if l.Limited(now) {
			cost = max(l.MeanWait(), minConnectionCost)
		}
	})
	return cost
}

// forgetDirect drops what requests on direct connections have shown, since nothing arrives on them: those that wait tell nothing of the
// capacity of back ends.
func (c *congestionControl) forgetDirect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, l := range c.services {
		c.apply(service, l, func(now time.Duration, l *congestion.Limiter) { l.Forget(now) })
	}
}

// restartConnections bounds connections as at the start, since requests go another way from now on, on which none is open yet.
func (c *congestionControl) restartConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.connections {
		s.window.Reset(int(c.gateway.gatewayCount.Load()))
	}
}

// serviceWait is the wait of an attempt for the beginning of its response.
type serviceWait struct {
	control *congestionControl
	service string
	request *congestion.Request
}

// begin adds an attempt to a back end of a service. Of the time that its request was allowed some is left.
func (c *congestionControl) begin(service, backEnd string, allowed, left time.Duration) *serviceWait {
	w, backEnds := &serviceWait{control: c, service: service}, c.gateway.table.backEndCount(service)
	c.with(service, func(now time.Duration, l *congestion.Limiter) {
		w.request = l.Begin(now, backEnd, backEnds, allowed, left)
	})
	return w
}

// answered ends the wait with the beginning of the response, which came through a peer or on the direct path.
func (w *serviceWait) answered(throughPeer bool) {
	w.control.with(w.service, func(now time.Duration, l *congestion.Limiter) {
		l.Answered(now, w.request)
		if throughPeer {
			l.Reroute(now, w.request)
		}
	})
}

// end ends the wait without a response. It has no effect on nil.
func (w *serviceWait) end() {
	if w == nil {
		return
	}
	w.control.with(w.service, func(now time.Duration, l *congestion.Limiter) { l.End(now, w.request) })
}

// broken ends the wait with the back end's end of the connection.
func (w *serviceWait) broken() {
	w.control.with(w.service, func(now time.Duration, l *congestion.Limiter) { l.Broken(now, w.request) })
}

// giveUp records that the attempt was given up. Its back end may work on it until its time is over.
func (w *serviceWait) giveUp(until time.Duration) {
	w.control.with(w.service, func(now time.Duration, l *congestion.Limiter) { l.GiveUp(now, w.request, until) })
}

// finishWait ends the attempt's wait for the beginning of its response, unless others have taken it over. A back end may go on
// with a request that was given up after it was sent.
func (a *attempt) finishWait() {
	x := a.exchange
	switch {
	case a.waitHandedOver:
	case context.Cause(a.ctx) == errPathLost:
		a.wait.end()
	case a.awaitsHead.Load() && (x.ctx.Err() != nil || context.Cause(a.ctx) == errSilent):
		x.gateway.metrics.givenUp.WithLabelValues(a.wait.service).Inc()
		a.wait.giveUp(x.deadline)
	case a.awaitsHead.Load() && a.ctx.Err() == nil:
		a.wait.broken()
	default:
		a.wait.end()
	}
}

// waitedFraction is the fraction of its time after which a request that wasn't sent yet is rejected if a response would most likely
// come too late.
const waitedFraction = 0.25

// rejectIfCongested rejects a request that would wait too long at congested back ends, and reports whether it did. One that a
// back end has worked on goes on, within the retry budget.
func (x *exchange) rejectIfCongested() bool {
	if x.mayHaveRun {
		return false
	}
	retryAfter, admitted := x.gateway.congestion.admit(x.service.Name)
	if admitted && !x.isTooLate() {
		return false
	}
	x.giveUp(reasonCongested, max(minRetryAfter, retryAfter))
	return true
}

// isTooLate reports whether a request has waited at a congested service until it has less time left than responses take.
func (x *exchange) isTooLate() bool {
	now := x.gateway.now()
	if float64(now-x.arrived) < waitedFraction*float64(x.deadline-x.arrived) || !x.gateway.congestion.isLimited(x.service.Name) {
		return false
	}
	return x.deadline-now < x.gateway.congestion.meanWait(x.service.Name)
}

// congestionGauge collects how many requests wait for the back ends of each service and for connections to them, and the bounds.
type congestionGauge struct {
	gateway                          *Gateway
	waiting, limit                   *prometheus.Desc
	window, opening, connectionWaits *prometheus.Desc
}

func newCongestionGauge(g *Gateway) congestionGauge {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("kitetiller_gateway_service_"+name, help, []string{"service"}, nil)
	}
	return congestionGauge{
		g, describe("waiting", "Requests that wait for a response to begin, or were given up and may still be worked on."),
		describe("limit", "Limit on these while the service is congested; 0 otherwise."),
		describe("connection_window", "Connections to back ends that may be opened at once."),
		describe("connections_opening", "Connections without a first response."),
		describe("connection_waits", "Requests that wait for a connection."),
	}
}

// Describe implements prometheus.Collector.
func (c congestionGauge) Describe(out chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.waiting, c.limit, c.window, c.opening, c.connectionWaits} {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c congestionGauge) Collect(out chan<- prometheus.Metric) {
	control := c.gateway.congestion
	control.mu.Lock()
	defer control.mu.Unlock()
	for service, l := range control.services {
		out <- prometheus.MustNewConstMetric(c.waiting, prometheus.GaugeValue, float64(l.Waiting()), service)
		out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, l.Limit(), service)
	}
	for service, s := range control.connections {
		out <- prometheus.MustNewConstMetric(c.window, prometheus.GaugeValue, s.window.Size(), service)
		out <- prometheus.MustNewConstMetric(c.opening, prometheus.GaugeValue, float64(s.window.Pending()), service)
		out <- prometheus.MustNewConstMetric(c.connectionWaits, prometheus.GaugeValue, float64(s.waiting), service)
	}
}

package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/reachability"
	"kitetiller/internal/tunnel"
)

const (
	// minQuestionPatience is how long a question that takes a back end no time may stay without a reply before the path is compared
	// with those of peers. Where replies take longer, it is patienceFactor times their mean time.
	minQuestionPatience = 75 * time.Millisecond
	patienceFactor      = 3
	// minHeadPatience is how long a request may wait for the head of its response before a question is asked, if nothing else was
	// answered that was sent as late. Where responses take longer, it is headPatienceFactor times their mean time. It is also the
	// patience for questions before any was answered.
	minHeadPatience    = 250 * time.Millisecond
	headPatienceFactor = 1.5
)

// paths tells whether the gateway has lost its direct paths to all back ends, and makes requests go through peers meanwhile.
type paths struct {
	*tunnel.Paths
	gateway *Gateway
	changed *notifier // notified when paths are lost or restored
}

func newPaths(g *Gateway) *paths {
	p := &paths{gateway: g, changed: newNotifier()}
	p.Paths = tunnel.NewPaths(tunnel.PathsConfig{
		Dialer: g.dialer, Now: g.now, AskDirectly: p.askDirectly, AskAny: p.askAny, Pick: p.pick, BackEnds: p.askableCount,
		Patience: p.patienceAt,
		OnLost:   p.onLost, OnRestored: p.onRestored,
	})
	return p
}

// compares reports whether the gateway compares its paths with those of peers, if there are any.
func (p *paths) compares() bool {
	hasPeers := slices.ContainsFunc(p.gateway.tunnelPeers(), func(group []string) bool { return len(group) > 0 })
	return hasPeers && p.gateway.enabled(mechanism.PathComparison)
}

// suspectLater suspects the path to an attempt's back end if no head comes for long.
func (p *paths) suspectLater(a *attempt) *time.Timer {
	if a.conn.peer != "" || !p.compares() {
		return nil
	}
	patience := time.Duration(headPatienceFactor * float64(p.gateway.congestion.meanWait(a.exchange.service.Name)))
	return time.AfterFunc(max(minHeadPatience, patience), func() {
		if a.awaitsHead.Load() && !p.IsProvenSince(a.sentAt) {
			p.SuspectSilence(a.row.entry.Address, a.sentAt)
		}
	})
}

// patienceAt is patience for the service of the back end at an address.
func (p *paths) patienceAt(address string) time.Duration {
	name, _ := p.gateway.table.serviceAt(address)
	return p.patience(name)
}

// patience returns how long a reply to a question to a back end of a service may take before its path is compared with peers'.
func (p *paths) patience(service string) time.Duration {
	mean := p.gateway.table.replyMean(service)
	if mean == 0 {
		return minHeadPatience
	}
	return max(minQuestionPatience, patienceFactor*mean)
}

// onLost makes requests go through peers. What waited on direct connections tells nothing of the back ends' capacity.
func (p *paths) onLost(state reachability.State, unansweredFor time.Duration) {
	g := p.gateway
	g.log.info(events.PathsLost, zap.Stringer("state", state), zap.Duration("unanswered_for", unansweredFor))
	g.metrics.disconnections.WithLabelValues(state.String()).Inc()
	if state == reachability.Disconnected {
		g.congestion.forgetDirect()
		g.congestion.restartConnections()
		for _, sent := range g.table.waitingDirectly() {
			go sent.abandonPath()
		}
	}
	p.notify()
}

func (p *paths) onRestored() {
	p.gateway.pool.closeTunnels()
	p.gateway.congestion.restartConnections()
	p.gateway.log.info(events.PathsRestored)
	p.notify()
}

// notify wakes the requests that wait for a path or for a connection.
func (p *paths) notify() {
	p.changed.Notify()
	p.gateway.congestion.changed.Notify()
}

// askDirectly asks a back end a question on a new direct connection, which is kept for requests.
func (p *paths) askDirectly(ctx context.Context, address string) error {
	row := p.gateway.table.rowAt(address)
	if row == nil {
		return errNoQuestion
	}
	dialed, err := p.gateway.dialDirect(ctx, address)
	if err != nil {
		return err
	}
	return p.askOn(ctx, p.gateway.pool.wrap(dialed, "", nil), row)
}

// askAny asks a back end a question on an idle direct connection, if its service isn't short of capacity.
func (p *paths) askAny(ctx context.Context) error {
	for _, row := range p.gateway.table.readyRows() {
		if p.gateway.questionPath(row) == "" || p.gateway.isCongested(row.entry.Service) {
			continue
		}
		if idle := p.gateway.pool.reuse(connectionRequest{instance: row.entry.ID, maxIdle: maxIdleRetryable}, false); idle != nil {
			return p.askOn(ctx, idle, row)
		}
	}
	return errNoQuestion
}

// askOn asks a back end a question on a connection, which is kept for requests.
func (p *paths) askOn(ctx context.Context, conn *connection, row *endpoint) error {
	g := p.gateway
	path, askedAt := g.questionPath(row), g.now()
	if path == "" {
		_ = conn.Close()
		return errNoQuestion
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reply := g.askForReply(conn, row, path)
	if !stop() {
		return context.Cause(ctx)
	}
	reply.askedAt = askedAt
	g.recordReply(conn, row, reply)
	if reply.err != nil {
		_ = conn.Close()
	} else {
		g.pool.put(row.entry.ID, conn)
	}
	if errors.Is(reply.err, errConnectionEnds) {
		return nil
	}
	return reply.err
}

// pick returns up to a number of back ends that can be asked a question, in random order.
func (p *paths) pick(count int) (picked []string) {
	rows := p.gateway.table.readyRows()
	for _, i := range rand.Perm(len(rows)) {
		if len(picked) < count && p.gateway.questionPath(rows[i]) != "" {
			picked = append(picked, rows[i].entry.Address)
		}
	}
	return picked
}

// askableCount returns the number of back ends that can be asked a question.
func (p *paths) askableCount() (count int) {
	for _, row := range p.gateway.table.readyRows() {
		if p.gateway.questionPath(row) != "" {
			count++
		}
	}
	return count
}

// questionPath returns the path of a question that takes a back end no time, or "".
func (g *Gateway) questionPath(row *endpoint) string {
	service := g.service(row.entry.Service)
	if service == nil {
		return ""
	}
	return g.checkPath(service)
}

// abandonPath ends an attempt that waits for its response on a lost path, if another one may follow.
func (a *attempt) abandonPath() {
	if a.awaitsHead.Load() && a.exchange.route.Retryable() && !a.exchange.isSuspect() && a.exchange.reserveRetry(a.ctx) {
		a.cancel(errPathLost)
	}
}

// waitingDirectly returns the attempts that wait for a response on direct connections.
func (t *table) waitingDirectly() (attempts []*attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for sent := range t.waiting {
		if sent.conn != nil && sent.conn.peer == "" {
			attempts = append(attempts, sent)
		}
	}
	return attempts
}

// readyRows returns the back ends that take requests.
func (t *table) readyRows() (rows []*endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.rows {
		if !row.gone && row.acceptsRequests() {
			rows = append(rows, row)
		}
	}
	return rows
}

package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minLifeCheckWait is how long an attempt waits at least for the reply to the question which incarnation answers on a
	// connection. Where replies take longer, it waits lifeCheckFactor times as long as they took, for at most
	// maxLifeCheckShare of the time that its request has left.
	minLifeCheckWait  = 250 * time.Millisecond
	lifeCheckFactor   = 2
	maxLifeCheckShare = 0.5
	// lateLifeCheckTimeout bounds the question itself. A reply that no attempt waits for any more still tells which
	// incarnation the connection belongs to, so that another request may use it.
	lateLifeCheckTimeout = 15 * time.Second
	// maxLateLifeChecks is how many such replies are awaited at once.
	maxLateLifeChecks = 64
	// maxLifeReply bounds the size of a reply.
	maxLifeReply = 64 << 10
	// maxConnections is how many connections an attempt tries if the back end ends them, or paths are lost.
	maxConnections = 4
	// lifeReplySmoothing is the weight of the newest reply in the mean time of a service's replies.
	lifeReplySmoothing = 0.2
)

var (
	// errOtherIncarnation: another incarnation of the back end answers than the one that was chosen.
	errNoQuestion       = eris.New("the back end can't be asked a question")
	errOtherIncarnation = eris.New("other incarnation")
	// errConnectionEnds: the back end ends the connection with its reply.
	errConnectionEnds = eris.New("the connection ends with the question for the incarnation")
	// errLifeReplyLate: the back end has not told yet which incarnation it is.
	errLifeReplyLate = eris.New("no reply in time to the question for the incarnation")
	// errPathLost: the back end is reached through peers only. It is also the cancellation cause of attempts on such a path.
	errPathLost = eris.New("the direct path to the back end is lost")
)

// lifeReply is the reply to the question which incarnation answers on a connection.
type lifeReply struct {
	startedMS int64 // if hasStart
	hasStart  bool
	askedAt   time.Duration
	took      time.Duration
	err       error // errConnectionEnds if the reply is valid, but the last one on the connection
}

// needsLifeCheck reports whether it matters which incarnation gets the request, although the back end itself can't tell: one
// that restarts under its earlier name may have another software version. Only engines state when they started.
func (a *attempt) needsLifeCheck() bool {
	x := a.exchange
	return a.row.incarnation.StartedMS > 0 && x.service.Engine && x.route.Streaming && (x.route.Resumable || x.origin.takesUp)
}

// checkConnection makes sure that the connection is one to the chosen incarnation, where that matters, and asks a question on a new
// one that is to tell whether the back ends are out of capacity. A connection never changes its incarnation, so each is checked once.
// With errLifeReplyLate the connection is no longer the attempt's.
func (a *attempt) checkConnection() error {
	x := a.exchange
	checksLife := a.needsLifeCheck() && !a.conn.lifeChecked
	if !checksLife && !a.conn.isUnchecked() && !a.isPathUnproven() {
		return nil
	}
	askedAt := x.gateway.now()
	replies := make(chan lifeReply, 1)
	conn := a.conn
	go func() {
		var reply lifeReply
		if checksLife {
			reply = x.gateway.askStartTime(conn, a.row)
		} else {
			reply = x.gateway.askForReply(conn, a.row, x.gateway.checkPath(x.service))
		}
		reply.askedAt = askedAt
		x.gateway.recordReply(conn, a.row, reply)
		replies <- reply
	}()
	reply, err := a.awaitLifeReply(askedAt, replies)
	switch {
	case err == errPathLost:
		x.gateway.awaitLateLifeReply(conn, a.row, replies, nil)
		return err
	case err != nil:
		if conn.peer == "" && x.gateway.paths.IsProvenSince(askedAt) {
			x.gateway.table.recordUnanswered(x.gateway.now(), a.row.entry.Address) // others have answered meanwhile
		}
		a.waitHandedOver = true
		x.gateway.awaitLateLifeReply(conn, a.row, replies, a.wait)
		return err
	}
	return x.gateway.applyLifeReply(conn, a.row, reply)
}

// isPathUnproven reports whether a request that may run once only could be lost on the attempt's connection: back ends have answered
// before, but not lately. Where requests are limited that is no sign.
func (a *attempt) isPathUnproven() bool {
	x := a.exchange
	g := x.gateway
	return !x.route.Retryable() && a.conn.peer == "" && g.paths.compares() && g.paths.IsStale() && g.questionPath(a.row) != "" && !g.congestion.isLimited(x.service.Name)
}

// awaitLifeReply waits for the reply to a question. It returns errPathLost once the path that the question took is known to be lost,
// and errLifeReplyLate if the reply doesn't come in time.
func (a *attempt) awaitLifeReply(askedAt time.Duration, replies <-chan lifeReply) (lifeReply, error) {
	x := a.exchange
	wait := time.NewTimer(a.lifeCheckWait())
	defer wait.Stop()
	suspicion := time.NewTimer(x.gateway.paths.patience(x.service.Name))
	defer suspicion.Stop()
	for {
		changed := x.gateway.paths.changed.Next()
		if a.conn.peer == "" && x.gateway.dialer.MayBypass(a.row.entry.Address, false) {
			return lifeReply{}, errPathLost
		}
		select {
		case reply := <-replies:
			return reply, nil
		case <-changed:
		case <-suspicion.C:
			suspicion.Reset(x.gateway.paths.patience(x.service.Name))
			if a.conn.peer == "" && x.gateway.paths.compares() {
				x.gateway.paths.Suspect(a.row.entry.Address, askedAt)
			}
		case <-wait.C:
			return lifeReply{}, errLifeReplyLate
		case <-a.ctx.Done():
			return lifeReply{}, errLifeReplyLate
		}
	}
}

// recordReply records what the reply to a question, or its lack, shows about the path that the question took.
func (g *Gateway) recordReply(conn *connection, row *endpoint, reply lifeReply) {
	if reply.err != nil && reply.err != errConnectionEnds {
		return
	}
	g.table.recordReplyTime(row.entry.Service, g.now()-reply.askedAt)
	g.recordAnswer(conn, row, reply.askedAt)
}

// recordAnswer records that a back end began to answer what was sent to it at sentAt, for the path that the connection takes.
func (g *Gateway) recordAnswer(conn *connection, row *endpoint, sentAt time.Duration) {
	if conn.peer != "" {
		g.dialer.RecordAnswer(conn.peer)
		return
	}
	g.paths.RecordAnswer(row.entry.Address, sentAt, !conn.reused)
}

// lifeCheckWait returns how long the attempt waits for the reply. Where all back ends answer late, another one would not reply
// any sooner.
func (a *attempt) lifeCheckWait() time.Duration {
	x := a.exchange
	if x.gateway.congestion.isLimited(x.service.Name) {
		return x.deadline - x.gateway.now()
	}
	if !a.needsLifeCheck() && !a.conn.isUnchecked() { // only the path is unproven, and that of another back end isn't any better
		return time.Duration(maxLifeCheckShare * float64(x.deadline-x.gateway.now()))
	}
	expected := lifeCheckFactor * x.gateway.table.lifeReplyTime(a.row)
	left := time.Duration(maxLifeCheckShare * float64(x.deadline-x.gateway.now()))
	if x.unreachableCount > 0 {
		expected = left // the back end before was late as well
	}
	return max(minLifeCheckWait, min(expected, left))
}

// applyLifeReply evaluates a reply for a connection to a back end.
func (g *Gateway) applyLifeReply(conn *connection, row *endpoint, reply lifeReply) error {
	if reply.err != nil && reply.err != errConnectionEnds {
		return reply.err
	}
	if !reply.hasStart {
		return reply.err
	}
	g.table.recordLifeReply(row, reply.took)
	if reply.startedMS != row.incarnation.StartedMS {
		g.table.recordUnreachable(g.now(), row) // until control names the new one
		return errOtherIncarnation
	}
	conn.lifeChecked = true
	return reply.err
}

// awaitLateLifeReply keeps a connection for other requests once a reply comes that no attempt waits for any more.
func (g *Gateway) awaitLateLifeReply(conn *connection, row *endpoint, replies <-chan lifeReply, wait *serviceWait) {
	if g.lateLifeChecks.Add(1) > maxLateLifeChecks {
		g.lateLifeChecks.Add(-1)
		wait.end()
		_ = conn.Close()
		return
	}
	go func() {
		defer g.lateLifeChecks.Add(-1)
		defer wait.end()
		defer time.AfterFunc(countedLateTime, wait.end).Stop()
		if err := g.applyLifeReply(conn, row, <-replies); err != nil {
			_ = conn.Close()
			return
		}
		g.metrics.lateLifeReplies.Inc()
		g.pool.put(row.entry.ID, conn)
	}()
}

// askStartTime asks on a connection when the back end started.
func (g *Gateway) askStartTime(conn *connection, row *endpoint) (reply lifeReply) {
	askedAt := g.now()
	defer func() { reply.took = g.now() - askedAt }()
	response, body, err := g.ask(conn, row, g.dialect.StatePath())
	if err == nil && response.StatusCode != http.StatusOK {
		err = eris.New(response.Status)
	}
	if err != nil {
		return lifeReply{err: eris.Wrap(err, "ask for the incarnation")}
	}
	startedMS, err := g.dialect.ReadStartTime(body)
	if err == nil && !conn.readKeepAlive(response) {
		err = errConnectionEnds
	}
	return lifeReply{startedMS: startedMS, hasStart: true, err: err}
}

// askForReply asks a question on a connection, whatever the reply.
func (g *Gateway) askForReply(conn *connection, row *endpoint, path string) lifeReply {
	response, _, err := g.ask(conn, row, path)
	if response != nil && (err != nil || !conn.readKeepAlive(response)) {
		err = errConnectionEnds
	}
	return lifeReply{err: err}
}

// ask sends a question on a connection and reads the whole reply.
func (g *Gateway) ask(conn *connection, row *endpoint, path string) (*http.Response, []byte, error) {
	_ = conn.SetDeadline(time.Now().Add(lateLifeCheckTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	defer conn.head.ReleaseHead()
	question := "GET " + path + " HTTP/1.1\r\nHost: " + row.entry.Address + "\r\n\r\n"
	if _, err := io.WriteString(conn, question); err != nil {
		return nil, nil, err
	}
	response, err := conn.readResponse(http.MethodGet, g.dialect.SingleHeaders())
	if err != nil {
		return nil, nil, err
	}
	conn.opening.checked()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLifeReply+1))
	_ = response.Body.Close()
	if err == nil && len(body) > maxLifeReply {
		err = errEndlessBody
	}
	return response, body, err
}

// lifeReplyMean returns the mean time of a service's replies to the question for the incarnation, or 0.
func (t *table) lifeReplyMean(service string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.lifeReplyTimes[service]
}

// replyMean returns the mean time of a service's replies to questions that take no time by themselves, or 0.
func (t *table) replyMean(service string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.replyTimes[service]
}

// recordReplyTime records how long such a reply took.
func (t *table) recordReplyTime(service string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.replyTimes[service] += time.Duration(lifeReplySmoothing * float64(took-t.replyTimes[service]))
}

// lifeReplyTime returns how long replies to the question for the incarnation are expected to take: as long as the last one of
// the back end, or the mean of its service if that is longer.
func (t *table) lifeReplyTime(row *endpoint) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(row.lifeReplyTime, t.lifeReplyTimes[row.entry.Service])
}

// recordLifeReply records how long a reply took.
func (t *table) recordLifeReply(row *endpoint, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row.lifeReplyTime = took
	mean, known := t.lifeReplyTimes[row.entry.Service]
	if !known {
		mean = took
	}
	t.lifeReplyTimes[row.entry.Service] = mean + time.Duration(lifeReplySmoothing*float64(took-mean))
}

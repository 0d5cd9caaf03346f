package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"kitetiller/internal/events"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/streamcopy"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

// startCaution is how long after its start an engine gets copies only if no other one qualifies. Engines that crash
// repeatedly do so every few seconds.
const startCaution = 12 * time.Second

// defaultCopyTTL is how long a copy is taken to last after its run broke off, if the document does not say.
const defaultCopyTTL = 5 * time.Second

// copiedRun is the state of a stream's run of which another engine may keep a copy.
type copiedRun struct {
	version        uint64 // of the weights that the run began with
	namespace      namespace
	salt           string
	order          streamcopy.Order
	relayed        int            // events
	head           *http.Response // signed response head of the run; nil before it is received
	latestAt       time.Duration  // when the head or the latest event arrived
	versionChanged bool           // another version than that of the run was named
	continuations  int            // so far
	copyAt         string         // ID of the engine that was last asked to keep a copy, or ""
	copyAddress    string         // its address
	continuedAt    string         // address of the engine at which the run goes on; "" before that
	latestRefusal  streamcopy.Refusal
}

// keptCopies counts the copies that an engine keeps for this gateway's runs. The table's mutex guards it.
type keptCopies struct {
	count, tokens int
	expiring      []expiringCopy // of runs that broke off
}

// expiringCopy is a copy that its engine drops at a time.
type expiringCopy struct {
	at     time.Duration
	tokens int
}

func (k *keptCopies) add(tokens int)    { k.count, k.tokens = k.count+1, k.tokens+tokens }
func (k *keptCopies) remove(tokens int) { k.count, k.tokens = k.count-1, k.tokens-tokens }

// sweep removes copies that have expired.
func (k *keptCopies) sweep(now time.Duration) {
	k.expiring = slices.DeleteFunc(k.expiring, func(e expiringCopy) bool {
		if e.at > now {
			return false
		}
		k.remove(e.tokens)
		return true
	})
}

// copiesStreams reports whether the request's stream is one that goes on at the engine which keeps a copy of its run.
// Streams that may be resumed anywhere need none.
func (x *exchange) copiesStreams() bool {
	return x.view.critical[x.service.Name] && x.view.offer(x.service.Name).KeepsCopies && x.service.Engine && x.route.Streaming &&
		!x.route.Retryable() && x.call.ID != "" && x.gateway.enabled(mechanism.StreamCopies)
}

// arrangeCopy chooses the engine that keeps a copy of the run, if the stream is one of those.
func (a *attempt) arrangeCopy() {
	x := a.exchange
	if !x.copiesStreams() {
		return
	}
	if !a.continues {
		eventTokens := x.view.offer(x.service.Name).EventTokens
		x.copied = &copiedRun{version: a.plan.version, namespace: a.plan.namespace, salt: a.plan.salt, order: streamcopy.NewOrder(eventTokens, x.call.LastEvent)}
	}
	x.copied.copyAt = ""
	a.copyAt, x.copied.copyAddress = x.gateway.chooseCopy(x.gateway.now(), a)
	if a.copyAt == nil {
		x.gateway.metrics.streamCopies.WithLabelValues(streamCopyNone).Inc()
		return
	}
	x.copied.copyAt = a.copyAt.incarnation.ID()
	x.gateway.metrics.streamCopies.WithLabelValues(streamCopyAsked).Inc()
}

// copyTokens returns how many tokens of memory a copy of the run takes at most.
func copyTokens(call *Call) int {
	return max(call.PromptTokens, prefix.PartTokens(call.Parts)) + call.OutputTokens
}

// chooseCopy returns the engine that keeps a copy of an attempt's run, and its address, and counts the copy there. It
// returns nil if there is none.
func (g *Gateway) chooseCopy(now time.Duration, a *attempt) (keeper *endpoint, address string) {
	x := a.exchange
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	rows := g.table.services[x.service.Name]
	tokens := copyTokens(&x.call)
	linkWait := g.table.links.Wait(now, a.row.entry.Address)
	transfer := func(crossZone bool) time.Duration {
		return linkWait + belief.FromMilliseconds(transferTime(x.service, x.service.LinkMbps, tokens, crossZone))
	}
	eventTokens := x.view.offer(x.service.Name).EventTokens
	run := streamcopy.Run{
		// With the time of arrival, a caller's retry under the same ID mostly has its copy elsewhere than the first try,
		// whose copy the engine may still keep.
		Seed: xxhash.Sum64String(x.call.ID) ^ uint64(x.arrived), Zone: a.row.entry.Zone, Version: a.plan.version, Software: a.row.software.Name(), Tokens: tokens,
		OutputTokens: x.call.OutputTokens - x.copied.relayed*max(1, eventTokens), EventTokens: eventTokens,
		Transfer: transfer(false), CrossZoneTransfer: transfer(true),
	}
	at := streamcopy.Choose(run, len(rows), func(i int) streamcopy.Engine { return g.copyKeeper(now, rows[i], x) })
	if at < 0 {
		return nil, ""
	}
	rows[at].copies.add(tokens)
	return rows[at], rows[at].entry.Address
}

// copyKeeper returns what is known of an engine that might keep a copy. The caller holds the table's mutex.
func (g *Gateway) copyKeeper(now time.Duration, row *endpoint, x *exchange) streamcopy.Engine {
	load := row.occupancy.Total()
	return streamcopy.Engine{
		Hash: row.hash, Zone: row.entry.Zone, Version: row.entry.Versions[x.call.Model], Software: row.software.Name(), Running: load.Running, Slots: row.entry.Slots,
		Usable:      g.mayKeepCopies(now, row) && !slices.Contains(x.tried, row),
		JustStarted: now-row.joinedAt < startCaution,
		UsedTokens:  load.Tokens, MemoryTokens: x.service.CacheTokens, Copies: row.copies.count, CopyTokens: row.copies.tokens,
	}
}

// mayKeepCopies reports whether an engine can be expected to answer when it is asked to continue a run. The caller holds
// the table's mutex.
func (g *Gateway) mayKeepCopies(now time.Duration, row *endpoint) bool {
	return row.acceptsRequests() && !row.entry.Silent && now >= row.avoidUntil && !row.unresponsive(now) && g.table.restrictionCause(now, row, false) == ""
}

// releaseCopy ends the count of the attempt's copy: at once if the run has ended well or has not begun, else when the
// engine drops the copy.
func (a *attempt) releaseCopy() {
	if a.copyAt == nil {
		return
	}
	x := a.exchange
	ttl := x.copyTTL()
	t := x.gateway.table
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept, tokens := &a.copyAt.copies, copyTokens(&x.call)
	if a.outcome == outcomeSuccess || a.outcome == outcomeRejected {
		kept.remove(tokens)
		return
	}
	kept.expiring = append(kept.expiring, expiringCopy{at: x.gateway.now() + ttl, tokens: tokens})
}

func (x *exchange) copyTTL() time.Duration {
	if ttl := x.view.offer(x.service.Name).CopyTTL; ttl > 0 {
		return ttl
	}
	return defaultCopyTTL
}

// recordStreamHead records the signed head of the run's response, and returns what is wrong with a continuation's, or "".
func (a *attempt) recordStreamHead(response *http.Response, info ResponseInfo) (problem string) {
	c := a.exchange.copied
	if c == nil {
		return ""
	}
	a.sentHead = true
	otherVersion := info.WeightsVersion > 0 && info.WeightsVersion != c.version
	if a.continues {
		if otherVersion {
			return "continuation with other weights"
		}
		return ""
	}
	c.head, c.latestAt = response, a.exchange.gateway.now()
	c.versionChanged = c.versionChanged || otherVersion
	return ""
}

// recordStreamEvent records an event that is about to be relayed, and returns why it must not be, or "".
func (a *attempt) recordStreamEvent(id string, event []byte) (problem string) {
	x := a.exchange
	c := x.copied
	if c == nil {
		return ""
	}
	if a.continues && !c.order.Continues(id) {
		return "continuation repeats or skips events"
	}
	c.order.Relayed(id)
	c.relayed++
	c.latestAt = x.gateway.now()
	c.recordVersion(x.gateway.dialect, event)
	return ""
}

// recordVersion notes whether an event, or the beginning of one, names other weights than those of the run.
func (c *copiedRun) recordVersion(dialect Dialect, event []byte) {
	if version, named := dialect.ReadEventVersion(event); named && version != c.version {
		c.versionChanged = true
	}
}

// recordStreamBreak records how a stream broke off. partial is what was received of the event after the last one.
func (a *attempt) recordStreamBreak(err error, partial []byte) {
	if c := a.exchange.copied; c != nil {
		c.recordVersion(a.exchange.gateway.dialect, partial)
		a.endedByEngine = a.ctx.Err() == nil && a.requestWritten() && endsConnection(err) && a.conn.endedByPeer()
	}
}

// endsConnection reports whether an error of reading a response may mean that the other side has ended the connection. A
// time-out of TCP means that it is silent, and a response that is not valid means nothing.
func endsConnection(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// requestWritten reports whether the whole request was written. While it is not, a failed write may have consumed the
// error that tells why the connection ended.
func (a *attempt) requestWritten() bool {
	select {
	case err := <-a.writeDone:
		a.writeDone <- err
		return err == nil
	default:
		return false
	}
}

// endedByPeer reports whether the other side has closed or reset the connection. A response that ends too early on a
// connection that is still open does not show that the back end has stopped working on the request.
func (c *connection) endedByPeer() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		n, _, errno := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = errno == nil && n == 0 || errno == unix.ECONNRESET
		return true
	})
	return err == nil && ended
}

// prepareContinuation reports whether a stream that broke off goes on at the engine that keeps the copy of its run; the
// next attempt is then sent there. The connection to the first engine is closed by now.
func (x *exchange) prepareContinuation(a *attempt, broken result) bool {
	c := x.copied
	if c == nil || broken.kind != resultUnknown {
		return false
	}
	x.mayHaveRun = true
	refusal := x.describeBreak(a).MayContinue()
	if refusal == streamcopy.Allowed {
		a.awaitCrashCheck() // the request may be one that ends its engines
		refusal = x.describeBreak(a).MayContinue()
	}
	if refusal == streamcopy.Allowed && !x.gateway.acquireRetry(x.ctx, x.service.Name) {
		refusal = streamcopy.OverBudget
	}
	if refusal != streamcopy.Allowed {
		c.latestRefusal = refusal
		x.gateway.metrics.continuations.WithLabelValues(string(refusal)).Inc()
		x.gateway.log.info(events.StreamNotContinued, zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, a.row.entry.ID),
			zap.String(events.FieldCopyAt, c.copyAt), zap.String(events.FieldReason, string(refusal)), zap.String("event", x.lastEvent))
		return false
	}
	x.gateway.metrics.retries.Inc()
	c.continuations, c.continuedAt = c.continuations+1, c.copyAddress
	x.continuation = &candidate{row: a.copyAt, version: c.version, namespace: c.namespace, salt: c.salt}
	x.gateway.log.info(events.StreamContinued, zap.String(events.FieldRequest, x.call.ID), zap.String(events.FieldInstance, a.row.entry.ID),
		zap.String(events.FieldCopyAt, c.copyAt), zap.String("event", x.lastEvent), zap.Duration("pause", x.gateway.now()-c.latestAt))
	return true
}

// describeBreak returns what is known of a stream that broke off.
func (x *exchange) describeBreak(a *attempt) streamcopy.Break {
	g, c := x.gateway, x.copied
	now := g.now()
	b := streamcopy.Break{
		HasCopy: a.copyAt != nil, SignedHead: a.sentHead, EndedByEngine: a.endedByEngine, Canceled: x.ctx.Err() != nil, CallerGone: x.request.Context().Err() != nil,
		EventIDs: c.order.Numbered(), Version: c.version, VersionChanged: c.versionChanged, SinceLastEvent: now - c.latestAt, CopyTTL: x.copyTTL(),
		TimeLeft: x.deadline - now, MaxPause: x.route.MaxEventGap, Continuations: c.continuations,
		Suspect: x.isSuspect(), KeyUnconfirmed: x.keyRequired && !g.trusted(now),
	}
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	b.EngineSoftware = a.row.software.Name()
	b.EngineVersion, b.EngineLoading = a.row.entry.Versions[x.call.Model], a.row.entry.Loading
	if a.copyAt != nil {
		b.CopyKnown = !a.copyAt.gone
		b.CopyUsable = a.copyAt.acceptsRequests() && g.table.restrictionCause(now, a.copyAt, false) == ""
		b.CopyVersion = a.copyAt.entry.Versions[x.call.Model]
		b.CopySoftware = a.copyAt.software.Name()
	}
	return b
}

// copyFields returns the log fields of a request whose run was to be copied.
func (x *exchange) copyFields() []zap.Field {
	c := x.copied
	if c == nil {
		return nil
	}
	fields := []zap.Field{zap.String(events.FieldCopyAt, c.copyAt)}
	if c.continuations > 0 {
		fields = append(fields, zap.Int(events.FieldContinued, c.continuations))
	}
	if c.latestRefusal != streamcopy.Allowed {
		fields = append(fields, zap.String(events.FieldNotContinued, string(c.latestRefusal)))
	}
	return fields
}

// recordContinuation counts the result of an attempt to continue a stream.
func (x *exchange) recordContinuation(a *attempt, res result) {
	if a.continues {
		x.gateway.metrics.continuations.WithLabelValues(res.kind.String()).Inc()
	}
}

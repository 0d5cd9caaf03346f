package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/mechanism"
)

const (
	// cacheReadInterval is the pause between two reads of an engine's cache events. Events of that time arrive
	// together.
	cacheReadInterval = 80 * time.Millisecond
	// minCacheReadSpacing is the minimum mean pause between reads of any engines: the more engines a gateway reads, the
	// less often it reads each.
	minCacheReadSpacing = 10 * time.Millisecond
	// minCacheRetryInterval is the pause after a failed read. It doubles with each consecutive failure, up to
	// maxCacheRetryInterval.
	minCacheRetryInterval = 200 * time.Millisecond
	maxCacheRetryInterval = 3 * time.Second
	// cacheListInterval is the minimum time between two listings of one engine's cache, since they block the engine's
	// work.
	cacheListInterval = 2 * time.Second
	// cacheAliveInterval is how often a gateway announces to the others that it reads an engine's cache events.
	cacheAliveInterval = time.Second
)

// cacheFollowers are the goroutines that read cache events, one for each engine assigned to this gateway.
type cacheFollowers struct {
	mu      sync.Mutex
	running map[string]context.CancelFunc // by instance; guarded by mu
	threads sync.WaitGroup
}

func newCacheFollowers() *cacheFollowers {
	return &cacheFollowers{running: map[string]context.CancelFunc{}}
}

// assign starts and stops goroutines so that exactly the given engines are read.
func (f *cacheFollowers) assign(ctx context.Context, ids []string, read func(ctx context.Context, id string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, cancel := range f.running {
		if !slices.Contains(ids, id) {
			cancel()
			delete(f.running, id)
		}
	}
	for _, id := range ids {
		if f.running[id] != nil || ctx.Err() != nil {
			continue
		}
		run, cancel := context.WithCancel(ctx)
		f.running[id] = cancel
		f.threads.Go(func() { read(run, id) })
	}
}

// count returns the number of engines being read.
func (f *cacheFollowers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}

// assignCaches reads the caches of the engines that control assigned to this gateway.
func (g *Gateway) assignCaches(ctx context.Context, reply *control.WatchReply) {
	if g.cacheReader != nil && g.enabled(mechanism.CacheEvents) {
		g.followers.assign(ctx, reply.CacheEventSources, g.followCache)
	}
}

// cacheCursor is the read position in an engine's cache events.
type cacheCursor struct {
	incarnation, nextEvent uint64
	startedMS              int64 // start time of the incarnation in Unix milliseconds
	listed                 bool  // the cache of this incarnation was listed
	listedAt               time.Duration
	aliveAt                time.Duration
	failures               int // consecutive
}

// followCache reads one engine's cache events until ctx ends.
func (g *Gateway) followCache(ctx context.Context, id string) {
	cursor := cacheCursor{listedAt: -cacheListInterval, aliveAt: -cacheAliveInterval}
	for ctx.Err() == nil {
		interval := max(cacheReadInterval, time.Duration(g.followers.count())*minCacheReadSpacing)
		queried, err := g.readCache(ctx, id, &cursor)
		switch {
		case err != nil:
			interval = min(minCacheRetryInterval<<min(cursor.failures, 10), maxCacheRetryInterval)
			g.recordCacheError(id, &cursor, err)
		case queried:
			cursor.failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// recordCacheError counts a failed read, and logs the first of consecutive failures.
func (g *Gateway) recordCacheError(id string, cursor *cacheCursor, err error) {
	cursor.failures++
	g.metrics.cacheReadFailures.Inc()
	if cursor.failures == 1 {
		g.log.info(events.CacheReadFailed, zap.String(events.FieldInstance, id), zap.String(events.FieldCause, err.Error()))
	}
}

// readCache queries an engine once and applies its report. It returns false if it did not query the engine, because
// that is too early, the engine is gone or it requested a backoff.
func (g *Gateway) readCache(ctx context.Context, id string, cursor *cacheCursor) (queried bool, err error) {
	address, open := g.table.cacheAddress(g.now(), id)
	if !open {
		return false, nil
	}
	if !cursor.listed {
		return g.listCache(ctx, id, address, cursor)
	}
	report, err := g.cacheReader.Events(ctx, address, cursor.nextEvent)
	g.handleCachePushback(id, report)
	if err != nil {
		return true, err
	}
	if report.EventsLost || report.Incarnation != cursor.incarnation || report.StartedMS != cursor.startedMS || report.NextEvent < cursor.nextEvent {
		cursor.listed = false // a listing recovers the missing events
		return true, nil
	}
	cursor.nextEvent = report.NextEvent
	g.applyCache(id, cursor, report, false)
	return true, nil
}

// listCache lists an engine's cache, unless it did so less than cacheListInterval ago.
func (g *Gateway) listCache(ctx context.Context, id, address string, cursor *cacheCursor) (queried bool, err error) {
	if g.now() < cursor.listedAt+cacheListInterval {
		return false, nil
	}
	cursor.listedAt = g.now()
	report, err := g.cacheReader.List(ctx, address)
	g.handleCachePushback(id, report)
	if err != nil {
		return true, err
	}
	cursor.incarnation, cursor.startedMS, cursor.nextEvent, cursor.listed = report.Incarnation, report.StartedMS, report.NextEvent, true
	g.applyCache(id, cursor, report, true)
	return true, nil
}

// applyCache applies an engine's report and sends the differences from the previous estimate to the other gateways.
func (g *Gateway) applyCache(id string, cursor *cacheCursor, report CacheReport, full bool) {
	now := g.now()
	corrections := g.table.applyCacheReport(now, id, report.Parts, full)
	if len(corrections) == 0 && now >= cursor.aliveAt+cacheAliveInterval {
		corrections = []announcement{{Gateway: g.shortName, Instance: id, CacheReport: true}}
	}
	for _, correction := range corrections {
		correction.Gateway, correction.Instance, correction.CacheReport = g.shortName, id, true
		cursor.aliveAt = now
		g.peers.announce(correction)
	}
}

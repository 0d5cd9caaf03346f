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
	// cacheReadInterval is the pause between two questions to an engine for its cache events: news of that time come together.
	cacheReadInterval = 80 * time.Millisecond
	// minCacheReadSpacing is the least time between two such questions to any engines: who reads many reads each more seldom.
	minCacheReadSpacing = 10 * time.Millisecond
	// minCacheRetryInterval is the pause after a question that failed, doubled up to cacheRetryMost.
	minCacheRetryInterval = 200 * time.Millisecond
	maxCacheRetryInterval = 3 * time.Second
	// cacheListInterval is the least time between two lists of one engine, since they hold up its work.
	cacheListInterval = 2 * time.Second
	// cacheAliveInterval is how often a reader tells the others that an engine's cache is being read.
	cacheAliveInterval = time.Second
)

// cacheFollowers are the threads that read engines' cache events, one for each engine that control has given this gateway.
type cacheFollowers struct {
	mu      sync.Mutex
	running map[string]context.CancelFunc // by instance; guarded by mu
	threads sync.WaitGroup
}

func newCacheFollowers() *cacheFollowers {
	return &cacheFollowers{running: map[string]context.CancelFunc{}}
}

// assign starts and ends threads so that just the given engines are read.
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

// count returns the engines that are read.
func (f *cacheFollowers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running)
}

// assignCaches follows the caches that control has given this gateway.
func (g *Gateway) assignCaches(ctx context.Context, reply *control.WatchReply) {
	if g.reader != nil && g.on(mechanism.CacheEvents) {
		g.followers.assign(ctx, reply.Reads, g.followCache)
	}
}

// cacheCursor is how far an engine's events have been read.
type cacheCursor struct {
	incarnation, nextEvent uint64
	startedMS              int64 // of that life, in Unix ms
	listed                 bool  // the list of this life was read
	listedAt               time.Duration
	aliveAt                time.Duration
	failures               int // in a row
}

// followCache is the thread that reads one engine's cache events.
func (g *Gateway) followCache(ctx context.Context, id string) {
	cursor := cacheCursor{listedAt: -cacheListInterval, aliveAt: -cacheAliveInterval}
	for ctx.Err() == nil {
		interval := max(cacheReadInterval, time.Duration(g.followers.count())*minCacheReadSpacing)
		asked, err := g.readCache(ctx, id, &cursor)
		switch {
		case err != nil:
			interval = min(minCacheRetryInterval<<min(cursor.failures, 10), maxCacheRetryInterval)
			g.recordCacheError(id, &cursor, err)
		case asked:
			cursor.failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// recordCacheError counts a question that failed, and logs the first of a row.
func (g *Gateway) recordCacheError(id string, cursor *cacheCursor, err error) {
	cursor.failures++
	g.metrics.unread.Inc()
	if cursor.failures == 1 {
		g.log.note(events.CacheUnread, zap.String(events.FieldInstance, id), zap.String(events.FieldCause, err.Error()))
	}
}

// readCache asks an engine once and takes up what it tells. It may be too early to ask, the engine may be gone, or it wants rest.
func (g *Gateway) readCache(ctx context.Context, id string, cursor *cacheCursor) (asked bool, err error) {
	address, open := g.table.cacheAddress(g.now(), id)
	if !open {
		return false, nil
	}
	if !cursor.listed {
		return g.listCache(ctx, id, address, cursor)
	}
	report, err := g.reader.Events(ctx, address, cursor.nextEvent)
	g.handleCachePushback(id, report)
	if err != nil {
		return true, err
	}
	if report.EventsLost || report.Incarnation != cursor.incarnation || report.StartedMS != cursor.startedMS || report.NextEvent < cursor.nextEvent {
		cursor.listed = false // what is missing stands in the list
		return true, nil
	}
	cursor.nextEvent = report.NextEvent
	g.applyCache(id, cursor, report, false)
	return true, nil
}

// listCache reads all that an engine keeps, unless it was asked for that a moment ago.
func (g *Gateway) listCache(ctx context.Context, id, address string, cursor *cacheCursor) (asked bool, err error) {
	if g.now() < cursor.listedAt+cacheListInterval {
		return false, nil
	}
	cursor.listedAt = g.now()
	report, err := g.reader.List(ctx, address)
	g.handleCachePushback(id, report)
	if err != nil {
		return true, err
	}
	cursor.incarnation, cursor.startedMS, cursor.nextEvent, cursor.listed = report.Incarnation, report.StartedMS, report.NextEvent, true
	g.applyCache(id, cursor, report, true)
	return true, nil
}

// applyCache takes up what an engine keeps, and tells the other gateways what they believe otherwise.
func (g *Gateway) applyCache(id string, cursor *cacheCursor, report CacheReport, full bool) {
	now := g.now()
	corrections := g.table.applyCacheReport(now, id, report.Parts, full)
	if len(corrections) == 0 && now >= cursor.aliveAt+cacheAliveInterval {
		corrections = []send{{Gateway: g.nick, Instance: id, Kept: true}}
	}
	for _, correction := range corrections {
		correction.Gateway, correction.Instance, correction.Kept = g.nick, id, true
		cursor.aliveAt = now
		g.spread.own(correction)
	}
}

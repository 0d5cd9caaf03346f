package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/events"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/prefix"
)

const (
	// maxStoreRetryInterval bounds the pause after failed reads of a store, so that it is used soon after it answers
	// again.
	maxStoreRetryInterval = time.Second
	// successorDelay is how long after the last request from this gateway control assigns its stores to another one.
	successorDelay = 2 * time.Second
	// soleReaderTTL is how long after the last request that control answered a read of a store that answers one reader
	// at a time may begin. It ends at successorDelay, since its successor may read then.
	soleReaderTTL = 1500 * time.Millisecond
)

// storeCursor is the read position in a store's cache events.
type storeCursor struct {
	epoch      storeindex.Epoch
	next       uint64
	listed     bool // the contents of this run of the store were listed
	listedAt   time.Duration
	answeredAt time.Duration
	failures   int // consecutive
}

// assignStores reads the stores that control assigned to this gateway.
func (g *Gateway) assignStores(ctx context.Context, reply *control.WatchReply) {
	if g.cacheReader != nil && g.enabled(mechanism.StoreIndex) && g.enabled(mechanism.StoreTransfers) {
		g.storeFollowers.assign(ctx, reply.StoreSources, g.followStore)
	}
}

// followStore reads one store until ctx ends.
func (g *Gateway) followStore(ctx context.Context, address string) {
	defer g.table.releaseStore(g.now, address)
	cursor := storeCursor{listedAt: -cacheListInterval}
	for ctx.Err() == nil {
		interval := cacheReadInterval
		if backoff, err := g.readStore(ctx, address, &cursor); err != nil {
			interval = max(backoff, min(minCacheRetryInterval<<min(cursor.failures, 10), maxStoreRetryInterval))
			cursor.failures++
			g.metrics.cacheReadFailures.Inc()
			if cursor.failures == 1 && ctx.Err() == nil {
				g.log.info(events.StoreReadFailed, zap.String("address", address), zap.String(events.FieldCause, err.Error()))
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// mayReadStore reports whether this gateway is still the reader of a store, as far as it knows.
func (g *Gateway) mayReadStore(address string) bool {
	now := g.now()
	if g.view.Load() == nil || !g.trusted(now) {
		return false
	}
	return !g.hasSoleReader(address) || now-time.Duration(g.confirmedAt.Load()) < soleReaderTTL
}

// hasSoleReader reports whether a store answers one reader at a time.
func (g *Gateway) hasSoleReader(address string) bool {
	current := g.view.Load()
	return current != nil && slices.ContainsFunc(current.stores, func(store *catalog.Service) bool {
		return store.StoreAddress == address && current.offer(store.Name).CacheReaders == 1
	})
}

// readStore queries a store once, applies its report and sends the others what has changed. On an error it returns the
// backoff that the store requested.
func (g *Gateway) readStore(ctx context.Context, address string, cursor *storeCursor) (backoff time.Duration, err error) {
	if !g.mayReadStore(address) {
		return 0, nil
	}
	if g.hasSoleReader(address) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(g.confirmedAt.Load())+successorDelay-g.now())
		defer cancel()
	}
	if cursor.listed && g.now() > cursor.answeredAt+storeindex.SilenceTTL {
		cursor.listed = false // other schedulers, and the index itself, may have dropped parts meanwhile
	}
	if !cursor.listed {
		return g.listStore(ctx, address, cursor)
	}
	report, err := g.cacheReader.Events(ctx, address, cursor.next)
	if err != nil || ctx.Err() != nil {
		return report.Pushback.Backoff, err
	}
	cursor.answeredAt = g.now()
	if report.EventsLost || epochOf(report) != cursor.epoch || report.NextEvent < cursor.next {
		cursor.listed = false // a listing recovers the missing events
		return 0, nil
	}
	g.applyStoreRead(address, cursor, report, false)
	return 0, nil
}

// listStore lists the contents of a store, unless it did so less than cacheListInterval ago.
func (g *Gateway) listStore(ctx context.Context, address string, cursor *storeCursor) (backoff time.Duration, err error) {
	if g.now() < cursor.listedAt+cacheListInterval {
		return 0, nil
	}
	cursor.listedAt = g.now()
	report, err := g.cacheReader.List(ctx, address)
	if err != nil || ctx.Err() != nil {
		return report.Pushback.Backoff, err
	}
	cursor.epoch, cursor.listed, cursor.answeredAt = epochOf(report), true, g.now()
	if g.applyStoreRead(address, cursor, report, true) {
		g.log.info(events.StoreListed, zap.String("address", address), zap.Uint64("epoch", report.Incarnation), zap.Int("parts", len(report.Parts)))
	}
	return 0, nil
}

func epochOf(report CacheReport) storeindex.Epoch {
	return storeindex.Epoch{StartedMS: report.StartedMS, Boot: report.Incarnation}
}

// applyStoreRead applies what was read from a store, announces what has changed, and returns whether the read was
// accepted. If not, the store is listed again, since its events up to the cursor are not sent again.
func (g *Gateway) applyStoreRead(address string, cursor *storeCursor, report CacheReport, full bool) (accepted bool) {
	cursor.next, cursor.failures = report.NextEvent, 0
	read := storeindex.Report{Store: address, Epoch: cursor.epoch, Event: report.NextEvent, Parts: report.Parts}
	updates, accepted := g.table.applyStoreRead(g.now(), read, full)
	if !accepted {
		cursor.listed = false
	}
	for _, update := range updates {
		g.peers.announce(announcement{Gateway: g.shortName, StoreReport: &update})
	}
	return accepted
}

// applyStoreRead applies what was read from a store, and returns the reports to send to the other schedulers and
// whether the read was accepted.
func (t *table) applyStoreRead(now time.Duration, read storeindex.Report, full bool) (updates []storeindex.Report, accepted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.stores.ApplyRead(now, read, full) {
		return nil, false
	}
	return t.stores.Updates(now, read.Store), true
}

// releaseStore records that this gateway no longer reads a store.
func (t *table) releaseStore(now func() time.Duration, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stores.Release(now(), address)
}

// wireStoreReport is the JSON form of a report of a store's contents in an announcement. All parts have one salt.
type wireStoreReport struct {
	Address   string   `json:"a"`
	Boot      uint64   `json:"b,omitempty"`
	StartedMS int64    `json:"t,omitempty"`
	Event     uint64   `json:"n,omitempty"`
	Salt      string   `json:"s,omitempty"`
	Parts     []string `json:"p,omitempty"`
	Tokens    []int    `json:"k,omitempty"` // of each part; 0 if it is no longer held
}

func storeReportToWire(r *storeindex.Report) *wireStoreReport {
	if r == nil {
		return nil
	}
	w := &wireStoreReport{Address: r.Store, Boot: r.Epoch.Boot, StartedMS: r.Epoch.StartedMS, Event: r.Event}
	for _, part := range r.Parts {
		w.Salt = part.Salt
		w.Parts, w.Tokens = append(w.Parts, part.ID), append(w.Tokens, part.Tokens)
	}
	return w
}

// storeReportFromWire is the inverse of storeReportToWire. Its numbers are checked by the index.
func storeReportFromWire(w *wireStoreReport) *storeindex.Report {
	if w == nil {
		return nil
	}
	r := &storeindex.Report{Store: w.Address, Epoch: storeindex.Epoch{StartedMS: w.StartedMS, Boot: w.Boot}, Event: w.Event}
	for i := range min(len(w.Parts), len(w.Tokens)) {
		r.Parts = append(r.Parts, belief.CachedPart{Salt: w.Salt, Part: prefix.Part{ID: w.Parts[i], Tokens: w.Tokens[i]}})
	}
	return r
}

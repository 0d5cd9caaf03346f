package soak

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// rerouteDelay is how long gateways without links to the workers may take to serve requests by another way.
	rerouteDelay = 3 * time.Second
	// Requests to such gateways must be served at least minServedRatio times as often as at the others. A few failures
	// are permitted: maxUnservedCount, and maxUnservedFraction of all requests.
	minServedRatio      = 2.0 / 3
	maxUnservedCount    = 10
	maxUnservedFraction = 1.0 / 50
)

// partition is a period in which some gateways had no links to any worker.
type partition struct {
	from, to time.Duration
	gateways []string
}

// firstTry is a caller's request, and whether it was served.
type firstTry struct {
	at     time.Duration
	to     Sender
	served bool
}

// RecordPartition records a period in which gateways have no links to any worker.
func (w *Watcher) RecordPartition(from, to time.Duration, gateways []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitions = append(w.partitions, partition{from, to, gateways})
}

// recordTry records to which process a request is about to be sent. Fatal requests don't count. The caller holds mu.
func (w *Watcher) recordTry(at time.Duration, id string, to Sender) {
	if w.requests[id] != nil {
		w.tries[id] = &firstTry{at: at, to: to}
	}
}

// recordServed records that a request was served. The caller holds mu.
func (w *Watcher) recordServed(id string) {
	if try := w.tries[id]; try != nil {
		try.served = true
	}
}

// PartitionResult holds how many requests were sent to and served by the gateways without links, and by the others.
type PartitionResult struct {
	Gateways                     []string
	Sent, Served                 int
	SentToOthers, ServedByOthers int
	// BySecond counts the requests to the gateways without links, from the beginning on, by the second in which they were sent.
	BySecond []SecondCount
	from, to time.Duration
}

// SecondCount holds how many requests were sent within a second and served.
type SecondCount struct{ Sent, Served int }

// String returns the counts.
func (c SecondCount) String() string { return fmt.Sprintf("%d/%d", c.Served, c.Sent) }

// String returns the counts.
func (r PartitionResult) String() string {
	if !r.IsJudged() {
		return fmt.Sprintf("%v, without links to the workers from %v to %v, not judged: %d requests there and %d at the others outside other disturbances",
			r.Gateways, r.from.Round(time.Millisecond), r.to.Round(time.Millisecond), r.Sent, r.SentToOthers)
	}
	return fmt.Sprintf("%v, without links to the workers from %v to %v, served %d of %d requests, the others %d of %d; by second %v",
		r.Gateways, r.from.Round(time.Millisecond), r.to.Round(time.Millisecond), r.Served, r.Sent, r.ServedByOthers, r.SentToOthers, r.BySecond)
}

// IsJudged reports whether both the gateways without links and the others got requests that count.
func (r PartitionResult) IsJudged() bool { return r.Sent > 0 && r.SentToOthers > 0 }

// tooFew reports whether the gateways without links served too few requests, compared with the others.
func (r PartitionResult) tooFew() bool {
	if !r.IsJudged() {
		return false
	}
	allowed := maxUnservedCount + maxUnservedFraction*float64(r.Sent+r.SentToOthers)
	return float64(r.Served)*float64(r.SentToOthers) < minServedRatio*float64(r.ServedByOthers)*float64(r.Sent) && float64(r.Sent-r.Served) > allowed
}

// PartitionResults returns the result of each partition.
func (w *Watcher) PartitionResults() []PartitionResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	var results []PartitionResult
	for _, p := range w.partitions {
		results = append(results, w.partitionResult(p))
	}
	return results
}

// partitionResult counts the requests of a partition, from rerouteDelay after its start and outside disturbances. The
// caller holds mu.
func (w *Watcher) partitionResult(p partition) PartitionResult {
	result := PartitionResult{Gateways: p.gateways, from: p.from, to: p.to}
	for _, try := range w.tries {
		result.countSecond(try)
		if try.at < p.from+rerouteDelay || try.at >= p.to || w.disturbed(try.at) {
			continue
		}
		sent, served := &result.SentToOthers, &result.ServedByOthers
		if slices.Contains(p.gateways, try.to.Name) {
			sent, served = &result.Sent, &result.Served
		} else if w.partitioned(try) {
			continue
		}
		*sent++
		if try.served {
			*served++
		}
	}
	return result
}

// countSecond counts a request to a gateway without links in the second in which it was sent.
func (r *PartitionResult) countSecond(try *firstTry) {
	if try.at < r.from || try.at >= r.to || !slices.Contains(r.Gateways, try.to.Name) {
		return
	}
	second := int((try.at - r.from) / time.Second)
	for len(r.BySecond) <= second {
		r.BySecond = append(r.BySecond, SecondCount{})
	}
	r.BySecond[second].Sent++
	if try.served {
		r.BySecond[second].Served++
	}
}

// checkPartitions reports a violation for each partition in which too few requests were served. The caller holds mu.
func (w *Watcher) checkPartitions() {
	for _, p := range w.partitions {
		if result := w.partitionResult(p); result.tooFew() {
			w.addViolation(PartitionedGatewaysServe, "%v", result)
		}
	}
}

// partitioned reports whether the gateway of a request had no links to workers when it was sent.
func (w *Watcher) partitioned(try *firstTry) bool {
	return slices.ContainsFunc(w.partitions, func(p partition) bool {
		return try.at >= p.from && try.at < p.to && slices.Contains(p.gateways, try.to.Name)
	})
}

// PartitionedGateways returns the gateways that a fault separates from the workers.
func (f *Fleet) PartitionedGateways(fault Fault) []string {
	if fault.Zones > 0 {
		return f.gatewaysOfZones(fault.Target, fault.Zones)
	}
	count := fault.Gateways
	if count == 0 {
		count = len(f.Gateways) / 2
	}
	var names []string
	for i := range min(max(1, count), len(f.Gateways)) {
		names = append(names, f.Gateways[(fault.Target+i)%len(f.Gateways)].Name)
	}
	return names
}

// gatewaysOfZones returns the gateways of a number of zones, from the one with an index on.
func (f *Fleet) gatewaysOfZones(first, count int) []string {
	var zones, names []string
	for _, gateway := range f.Gateways {
		if zone := f.Zone(gateway.Name); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, gateway := range f.Gateways {
		position := (slices.Index(zones, f.Zone(gateway.Name)) - first%len(zones) + len(zones)) % len(zones)
		if position < count {
			names = append(names, gateway.Name)
		}
	}
	return names
}

// partition applies a fault that separates gateways from all workers, and reverts it.
func (f *Fleet) partition(ctx context.Context, fault Fault, duration time.Duration) {
	var toWorkers, links []Link
	for _, gateway := range f.PartitionedGateways(fault) {
		for _, worker := range f.Workers {
			toWorkers = append(toWorkers, Link{gateway, worker})
			links = append(links, Link{gateway, worker}, Link{worker, gateway})
		}
	}
	switch fault.Kind {
	case CutWorkersOneWay:
		f.block(ctx, duration, toWorkers)
	case RefuseWorkers:
		f.refuse(ctx, duration, toWorkers)
	case ResetWorkers:
		f.resetRepeatedly(ctx, duration, toWorkers)
	default:
		f.block(ctx, duration, links)
	}
}

// refuse resets new connections on links. Open connections live on.
func (f *Fleet) refuse(ctx context.Context, duration time.Duration, links []Link) {
	for _, link := range links {
		f.Proxy.Refuse(link)
	}
	Sleep(ctx, duration)
	for _, link := range links {
		f.Proxy.Accept(link)
	}
}

// resetRepeatedly resets open connections on links, and new ones.
func (f *Fleet) resetRepeatedly(ctx context.Context, duration time.Duration, links []Link) {
	resetting, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for Sleep(resetting, resetInterval) {
			for _, link := range links {
				f.Proxy.Reset(link.From, link.To)
			}
		}
	}()
	f.refuse(ctx, duration, links)
}

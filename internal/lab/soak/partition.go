package soak

import (
	"context"
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

// checkPartitions reports a violation for each partition during which the gateways without links served too few
// requests, compared with the others. The caller holds mu.
func (w *Watcher) checkPartitions() {
	for _, p := range w.partitions {
		var cut, others, servedCut, servedOthers int
		for _, try := range w.tries {
			if try.at < p.from+rerouteDelay || try.at >= p.to || w.disturbed(try.at) {
				continue
			}
			total, served := &others, &servedOthers
			if slices.Contains(p.gateways, try.to.Name) {
				total, served = &cut, &servedCut
			} else if w.partitioned(try) {
				continue
			}
			*total++
			if try.served {
				*served++
			}
		}
		if cut == 0 || others == 0 {
			continue
		}
		allowed := maxUnservedCount + maxUnservedFraction*float64(cut+others)
		if float64(servedCut)*float64(others) < minServedRatio*float64(servedOthers)*float64(cut) && float64(cut-servedCut) > allowed {
			w.addViolation(PartitionedGatewaysServe, "%v, without links to the workers from %v to %v, served %d of %d requests, the others %d of %d",
				p.gateways, p.from.Round(time.Millisecond), p.to.Round(time.Millisecond), servedCut, cut, servedOthers, others)
		}
	}
}

// partitioned reports whether the gateway of a request had no links to workers when it was sent.
func (w *Watcher) partitioned(try *firstTry) bool {
	return slices.ContainsFunc(w.partitions, func(p partition) bool {
		return try.at >= p.from && try.at < p.to && slices.Contains(p.gateways, try.to.Name)
	})
}

// PartitionedGateways returns the gateways that a fault separates from the workers: half of them, from its target on.
func (f *Fleet) PartitionedGateways(fault Fault) []string {
	var names []string
	for i := range max(1, len(f.Gateways)/2) {
		names = append(names, f.Gateways[(fault.Target+i)%len(f.Gateways)].Name)
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

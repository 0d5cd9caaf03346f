package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// Fleet is what faults strike.
type Fleet struct {
	Control  []*Process
	Gateways []*Process
	Proxy    *Proxy
	// Leader returns the number of the control process that seems to lead.
	Leader func() int
	// KillWorker ends a worker and starts it again as another life after a time; Heat makes a tenant send many times its usual;
	// Lower lowers a tenant's limit for a time; Change replaces the document by one that differs in nothing that matters; Deadly lets a
	// request come again and again that ends each worker that begins to run it; Forge lets another writer send heartbeats that can't be read
	// in full; Shed lets workers turn requests away and ask for rest; Leave lets one say in its answers that it leaves, and another life follow; Need lets
	// workers name a limit of requests.
	KillWorker        func(ctx context.Context, target int, length time.Duration)
	OverloadTenant    func(ctx context.Context, target int, length time.Duration)
	LowerLimit        func(ctx context.Context, target int, length time.Duration)
	ChangeSetting     func(ctx context.Context)
	SendFatalRequests func(ctx context.Context, target int, length time.Duration)
	ForgeHeartbeats   func(ctx context.Context, target int, length time.Duration)
	RejectRequests    func(ctx context.Context, target int, length time.Duration)
	DrainWorker       func(ctx context.Context, target int, length time.Duration)
	AdvertiseLimits   func(ctx context.Context, target int, length time.Duration)
}

// linkDelay is how much longer things take on links that are linkDelay.
const linkDelay = 40 * time.Millisecond

// Play lets a plan's faults strike, and returns once all have healed. When ctx ends, faults heal at once.
func (f *Fleet) Play(ctx context.Context, plan Plan, start time.Time, onStart func(Fault)) {
	var faults sync.WaitGroup
	for _, fault := range plan.Faults {
		faults.Go(func() {
			if !Sleep(ctx, time.Until(start.Add(fault.At()))) {
				return
			}
			onStart(fault)
			f.inject(ctx, fault)
		})
	}
	faults.Wait()
}

// Sleep waits, and is false when ctx ended first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// inject makes one fault and heals it.
func (f *Fleet) inject(ctx context.Context, fault Fault) {
	duration := time.Duration(fault.ForMS) * time.Millisecond
	gateway := f.Gateways[fault.Target%len(f.Gateways)]
	switch fault.Kind {
	case KillGateway:
		f.stopFor(ctx, duration, syscall.SIGKILL, gateway)
	case StopGateway:
		f.stopFor(ctx, duration, syscall.SIGTERM, gateway)
	case KillControl:
		f.stopFor(ctx, duration, syscall.SIGKILL, f.Control[fault.Target%len(f.Control)])
	case KillAll:
		f.stopFor(ctx, duration, syscall.SIGKILL, f.allProcesses()...)
	case PauseGateway:
		f.pause(ctx, duration, gateway)
	case PauseLeader:
		f.pause(ctx, duration, f.Control[f.Leader()])
	case CutLeader:
		f.block(ctx, duration, f.linksOf(f.Control[f.Leader()], f.allProcesses(), true))
	case CutOneWay:
		f.block(ctx, duration, f.linksOf(f.Control[f.Leader()], f.allProcesses(), false))
	case CutGateway:
		f.block(ctx, duration, f.linksOf(gateway, f.Control, true))
	case DelayLinks:
		f.delay(ctx, duration, f.linksOf(gateway, f.allProcesses(), true))
	case ResetLinks:
		for _, other := range f.allProcesses() {
			f.Proxy.Reset(gateway.Name, other.Name)
		}
	case ResetControl:
		f.resetControl(ctx, duration)
	case KillWorker:
		f.KillWorker(ctx, fault.Target, duration)
	case HotTenant:
		f.OverloadTenant(ctx, fault.Target, duration)
	case LowerLimit:
		f.LowerLimit(ctx, fault.Target, duration)
	case ChangeSetting:
		f.ChangeSetting(ctx)
	case Reload:
		for _, p := range f.allProcesses() {
			p.Signal(syscall.SIGHUP)
		}
	case FatalRequest:
		f.SendFatalRequests(ctx, fault.Target, duration)
	case ForgedHeartbeats:
		f.ForgeHeartbeats(ctx, fault.Target, duration)
	case RejectRequests:
		f.RejectRequests(ctx, fault.Target, duration)
	case AdvertiseLimits:
		f.AdvertiseLimits(ctx, fault.Target, duration)
	case DrainWorker:
		f.DrainWorker(ctx, fault.Target, duration)
	}
}

// resetInterval is the pause between two resets in a series: shorter than what a change takes to be acknowledged.
const resetInterval = 30 * time.Millisecond

// resetControl resets the connections between control processes again and again.
func (f *Fleet) resetControl(ctx context.Context, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end) && Sleep(ctx, resetInterval); {
		for i, one := range f.Control {
			for _, other := range f.Control[:i] {
				f.Proxy.Reset(one.Name, other.Name)
			}
		}
	}
}

func (f *Fleet) allProcesses() []*Process {
	return append(append([]*Process{}, f.Control...), f.Gateways...)
}

// linksOf returns the links from a process to others, and back where both is set.
func (f *Fleet) linksOf(p *Process, others []*Process, both bool) []Link {
	var links []Link
	for _, other := range others {
		if other == p {
			continue
		}
		links = append(links, Link{p.Name, other.Name})
		if both {
			links = append(links, Link{other.Name, p.Name})
		}
	}
	return links
}

// stopFor ends processes for a time. One that is stopFor already starts with the first fault that heals.
func (f *Fleet) stopFor(ctx context.Context, duration time.Duration, signal syscall.Signal, processes ...*Process) {
	var ends sync.WaitGroup
	for _, p := range processes {
		ends.Go(func() { p.Stop(signal) })
	}
	ends.Wait()
	Sleep(ctx, duration)
	for _, p := range processes {
		_ = p.Start() // one that cannot start serves nobody, which the promises show
	}
}

func (f *Fleet) pause(ctx context.Context, duration time.Duration, p *Process) {
	p.Signal(syscall.SIGSTOP)
	Sleep(ctx, duration)
	p.Signal(syscall.SIGCONT)
}

func (f *Fleet) block(ctx context.Context, duration time.Duration, links []Link) {
	for _, link := range links {
		f.Proxy.Block(link)
	}
	Sleep(ctx, duration)
	for _, link := range links {
		f.Proxy.Unblock(link)
	}
}

func (f *Fleet) delay(ctx context.Context, duration time.Duration, links []Link) {
	for _, link := range links {
		f.Proxy.Delay(link, linkDelay)
	}
	Sleep(ctx, duration)
	for _, link := range links {
		f.Proxy.Delay(link, 0)
	}
}

package soak

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fleet is the set of processes, links and actions that faults apply to.
type Fleet struct {
	Control  []*Process
	Gateways []*Process
	Workers  []string // names of the workers, as known to Proxy
	Proxy    *Proxy
	// Leader returns the index in Control of the presumed leader.
	Leader func() int
	// KillWorker kills a worker and restarts it as a new incarnation after a time; OverloadTenant multiplies a tenant's
	// request rate; LowerLimit lowers a tenant's limit for a time; ChangeSetting writes a settings document that
	// differs without effect; SendFatalRequests repeats a request that crashes each worker that runs it;
	// ForgeHeartbeats sends heartbeats of an unknown sender that can be decoded only in part; RejectRequests makes
	// workers reject requests and ask for backoff; DrainWorker makes a worker announce its shutdown in responses and
	// then restarts it as a new incarnation; AdvertiseLimits makes workers advertise a request rate limit.
	KillWorker        func(ctx context.Context, target int, duration time.Duration)
	OverloadTenant    func(ctx context.Context, target int, duration time.Duration)
	LowerLimit        func(ctx context.Context, target int, duration time.Duration)
	ChangeSetting     func(ctx context.Context)
	SendFatalRequests func(ctx context.Context, target int, duration time.Duration)
	ForgeHeartbeats   func(ctx context.Context, target int, duration time.Duration)
	RejectRequests    func(ctx context.Context, target int, duration time.Duration)
	DrainWorker       func(ctx context.Context, target int, duration time.Duration)
	// IsolateTenant makes a tenant share no cached parts of prompts.
	IsolateTenant func(ctx context.Context, target int, duration time.Duration)
	// DeregisterWorker makes a worker leave by a deregistration alone while heartbeats of it are under way.
	DeregisterWorker func(ctx context.Context, target int, duration time.Duration)
	// DelayStates makes all workers reply late to questions for their state, and DelayAnswers begin their answers late.
	DelayStates, DelayAnswers func(delay time.Duration)
	// SendEndless makes some workers send answers without end.
	SendEndless func(ctx context.Context, target int, duration time.Duration)
	// CutAnswers makes workers stop within answers.
	CutAnswers      func(ctx context.Context, target int, duration time.Duration)
	AdvertiseLimits func(ctx context.Context, target int, duration time.Duration)
	// MixVersions replaces half of the engines, one after the other, by a new software version.
	MixVersions func(ctx context.Context, target int, duration time.Duration)
	// ReleaseVersion replaces all of them.
	ReleaseVersion func(ctx context.Context, target int, duration time.Duration)
	// SendLargeDocuments makes the settings document longer and changes it in quick succession.
	SendLargeDocuments func(ctx context.Context, target int, duration time.Duration)
	// SendFatalPart sends requests that share a part of their prompts which crashes each worker.
	SendFatalPart func(ctx context.Context, target int, duration time.Duration)

	// Disks tracks the data folders that control processes have lost, and bounds how many are.
	Disks *Disks
	// LastAcknowledged returns the index in Control of the process that acknowledged the newest configuration.
	LastAcknowledged func() int
	// Voters returns the names of the control processes with a vote; none if no leader answers.
	Voters func() map[string]bool
	// Replace moves a control process to another machine with a new address.
	Replace func(p *Process)
	// OnWipe is called when a process has lost its data folder, before it starts again.
	OnWipe func(p *Process)
	// OnReturn is called when all processes have been started again after a fault that stopped all.
	OnReturn func(Fault)
	// StopWorkers ends all workers at once, and StartWorkers starts them again.
	StopWorkers, StartWorkers func()
	// Seeds is the number of control processes, from the first on, that all processes are told of.
	Seeds int
	// Zone returns the zone of a process.
	Zone func(name string) string

	dark       atomic.Bool  // all machines are without power
	allSyncsMS atomic.Int64 // by how much the syncs of all control processes are delayed now, in milliseconds
}

// linkDelay is the delay that DelayLinks adds to each link.
const linkDelay = 40 * time.Millisecond

// Play injects the faults of a plan and returns once all have healed. Faults heal at once when ctx is done.
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

// Sleep waits for a duration and returns false if ctx is done first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// inject applies a fault, waits for its duration and reverts it.
func (f *Fleet) inject(ctx context.Context, fault Fault) {
	duration := time.Duration(fault.ForMS) * time.Millisecond
	if fault.Kind.strikesControl() {
		f.Disks.holdRepairs()
		defer f.Disks.resumeRepairs()
	}
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
		f.OnReturn(fault)
	case PowerOff:
		f.powerOff(ctx, fault, duration)
	case ReplaceControl:
		f.replace(ctx, fault, duration)
	case RollControl:
		f.roll(ctx, duration)
	case CutZone:
		f.block(ctx, duration, f.linksOfZone(fault.Target))
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
	case IsolateGateway:
		f.block(ctx, duration, f.linksOf(gateway, f.allProcesses(), true))
	case MixVersions:
		f.MixVersions(ctx, fault.Target, duration)
	case ReleaseVersion:
		f.ReleaseVersion(ctx, fault.Target, duration)
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
	case LargeDocuments:
		f.SendLargeDocuments(ctx, fault.Target, duration)
	case WipeControl:
		f.wipe(ctx, fault, duration)
	case Reload:
		for _, p := range f.allProcesses() {
			p.Signal(syscall.SIGHUP)
		}
	case FatalRequest:
		f.SendFatalRequests(ctx, fault.Target, duration)
	case FatalPart:
		f.SendFatalPart(ctx, fault.Target, duration)
	case ForgedHeartbeats:
		f.ForgeHeartbeats(ctx, fault.Target, duration)
	case RejectRequests:
		f.RejectRequests(ctx, fault.Target, duration)
	case AdvertiseLimits:
		f.AdvertiseLimits(ctx, fault.Target, duration)
	case CutAnswers:
		f.CutAnswers(ctx, fault.Target, duration)
	case IsolateTenant:
		f.IsolateTenant(ctx, fault.Target, duration)
	case SlowSync:
		f.slowSyncs(ctx, fault, duration)
	case DeregisterWorker:
		f.DeregisterWorker(ctx, fault.Target, duration)
	case DrainWorker:
		f.DrainWorker(ctx, fault.Target, duration)
	case EndlessAnswers:
		f.SendEndless(ctx, fault.Target, duration)
	case LateStates:
		f.delayFor(ctx, duration, fault.DelayMS, f.DelayStates)
	case LateAnswers:
		f.delayFor(ctx, duration, fault.DelayMS, f.DelayAnswers)
	case LateControl:
		f.delayFor(ctx, duration, fault.DelayMS, f.DelayControl)
	case CutWorkers, CutWorkersOneWay, ResetWorkers, RefuseWorkers:
		f.partition(ctx, fault, duration)
	}
}

// OutOfTouch returns the gateways that a fault keeps from working with control or each other, and whether it affects any;
// no names stand for all gateways.
func (f *Fleet) OutOfTouch(fault Fault) (gateways []string, affected bool) {
	switch fault.Kind {
	case KillGateway, StopGateway, PauseGateway, CutGateway, IsolateGateway, DelayLinks, ResetLinks:
		return []string{f.Gateways[fault.Target%len(f.Gateways)].Name}, true
	}
	if fault.Kind.Partitions() {
		return f.PartitionedGateways(fault), true
	}
	return nil, fault.Kind.Disturbs()
}

// resetInterval is the time between resets in a series. It is shorter than a settings change takes to be acknowledged.
const resetInterval = 30 * time.Millisecond

// resetControl repeatedly resets the connections between control processes.
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

// linksOf returns the links from a process to others, and the reverse links if both is set.
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

// stopFor stops processes for a time. With overlapping faults, a process restarts when the first of them heals.
func (f *Fleet) stopFor(ctx context.Context, duration time.Duration, signal syscall.Signal, processes ...*Process) {
	stopAll(signal, processes)
	Sleep(ctx, duration)
	startAll(processes)
}

func (f *Fleet) pause(ctx context.Context, duration time.Duration, p *Process) {
	p.Hold()
	Sleep(ctx, duration)
	p.Release()
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

// delayFor sets a delay for a time.
func (f *Fleet) delayFor(ctx context.Context, duration time.Duration, delayMS int64, set func(delay time.Duration)) {
	set(time.Duration(delayMS) * time.Millisecond)
	Sleep(ctx, duration)
	set(0)
}

// DelayControl sets the delay of each message from and to control processes.
func (f *Fleet) DelayControl(delay time.Duration) {
	for _, p := range f.Control {
		f.Proxy.DelayProcess(p.Name, delay)
	}
}

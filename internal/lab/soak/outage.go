package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Aim is how the control processes that lose their data folders are chosen.
type Aim string

// Aims. All but AimAny prefer processes with a vote, which the loss of the folder takes from the group.
const (
	AimTarget Aim = ""       // those from the fault's target on
	AimAny    Aim = "any"    // at random
	AimLeader Aim = "leader" // the leader first
	AimAcked  Aim = "acked"  // first the one that acknowledged the newest configuration
	AimOldest Aim = "oldest" // those that have kept their folders for longest
)

// Aims lists all aims.
func Aims() []Aim { return []Aim{AimTarget, AimAny, AimLeader, AimAcked, AimOldest} }

// Disks bounds how many data folders are lost at once. It is safe for concurrent use; a nil *Disks permits no loss.
type Disks struct {
	tolerated int
	catchUp   time.Duration

	mu      sync.Mutex
	lost    map[*Process]time.Time // when the loss is made up for; far in the future while the process is down or held; guarded by mu
	held    map[*Process]bool      // back, but the time until its loss is made up for has not begun again; guarded by mu
	holds   int                    // faults that last and keep losses from being made up for; guarded by mu
	created map[*Process]time.Time // when the process got its folder; zero at the start of the run; guarded by mu
}

// NewDisks returns a Disks that permits the loss of some data folders at once. A loss counts until catchUp after the
// process is back.
func NewDisks(tolerated int, catchUp time.Duration) *Disks {
	return &Disks{tolerated: tolerated, catchUp: catchUp, lost: map[*Process]time.Time{}, held: map[*Process]bool{}, created: map[*Process]time.Time{}}
}

// farFuture is later than the end of any run.
const farFuture = 24 * time.Hour

// take returns the first of the candidates whose folders may be lost now, at most count, and records their loss.
func (d *Disks) take(candidates []*Process, count int) []*Process {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	free := d.tolerated
	for _, until := range d.lost {
		if until.After(now) {
			free--
		}
	}
	var taken []*Process
	for _, p := range candidates {
		if len(taken) >= min(count, free) {
			break
		}
		if p.Folder() != "" && !d.lost[p].After(now) {
			taken = append(taken, p)
			d.lost[p] = now.Add(farFuture)
		}
	}
	return taken
}

// recordReturn records that processes are back with empty folders.
func (d *Disks) recordReturn(processes []*Process) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range processes {
		d.created[p] = time.Now()
		d.await(p)
	}
}

// await begins the time after which the loss of a process that is back is made up for. The caller holds mu.
func (d *Disks) await(p *Process) {
	d.held[p] = d.holds > 0
	if d.lost[p] = time.Now().Add(d.catchUp); d.held[p] {
		d.lost[p] = time.Now().Add(farFuture)
	}
}

// holdRepairs records the start of a fault that keeps lost folders from being made up for.
func (d *Disks) holdRepairs() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holds++
	now := time.Now()
	for p, until := range d.lost {
		if until.After(now) && until.Before(now.Add(farFuture/2)) {
			d.await(p)
		}
	}
}

// resumeRepairs records the end of a fault that holdRepairs recorded. After the last one the time of losses begins again.
func (d *Disks) resumeRepairs() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holds--; d.holds > 0 {
		return
	}
	for p, held := range d.held {
		if held {
			d.await(p)
		}
	}
}

// byAge sorts processes by how long they have kept their folders, longest first.
func (d *Disks) byAge(processes []*Process) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortStableFunc(processes, func(a, b *Process) int { return d.created[a].Compare(d.created[b]) })
}

// candidates returns the control processes in the order in which a fault takes their folders.
func (f *Fleet) candidates(fault Fault) []*Process {
	order := slices.Clone(f.Control)
	first := fault.Target % len(order)
	switch fault.Aim {
	case AimTarget:
		return append(order[first:], f.Control[:first]...)
	case AimLeader:
		first = f.Leader()
	case AimAcked:
		first = f.LastAcknowledged()
	}
	random := rand.New(rand.NewPCG(uint64(fault.Target), uint64(fault.AtMS)))
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if fault.Aim == AimAny {
		return order
	}
	voters := f.Voters()
	slices.SortStableFunc(order, func(a, b *Process) int { return boolOrder(voters[a.Name], voters[b.Name]) })
	if fault.Aim == AimOldest {
		f.Disks.byAge(order)
		return order
	}
	slices.SortStableFunc(order, func(a, b *Process) int { return boolOrder(a == f.Control[first], b == f.Control[first]) })
	return order
}

// boolOrder compares for an order in which true comes first.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// wipe kills control processes and removes their data folders before they restart.
func (f *Fleet) wipe(ctx context.Context, fault Fault, duration time.Duration) {
	struck := f.Disks.take(f.candidates(fault), max(1, fault.Disks))
	f.removeFolders(struck)
	Sleep(ctx, duration)
	startAll(struck)
	f.Disks.recordReturn(struck)
}

// replace takes the machine of a control process away for good. The process starts again on another one without data, and
// the addresses that processes are configured with stay as they are.
func (f *Fleet) replace(ctx context.Context, fault Fault, duration time.Duration) {
	struck := f.Disks.take(f.candidates(fault), 1)
	stopAll(syscall.SIGKILL, struck)
	for _, p := range struck {
		f.Replace(p)
		f.inheritSlowSyncs(p)
	}
	Sleep(ctx, duration)
	startAll(struck)
	f.Disks.recordReturn(struck)
}

// powerOff makes all machines lose power at once. Some control processes come back without their data folders.
func (f *Fleet) powerOff(ctx context.Context, fault Fault, duration time.Duration) {
	candidates := f.candidates(fault)
	struck := f.Disks.take(candidates, fault.Disks)
	absent := without(candidates, struck)
	absent = absent[:min(fault.Absent, len(absent))]
	all := f.allProcesses()
	if fault.ControlOnly {
		all = f.Control
	}
	names := make([]string, len(all))
	for i, p := range all {
		names[i] = p.Name
	}
	f.dark.Store(!fault.ControlOnly)
	f.Proxy.CutPower(names...)
	stopAll(syscall.SIGKILL, all)
	if fault.Workers {
		f.StopWorkers()
	}
	f.removeFolders(struck)
	Sleep(ctx, duration)
	f.dark.Store(false)
	if fault.Workers {
		f.StartWorkers()
	}
	f.startOver(ctx, fault, without(all, absent))
	f.Disks.recordReturn(struck)
	f.OnReturn(fault)
}

// without returns the processes that aren't among others, in their order.
func without(processes, others []*Process) []*Process {
	return slices.DeleteFunc(slices.Clone(processes), func(p *Process) bool { return slices.Contains(others, p) })
}

// IsDark reports whether all machines are without power.
func (f *Fleet) IsDark() bool { return f.dark.Load() }

// removeFolders kills processes and removes their data folders. A process whose folder can't be removed keeps its data,
// which breaks no guarantee.
func (f *Fleet) removeFolders(processes []*Process) {
	stopAll(syscall.SIGKILL, processes)
	for _, p := range processes {
		_ = os.RemoveAll(p.Folder())
		f.OnWipe(p)
	}
}

func stopAll(signal syscall.Signal, processes []*Process) {
	var stops sync.WaitGroup
	for _, p := range processes {
		stops.Go(func() { p.Stop(signal) })
	}
	stops.Wait()
}

// startAll starts processes. A failed start shows up as violations.
func startAll(processes []*Process) {
	for _, p := range processes {
		_ = p.Start()
	}
}

// startOver gives the machines of processes power again and starts the processes, over the time that a fault gives.
func (f *Fleet) startOver(ctx context.Context, fault Fault, processes []*Process) {
	order := slices.Clone(processes)
	random := rand.New(rand.NewPCG(uint64(fault.Target), uint64(fault.AtMS)))
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if fault.SeedsLast {
		seeds := f.Control[:min(f.Seeds, len(f.Control))]
		slices.SortStableFunc(order, func(a, b *Process) int {
			return boolOrder(!slices.Contains(seeds, a), !slices.Contains(seeds, b))
		})
	}
	pause := time.Duration(fault.SpreadMS) * time.Millisecond / time.Duration(len(order))
	for _, p := range order {
		f.Proxy.RestorePower(p.Name)
		if fault.LoseLogs {
			p.LoseLog()
		}
		startAll([]*Process{p})
		if pause > 0 {
			Sleep(ctx, pause) // on the end of the run, the rest starts at once
		}
	}
}

// roll stops and starts the control processes one after the other within a duration.
func (f *Fleet) roll(ctx context.Context, duration time.Duration) {
	pause := duration / time.Duration(len(f.Control))
	for _, p := range f.Control {
		p.Stop(syscall.SIGTERM)
		_ = p.Start()
		if !Sleep(ctx, pause) {
			return
		}
	}
}

// linksOfZone returns the links between the processes of a zone and all others, in both directions.
func (f *Fleet) linksOfZone(target int) []Link {
	zone := f.Zone(f.Control[target%len(f.Control)].Name)
	var links []Link
	for _, inside := range f.allProcesses() {
		if f.Zone(inside.Name) != zone {
			continue
		}
		for _, outside := range f.allProcesses() {
			if f.Zone(outside.Name) != zone {
				links = append(links, Link{inside.Name, outside.Name}, Link{outside.Name, inside.Name})
			}
		}
	}
	return links
}

package soak

import (
	"context"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period in which a process may use its share of processor time, as of the kernel's bandwidth control.
	quotaPeriod = 100 * time.Millisecond
	// quotaInterval is how often the time that processes have used is read.
	quotaInterval = 2 * time.Millisecond
)

// Quota is the processor time that a process may use, as a share of one core. It may use all cores until its share of a period
// is spent, and stands still for the rest of it.
type Quota struct {
	process *Process
	share   float64

	pid       int           // of the run that the fields below are about
	usedAt    time.Duration // processor time at the start of the period
	nextStart time.Time     // of the next period
	debt      time.Duration // used beyond the share of earlier periods
	spent     bool
}

// RunQuotas enforces the shares of processes until ctx ends. Then all processes run.
func RunQuotas(ctx context.Context, shares map[*Process]float64) {
	runtime.LockOSThread() // timers of this thread are not late because of the other goroutines of this process
	defer runtime.UnlockOSThread()
	var quotas []*Quota
	for p, share := range shares {
		quotas = append(quotas, &Quota{process: p, share: share})
	}
	defer func() {
		for _, q := range quotas {
			q.resume()
		}
	}()
	for ctx.Err() == nil {
		now := time.Now()
		for _, q := range quotas {
			q.enforce(now)
		}
		time.Sleep(quotaInterval)
	}
}

// enforce stops the process if its share is spent, and lets it go on in the next period.
func (q *Quota) enforce(now time.Time) {
	pid := q.process.PID()
	if pid == 0 {
		q.pid = 0
		return
	}
	used := processorTime(pid)
	if pid != q.pid {
		q.pid, q.usedAt, q.debt, q.spent = pid, 0, 0, false
		q.nextStart = now.Add(time.Duration(rand.Int64N(int64(quotaPeriod))))
	}
	allowed := time.Duration(q.share * float64(quotaPeriod))
	if !now.Before(q.nextStart) {
		q.debt = max(0, q.debt+used-q.usedAt-allowed)
		q.usedAt, q.nextStart = used, q.nextStart.Add(quotaPeriod)
		if q.nextStart.Before(now) {
			q.nextStart = now.Add(quotaPeriod)
		}
	}
	if exhausted := q.debt+used-q.usedAt >= allowed; exhausted && !q.spent {
		q.spent = true
		q.process.Hold()
	} else if !exhausted {
		q.resume()
	}
}

func (q *Quota) resume() {
	if q.spent {
		q.spent = false
		q.process.Release()
	}
}

// processorTime returns the processor time that a process has used, or 0 if it is gone.
func processorTime(pid int) time.Duration {
	const schedulerClock = 2 // CPUCLOCK_SCHED of linux/posix-timers_types.h
	var used unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|schedulerClock), &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

// ProcessorTime returns the processor time that the process has used since its start, or 0 if it isn't running.
func (p *Process) ProcessorTime() time.Duration {
	if pid := p.PID(); pid > 0 {
		return processorTime(pid)
	}
	return 0
}

// Hold makes the process stand still until as many calls of Release.
func (p *Process) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds++; p.holds == 1 && p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGSTOP) // the process may have exited already
	}
}

// Release reverts a call of Hold. It has no effect on a process that was started since.
func (p *Process) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds == 0 {
		return
	}
	if p.holds--; p.holds == 0 && p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
}

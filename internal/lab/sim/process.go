package sim

import (
	"slices"
	"time"

	"kitetiller/internal/guard"
)

// process is a simulated process that can be killed, restarted, frozen and resumed.
type process struct {
	w             *world
	name          string
	zone          string
	generation    int // incremented at each start and each end
	up            bool
	frozen        bool
	speed         float64       // rate of its monotonic clock
	drainingSince time.Duration // when the machine list marked it as leaving; 0: not leaving
	resumedAt     time.Duration // when it was last resumed
	// suspendedAt is when its machine was suspended, or 0; suspendedFor is the total of this incarnation. Timers don't
	// advance while the machine is suspended.
	suspendedAt, suspendedFor time.Duration
	backlog                   []func()     // events that arrived while it was frozen
	connections               []connection // reset when the process ends
}

// clockSkew is the maximum rate error of a process's monotonic clock.
const clockSkew = 0.05

// elapsed returns the time that the process's clock measures between two true times.
func (p *process) elapsed(from, to time.Duration) time.Duration {
	return time.Duration(float64(to-from-p.uncountedTime()) * p.speed)
}

// uncountedTime returns the suspended time that the process's clock doesn't count.
func (p *process) uncountedTime() time.Duration {
	if p.w.guards.On(guard.SuspendAwareClock) {
		return 0
	}
	return p.suspendedFor
}

// trueTime returns the true time at which the process's clock, started at a true time, shows a reading.
func (p *process) trueTime(start, reading time.Duration) time.Duration {
	return start + p.uncountedTime() + time.Duration(float64(reading)/p.speed)
}

func newProcess(w *world, name, zone string) *process {
	return &process{w: w, name: name, zone: zone, speed: 1 + clockSkew*(2*w.random.Float64()-1)}
}

// start begins a new incarnation.
func (p *process) start() {
	p.generation++
	p.up, p.frozen = true, false
	p.suspendedAt, p.suspendedFor = 0, 0
}

// kill ends the process. If silent, its connections break only after a keep-alive timeout, as when a machine loses power.
func (p *process) kill(silent bool) {
	if !p.up {
		return
	}
	p.generation++
	p.up, p.frozen = false, false
	p.backlog = nil
	broken := p.connections
	p.connections = nil
	p.w.logf("%s dies, silently=%v", p.name, silent)
	minDelay, maxDelay := time.Millisecond, 3*time.Millisecond
	if silent {
		minDelay, maxDelay = minKeepAliveTimeout, maxKeepAliveTimeout
	}
	for _, c := range broken {
		p.w.after(p.w.between(minDelay, maxDelay), c.reset)
	}
}

// Range of the keep-alive timeout, after which peers notice the silent end of a process.
const (
	minKeepAliveTimeout = 10 * time.Second
	maxKeepAliveTimeout = 15 * time.Second
)

// node is a process that can be restarted.
type node interface {
	isUp() bool
	boot()
}

func (p *process) isUp() bool { return p.up }

// restart starts a process after a delay unless it is up by then.
func (w *world) restart(n node, after time.Duration) {
	w.after(after, func() {
		if !n.isUp() {
			n.boot()
		}
	})
}

// connection is reset for the other side when a process ends.
type connection interface {
	reset()
	ended() bool
}

// maxTrackedConnections is the number of connections at which ended ones are removed.
const maxTrackedConnections = 256

// trackConnection records a connection to the process.
func (p *process) trackConnection(c connection) {
	if len(p.connections) >= maxTrackedConnections {
		p.connections = slices.DeleteFunc(p.connections, connection.ended)
	}
	p.connections = append(p.connections, c)
}

// freeze stops the process. Events that arrive meanwhile are queued.
func (p *process) freeze() {
	if p.up {
		p.frozen = true
		p.w.logf("%s freezes", p.name)
	}
}

// resume continues a frozen process with the queued events, in order.
func (p *process) resume() {
	if !p.up || !p.frozen {
		return
	}
	p.frozen, p.resumedAt = false, p.w.now()
	if p.suspendedAt > 0 {
		p.suspendedFor += p.w.now() - p.suspendedAt
		p.suspendedAt = 0
	}
	p.w.logf("%s resumes with %d queued events", p.name, len(p.backlog))
	queued := p.backlog
	p.backlog = nil
	generation := p.generation
	for _, run := range queued {
		p.run(generation, run)
	}
}

// run calls a function now, or once the process is resumed. It does nothing if the generation is no longer current.
func (p *process) run(generation int, do func()) {
	switch {
	case !p.up || p.generation != generation:
	case p.frozen:
		p.backlog = append(p.backlog, func() { p.run(generation, do) })
	default:
		do()
	}
}

// after sets a timer of the current generation. It doesn't advance while the machine is suspended.
func (p *process) after(delay time.Duration, do func()) {
	generation, suspendedBefore, setAt := p.generation, p.suspendedFor, p.w.now()
	p.w.after(delay, func() {
		p.run(generation, func() {
			if remaining := delay - (p.w.now() - setAt - (p.suspendedFor - suspendedBefore)); remaining > 0 {
				p.after(remaining, do)
				return
			}
			do()
		})
	})
}

// suspend suspends the process's machine for a while.
func (p *process) suspend(length time.Duration) {
	if !p.up || p.frozen {
		return
	}
	p.freeze()
	p.suspendedAt = p.w.now()
	generation := p.generation
	p.w.after(length, func() {
		if p.generation == generation {
			p.resume()
		}
	})
}

// ticker calls a function at an interval until the process ends.
func (p *process) ticker(interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		p.after(interval, tick)
	}
	p.after(p.w.between(0, interval), tick)
}

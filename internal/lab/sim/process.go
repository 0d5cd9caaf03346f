package sim

import (
	"slices"
	"time"

	"kitetiller/internal/guard"
)

// process is one simulated process: it can be killed, started again, frozen and thawed.
type process struct {
	w             *world
	name          string
	zone          string
	generation    int // raised at each start and each end
	up            bool
	frozen        bool
	speed         float64       // of its monotonic clock
	drainingSince time.Duration // when the machine list said that it leaves; 0 when it does not
	resumedAt     time.Duration // when it last went on after a freeze
	// suspendedAt is when its machine was suspended, or 0; suspendedFor is how long it was in this life. Timers stand still meanwhile.
	suspendedAt, suspendedFor time.Duration
	backlog                   []func()     // what arrived while it was frozen
	connections               []connection // connections that break when it dies
}

// clockSkew is how much faster or slower than true time a process's monotonic clock may run.
const clockSkew = 0.05

// elapsed returns what the process's clock shows between two true times.
func (p *process) elapsed(from, to time.Duration) time.Duration {
	return time.Duration(float64(to-from-p.uncountedTime()) * p.speed)
}

// uncountedTime returns how much of this life the clock doesn't count.
func (p *process) uncountedTime() time.Duration {
	if p.w.guards.On(guard.SuspendAwareClock) {
		return 0
	}
	return p.suspendedFor
}

// trueTime returns when the process's clock, started at a true time, shows a reading.
func (p *process) trueTime(start, reading time.Duration) time.Duration {
	return start + p.uncountedTime() + time.Duration(float64(reading)/p.speed)
}

func newProcess(w *world, name, zone string) *process {
	return &process{w: w, name: name, zone: zone, speed: 1 + clockSkew*(2*w.random.Float64()-1)}
}

// start begins a new life.
func (p *process) start() {
	p.generation++
	p.up, p.frozen = true, false
	p.suspendedAt, p.suspendedFor = 0, 0
}

// kill ends the life. A silent death breaks connections late, as when a machine loses its power.
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
	soonest, latest := time.Millisecond, 3*time.Millisecond
	if silent {
		soonest, latest = minKeepAliveTimeout, maxKeepAliveTimeout
	}
	for _, held := range broken {
		p.w.after(p.w.between(soonest, latest), held.reset)
	}
}

// A silent death is noticed by keep-alive only.
const (
	minKeepAliveTimeout = 10 * time.Second
	maxKeepAliveTimeout = 15 * time.Second
)

// node is a process that can be started again.
type node interface {
	isUp() bool
	boot()
}

func (p *process) isUp() bool { return p.up }

// restart starts a process again after a while, unless somebody else did.
func (w *world) restart(n node, after time.Duration) {
	w.after(after, func() {
		if !n.isUp() {
			n.boot()
		}
	})
}

// connection is something that the other side notices when a process dies.
type connection interface {
	reset()
	ended() bool
}

// maxTrackedConnections is the number of connections from which ended ones are dropped.
const maxTrackedConnections = 256

// trackConnection notes a connection to the process.
func (p *process) trackConnection(fresh connection) {
	if len(p.connections) >= maxTrackedConnections {
		p.connections = slices.DeleteFunc(p.connections, connection.ended)
	}
	p.connections = append(p.connections, fresh)
}

// freeze stops the process; what arrives waits.
func (p *process) freeze() {
	if p.up {
		p.frozen = true
		p.w.logf("%s freezes", p.name)
	}
}

// resume lets the process go on with what has arrived, in order.
func (p *process) resume() {
	if !p.up || !p.frozen {
		return
	}
	p.frozen, p.resumedAt = false, p.w.now()
	if p.suspendedAt > 0 {
		p.suspendedFor += p.w.now() - p.suspendedAt
		p.suspendedAt = 0
	}
	p.w.logf("%s thaws with %d things waiting", p.name, len(p.backlog))
	waiting := p.backlog
	p.backlog = nil
	life := p.generation
	for _, run := range waiting {
		p.run(life, run)
	}
}

// run does something within a life: now, or when the process thaws. It is dropped when the life has ended.
func (p *process) run(life int, do func()) {
	switch {
	case !p.up || p.generation != life:
	case p.frozen:
		p.backlog = append(p.backlog, func() { p.run(life, do) })
	default:
		do()
	}
}

// after sets a timer of the process's current life. It stands still while the machine is suspended.
func (p *process) after(delay time.Duration, do func()) {
	life, lost, armed := p.generation, p.suspendedFor, p.w.now()
	p.w.after(delay, func() {
		p.run(life, func() {
			if left := delay - (p.w.now() - armed - (p.suspendedFor - lost)); left > 0 {
				p.after(left, do)
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
	life := p.generation
	p.w.after(length, func() {
		if p.generation == life {
			p.resume()
		}
	})
}

// ticker repeats something for the rest of the life.
func (p *process) ticker(interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		p.after(interval, tick)
	}
	p.after(p.w.between(0, interval), tick)
}

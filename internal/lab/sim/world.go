// Package sim runs the whole system in virtual time: callers, routers, control replicas, back ends and operators,
// under faults drawn from a seed, with one oracle that checks what must always hold.
//
// Routers, control replicas and engines are the pure state machines of the real processes; this package stands in
// for their sockets, disks, clocks and threads. One seed always gives the same run, event for event.
package sim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/prefix"
)

const (
	activeTime     = 100 * time.Second // callers, operators and faults are active
	settleTime     = 25 * time.Second  // faults are healed and everything must come to rest
	tokensPerBlock = 8                 // tokens of a cache block
)

// RunLength is the virtual time of one seed.
const RunLength = activeTime + settleTime

// world is one run.
type world struct {
	seed   uint64
	random *rand.Rand
	guards guard.Set
	clock  vtime.Clock
	trace  io.Writer // nil: no trace is written
	oracle *oracle
	hasher *prefix.Hasher

	network          network
	controls         []*controlNode
	routers          []*routerNode
	engines          []*engineNode
	services         []*serviceNode
	platform         *platform
	callers          *callers
	operators        []*operator
	backends         []*fleetBackend // of the gateway fleet
	gateways         []*fleetGateway
	gatewayCount     int
	relaysWatches    bool // replicas answer gateways for the leader
	reportsStartTime bool // back ends keep their names and tell when they were started
	fleetOperators   []*fleetOperator
	faults           int
	limitRandom      *rand.Rand // chances of back ends that name a limit
	buildRandom      *rand.Rand // chances of control processes that run two builds; nil where all run one
	raised           raisedLevel
	killedRuns       int // runs that back ends of the fleet took along
	mischief         pendingFaults
	history          *History // nil: not recorded
	onAccept         []func() // run once, at the next accepted change
	onPublished      []func() // run once, when the next naming of weights is acknowledged
}

// after schedules something that no process does.
func (w *world) after(delay time.Duration, run func()) { w.clock.After(delay, run) }

// now returns the virtual time.
func (w *world) now() time.Duration { return w.clock.Now() }

// step runs the next thing and reports whether there was one before the end.
func (w *world) step(end time.Duration) bool {
	return w.oracle.violation == nil && w.clock.Step(end)
}

// logf writes a line of the trace.
func (w *world) logf(format string, arguments ...any) {
	if w.trace == nil {
		return
	}
	fmt.Fprintf(w.trace, "%12.6f  ", w.now().Seconds())
	fmt.Fprintf(w.trace, format, arguments...)
	fmt.Fprintln(w.trace)
}

// between returns a uniform duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// chance reports true with a probability.
func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// pick returns a random element.
func pick[T any](w *world, list []T) T { return list[w.random.IntN(len(list))] }

// Package sim runs the whole system in virtual time: callers, routers, control replicas, back ends and operators,
// under random faults from a seed. An oracle checks the invariants.
//
// Routers, control replicas and engines are the state machines of the real processes; this package simulates their
// sockets, disks, clocks and threads. A run is deterministic for its seed.
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
	settleTime     = 25 * time.Second  // faults have ended and the system must converge
	tokensPerBlock = 8
)

// RunLength is the virtual duration of a run.
const RunLength = activeTime + settleTime

// world is the state of one simulation run.
type world struct {
	seed   uint64
	random *rand.Rand
	guards guard.Set
	clock  vtime.Clock
	trace  io.Writer // nil: no trace
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
	voters           int     // of a complete control group
	mostVoters       int     // up to which replicas that stand by vote as well; 0 for no more than voters
	outages          outages // of runs with a larger control group
	relaysWatches    bool    // followers answer gateways for the leader
	departures       departures
	reportsStartTime bool // back ends keep their names and report their start time
	fleetOperators   []*fleetOperator
	faults           int
	limitRandom      *rand.Rand // random source of advertised limits
	buildRandom      *rand.Rand // random source of mixed builds; nil: all control processes run the same build
	documentRandom   *rand.Rand // random source of large documents; nil: documents are small
	raised           raisedLevel
	killedRuns       int // requests that were running on killed back ends of the fleet
	pending          pendingFaults
	history          *History // nil: no history is recorded
	onAccept         []func() // run once, when the next change is accepted
	onPublished      []func() // run once, when the next publication of weights is acknowledged
}

// after schedules a function that belongs to no process.
func (w *world) after(delay time.Duration, run func()) { w.clock.After(delay, run) }

func (w *world) now() time.Duration { return w.clock.Now() }

// step runs the next event. It returns false after a violation or if there is no event before the end.
func (w *world) step(end time.Duration) bool {
	return w.oracle.violation == nil && w.clock.Step(end)
}

// logf writes a line to the trace.
func (w *world) logf(format string, arguments ...any) {
	if w.trace == nil {
		return
	}
	fmt.Fprintf(w.trace, "%12.6f  ", w.now().Seconds())
	fmt.Fprintf(w.trace, format, arguments...)
	fmt.Fprintln(w.trace)
}

// between returns a random duration, uniform in [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// chance returns true with the given probability.
func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

func pick[T any](w *world, list []T) T { return list[w.random.IntN(len(list))] }

package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Guarantee names a property that must hold in every run.
type Guarantee string

// Guarantees that are checked.
const (
	// The running requests of a tenant stay within its limit, summed over all machines.
	WithinLimit Guarantee = "limit"
	// A request that must not be retried runs at most once.
	AtMostOnce Guarantee = "once"
	// A request reported as not executed is never executed.
	NotRunHonored Guarantee = "not-run"
	// A successful response is the complete response to the caller's own request.
	CorrectResponse Guarantee = "answer"
	// Requests are served again after the last fault has healed.
	ServiceRecovers Guarantee = "back"
	// Back ends that share a capacity serve nearly as many requests as it bears, and the others are refused at once. Slow ones that
	// answer in time serve nearly all.
	GoodputHolds Guarantee = "goodput"
	// Processes exit only when told to, and in time.
	NoUnexpectedExit Guarantee = "own-end"
	// A request that crashes workers reaches few more after the third; no other request is rejected as quarantined.
	QuarantineEnforced Guarantee = "held-back"
	// A back end that asked a gateway for backoff gets at most two more requests from it during that time.
	BackoffRespected Guarantee = "rest"
	// A back end that announced draining in a response gets no new requests from processes that received it.
	DrainRespected Guarantee = "leaving"
	// A back end whose deregistration was acknowledged gets no requests, whatever arrives late.
	DeregistrationRespected Guarantee = "left"
	// A back end that advertises a rate limit gets no more than that from all processes that received it together.
	AdvertisedLimitRespected Guarantee = "named"
	// Back ends with few slots reject few requests for lack of them while all schedulers run.
	SlotsRespected Guarantee = "slots"
	// An acknowledged configuration is never lost, and no older one is served after it.
	ConfigDurable Guarantee = "config"
	// Gateways that lose their links to all workers serve about as many requests as the others.
	PartitionedGatewaysServe Guarantee = "reach"
	// Requests are served although others, with which they share parts of their prompts, crash workers.
	BystandersServed Guarantee = "bystanders"
	// One answer of a stream holds events of workers of one software version only.
	OneVersionPerAnswer Guarantee = "one-version-answer"
	// A stream that its caller takes up holds events of workers of one software version only.
	OneVersionPerStream Guarantee = "one-version"
	// Streams that callers take up go on at least half as often as new ones begin.
	TakenUpStreamsContinue Guarantee = "taken-up"
	// Control processes keep their data folders and their memory within their limits.
	StorageBounded Guarantee = "disk-bound"
	MemoryBounded  Guarantee = "memory-bound"
	// A request uses no cached part of a prompt that another tenant's request made, if one of the two shares none.
	IsolationRespected Guarantee = "wall"
	// A request that a gateway has read whole gets an answer although the gateway is told to stop.
	StopsAnswer Guarantee = "stops"
	// No request reaches a worker known only from forged heartbeats, and no forged heartbeat is acknowledged.
	ForgedHeartbeatsIgnored Guarantee = "not-forged"
)

// Guarantees lists all guarantees in a fixed order.
func Guarantees() []Guarantee {
	return []Guarantee{WithinLimit, AtMostOnce, NotRunHonored, CorrectResponse, ServiceRecovers, NoUnexpectedExit, QuarantineEnforced, BackoffRespected, DrainRespected, DeregistrationRespected, AdvertisedLimitRespected, SlotsRespected, ConfigDurable, ForgedHeartbeatsIgnored, PartitionedGatewaysServe, BystandersServed,
		OneVersionPerAnswer, OneVersionPerStream, TakenUpStreamsContinue, StorageBounded, MemoryBounded, IsolationRespected, StopsAnswer, GoodputHolds}
}

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// TenantLimit is a tenant's limit, valid from a point in time: the units that it may use in a window of a given length.
type TenantLimit struct {
	From  time.Duration
	Units func(window time.Duration) float64
}

// execution is one run of a request on a back end.
type execution struct {
	at    time.Duration
	units float64
}

// requestState is what is known of a caller's request.
type requestState struct {
	atMostOnce bool // it must run at most once
	runs       int
	notRun     bool // the caller was told that it did not run
}

// Watcher records what callers and back ends observe and checks the guarantees. It is safe for concurrent use. All
// times are durations since the start of the run.
type Watcher struct {
	Window          time.Duration // length of the windows in which tenant limits are checked
	LimitSettleTime time.Duration // how long after a new limit was accepted the previous one may still apply
	RecoverTime     time.Duration // how long after all processes have returned requests must be served again

	mu         sync.Mutex
	requests   map[string]*requestState // by request ID; guarded by mu
	executions map[string][]execution   // by tenant; guarded by mu
	limits     map[string][]TenantLimit // by tenant, ascending; guarded by mu
	violations []Violation              // guarded by mu
	outcomes   map[string]int           // number of responses by outcome; guarded by mu
	// Whether each request sent when service had to be available was served; guarded by mu.
	served         []bool
	expectRecovery bool // the plan leaves time to recover; guarded by mu
	// Arrivals of each fatal request at workers, by its name; guarded by mu.
	fatalArrivals map[string][]time.Duration
	// Number of responses that reported a fatal request as quarantined, by its name; guarded by mu.
	quarantineReplies map[string]int
	fatalParts        map[string]*fatalPart   // by part; guarded by mu
	serviceLimits     []interval              // guarded by mu
	deregistered      map[string]deregistered // by incarnation; guarded by mu
	isolations        []isolation             // guarded by mu
	// Periods of faults in the system's processes and links; guarded by mu.
	disturbances []interval
	burstWindows []interval           // periods in which requests may be delayed; guarded by mu
	signals      signalLog            // guarded by mu
	slotArrivals []slotArrival        // guarded by mu
	partitions   []partition          // guarded by mu
	tries        map[string]*firstTry // by request ID; guarded by mu
	versions     versionLog           // guarded by mu
	stops        []stop               // guarded by mu
	plannedStops []plannedStop        // guarded by mu
	unanswered   []unanswered         // guarded by mu
	goodputs     []expectedGoodput    // guarded by mu
	// How each request of a caller ended; guarded by mu.
	requestOutcomes []Outcome
}

// interval is a closed time interval.
type interval struct{ from, to time.Duration }

// NewWatcher returns a Watcher without observations.
func NewWatcher(window, limitSettleTime time.Duration) *Watcher {
	return &Watcher{
		Window: window, LimitSettleTime: limitSettleTime, requests: map[string]*requestState{}, executions: map[string][]execution{}, limits: map[string][]TenantLimit{},
		signals: newSignalLog(), outcomes: map[string]int{}, fatalArrivals: map[string][]time.Duration{}, quarantineReplies: map[string]int{}, tries: map[string]*firstTry{}, fatalParts: map[string]*fatalPart{}, deregistered: map[string]deregistered{},
	}
}

// RecordLimit records that a tenant's new limit was accepted.
func (w *Watcher) RecordLimit(tenant string, limit TenantLimit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[tenant] = append(w.limits[tenant], limit)
}

// ExpectRecovery sets whether the plan leaves time for service to recover, which Close then checks.
func (w *Watcher) ExpectRecovery(expected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectRecovery = expected
}

// RecordRequest records that a caller is about to send a request.
func (w *Watcher) RecordRequest(id string, atMostOnce bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[id] = &requestState{atMostOnce: atMostOnce}
}

// RecordExecution records that a back end started a request.
func (w *Watcher) RecordExecution(at time.Duration, id, tenant string, units float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[tenant] = append(w.executions[tenant], execution{at: at, units: units})
	request := w.requests[id]
	if request == nil {
		w.addViolation(CorrectResponse, "a back end executed %q, which no caller sent", id)
		return
	}
	request.runs++
	if request.atMostOnce && request.runs > 1 {
		w.addViolation(AtMostOnce, "%s was executed %d times", id, request.runs)
	}
	if request.notRun && request.atMostOnce {
		w.addViolation(NotRunHonored, "%s was executed after its caller was told that it did not run", id)
	}
}

// RecordNotRun records that a caller was told that its request did not run.
func (w *Watcher) RecordNotRun(id, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
	request := w.requests[id]
	request.notRun = true
	if request.atMostOnce && request.runs > 0 {
		w.addViolation(NotRunHonored, "%s had been executed when its caller was told that it did not run", id)
	}
}

// RecordSuccess records a successful response and whether it was the complete response to the request. afterRecovery is
// true if the request was sent when service had to be available again.
func (w *Watcher) RecordSuccess(id string, complete, afterRecovery bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes["answered"]++
	w.recordServed(id)
	if !complete {
		w.addViolation(CorrectResponse, "%s received a response that is incomplete or belongs to another request", id)
	}
	if afterRecovery {
		w.served = append(w.served, true)
	}
}

// RecordFailure records any other outcome.
func (w *Watcher) RecordFailure(outcome string, afterRecovery bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
	if afterRecovery {
		w.served = append(w.served, false)
	}
}

// RecordViolation records a violation that was detected elsewhere.
func (w *Watcher) RecordViolation(guarantee Guarantee, format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addViolation(guarantee, format, values...)
}

// maxViolations bounds the recorded violations.
const maxViolations = 200

// addViolation records a violation unless there are maxViolations already. The caller holds mu.
func (w *Watcher) addViolation(guarantee Guarantee, format string, values ...any) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, values...)})
	}
}

// minServedFraction is the fraction of requests that must be served after all faults have healed.
const minServedFraction = 0.8

// minServed returns the fraction of requests that must be served after all faults have healed. The caller holds mu.
func (w *Watcher) minServed() float64 { return minServedFraction * w.borneFraction() }

// Close runs the checks that need the complete run and returns all violations.
func (w *Watcher) Close() []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	for tenant, executions := range w.executions {
		w.checkLimit(tenant, executions)
	}
	servedCount := 0
	for _, served := range w.served {
		if served {
			servedCount++
		}
	}
	for name, arrivals := range w.fatalArrivals {
		w.checkQuarantine(name, arrivals)
	}
	w.checkSlots()
	w.checkPartitions()
	w.checkFatalParts()
	w.checkTakeUps()
	w.checkRestorations()
	w.checkStops()
	w.checkGoodputs()
	if w.expectRecovery && (len(w.served) == 0 || float64(servedCount) < w.minServed()*float64(len(w.served))) {
		w.addViolation(ServiceRecovers, "%d of %d requests were served after all faults had healed", servedCount, len(w.served))
	}
	return slices.Clone(w.violations)
}

const (
	// quarantineThreshold is how many workers a request may crash before it is quarantined, maxExtraArrivals how many
	// more may receive it. quarantinePropagationDelay is how long the quarantine may take to reach all gateways, and
	// how long after a disturbance arrivals are not counted.
	quarantineThreshold        = 3
	maxExtraArrivals           = 3
	quarantinePropagationDelay = 4 * time.Second
)

// RecordDisturbance records a period in which a fault affects the system's processes or links.
func (w *Watcher) RecordDisturbance(from, to time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbances = append(w.disturbances, interval{from, to})
}

// RecordFatalArrival records that a fatal request reached a worker, which crashes from it.
func (w *Watcher) RecordFatalArrival(at time.Duration, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fatalArrivals[name] = append(w.fatalArrivals[name], at)
}

// RecordQuarantined records that a caller of a fatal request was told that it is quarantined.
func (w *Watcher) RecordQuarantined(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quarantineReplies[name]++
}

// QuarantineDecided reports whether there are enough observations to tell if a fatal request is quarantined: more than
// maxExtraArrivals callers were told so, or more than maxExtraArrivals workers received it after the threshold.
func (w *Watcher) QuarantineDecided(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantineReplies[name] > maxExtraArrivals || w.excessArrivals(w.fatalArrivals[name]) > maxExtraArrivals
}

// checkQuarantine reports a violation if too many workers received a fatal request after it had to be quarantined.
func (w *Watcher) checkQuarantine(name string, arrivals []time.Duration) {
	if excess := w.excessArrivals(arrivals); excess > maxExtraArrivals {
		w.addViolation(QuarantineEnforced, "%q reached %d workers after it had crashed three, %d in total", name, excess, len(arrivals))
	}
}

// excessArrivals counts the arrivals after the quarantine had to be known, outside disturbances. The caller holds mu.
func (w *Watcher) excessArrivals(arrivals []time.Duration) int {
	slices.Sort(arrivals)
	excess := 0
	for i, at := range arrivals {
		if i >= quarantineThreshold && at > arrivals[quarantineThreshold-1]+quarantinePropagationDelay && !w.disturbed(at) {
			excess++
		}
	}
	return excess
}

// disturbed reports whether a disturbance is active or ended less than quarantinePropagationDelay ago.
func (w *Watcher) disturbed(at time.Duration) bool {
	return slices.ContainsFunc(w.disturbances, func(s interval) bool { return at >= s.from && at <= s.to+quarantinePropagationDelay })
}

// checkLimit checks the tenant's usage in each window that ends with the start of an execution.
func (w *Watcher) checkLimit(tenant string, executions []execution) {
	slices.SortFunc(executions, func(a, b execution) int { return int(a.at - b.at) })
	sum, first := 0.0, 0
	for _, e := range executions {
		for sum += e.units; executions[first].at <= e.at-w.Window; first++ {
			sum -= executions[first].units
		}
		allowed, limited := w.allowed(tenant, executions[first].at)
		if limited && sum > allowed {
			w.addViolation(WithinLimit, "tenant %s used %.0f units in the %v before %v, %.0f allowed", tenant, sum, w.Window, e.at.Round(time.Millisecond), allowed)
			return
		}
	}
}

// allowed returns the highest limit that may apply in a window from a given time on. A lower limit applies only to
// windows that begin more than LimitSettleTime after it was accepted.
func (w *Watcher) allowed(tenant string, from time.Duration) (float64, bool) {
	highest, found := 0.0, false
	limits := w.limits[tenant]
	for i, limit := range limits {
		if i+1 < len(limits) && limits[i+1].From+w.LimitSettleTime < from {
			continue // replaced before the window began
		}
		highest, found = max(highest, limit.Units(w.Window)), true
	}
	return highest, found
}

// Outcomes returns the number of responses by outcome.
func (w *Watcher) Outcomes() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[string]int{}
	for outcome, count := range w.outcomes {
		copied[outcome] = count
	}
	return copied
}

package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Guarantee names one thing that must hold.
type Guarantee string

// The promises that are checked.
const (
	WithinLimit              Guarantee = "limit"      // what runs of a tenant's requests stays within its limit, over all machines
	AtMostOnce               Guarantee = "once"       // a request that may not be repeated runs at most once
	NotRunHonored            Guarantee = "not-run"    // a request that was said not to have run does not run
	CorrectResponse          Guarantee = "answer"     // a success is the whole answer to the caller's own request
	ServiceRecovers          Guarantee = "back"       // after the last fault healed, requests are served again
	NoUnexpectedExit         Guarantee = "own-end"    // no process ends by itself, and each ends when it is told to
	QuarantineEnforced       Guarantee = "held-back"  // a request that ends its workers gets few more after the third; no other one is refused for it
	BackoffRespected         Guarantee = "rest"       // a back end that asked a gateway for rest gets two requests more from it in that time at the most
	DrainRespected           Guarantee = "leaving"    // a back end that said in an answer that it leaves gets nothing new from whoever heard it
	AdvertisedLimitRespected Guarantee = "named"      // a back end that names a limit gets no more than it allows from all processes together that have heard it
	ConfigDurable            Guarantee = "config"     // a configuration that was acknowledged is never lost, and none older is shown after it
	ForgedHeartbeatsIgnored  Guarantee = "not-forged" // no request reaches a worker that only forged heartbeats name, and none of these is acknowledged
)

// Guarantees lists every promise in a fixed order.
func Guarantees() []Guarantee {
	return []Guarantee{WithinLimit, AtMostOnce, NotRunHonored, CorrectResponse, ServiceRecovers, NoUnexpectedExit, QuarantineEnforced, BackoffRespected, DrainRespected, AdvertisedLimitRespected, ConfigDurable, ForgedHeartbeatsIgnored}
}

// Violation is a promise that did not hold, with the observation.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// TenantLimit is what a tenant may use, from a time on.
type TenantLimit struct {
	From  time.Duration
	Units func(window time.Duration) float64
}

// execution is a request that a back end began.
type execution struct {
	at    time.Duration
	units float64
}

// requestState is what is known of one request of a caller.
type requestState struct {
	atMostOnce bool // it may run at most once
	runs       int
	notRun     bool // its caller was told that it did not run
}

// Watcher gathers what callers and back ends see. It is safe for concurrent use. Times are of one clock, that of the soak.
type Watcher struct {
	Window          time.Duration // that limits are judged in
	LimitSettleTime time.Duration // how long after a lower limit was accepted an older one may still count

	mu                sync.Mutex
	requests          map[string]*requestState   // by id; guarded by mu
	runs              map[string][]execution     // by tenant, rising by time; guarded by mu
	limits            map[string][]TenantLimit   // by tenant, rising by time; guarded by mu
	violations        []Violation                // guarded by mu
	outcomes          map[string]int             // by what callers got; guarded by mu
	served            []bool                     // of the requests that began after the calm; guarded by mu
	expectRecovery    bool                       // the plan leaves time for service to be back; guarded by mu
	fatalArrivals     map[string][]time.Duration // when a request that ends its workers came to one, by its name, rising; guarded by mu
	quarantineReplies map[string]int             // how often its callers were told that it is held back, by its name; guarded by mu
	disturbances      []interval                 // of the system's processes and links; guarded by mu
	burstWindows      []interval                 // in which requests may be held up; guarded by mu
	signals           signalLog                  // of themselves, by back ends; guarded by mu
}

// interval is a stretch of time.
type interval struct{ from, to time.Duration }

// NewWatcher returns a watch that has seen nothing.
func NewWatcher(window, settle time.Duration) *Watcher {
	return &Watcher{
		Window: window, LimitSettleTime: settle, requests: map[string]*requestState{}, runs: map[string][]execution{}, limits: map[string][]TenantLimit{},
		signals: newSignalLog(), outcomes: map[string]int{}, fatalArrivals: map[string][]time.Duration{}, quarantineReplies: map[string]int{},
	}
}

// RecordLimit notes that a tenant's limit was accepted at a time.
func (w *Watcher) RecordLimit(tenant string, limit TenantLimit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[tenant] = append(w.limits[tenant], limit)
}

// ExpectRecovery tells whether the plan leaves time for service to be back.
func (w *Watcher) ExpectRecovery(expected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectRecovery = expected
}

// RecordRequest notes that a caller is about to send a request.
func (w *Watcher) RecordRequest(id string, atMostOnce bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[id] = &requestState{atMostOnce: atMostOnce}
}

// RecordExecution notes that a back end began a request.
func (w *Watcher) RecordExecution(at time.Duration, id, tenant string, units float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[tenant] = append(w.runs[tenant], execution{at: at, units: units})
	request := w.requests[id]
	if request == nil {
		w.addViolation(CorrectResponse, "a back end ran %q, which no caller sent", id)
		return
	}
	request.runs++
	if request.atMostOnce && request.runs > 1 {
		w.addViolation(AtMostOnce, "%s ran %d times", id, request.runs)
	}
	if request.notRun && request.atMostOnce {
		w.addViolation(NotRunHonored, "%s ran after its caller was told that it did not", id)
	}
}

// RecordNotRun notes that a caller was told that its request did not run and will not.
func (w *Watcher) RecordNotRun(id, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
	request := w.requests[id]
	request.notRun = true
	if request.atMostOnce && request.runs > 0 {
		w.addViolation(NotRunHonored, "%s had run when its caller was told that it did not", id)
	}
}

// RecordSuccess notes a success and whether it was the whole answer to the request; calm tells that service had to be back.
func (w *Watcher) RecordSuccess(id string, complete, afterRecovery bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes["answered"]++
	if !complete {
		w.addViolation(CorrectResponse, "%s got an answer that is not its own whole one", id)
	}
	if afterRecovery {
		w.served = append(w.served, true)
	}
}

// RecordFailure notes any other end.
func (w *Watcher) RecordFailure(outcome string, afterRecovery bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
	if afterRecovery {
		w.served = append(w.served, false)
	}
}

// RecordViolation notes that a promise was seen broken.
func (w *Watcher) RecordViolation(promise Guarantee, format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addViolation(promise, format, values...)
}

// maxViolations bounds the observations that are kept.
const maxViolations = 200

func (w *Watcher) addViolation(promise Guarantee, format string, values ...any) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, Violation{Guarantee: promise, Detail: fmt.Sprintf(format, values...)})
	}
}

// minServedFraction is the share of the requests that must be served once everything has healed.
const minServedFraction = 0.8

// Close makes the checks that need the whole run, and returns all that was broken.
func (w *Watcher) Close() []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	for tenant, runs := range w.runs {
		w.checkLimit(tenant, runs)
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
	if w.expectRecovery && (len(w.served) == 0 || float64(servedCount) < minServedFraction*float64(len(w.served))) {
		w.addViolation(ServiceRecovers, "%d of %d requests were served after everything had healed", servedCount, len(w.served))
	}
	return slices.Clone(w.violations)
}

const (
	// quarantineThreshold is how many workers a request may end before it is held back, deadlyMore how many more may get it, and deadlyContact how
	// long the news may take, and how long the system's processes and links must have been well for what they send to count.
	quarantineThreshold        = 3
	maxExtraArrivals           = 3
	quarantinePropagationDelay = 4 * time.Second
)

// RecordDisturbance notes that the system's processes or links are struck for a time.
func (w *Watcher) RecordDisturbance(from, to time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbances = append(w.disturbances, interval{from, to})
}

// RecordFatalArrival notes that a request came to a worker that ends under it.
func (w *Watcher) RecordFatalArrival(at time.Duration, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fatalArrivals[name] = append(w.fatalArrivals[name], at)
}

// RecordQuarantined notes that a caller of such a request was told that it is held back.
func (w *Watcher) RecordQuarantined(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quarantineReplies[name]++
}

// QuarantineDecided reports whether what was seen of such a request tells if it is held back: its callers were told so as often as more workers would
// break the promise, or it did come to these.
func (w *Watcher) QuarantineDecided(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantineReplies[name] > maxExtraArrivals || w.excessArrivals(w.fatalArrivals[name]) > maxExtraArrivals
}

// checkQuarantine counts what reached workers after the third had ended, while all was well.
func (w *Watcher) checkQuarantine(name string, arrivals []time.Duration) {
	if excess := w.excessArrivals(arrivals); excess > maxExtraArrivals {
		w.addViolation(QuarantineEnforced, "%q came to %d workers after it had ended three, %d in all", name, excess, len(arrivals))
	}
}

// excessArrivals counts those that must not have come. The caller holds the mutex.
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

// disturbed reports whether something was struck a moment before.
func (w *Watcher) disturbed(at time.Duration) bool {
	return slices.ContainsFunc(w.disturbances, func(s interval) bool { return at >= s.from && at <= s.to+quarantinePropagationDelay })
}

// checkLimit looks at every window that ends with a run.
func (w *Watcher) checkLimit(tenant string, runs []execution) {
	slices.SortFunc(runs, func(a, b execution) int { return int(a.at - b.at) })
	sum, first := 0.0, 0
	for _, r := range runs {
		for sum += r.units; runs[first].at <= r.at-w.Window; first++ {
			sum -= runs[first].units
		}
		allowed, limited := w.allowed(tenant, runs[first].at)
		if limited && sum > allowed {
			w.addViolation(WithinLimit, "tenant %s used %.0f units in the %v before %v, %.0f allowed", tenant, sum, w.Window, r.at.Round(time.Millisecond), allowed)
			return
		}
	}
}

// allowed returns the most that any limit allows that may still count in a window from a time on; a later lower limit binds
// whole windows only.
func (w *Watcher) allowed(tenant string, from time.Duration) (float64, bool) {
	highest, found := 0.0, false
	limits := w.limits[tenant]
	for i, limit := range limits {
		if i+1 < len(limits) && limits[i+1].From+w.LimitSettleTime < from {
			continue // replaced before the window
		}
		highest, found = max(highest, limit.Units(w.Window)), true
	}
	return highest, found
}

// Outcomes returns what callers got, by kind.
func (w *Watcher) Outcomes() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[string]int{}
	for outcome, count := range w.outcomes {
		copied[outcome] = count
	}
	return copied
}

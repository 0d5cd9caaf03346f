package sim

import (
	"fmt"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/settings"
)

// Invariant names one must-hold line of the brief.
type Invariant string

// The invariants, in the order of the brief.
const (
	CacheIsolation     Invariant = "cache-isolation"
	StreamComplete     Invariant = "stream-whole"
	ServesAfterRestart Invariant = "restart-serves"
	CorrectResponse    Invariant = "own-answer"
	NotRunHonored      Invariant = "not-run-true"
	AtMostOnce         Invariant = "at-most-once"
	DrainRespected     Invariant = "leaving-no-new-work"
	PlannedStop        Invariant = "planned-stop"
	SettingsDurable    Invariant = "settings-hold"
)

// Rules beside the brief's lines.
const (
	QuarantineEnforced       Invariant = "held-back"
	OldWeightsLimitRespected Invariant = "weights-in-time"
	BackoffRespected         Invariant = "rest-given"
	AdvertisedLimitRespected Invariant = "limit-kept"
	BuildsCompatible         Invariant = "builds-known"
)

// InvariantHelp describes an invariant and how it is checked.
type InvariantHelp struct {
	Name Invariant
	Help string
}

// Invariants lists every invariant with the check that the oracle makes.
func Invariants() []InvariantHelp {
	return []InvariantHelp{
		{CacheIsolation, "each reused block was computed by this life of the engine, or copied, for the same tenant, weights and text; no job relies on another life"},
		{StreamComplete, "a caller gets every token once and in order, and an end only after the last"},
		{ServesAfterRestart, "a router with synced settings never refuses for want of settings, nor for want of a lease while control is well"},
		{CorrectResponse, "each token and answer belongs to the caller's own request, and every request gets a final answer"},
		{NotRunHonored, "no back end took a request, before or after, that was refused as not run"},
		{AtMostOnce, "no idempotency key runs twice"},
		{DrainRespected, "a back end is sent nothing more than four seconds after the machine list says that it leaves"},
		{PlannedStop, "a planned stop ends with no request in flight"},
		{SettingsDurable, "an accepted change is in the history under its own version, is never undone, and no router decides by an older version once it is in force"},
	}
}

// FleetRules lists what is checked beside the invariants.
func FleetRules() []InvariantHelp {
	return []InvariantHelp{
		{QuarantineEnforced, "a request that ends whoever runs it gets three back ends more at the most, once the news of the third had time; one that ends well is never held back"},
		{OldWeightsLimitRespected, "no request begins on older weights later than the limit after newer ones were acknowledged, nor after its gateway first heard of them"},
		{BackoffRespected, "a back end that asked a gateway or router for rest gets two requests more from it at the most, from half a second later to the end of that time"},
		{AdvertisedLimitRespected, "from 3 s after a back end first named a limit it gets in any 4 s one and a half times what that allows and 5 more at the most, from all gateways or routers together that had heard of it half a second before"},
		{BuildsCompatible, "where control processes run two builds, none holds what its build doesn't know, and no level comes into force under one that runs the older"},
	}
}

// Violation is a broken invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Detail    string
}

const (
	drainDispatchGrace = 4 * time.Second
	recoveryTime       = 8 * time.Second // without control faults, after which a router must get its lease
)

// oracle is the simple model of what callers and operators saw, and of what back ends did.
type oracle struct {
	w         *world
	violation *Violation
	requests  int
	complete  int
	changes   int
	accepted  int

	runsByKey          map[string]int // by key
	reportedNotRun     map[*exchange]bool
	outcomes           map[string]settings.Outcome // first outcome told, by operation id
	operationByVersion map[uint64]string           // operation id by accepted version
	acknowledged       uint64                      // highest version anybody was told of
	inForce            uint64                      // highest version said to be in force
	routerVersions     map[string]uint64           // newest version a router decided by
	firstAccept        time.Duration               // when the first change was accepted
	controlFaultEnd    time.Duration               // end of the newest fault that may have stopped control
	fleet              fleetOracle
	signals            signalOracle
	limits             limitOracle
	fatalRequests      map[quarantine.Fingerprint]*fatalRequest
	fatalCount         int
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, runsByKey: map[string]int{}, reportedNotRun: map[*exchange]bool{},
		outcomes: map[string]settings.Outcome{}, operationByVersion: map[uint64]string{}, routerVersions: map[string]uint64{},
		fleet: newFleetOracle(), signals: newSignalOracle(), limits: limitOracle{}, fatalRequests: map[quarantine.Fingerprint]*fatalRequest{},
	}
}

// fail records the first violation; the run ends there.
func (o *oracle) fail(invariant Invariant, format string, arguments ...any) {
	if o.violation != nil {
		return
	}
	o.violation = &Violation{Invariant: invariant, At: o.w.now(), Detail: fmt.Sprintf(format, arguments...)}
	o.w.logf("VIOLATION %s: %s", invariant, o.violation.Detail)
}

// engineAccepted checks a job at the moment an engine takes it.
func (o *oracle) engineAccepted(e *engineNode, job *engine.Job, s *activeAttempt, result engine.SubmitResult) {
	ex := s.request
	ex.executed = true
	if o.reportedNotRun[ex] {
		o.fail(NotRunHonored, "%s took %s, which was refused as not run", e.name, ex.job.name)
	}
	if job.ExpectedCachedTokens > 0 && result == engine.Accepted && job.Incarnation != e.model.Incarnation {
		o.fail(CacheIsolation, "%s, incarnation %d, runs %s relying on %d tokens of incarnation %d",
			e.name, e.model.Incarnation, ex.job.name, job.ExpectedCachedTokens, job.Incarnation)
	}
}

// checkDraining checks a send at the moment the router makes it; what was on its way before may arrive late.
func (o *oracle) checkDraining(r *routerNode, backend string) {
	leftAt := o.w.drainingSince(backend)
	if leftAt > 0 && o.w.now() > leftAt+drainDispatchGrace {
		o.fail(DrainRespected, "%s sent new work to %s %v after it was said to leave", r.name, backend, o.w.now()-leftAt)
	}
}

// engineReused checks every block that a job reuses against what the block really holds.
func (o *oracle) engineReused(e *engineNode, s *activeAttempt, output engine.Output) {
	for block := range output.Cached / tokensPerBlock {
		wanted := s.request.job.content(output.Weights, block)
		if held, found := e.cached[output.Job.Blocks[block]]; !found || held != wanted {
			o.fail(CacheIsolation, "%s reuses block %d for %s of %s under %s, but it holds %+v",
				e.name, block, s.request.job.name, wanted.tenant, wanted.weights, held)
			return
		}
	}
}

// engineLoads checks that an engine never carries out an older order after a newer one.
func (o *oracle) engineLoads(e *engineNode, call control.EngineCall) {
	if call.Fence.Less(e.lastOrder) {
		o.fail(SettingsDurable, "%s loads %s by order %d/%d after order %d/%d",
			e.name, call.Order.Weights, call.Fence.Term, call.Fence.Sequence, e.lastOrder.Term, e.lastOrder.Sequence)
	}
	e.lastOrder = call.Fence
}

func (o *oracle) serviceRan(s *serviceNode, ex *exchange) {
	ex.executed = true
	key := ex.job.tenant + "/" + ex.job.name
	o.runsByKey[key]++
	if o.runsByKey[key] > 1 {
		o.fail(AtMostOnce, "%s ran %d times, now on %s", key, o.runsByKey[key], s.name)
	}
	if o.reportedNotRun[ex] {
		o.fail(NotRunHonored, "%s ran %s, which was refused as not run", s.name, key)
	}
}

// routerFinished checks a final answer at the moment the router gives it.
func (o *oracle) routerFinished(r *routerNode, ex *exchange, final core.ActionFinish) {
	if final.Run == core.RunNot {
		o.reportedNotRun[ex] = true
		if ex.executed || (ex.job.toService && o.runsByKey[ex.job.tenant+"/"+ex.job.name] > 0) {
			o.fail(NotRunHonored, "%s refused %s as not run (%s), but it ran", r.name, ex.job.name, final.Reason)
		}
	}
	if final.Reason != core.ReasonNoLease && final.Reason != core.ReasonNoSettings {
		return
	}
	servesLast := r.zone == serveLastZone && r.syncedSettings.Version > 0
	if servesLast {
		o.fail(ServesAfterRestart, "%s refused %s as %s although it holds settings %d", r.name, ex.job.name, final.Reason, r.syncedSettings.Version)
	}
	recovered := o.accepted > 0 && o.w.now() > max(o.controlFaultEnd, r.resumedAt, o.firstAccept)+recoveryTime
	if recovered && r.syncedSettings.Version > 0 {
		o.fail(ServesAfterRestart, "%s refused %s as %s while control was well", r.name, ex.job.name, final.Reason)
	}
}

// routerDispatched checks the settings that a new request is decided by.
func (o *oracle) routerDispatched(r *routerNode, ex *exchange, action core.ActionDispatch) {
	o.checkDraining(r, action.Backend)
	if action.ResumeFrom > ex.resumeFrom || r.zone == serveLastZone {
		return
	}
	if action.SettingsVersion < o.inForce {
		o.fail(SettingsDurable, "%s decided on %s by version %d after version %d was in force", r.name, ex.job.name, action.SettingsVersion, o.inForce)
	}
}

// routerTicked checks that the version a router uses never goes back, restarts included.
func (o *oracle) routerTicked(r *routerNode) {
	version := r.core.SettingsVersion()
	if version == 0 {
		return
	}
	if used := o.routerVersions[r.name]; version < used {
		o.fail(SettingsDurable, "%s went back from version %d to %d", r.name, used, version)
	}
	o.routerVersions[r.name] = version
}

// routerStopped checks a planned stop at its end.
func (o *oracle) routerStopped(r *routerNode) {
	if r.stopping && len(r.exchanges) > 0 {
		o.fail(PlannedStop, "%s ends a planned stop with %d requests in flight", r.name, len(r.exchanges))
	}
}

// callerReceived checks a token.
func (o *oracle) callerReceived(ex *exchange, chunk core.ActionChunk) {
	want := ex.job.token(ex.nextToken)
	switch {
	case chunk.Text == want && chunk.Index == ex.nextToken:
	case len(chunk.Text) > len(ex.job.name) && chunk.Text[:len(ex.job.name)+1] == ex.job.name+":":
		o.fail(StreamComplete, "%s got token %d as %q, wanted %q", ex.job.name, chunk.Index, chunk.Text, want)
	default:
		o.fail(CorrectResponse, "%s got %q of another request, wanted %q", ex.job.name, chunk.Text, want)
	}
}

// callerFinished checks a final answer.
func (o *oracle) callerFinished(ex *exchange, final core.ActionFinish) {
	if final.Reason != core.ReasonComplete && final.Reason != core.ReasonReplayed {
		return
	}
	o.complete++
	if ex.job.toService {
		if got := bodyOf(final.Answer); got != ex.job.responseBody() {
			o.fail(CorrectResponse, "%s got the answer %q", ex.job.name, got)
		}
		return
	}
	if ex.nextToken != ex.job.maxTokens || final.Tokens != ex.job.maxTokens {
		o.fail(StreamComplete, "%s ended as complete after token %d of %d", ex.job.name, ex.nextToken, ex.job.maxTokens)
	}
}

// controlAnswered notes what a replica says is in force.
func (o *oracle) controlAnswered(n *controlNode, response control.Response) {
	if response.Read != nil && response.Read.InForce > o.inForce {
		o.inForce = response.Read.InForce
		o.w.logf("%s says version %d is in force", n.name, o.inForce)
	}
}

// operatorRead checks that reads are never older than what was known when they began.
func (o *oracle) operatorRead(name string, floor uint64, read *control.ReadReply) {
	if read.Version < floor {
		o.fail(SettingsDurable, "%s read version %d after version %d was accepted", name, read.Version, floor)
	}
	o.acknowledged = max(o.acknowledged, read.Version)
}

// operatorOutcome checks the outcome of a change against the first one and against all others.
func (o *oracle) operatorOutcome(change settings.Change, outcome settings.Outcome) {
	first, known := o.outcomes[change.OperationID]
	if known && (first.Kind != outcome.Kind || first.Version != outcome.Version) {
		o.fail(SettingsDurable, "%s was told %s at %d, then %s at %d", change.OperationID, first.Kind, first.Version, outcome.Kind, outcome.Version)
	}
	if known {
		return
	}
	o.outcomes[change.OperationID] = outcome
	o.w.logf("%s on version %d: %s, version %d", change.OperationID, change.Base, outcome.Kind, outcome.Version)
	if outcome.Kind != settings.OutcomeAccepted {
		return
	}
	if o.accepted == 0 {
		o.firstAccept = o.w.now()
	}
	o.accepted++
	if outcome.Version != change.Base+1 {
		o.fail(SettingsDurable, "%s edited version %d and became version %d: another change was overwritten", change.OperationID, change.Base, outcome.Version)
	}
	if other, taken := o.operationByVersion[outcome.Version]; taken {
		o.fail(SettingsDurable, "%s and %s were both accepted as version %d", other, change.OperationID, outcome.Version)
	}
	o.operationByVersion[outcome.Version] = change.OperationID
	o.acknowledged = max(o.acknowledged, outcome.Version)
	hooks := o.w.onAccept
	o.w.onAccept = nil
	for _, run := range hooks {
		run()
	}
}

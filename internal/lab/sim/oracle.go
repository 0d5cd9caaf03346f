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

// Invariant names a property that must hold in every run.
type Invariant string

// Invariants of the whole system.
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

// Additional invariants, of gateways, limits and mixed builds.
const (
	QuarantineEnforced       Invariant = "held-back"
	OldWeightsLimitRespected Invariant = "weights-in-time"
	BackoffRespected         Invariant = "rest-given"
	AdvertisedLimitRespected Invariant = "limit-kept"
	BuildsCompatible         Invariant = "builds-known"
	PartitionedGatewaysServe Invariant = "reach-kept"
	SoftwareKept             Invariant = "one-software"
	StorageBounded           Invariant = "bytes-on-disk"
	MessagesBounded          Invariant = "bytes-in-flight"
	MemoryBounded            Invariant = "bytes-held"
	LeaderElected            Invariant = "leader-elected"
	OneLease                 Invariant = "one-lease"
	DeregistrationRespected  Invariant = "left-stays-out"
)

// InvariantHelp is the description of an invariant and its check.
type InvariantHelp struct {
	Name Invariant
	Help string
}

// Invariants returns the invariants of the whole system with their descriptions.
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

// FleetRules returns the additional invariants with their descriptions.
func FleetRules() []InvariantHelp {
	return []InvariantHelp{
		{QuarantineEnforced, "a request that ends whoever runs it gets three back ends more at the most, once the news of the third had time; one with a part that does, once the news of the fifth had time; one that ends well is never held back, nor one that shares other parts"},
		{OldWeightsLimitRespected, "no request begins on older weights later than the limit after newer ones were acknowledged, nor after its gateway first heard of them"},
		{BackoffRespected, "a back end that asked a gateway or router for rest gets two requests more from it at the most, from half a second later to the end of that time"},
		{AdvertisedLimitRespected, "from 3 s after a back end first named a limit it gets in any 4 s one and a half times what that allows and 5 more at the most, from all gateways or routers together that had heard of it half a second before"},
		{PartitionedGatewaysServe, "a gateway that loses its links to all back ends reaches, from 3 s on, each one that another gateway reaches, and reaches it directly within 6 s of use after the links are back"},
		{SoftwareKept, "the tokens of an answer come from engines of one software version"},
		{StorageBounded, "the log of a control replica and a checkpoint beside it fit on its disk, however large the documents are"},
		{MessagesBounded, "a message between control replicas holds a bounded size of log entries, and so do all that one has sent to another without a reply"},
		{MemoryBounded, "the log entries that a control replica holds in memory have a bounded size"},
		{LeaderElected, "a control group whose voters have a majority of their disks has a leader that answers within 5 s of the end of an outage, however many disks were lost at once with power lost everywhere else"},
		{OneLease, "at most one control replica leads with a valid lease at a time, in runs with outages"},
		{DeregistrationRespected, "a back end is in no gateway's view 2 s after its deregistration was acknowledged, whatever arrives late; at the end every one that runs is registered"},
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
	recoveryTime       = 8 * time.Second // time without control faults after which a router must have a lease
)

// oracle records what callers, operators and back ends observe, and checks it against the invariants.
type oracle struct {
	w         *world
	violation *Violation
	requests  int
	complete  int
	changes   int
	accepted  int

	runsByKey          map[string]int // number of executions by idempotency key
	reportedNotRun     map[*exchange]bool
	outcomes           map[string]settings.Outcome // first outcome reported, by operation ID
	operationByVersion map[uint64]string           // ID of the accepted operation, by version
	acknowledged       uint64                      // highest version returned to any operator
	inForce            uint64                      // highest version reported as in force
	routerVersions     map[string]uint64           // newest version used, by router
	firstAccept        time.Duration               // when an operator first saw a change accepted
	controlFaultEnd    time.Duration               // end of the latest fault that may have interrupted control
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

// fail records the first violation, which ends the run.
func (o *oracle) fail(invariant Invariant, format string, arguments ...any) {
	if o.violation != nil {
		return
	}
	o.violation = &Violation{Invariant: invariant, At: o.w.now(), Detail: fmt.Sprintf(format, arguments...)}
	o.w.logf("VIOLATION %s: %s", invariant, o.violation.Detail)
}

// engineAccepted checks a job when an engine accepts it.
func (o *oracle) engineAccepted(e *engineNode, job *engine.Job, s *activeAttempt, result engine.SubmitResult) {
	ex := s.request
	ex.executed = true
	if o.reportedNotRun[ex] {
		o.fail(NotRunHonored, "%s accepted %s, which was rejected as not run", e.name, ex.job.name)
	}
	if job.ExpectedCachedTokens > 0 && result == engine.Accepted && job.Incarnation != e.model.Incarnation {
		o.fail(CacheIsolation, "%s, incarnation %d, runs %s relying on %d tokens of incarnation %d",
			e.name, e.model.Incarnation, ex.job.name, job.ExpectedCachedTokens, job.Incarnation)
	}
}

// checkDraining checks that a router dispatches nothing to a draining back end. It checks at dispatch, as earlier
// requests may still be in transit.
func (o *oracle) checkDraining(r *routerNode, backend string) {
	leftAt := o.w.drainingSince(backend)
	if leftAt > 0 && o.w.now() > leftAt+drainDispatchGrace {
		o.fail(DrainRespected, "%s sent a new request to %s %v after the machine list marked it as draining", r.name, backend, o.w.now()-leftAt)
	}
}

// engineReused checks the true content of every cached block that a job reuses.
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

// engineLoads checks that an engine never executes an older weights order after a newer one.
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
		o.fail(NotRunHonored, "%s ran %s, which was rejected as not run", s.name, key)
	}
}

// routerFinished checks a final response when the router sends it.
func (o *oracle) routerFinished(r *routerNode, ex *exchange, final core.ActionFinish) {
	if final.Run == core.RunNot {
		o.reportedNotRun[ex] = true
		if ex.executed || (ex.job.toService && o.runsByKey[ex.job.tenant+"/"+ex.job.name] > 0) {
			o.fail(NotRunHonored, "%s rejected %s as not run (%s), but it ran", r.name, ex.job.name, final.Reason)
		}
	}
	if final.Reason != core.ReasonNoLease && final.Reason != core.ReasonNoSettings {
		return
	}
	servesLast := r.zone == serveLastZone && r.syncedSettings.Version > 0
	if servesLast {
		o.fail(ServesAfterRestart, "%s rejected %s as %s although it has settings version %d", r.name, ex.job.name, final.Reason, r.syncedSettings.Version)
	}
	recovered := o.accepted > 0 && o.w.now() > max(o.controlFaultEnd, r.resumedAt, o.firstAccept)+recoveryTime
	if recovered && r.syncedSettings.Version > 0 {
		o.fail(ServesAfterRestart, "%s rejected %s as %s while control was available", r.name, ex.job.name, final.Reason)
	}
}

// routerDispatched checks that a new request is dispatched under settings that are in force.
func (o *oracle) routerDispatched(r *routerNode, ex *exchange, action core.ActionDispatch) {
	o.checkDraining(r, action.Backend)
	if action.ResumeFrom > ex.resumeFrom || r.zone == serveLastZone {
		return
	}
	if action.SettingsVersion < o.inForce {
		o.fail(SettingsDurable, "%s dispatched %s under version %d after version %d was in force", r.name, ex.job.name, action.SettingsVersion, o.inForce)
	}
}

// routerTicked checks that the settings version a router uses never decreases, also across restarts.
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

// routerStopped checks that no request is in flight at the end of a planned stop.
func (o *oracle) routerStopped(r *routerNode) {
	if r.stopping && len(r.exchanges) > 0 {
		o.fail(PlannedStop, "%s ends a planned stop with %d requests in flight", r.name, len(r.exchanges))
	}
}

// callerReceived checks the index and text of a token.
func (o *oracle) callerReceived(ex *exchange, chunk core.ActionChunk) {
	want := ex.job.token(ex.nextToken)
	chunk.Text = o.checkSoftware(ex, chunk.Text)
	switch {
	case chunk.Text == want && chunk.Index == ex.nextToken:
	case len(chunk.Text) > len(ex.job.name) && chunk.Text[:len(ex.job.name)+1] == ex.job.name+":":
		o.fail(StreamComplete, "%s got token %d as %q, want %q", ex.job.name, chunk.Index, chunk.Text, want)
	default:
		o.fail(CorrectResponse, "%s got %q of another request, want %q", ex.job.name, chunk.Text, want)
	}
}

// callerFinished checks that a completed response is the whole expected one.
func (o *oracle) callerFinished(ex *exchange, final core.ActionFinish) {
	if final.Reason != core.ReasonComplete && final.Reason != core.ReasonReplayed {
		return
	}
	o.complete++
	if ex.job.toService {
		if got := bodyOf(final.Answer); got != ex.job.responseBody() {
			o.fail(CorrectResponse, "%s got the wrong response %q", ex.job.name, got)
		}
		return
	}
	if ex.nextToken != ex.job.maxTokens || final.Tokens != ex.job.maxTokens {
		o.fail(StreamComplete, "%s ended as complete after token %d of %d", ex.job.name, ex.nextToken, ex.job.maxTokens)
	}
}

// controlAnswered records the version that a replica reports as in force.
func (o *oracle) controlAnswered(n *controlNode, response control.Response) {
	if response.Read != nil && response.Read.InForce > o.inForce {
		o.inForce = response.Read.InForce
		o.w.logf("%s says version %d is in force", n.name, o.inForce)
	}
}

// operatorRead checks that a read returns no version older than floor, the highest acknowledged when it began.
func (o *oracle) operatorRead(name string, floor uint64, read *control.ReadReply) {
	if read.Version < floor {
		o.fail(SettingsDurable, "%s read version %d after version %d was accepted", name, read.Version, floor)
	}
	o.acknowledged = max(o.acknowledged, read.Version)
}

// operatorOutcome checks the outcome of a change against its earlier outcome and against all other accepted changes.
func (o *oracle) operatorOutcome(change settings.Change, outcome settings.Outcome) {
	first, known := o.outcomes[change.OperationID]
	if known && (first.Kind != outcome.Kind || first.Version != outcome.Version) {
		o.fail(SettingsDurable, "%s got outcome %s at version %d, then %s at version %d", change.OperationID, first.Kind, first.Version, outcome.Kind, outcome.Version)
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

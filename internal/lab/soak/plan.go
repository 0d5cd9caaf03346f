package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	KillGateway      Kind = "kill-gateway"
	PauseGateway     Kind = "pause-gateway"
	StopGateway      Kind = "stop-gateway" // graceful shutdown
	KillControl      Kind = "kill-control"
	PauseLeader      Kind = "pause-leader"
	KillAll          Kind = "kill-all"    // all gateways and control processes
	CutLeader        Kind = "cut-leader"  // both directions, from all processes
	CutOneWay        Kind = "cut-one-way" // from the leader to all other processes
	CutGateway       Kind = "cut-gateway" // from all control processes
	DelayLinks       Kind = "delay-links"
	ResetLinks       Kind = "reset-links"
	ResetControl     Kind = "reset-control" // repeatedly, between control processes
	KillWorker       Kind = "kill-worker"
	HotTenant        Kind = "hot-tenant"
	LowerLimit       Kind = "lower-limit"
	ChangeSetting    Kind = "change-setting"    // a change of the settings document without effect
	Reload           Kind = "reload"            // SIGHUP to all processes, possibly during a graceful shutdown
	FatalRequest     Kind = "deadly-request"    // a repeated request that crashes each worker that runs it
	RejectRequests   Kind = "shed-workers"      // workers reject all requests and ask callers to back off
	DrainWorker      Kind = "leave-worker"      // a worker's responses announce its shutdown, its heartbeats do not
	DeregisterWorker Kind = "deregister-worker" // a worker leaves without announcing it, mostly soon after its start; heartbeats arrive late
	IsolateTenant    Kind = "isolate-tenant"    // a tenant shares no cached parts of prompts for a time
	AdvertiseLimits  Kind = "need-workers"      // workers advertise a request rate limit in their responses
	ForgedHeartbeats Kind = "forged-beats"      // an unknown sender sends heartbeats that can be decoded only in part
	CutWorkers       Kind = "cut-workers"       // half of the gateways from all workers; connections hang
	CutWorkersOneWay Kind = "cut-workers-one-way"
	ResetWorkers     Kind = "reset-workers"   // the same; connections are reset, also new ones
	FatalPart        Kind = "deadly-part"     // requests that share a part of their prompts which crashes each worker
	RefuseWorkers    Kind = "refuse-workers"  // the same; new connections are reset, open ones live on
	MixVersions      Kind = "mix-versions"    // half of the engines are replaced, one after the other, by a new software version
	ReleaseVersion   Kind = "release-version" // all engines are replaced, one after the other, by a new software version
	IsolateGateway   Kind = "isolate-gateway" // from all control processes and gateways; workers and callers reach it
	LargeDocuments   Kind = "large-documents" // the settings document grows by many routes and changes in quick succession
	WipeControl      Kind = "wipe-control"    // control processes are killed and lose their data folders, as many as the plan tolerates
	PowerOff         Kind = "power-off"       // all machines lose power, and some control processes their data folders
	RollControl      Kind = "roll-control"    // control processes are stopped and started, one after the other
	CutZone          Kind = "cut-zone"        // the control processes and gateways of a zone from all others
	CutAnswers       Kind = "cut-answers"     // workers stop within answers, and end the connection, go silent or send another answer
	SlowSync         Kind = "slow-sync"       // each sync of control processes takes longer; of shapes that lose unsynced writes
	LateStates       Kind = "late-states"     // workers reply late to questions for their state; requests take as long as usual
	LateAnswers      Kind = "late-answers"    // workers begin their answers to requests late
	LateControl      Kind = "late-control"    // each message from and to control processes arrives late; through the proxy only
	EndlessAnswers   Kind = "endless-answers" // a third of the workers send bytes without end, or heads that take much memory, for each answer
	ReplaceControl   Kind = "replace-control" // a control process is gone for good, another one starts at a new address without data
)

// Kinds lists all kinds.
func Kinds() []Kind {
	return append(drawnKinds(), PowerOff, RollControl, CutZone, ReplaceControl, SlowSync, ReleaseVersion, LateStates, LateAnswers, LateControl, EndlessAnswers)
}

// drawnKinds lists the kinds that Generate draws, in a fixed order, which the choice from a seed depends on.
func drawnKinds() []Kind {
	return []Kind{
		KillGateway, PauseGateway, StopGateway, KillControl, PauseLeader, KillAll, CutLeader, CutOneWay, CutGateway, DelayLinks, ResetLinks, ResetControl,
		KillWorker, HotTenant, LowerLimit, ChangeSetting, Reload, FatalRequest, ForgedHeartbeats,
		RejectRequests, DrainWorker, AdvertiseLimits,
		CutWorkers, CutWorkersOneWay, ResetWorkers, RefuseWorkers, FatalPart, MixVersions, IsolateGateway, LargeDocuments, WipeControl, DeregisterWorker, IsolateTenant, CutAnswers,
	}
}

// Disturbs reports whether a fault affects the system's own processes or the links between them.
func (k Kind) Disturbs() bool {
	switch k {
	case KillWorker, HotTenant, LowerLimit, ChangeSetting, LargeDocuments, Reload, FatalRequest, ForgedHeartbeats, RejectRequests, DrainWorker, DeregisterWorker, IsolateTenant, AdvertiseLimits, CutAnswers,
		CutWorkers, CutWorkersOneWay, ResetWorkers, RefuseWorkers, FatalPart, MixVersions, ReleaseVersion, SlowSync, LateStates, LateAnswers, LateControl, EndlessAnswers:
		return false
	}
	return true
}

// LimitsService reports whether workers reject requests, or callers exceed their limits, because of the fault itself.
func (k Kind) LimitsService() bool {
	switch k {
	case HotTenant, LowerLimit, RejectRequests, AdvertiseLimits:
		return true
	}
	return false
}

// strikesControl reports whether a fault keeps control processes from replacing a lost data folder.
func (k Kind) strikesControl() bool {
	switch k {
	case KillControl, PauseLeader, KillAll, CutLeader, CutOneWay, ResetControl, PowerOff, RollControl, CutZone:
		return true
	}
	return false
}

// StopsAll reports whether a fault ends all processes of the system at once.
func (k Kind) StopsAll() bool { return k == KillAll || k == PowerOff }

// Partitions reports whether a fault separates gateways from all workers.
func (k Kind) Partitions() bool {
	switch k {
	case CutWorkers, CutWorkersOneWay, ResetWorkers, RefuseWorkers:
		return true
	}
	return false
}

// StrikesLinks reports whether a fault acts on links between processes, which only the proxy can bring about.
func (k Kind) StrikesLinks() bool {
	switch k {
	case CutLeader, CutOneWay, CutGateway, DelayLinks, ResetLinks, ResetControl, IsolateGateway, CutZone, LateControl:
		return true
	}
	return k.Partitions()
}

// CausesBursts reports whether a fault may delay requests between or within processes, so that they arrive together
// afterwards.
func (k Kind) CausesBursts() bool {
	switch k {
	case PauseGateway, CutOneWay, DelayLinks, ResetLinks, CutWorkers, CutWorkersOneWay, ResetWorkers, RefuseWorkers:
		return true
	}
	return false
}

// hotTenantFraction is the fraction of faults that are forced to be HotTenant, so that tenant limits are reached in
// every run.
const hotTenantFraction = 0.2

// Fault is a fault or an operator action, scheduled within a run.
type Fault struct {
	AtMS   int64 `json:"at_ms"` // from the start of traffic
	ForMS  int64 `json:"for_ms"`
	Kind   Kind  `json:"kind"`
	Target int   `json:"target"` // index of the process, worker or tenant, modulo their number
	// Disks is the number of control processes that lose their data folders, and Aim how they are chosen. WipeControl
	// without it strikes the process at Target.
	Disks int `json:"disks,omitempty"`
	Aim   Aim `json:"aim,omitempty"`
	// LoseLogs means that nobody reads the output of processes that start after PowerOff.
	LoseLogs bool `json:"lose_logs,omitempty"`
	// Absent is the number of further control processes, chosen like those that lose their folders, that keep theirs but don't start
	// again after PowerOff.
	Absent int `json:"absent,omitempty"`
	// ControlOnly means that PowerOff spares gateways.
	ControlOnly bool `json:"control_only,omitempty"`
	// Workers means that PowerOff strikes the machines of workers as well.
	Workers bool `json:"workers,omitempty"`
	// SpreadMS is over which time PowerOff starts processes, in random order, and SeedsLast whether those that others are told of
	// start after all others.
	SpreadMS  int64 `json:"spread_ms,omitempty"`
	SeedsLast bool  `json:"seeds_last,omitempty"`
	// SyncMS is by how much SlowSync delays each sync of Disks control processes from Target on, or of all without Disks.
	SyncMS int64 `json:"sync_ms,omitempty"`
	// DelayMS is by how much LateStates, LateAnswers and LateControl delay each reply or message.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Gateways is how many gateways, from Target on, a fault separates from all workers. Zones is over how many zones' gateways,
	// from the zone of Target on, it extends instead. With neither it is half of the gateways.
	Gateways int `json:"gateways,omitempty"`
	Zones    int `json:"zones,omitempty"`
}

// At returns when the fault begins, from the start of traffic.
func (f Fault) At() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }

// End returns when the fault is healed, from the start of traffic.
func (f Fault) End() time.Duration {
	return f.At() + time.Duration(f.ForMS+f.SpreadMS)*time.Millisecond
}

// Plan is the schedule of faults of a run, ordered by start time.
type Plan struct {
	Seed     uint64  `json:"seed"`
	LengthMS int64   `json:"length_ms"` // of traffic
	Faults   []Fault `json:"faults"`
	// Gateways is the number of gateways, and SmallSlots the slots of each back end of the small service, which rejects
	// requests beyond them. 0 means the usual number of gateways, and back ends that reject none.
	Gateways   int `json:"gateways,omitempty"`
	SmallSlots int `json:"small_slots,omitempty"`
	// LongStreams is the number of long streams that callers begin per second, some of which they take up at other
	// gateways; 0 means the usual number. NewIDs means that engines have a new instance ID after each start.
	LongStreams int  `json:"long_streams,omitempty"`
	NewIDs      bool `json:"new_ids,omitempty"`
	// LateTakeUps means that half of the callers whose long streams break off wait for 25 to 38 s before they take them up.
	LateTakeUps bool `json:"late_take_ups,omitempty"`
	// Shape is the deployment that the plan is played on.
	Shape Shape `json:"shape,omitzero"`
}

// LastEnd returns when the last of the faults has healed.
func (p Plan) LastEnd() time.Duration {
	last := time.Duration(0)
	for _, fault := range p.Faults {
		last = max(last, fault.End())
	}
	return last
}

// Length returns how long traffic is sent.
func (p Plan) Length() time.Duration { return time.Duration(p.LengthMS) * time.Millisecond }

const (
	// warmUp and recoveryPeriod, at the start and end of a run, have no new faults: they let the system start up and
	// recover.
	warmUp         = 4 * time.Second
	recoveryPeriod = 16 * time.Second
	// maxGap is the upper bound of the time between the starts of consecutive faults. It is below maxFaultDuration, so
	// faults may overlap.
	maxGap           = 3 * time.Second
	maxFaultDuration = 5 * time.Second
)

// Generate returns a random plan of the given length. The same seed yields the same plan.
func Generate(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, LengthMS: length.Milliseconds()}
	kinds := drawnKinds()
	for at := warmUp; at < length-recoveryPeriod; at += time.Duration(random.Int64N(int64(maxGap))) {
		duration := 200*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration)))
		duration = min(duration, length-recoveryPeriod-at+time.Second)
		kind := kinds[random.IntN(len(kinds))]
		if random.Float64() < hotTenantFraction {
			kind = HotTenant
		}
		plan.Faults = append(plan.Faults, Fault{AtMS: at.Milliseconds(), ForMS: duration.Milliseconds(), Kind: kind, Target: random.IntN(64)})
	}
	plan.NewIDs = random.IntN(2) == 0
	return plan
}

// Read reads a plan from a file and validates it.
func Read(path string) (Plan, error) {
	var plan Plan
	text, err := os.ReadFile(path)
	if err != nil {
		return plan, eris.Wrap(err, "read plan")
	}
	if err := json.Unmarshal(text, &plan); err != nil {
		return plan, eris.Wrapf(err, "decode plan %s", path)
	}
	for i, fault := range plan.Faults {
		if !slices.Contains(Kinds(), fault.Kind) || !slices.Contains(Aims(), fault.Aim) || fault.AtMS < 0 || fault.ForMS < 0 || fault.Target < 0 || fault.Disks < 0 || fault.Absent < 0 || fault.SyncMS < 0 || fault.SpreadMS < 0 || fault.DelayMS < 0 || fault.Gateways < 0 || fault.Zones < 0 {
			return plan, eris.Errorf("%s: fault %d (%s) has an unknown kind or aim, or a negative value", path, i, fault.Kind)
		}
		if plan.Shape.Direct && fault.Kind.StrikesLinks() {
			return plan, eris.Errorf("%s: fault %d (%s) acts on links, and those of a direct shape are out of reach", path, i, fault.Kind)
		}
	}
	if err := plan.Shape.validate(); err != nil {
		return plan, eris.Wrap(err, path)
	}
	if plan.Gateways < 0 || plan.SmallSlots < 0 || plan.LongStreams < 0 {
		return plan, eris.Errorf("%s: gateways, small_slots and long_streams must not be negative", path)
	}
	if plan.LengthMS <= 0 {
		return plan, eris.Errorf("%s: length_ms must be positive", path)
	}
	sortFaults(plan.Faults)
	return plan, nil
}

// sortFaults orders faults by when they begin.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.AtMS - b.AtMS) })
}

// Write writes the plan to a file as JSON.
func (p Plan) Write(path string) error {
	text, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode plan")
	}
	return eris.Wrap(os.WriteFile(path, append(text, '\n'), 0o600), "write plan")
}

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

// The kinds of faults.
const (
	KillGateway      Kind = "kill-gateway"
	PauseGateway     Kind = "pause-gateway"
	StopGateway      Kind = "stop-gateway" // a planned stop
	KillControl      Kind = "kill-control"
	PauseLeader      Kind = "pause-leader"
	KillAll          Kind = "kill-all"   // gateways and control
	CutLeader        Kind = "cut-leader" // from everybody
	CutOneWay        Kind = "cut-one-way"
	CutGateway       Kind = "cut-gateway" // from control
	DelayLinks       Kind = "delay-links"
	ResetLinks       Kind = "reset-links"
	ResetControl     Kind = "reset-control" // connections between control processes, in series
	KillWorker       Kind = "kill-worker"
	HotTenant        Kind = "hot-tenant"
	LowerLimit       Kind = "lower-limit"
	ChangeSetting    Kind = "change-setting" // a document that changes nothing that matters
	Reload           Kind = "reload"         // processes are told to read their settings again, also in a planned stop
	FatalRequest     Kind = "deadly-request" // one that ends each worker that begins to run it comes again and again
	RejectRequests   Kind = "shed-workers"   // workers turn every request away and ask for rest
	DrainWorker      Kind = "leave-worker"   // a worker says in its answers that it leaves, while its heartbeats say that it is ready
	AdvertiseLimits  Kind = "need-workers"   // workers name a limit of requests in their answers
	ForgedHeartbeats Kind = "forged-beats"   // another writer sends heartbeats that can't be read in full
)

// Kinds lists every kind in a fixed order.
func Kinds() []Kind {
	return []Kind{
		KillGateway, PauseGateway, StopGateway, KillControl, PauseLeader, KillAll, CutLeader, CutOneWay, CutGateway, DelayLinks, ResetLinks, ResetControl,
		KillWorker, HotTenant, LowerLimit, ChangeSetting, Reload, FatalRequest, ForgedHeartbeats,
		RejectRequests, DrainWorker, AdvertiseLimits,
	}
}

// Disturbs reports whether a fault strikes the system's own processes or their links.
func (k Kind) Disturbs() bool {
	switch k {
	case KillWorker, HotTenant, LowerLimit, ChangeSetting, Reload, FatalRequest, ForgedHeartbeats, RejectRequests, DrainWorker, AdvertiseLimits:
		return false
	}
	return true
}

// CausesBursts reports whether a fault may hold requests up between processes, or in one, so that they come together at its end.
func (k Kind) CausesBursts() bool {
	switch k {
	case PauseGateway, CutOneWay, DelayLinks, ResetLinks:
		return true
	}
	return false
}

// hotTenantFraction is how often a drawn fault is a hot tenant, whatever else there is: without one no limit is ever reached.
const hotTenantFraction = 0.2

// Fault is one thing that goes wrong, or that an operator does.
type Fault struct {
	AtMS   int64 `json:"at_ms"` // from the start of traffic
	ForMS  int64 `json:"for_ms"`
	Kind   Kind  `json:"kind"`
	Target int   `json:"target"` // number of the process, worker or tenant, modulo how many there are
}

// At is when the fault begins.
func (f Fault) At() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }

// End is when it is healed.
func (f Fault) End() time.Duration { return f.At() + time.Duration(f.ForMS)*time.Millisecond }

// Plan is what goes wrong in a run, in the order of time.
type Plan struct {
	Seed     uint64  `json:"seed"`
	LengthMS int64   `json:"length_ms"` // of traffic
	Faults   []Fault `json:"faults"`
}

// Length is how long there is traffic.
func (p Plan) Length() time.Duration { return time.Duration(p.LengthMS) * time.Millisecond }

const (
	// warmUp and calmEnd are without new faults: until everything runs, and until service must be back.
	warmUp         = 4 * time.Second
	recoveryPeriod = 16 * time.Second
	// maxGap is the longest time between two faults; one in three comes while the one before it lasts.
	maxGap           = 3 * time.Second
	maxFaultDuration = 5 * time.Second
)

// Generate draws a plan of a length from a seed.
func Generate(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, LengthMS: length.Milliseconds()}
	kinds := Kinds()
	for at := warmUp; at < length-recoveryPeriod; at += time.Duration(random.Int64N(int64(maxGap))) {
		duration := 200*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration)))
		duration = min(duration, length-recoveryPeriod-at+time.Second)
		kind := kinds[random.IntN(len(kinds))]
		if random.Float64() < hotTenantFraction {
			kind = HotTenant
		}
		plan.Faults = append(plan.Faults, Fault{AtMS: at.Milliseconds(), ForMS: duration.Milliseconds(), Kind: kind, Target: random.IntN(64)})
	}
	return plan
}

// Read reads a plan and checks it.
func Read(path string) (Plan, error) {
	var plan Plan
	text, err := os.ReadFile(path)
	if err != nil {
		return plan, eris.Wrap(err, "read the plan")
	}
	if err := json.Unmarshal(text, &plan); err != nil {
		return plan, eris.Wrapf(err, "%s is not a plan", path)
	}
	for i, fault := range plan.Faults {
		if !slices.Contains(Kinds(), fault.Kind) || fault.AtMS < 0 || fault.ForMS < 0 || fault.Target < 0 {
			return plan, eris.Errorf("%s: fault %d (%s) is not known or has a value below 0", path, i, fault.Kind)
		}
	}
	if plan.LengthMS <= 0 {
		return plan, eris.Errorf("%s: length_ms must be above 0", path)
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return int(a.AtMS - b.AtMS) })
	return plan, nil
}

// Write writes a plan to a file.
func (p Plan) Write(path string) error {
	text, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the plan")
	}
	return eris.Wrap(os.WriteFile(path, append(text, '\n'), 0o600), "write the plan")
}

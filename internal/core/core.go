// Package core is the router's decision logic: a deterministic state machine over tables. It does no I/O and
// takes time and random seed from its caller, so the same code runs in the router, the simulator and the benchmark.
//
// The caller passes Tick the current time and the events since the last call, and carries out the returned
// actions in order. Tick applies the events, then runs the systems in a fixed order: membership, admission,
// retries, timers, placement, index maintenance.
package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/admission/congestion"
	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
	"kitetiller/internal/settings"
)

// Config configures a Core.
type Config struct {
	Router      string
	Zone        string
	Seed        uint64
	BlockTokens int
	IndexLimit  int                      // maximum number of blocks in the prefix index
	ZoneLatency map[string]time.Duration // one-way network latency from this router's zone
	Vault       string                   // address of the zone's shared KV cache store (vault), or ""
	ImportRate  float64                  // tokens/s that an engine copies from another engine or from the vault
	Guards      guard.Set
	Placer      Placer // nil selects CostPlacer
	StartedAt   time.Duration
}

// Core is the state of a router. It is not safe for concurrent use.
type Core struct {
	config  Config
	random  *rand.Rand
	now     time.Duration
	actions []Action

	tree             settings.Tree
	settingsVersion  uint64
	hasSettings      bool
	resolvedSettings map[tenantKey]settings.Values
	epoch            uint64
	leaseEnd         time.Duration
	hadLease         bool
	draining         bool

	backends        []backend
	backendIDs      map[string]prefix.EngineID
	services        map[string]*serviceState
	tenants         map[tenantKey]*tenantState
	requests        map[RequestID]*request
	arrivals        []*request // not admitted yet
	pendingRetries  []*request // without a running attempt; runRetries decides on them
	timers          timerHeap
	lastAttemptID   AttemptID
	snapshotsWanted []prefix.EngineID // engines to request a cache snapshot from

	membershipDirty     bool
	membershipCheckedAt time.Duration
	listRequestedAt     time.Duration // request time of the newest machine list
	resumedAt           time.Duration // when the process last resumed after a pause

	index       *prefix.Index
	hotPrefixes *prefix.RequestRates
	vaultBlocks map[prefix.Hash]bool
	matches     []prefix.Match // reused buffer
	candidates  []Candidate    // reused buffer

	pushback        *pushback.Tracker // backoff requests, draining notices and advertised limits of back ends
	peerRouters     []string          // other routers that send to the same back ends
	pushbackSweptAt time.Duration

	decisions decisionRing
	counters  Counters
}

// Counters are totals since the start of the router.
type Counters struct {
	Requests              uint64
	Completed             uint64
	Refused               map[Reason]uint64
	Attempts              uint64
	Retries               uint64
	Hedges                uint64
	PromptTokens          uint64
	CachedTokens          uint64
	RecomputedTokens      uint64
	RepeatedChunks        uint64
	UnmatchedAnswers      uint64
	CacheEventGaps        uint64
	Snapshots             uint64
	IncarnationMismatches uint64
}

// New returns a core without settings; it refuses every request until it has settings and a lease.
func New(config Config) *Core {
	if config.Placer == nil {
		config.Placer = CostPlacer{}
	}
	return &Core{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), now: config.StartedAt,
		resolvedSettings: map[tenantKey]settings.Values{}, backendIDs: map[string]prefix.EngineID{},
		services: map[string]*serviceState{}, tenants: map[tenantKey]*tenantState{},
		requests: map[RequestID]*request{}, index: prefix.NewIndex(config.IndexLimit),
		hotPrefixes: prefix.NewRequestRates(), vaultBlocks: map[prefix.Hash]bool{}, pushback: pushback.NewTracker(),
		counters: Counters{Refused: map[Reason]uint64{}},
	}
}

// Tick applies events and runs every system once. The returned slice is valid until the next call.
func (c *Core) Tick(now time.Duration, events []Event) []Action {
	c.detectPause(now)
	c.now = max(c.now, now)
	c.actions = c.actions[:0]
	for _, event := range events {
		c.observe(event)
	}
	c.runMembership()
	c.runAdmission()
	c.runRetries()
	c.runTimers()
	c.runPlacement()
	c.runIndexMaintenance()
	c.sweepPushback()
	return c.actions
}

// NextWakeup returns the latest time for the next Tick, or false when no timer is set.
func (c *Core) NextWakeup() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// SettingsVersion returns the settings version in use.
func (c *Core) SettingsVersion() uint64 { return c.settingsVersion }

// LeaseValid reports whether the settings lease has not expired.
func (c *Core) LeaseValid() bool { return c.now < c.leaseEnd }

// AcceptsRequests reports whether new requests are admitted: settings are known, the lease is valid or the operator
// prefers serving with stale settings, and the router is not draining.
func (c *Core) AcceptsRequests() bool { return c.settingsVersion > 0 && c.mayAdmit() && !c.draining }

// Draining reports whether a graceful shutdown has begun.
func (c *Core) Draining() bool { return c.draining }

// ActiveRequests returns the number of requests without a final answer.
func (c *Core) ActiveRequests() int { return len(c.requests) }

// Counters returns the totals. The map in them is shared with the core.
func (c *Core) Counters() Counters { return c.counters }

// IndexedBlocks returns the number of entries in the prefix index.
func (c *Core) IndexedBlocks() int { return c.index.Len() }

// Tree returns the settings in use; callers must not modify it.
func (c *Core) Tree() settings.Tree { return c.tree }

// effectiveSettings returns the cached settings of a service and tenant in this router's zone.
func (c *Core) effectiveSettings(service, tenant string) settings.Values {
	key := tenantKey{service, tenant}
	values, found := c.resolvedSettings[key]
	if !found {
		values = c.tree.Resolve(c.config.Zone, service, tenant)
		c.resolvedSettings[key] = values
	}
	return values
}

// service returns the row of a service, creating it on first use.
func (c *Core) service(name string) *serviceState {
	service := c.services[name]
	if service == nil {
		service = &serviceState{name: name, retryTokens: initialRetryTokens, dispatchInterval: initialDispatchInterval, congestion: congestion.New()}
		c.services[name] = service
	}
	return service
}

// BackendView is the status of a back end as shown to operators.
type BackendView struct {
	Machine
	State            string  `json:"state"`
	Incarnation      uint64  `json:"incarnation"`
	Weights          string  `json:"weights"`
	Running          int     `json:"running"`
	ConcurrencyLimit int     `json:"limit"`
	IndexedBlocks    int     `json:"beliefs"`
	LatencyBias      float64 `json:"bias"`
}

// Backends returns the status of every known back end.
func (c *Core) Backends() []BackendView {
	views := make([]BackendView, 0, len(c.backends))
	for i := range c.backends {
		row := &c.backends[i]
		views = append(views, BackendView{
			Machine: row.machine, State: row.state.String(), Incarnation: row.incarnation, Weights: row.weights,
			Running: row.running, ConcurrencyLimit: int(row.concurrencyLimit), IndexedBlocks: c.index.EngineEntries(row.id), LatencyBias: row.latencyBias,
		})
	}
	return views
}

// WeightsInUse returns the weights versions that ready engines of a service report. Requests need a block chain for
// each of them.
func (c *Core) WeightsInUse(service string) []string {
	var versions []string
	state := c.services[service]
	if state == nil {
		return nil
	}
	for _, id := range state.backends {
		row := &c.backends[id]
		if row.state == BackendReady && !slices.Contains(versions, row.weights) {
			versions = append(versions, row.weights)
		}
	}
	return versions
}

package bench

import (
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/lab/plan"
	"kitetiller/internal/lab/traffic"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

const (
	weights      = "w1"
	warmUp       = 15 * time.Second
	drainTime    = 15 * time.Second
	restartDelay = 2 * time.Second // of a crashed engine
)

type blockList = []prefix.Hash

// Options configure a comparison.
type Options struct {
	Deployment   *plan.Deployment
	Tree         settings.Tree
	Length       time.Duration // how long requests are sent
	Scale        float64       // factor on the deployment's request rate
	InjectFaults bool          // crash an engine and shift the hot prefixes
	CrashZone    bool          // crash all engines of a zone instead of one
	DayLength    time.Duration // length of the daily cycle of demand; 0 for none
	BlockTokens  int           // tokens in a cache block; 0 means 64
	HashDepth    int           // blocks hashed by the hash policies; 0 means the default
}

// hashedDocumentBlocks is how many blocks of the document the hash policies include by default.
const hashedDocumentBlocks = 8

// hashDepth covers, by default, the preamble, the template and the start of the document.
func (o Options) hashDepth() int {
	if o.HashDepth > 0 {
		return o.HashDepth
	}
	return (o.Deployment.Traffic.PreambleTokens+o.Deployment.Traffic.TemplateTokens)/o.blockTokens() + hashedDocumentBlocks
}

// defaultBlockTokens is the block size that the deployments' cache sizes refer to.
const defaultBlockTokens = 64

func (o Options) blockTokens() int {
	if o.BlockTokens > 0 {
		return o.BlockTokens
	}
	return defaultBlockTokens
}

func (o Options) totalLength() time.Duration { return o.Length + drainTime }
func (o Options) crashAt() time.Duration     { return o.Length * 2 / 5 }
func (o Options) shiftAt() time.Duration     { return o.Length * 7 / 10 }

// run is the simulation of one policy with one seed.
type run struct {
	options    Options
	deployment *plan.Deployment
	policy     Policy
	seed       uint64
	tree       settings.Tree
	service    string
	rates      engine.Rates
	clock      vtime.Clock
	hasher     *prefix.Hasher
	engines    []*engineNode
	byName     map[string]*engineNode
	routers    []*routerNode
	byZone     map[string]*routerNode
	vault      *vault
	measure    *measure
	traffic    *traffic.Generator
}

// Run simulates one policy with one seed.
func Run(options Options, policy Policy, seed uint64) Row {
	r := &run{
		options: options, deployment: options.Deployment, policy: policy, seed: seed, tree: options.Tree,
		service: options.Deployment.Model.Name, rates: options.Deployment.Rates(), byName: map[string]*engineNode{},
		byZone: map[string]*routerNode{}, hasher: prefix.NewHasher([prefix.KeyBytes]byte{1}, options.blockTokens(), guard.Set{}),
		vault: newVault(options.Deployment.Vault.Blocks), traffic: traffic.New(options.Deployment, seed, options.Scale),
	}
	r.rates.CacheBlocks = r.rates.CacheBlocks * defaultBlockTokens / options.blockTokens() // same memory at any block size
	r.vault.maxBlocks = r.vault.maxBlocks * defaultBlockTokens / options.blockTokens()
	r.measure = newMeasure(r)
	r.traffic.FollowSun(options.DayLength)
	r.createNodes()
	r.clock.After(time.Second, r.sendNext)
	if options.InjectFaults {
		r.clock.After(options.crashAt(), r.crash)
		r.clock.After(options.shiftAt(), r.traffic.ShiftHotTemplates)
	}
	for r.clock.Step(options.totalLength()) {
	}
	return r.measure.row()
}

// createNodes creates engines and routers. The clairvoyant policy has a single router for all zones.
func (r *run) createNodes() {
	zones := r.deployment.Zones
	for i := range r.deployment.Model.Workers {
		node := &engineNode{run: r, name: engineName(i), zone: zones[i%len(zones)], seed: r.seed*1000 + uint64(i)*7}
		node.start()
		r.engines = append(r.engines, node)
		r.byName[node.name] = node
	}
	routerZones := zones
	if r.policy == Clairvoyant {
		routerZones = zones[:1]
	}
	for i, zone := range routerZones {
		node := r.newRouter(zone, r.seed*10+uint64(i))
		r.routers = append(r.routers, node)
		r.byZone[zone] = node
		node.start()
	}
}

func engineName(i int) string { return "engine-" + string(rune('a'+i/10)) + string(rune('0'+i%10)) }

// sendNext schedules the next prompt to the router of its zone, and the one after it.
func (r *run) sendNext() {
	start := r.clock.Now()
	prompt := r.traffic.Next()
	if prompt.At >= r.options.Length {
		return
	}
	r.clock.After(prompt.At-start, func() {
		router := r.byZone[prompt.Zone]
		if router == nil {
			router = r.routers[0]
		}
		sentAt := r.clock.Now()
		r.clock.After(r.deployment.ClientLatency, func() { router.handlePrompt(prompt, sentAt) })
		r.sendNext()
	})
}

// crash stops one engine, or all engines of a zone. They restart with empty caches.
func (r *run) crash() {
	if !r.options.CrashZone {
		r.crashEngine(r.engines[int(r.seed)%len(r.engines)])
		return
	}
	zone := r.deployment.Zones[int(r.seed)%len(r.deployment.Zones)]
	for _, node := range r.engines {
		if node.zone == zone {
			r.crashEngine(node)
		}
	}
}

func (r *run) crashEngine(node *engineNode) {
	node.crash()
	r.clock.After(restartDelay, func() {
		node.start()
		node.advance()
	})
}

func tokensOf(text string) int { return prefix.EstimateTokens(len(text)) }

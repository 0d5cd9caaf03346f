// Package engine simulates a model engine: continuous batching with chunked prefill, a bounded prefix cache,
// priorities, resumption, cancellation, KV export and import, delayed and lossy cache events, delayed load reports,
// and fenced orders to load weights.
//
// Model does no I/O of its own and runs in virtual time. Both the engine process and the benchmarks drive it.
package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
)

// Rates are the speeds and capacities of an engine.
type Rates struct {
	PrefillTokensPerSecond float64       `json:"prefill_tokens_per_s"`   // prompt tokens prefilled per second
	ImportTokensPerSecond  float64       `json:"import_tokens_per_s"`    // cached tokens imported per second
	DecodeStep             time.Duration `json:"decode_step_ns"`         // base duration of a decode step
	DecodePerSeq           time.Duration `json:"decode_per_sequence_ns"` // added for each decoding sequence
	ChunkTokens            int           `json:"chunk_tokens"`           // maximum prompt tokens prefilled in one step
	MaxBatch               int           `json:"max_batch"`              // maximum running sequences
	CacheBlocks            int           `json:"cache_blocks"`
	CacheIdleTimeout       time.Duration `json:"cache_idle_ns"` // unused blocks are evicted after this; 0 disables
	EventLag               time.Duration `json:"event_lag_ns"`  // delay of cache events
	EventLossRatio         float64       `json:"event_loss"`    // fraction of cache events that are lost
	LoadLag                time.Duration `json:"load_lag_ns"`   // delay of load reports
	LoadTime               time.Duration `json:"load_time_ns"`  // time to load weights while no other engine loads any
	MaxWaiting             int           `json:"queue_limit"`   // maximum waiting jobs
}

// DefaultRates returns the rates of an 8-billion-parameter model on one accelerator.
func DefaultRates() Rates {
	return Rates{
		PrefillTokensPerSecond: 8000, ImportTokensPerSecond: 40000, DecodeStep: 8 * time.Millisecond, DecodePerSeq: 200 * time.Microsecond,
		ChunkTokens: 512, MaxBatch: 24, CacheBlocks: 1500, CacheIdleTimeout: 20 * time.Second,
		EventLag: 150 * time.Millisecond, EventLossRatio: 0.01, LoadLag: 200 * time.Millisecond,
		LoadTime: 500 * time.Millisecond, MaxWaiting: 256,
	}
}

// Job is one attempt of a request, as submitted to the engine.
type Job struct {
	Attempt              core.AttemptID
	Request              core.RequestID
	Origin               string // router; attempt IDs are unique only within one
	Tenant               string
	Blocks               []prefix.Hash
	PromptTokens         int
	MaxTokens            int
	ResumeFrom           int // output tokens that an earlier attempt delivered
	Lane                 core.Lane
	Incarnation          uint64 // incarnation that the router expects
	Weights              string // version that the router expects
	ExpectedCachedTokens int
	ImportFrom           string
	ImportBlocks         int
	UserData             any // opaque to the model
}

// OutputKind is the kind of an Output.
type OutputKind uint8

// Kinds of output.
const (
	OutputStarted OutputKind = iota
	OutputToken
	OutputDone
)

// Output is one event in the progress of a job.
type Output struct {
	Kind     OutputKind
	Job      *Job
	Index    int           // token position, or the output length for OutputDone
	Cached   int           // prompt tokens reused, including imported ones
	Imported int           // prompt tokens copied from another store
	Computed []prefix.Hash // blocks that were prefilled
	Weights  string        // version in use at this step
}

// SubmitResult tells whether a job was accepted.
type SubmitResult uint8

// Results of Submit.
const (
	Accepted             SubmitResult = iota
	AcceptedWithoutReuse              // the router expected another incarnation or other weights
	RejectedQueueFull
	RejectedDraining
	RejectedLoading
)

// sequence is the state of a waiting or running job.
type sequence struct {
	job              *Job
	importEndsAt     time.Duration // end of the KV import
	importing        bool
	promptTokensLeft int  // to prefill
	cached           int  // prompt tokens
	imported         int  // prompt tokens
	emitted          int  // output tokens
	reuse            bool // may use cached blocks
	pinned           []prefix.Hash
	computed         []prefix.Hash
}

// Model is a simulated engine in virtual time. It is not safe for concurrent use.
type Model struct {
	Name        string
	Incarnation uint64
	Weights     string
	Software    string // version of its software
	rates       Rates
	blockTokens int
	random      *rand.Rand
	guards      guard.Set

	cache   *cache
	waiting []*sequence
	running []*sequence
	stepEnd time.Duration     // end of the step in progress; 0 when idle
	step    []*sequence       // sequences of the step in progress
	chunks  map[*sequence]int // prompt tokens that the step prefills
	now     time.Duration

	draining       bool
	loadEndsAt     time.Duration // 0 when not loading
	loadingWeights string
	fence          control.Fence
	loadHistory    []loadSample
	// Import returns how many leading blocks of a chain the source can provide; nil disables imports.
	Import func(source string, chain []prefix.Hash) int
}

// loadSample is the load at one time.
type loadSample struct {
	at   time.Duration
	load core.Load
}

// New returns an idle engine with an empty cache.
func New(name string, incarnation uint64, weights string, rates Rates, blockTokens int, seed uint64, guards guard.Set) *Model {
	random := rand.New(rand.NewPCG(seed, incarnation))
	return &Model{
		Name: name, Incarnation: incarnation, Weights: weights, rates: rates, blockTokens: blockTokens,
		random: random, guards: guards, cache: newCache(rates, random), chunks: map[*sequence]int{},
	}
}

// SetDraining sets whether the engine rejects new jobs and reports that it is draining.
func (m *Model) SetDraining(draining bool) { m.draining = draining }

// Submit accepts or rejects a job. A rejected job never runs.
func (m *Model) Submit(now time.Duration, job *Job) SubmitResult {
	m.now = max(m.now, now)
	switch {
	case m.draining:
		return RejectedDraining
	case m.loadEndsAt > 0:
		return RejectedLoading
	case len(m.waiting) >= m.rates.MaxWaiting:
		return RejectedQueueFull
	}
	reuse := true
	if m.guards.On(guard.IncarnationCheck) {
		reuse = job.Incarnation == m.Incarnation && job.Weights == m.Weights
	}
	m.waiting = append(m.waiting, &sequence{job: job, reuse: reuse, emitted: job.ResumeFrom})
	if !reuse {
		return AcceptedWithoutReuse
	}
	return Accepted
}

// Cancel removes a waiting or running job.
func (m *Model) Cancel(origin string, attempt core.AttemptID) {
	isTarget := func(seq *sequence) bool { return seq.job.Attempt == attempt && seq.job.Origin == origin }
	m.waiting = slices.DeleteFunc(m.waiting, isTarget)
	for _, seq := range m.running {
		if isTarget(seq) {
			m.release(seq)
		}
	}
	m.running = slices.DeleteFunc(m.running, isTarget)
	m.step = slices.DeleteFunc(m.step, isTarget)
}

// UnfinishedJobs returns the number of waiting and running jobs.
func (m *Model) UnfinishedJobs() int { return len(m.waiting) + len(m.running) }

// NextWakeup returns when Advance next has work to do, or false when the engine is idle.
func (m *Model) NextWakeup() (time.Duration, bool) {
	wakeup, scheduled := time.Duration(0), false
	consider := func(at time.Duration) {
		if !scheduled || at < wakeup {
			wakeup, scheduled = at, true
		}
	}
	if m.stepEnd > 0 {
		consider(m.stepEnd)
	} else {
		m.considerStepStart(consider)
	}
	if m.loadEndsAt > 0 && m.UnfinishedJobs() == 0 {
		consider(m.loadEndsAt)
	}
	return wakeup, scheduled
}

// considerStepStart passes on the times at which the next step can begin: now, or when an import ends. An import that
// ends during a step waits for the end of the step.
func (m *Model) considerStepStart(consider func(time.Duration)) {
	if m.hasStepWork() {
		consider(m.now)
	}
	for _, seq := range m.running {
		if seq.importing {
			consider(seq.importEndsAt)
		}
	}
}

// hasStepWork reports whether a step can begin now.
func (m *Model) hasStepWork() bool {
	if len(m.waiting) > 0 && len(m.running) < m.rates.MaxBatch {
		return true
	}
	return slices.ContainsFunc(m.running, func(seq *sequence) bool { return !seq.importing || seq.importEndsAt <= m.now })
}

// Advance runs the engine until now and returns its outputs in order.
func (m *Model) Advance(now time.Duration) []Output {
	var outputs []Output
	for {
		wakeup, scheduled := m.NextWakeup()
		if !scheduled || wakeup > now {
			break
		}
		m.now = max(m.now, wakeup)
		m.finishLoad()
		if m.stepEnd > 0 && m.stepEnd <= m.now {
			outputs = m.endStep(outputs)
		}
		if m.stepEnd == 0 {
			outputs = m.beginStep(outputs)
		}
	}
	m.now = max(m.now, now)
	m.cache.expire(m.now)
	m.sampleLoad()
	return outputs
}

// beginStep admits waiting jobs and starts a step that combines prefill chunks and decoding.
func (m *Model) beginStep(outputs []Output) []Output {
	outputs = m.admitWaiting(outputs)
	budget := m.rates.ChunkTokens
	prefill, decoding := 0, 0
	clear(m.chunks)
	m.step = m.step[:0]
	for _, seq := range m.runningByLane() {
		if seq.importing {
			if seq.importEndsAt > m.now {
				continue
			}
			seq.importing = false
		}
		if seq.promptTokensLeft == 0 {
			decoding++
			m.step = append(m.step, seq)
			continue
		}
		if tokens := min(budget, seq.promptTokensLeft); tokens > 0 {
			budget -= tokens
			prefill += tokens
			m.chunks[seq] = tokens
			m.step = append(m.step, seq)
		}
	}
	if len(m.step) == 0 {
		return outputs
	}
	duration := time.Duration(float64(prefill) / m.rates.PrefillTokensPerSecond * float64(time.Second))
	if decoding > 0 {
		duration += m.rates.DecodeStep + time.Duration(decoding)*m.rates.DecodePerSeq
	}
	m.stepEnd = m.now + max(duration, time.Microsecond)
	return outputs
}

// runningByLane returns the running sequences by lane, interactive first, in order of admission within a lane.
func (m *Model) runningByLane() []*sequence {
	sorted := slices.Clone(m.running)
	slices.SortStableFunc(sorted, func(a, b *sequence) int { return int(a.job.Lane) - int(b.job.Lane) })
	return sorted
}

// admitWaiting moves waiting jobs into the batch, interactive ones first. It stops once the pending prefill fills a
// chunk, so that jobs with a prefix in common with a running prefill are admitted when that prefix is cached.
func (m *Model) admitWaiting(outputs []Output) []Output {
	slices.SortStableFunc(m.waiting, func(a, b *sequence) int { return int(a.job.Lane) - int(b.job.Lane) })
	for len(m.waiting) > 0 && len(m.running) < m.rates.MaxBatch {
		next := m.waiting[0]
		if pendingTokens := m.competingPrefillTokens(next.job.Lane); pendingTokens >= m.rates.ChunkTokens {
			break
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, next)
		m.startSequence(next)
		outputs = append(outputs, Output{Kind: OutputStarted, Job: next.job, Cached: next.cached, Imported: next.imported, Weights: m.Weights})
	}
	return outputs
}

// competingPrefillTokens returns the pending prefill tokens of running sequences at or above the lane's priority.
func (m *Model) competingPrefillTokens(lane core.Lane) int {
	tokens := 0
	for _, seq := range m.running {
		if seq.promptTokensLeft > 0 && !seq.importing && seq.job.Lane <= lane {
			tokens += seq.promptTokensLeft
		}
	}
	return tokens
}

// startSequence looks up the cached prefix, begins an import if one was requested and extends that prefix, and sets the
// number of tokens to prefill.
func (m *Model) startSequence(seq *sequence) {
	job := seq.job
	matched := 0
	if seq.reuse {
		matched = m.cache.match(job.Blocks, m.now)
	}
	if seq.reuse && job.ImportBlocks > matched && m.Import != nil {
		available := min(m.Import(job.ImportFrom, job.Blocks[:min(job.ImportBlocks, len(job.Blocks))]), len(job.Blocks))
		if available > matched {
			tokens := (available - matched) * m.blockTokens
			seq.imported = tokens
			seq.importing = true
			seq.importEndsAt = m.now + time.Duration(float64(tokens)/m.rates.ImportTokensPerSecond*float64(time.Second))
			m.cache.insert(job.Blocks[matched:available], m.now)
			matched = available
		}
	}
	seq.pinned = job.Blocks[:matched]
	m.cache.pin(seq.pinned)
	seq.cached = matched * m.blockTokens
	seq.promptTokensLeft = max(1, job.PromptTokens+job.ResumeFrom-seq.cached)
	if job.Weights == m.Weights { // blocks of other weights must not be cached under these hashes
		seq.computed = job.Blocks[matched:]
	}
}

// endStep emits the tokens of the step and releases the sequences that are complete.
func (m *Model) endStep(outputs []Output) []Output {
	m.stepEnd = 0
	for _, seq := range m.step {
		if tokens := m.chunks[seq]; tokens > 0 {
			seq.promptTokensLeft -= tokens
			if seq.promptTokensLeft > 0 {
				continue
			}
			m.finishPrefill(seq)
		}
		if seq.emitted >= seq.job.MaxTokens { // resumed after the last token: only the end marker is due
			continue
		}
		outputs = append(outputs, Output{
			Kind: OutputToken, Job: seq.job, Index: seq.emitted, Cached: seq.cached,
			Imported: seq.imported, Computed: seq.computed, Weights: m.Weights,
		})
		seq.computed = nil
		seq.emitted++
	}
	for _, seq := range m.step {
		if seq.promptTokensLeft == 0 && seq.emitted >= seq.job.MaxTokens {
			outputs = append(outputs, Output{Kind: OutputDone, Job: seq.job, Index: seq.emitted, Computed: seq.computed, Weights: m.Weights})
			m.release(seq)
			m.running = slices.DeleteFunc(m.running, func(other *sequence) bool { return other == seq })
		}
	}
	return outputs
}

// finishPrefill adds the prefilled blocks to the cache and pins them.
func (m *Model) finishPrefill(seq *sequence) {
	m.cache.insert(seq.computed, m.now)
	m.cache.pin(seq.computed)
	if len(seq.computed) > 0 {
		seq.pinned = seq.job.Blocks
	}
}

func (m *Model) release(seq *sequence) { m.cache.unpin(seq.pinned, m.now) }

// ExportablePrefix returns how many leading blocks of a chain can be exported, and marks them as used.
func (m *Model) ExportablePrefix(now time.Duration, chain []prefix.Hash) int {
	return m.cache.match(chain, now)
}

// CachedPrefix returns how many leading blocks of a chain are cached, without marking them as used.
func (m *Model) CachedPrefix(chain []prefix.Hash) int { return m.cache.peek(chain) }

// Snapshot returns all cached blocks and the sequence number of the next event.
func (m *Model) Snapshot() ([]prefix.Hash, uint64) {
	return m.cache.blockHashes(), m.cache.nextSequence
}

// Package engine is the stand-in for a model engine: continuous batching with chunked prefill, a
// memory-bounded prefix cache, priorities, resume, cancel, KV export and import, late and lossy cache events,
// lagging load reports, and fenced orders to load weights.
//
// Model is pure and runs in virtual time; the engine process and the bench both drive it.
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

// Rates are an engine's speeds and sizes. The defaults are those of an 8-billion-parameter model on one
// accelerator, rounded.
type Rates struct {
	PrefillTokensPerSecond float64       `json:"prefill_tokens_per_s"` // prompt tokens computed a second
	ImportTokensPerSecond  float64       `json:"import_tokens_per_s"`  // cached tokens copied from elsewhere a second
	DecodeStep             time.Duration `json:"decode_step_ns"`       // one token for each running sequence
	DecodePerSeq           time.Duration `json:"decode_per_sequence_ns"`
	ChunkTokens            int           `json:"chunk_tokens"` // prompt tokens computed in one step at most
	MaxBatch               int           `json:"max_batch"`    // sequences running at once
	CacheBlocks            int           `json:"cache_blocks"`
	CacheIdleTimeout       time.Duration `json:"cache_idle_ns"` // an unused block is evicted after this; 0 is never
	EventLag               time.Duration `json:"event_lag_ns"`
	EventLossRatio         float64       `json:"event_loss"` // share of cache events lost
	LoadLag                time.Duration `json:"load_lag_ns"`
	LoadTime               time.Duration `json:"load_time_ns"` // loading weights alone
	MaxWaiting             int           `json:"queue_limit"`
}

// DefaultRates returns the rates of the stand-in's reference engine.
func DefaultRates() Rates {
	return Rates{
		PrefillTokensPerSecond: 8000, ImportTokensPerSecond: 40000, DecodeStep: 8 * time.Millisecond, DecodePerSeq: 200 * time.Microsecond,
		ChunkTokens: 512, MaxBatch: 24, CacheBlocks: 1500, CacheIdleTimeout: 20 * time.Second,
		EventLag: 150 * time.Millisecond, EventLossRatio: 0.01, LoadLag: 200 * time.Millisecond,
		LoadTime: 500 * time.Millisecond, MaxWaiting: 256,
	}
}

// Job is one attempt sent to the engine.
type Job struct {
	Attempt              core.AttemptID
	Request              core.RequestID
	Origin               string // router, to tell attempts of different routers apart
	Tenant               string
	Blocks               []prefix.Hash
	PromptTokens         int
	MaxTokens            int
	ResumeFrom           int
	Lane                 core.Lane
	Incarnation          uint64 // life the router counts on
	Weights              string
	ExpectedCachedTokens int
	ImportFrom           string
	ImportBlocks         int
	UserData             any // returned with each output
}

// OutputKind tells what an Output reports.
type OutputKind uint8

// Kinds of output.
const (
	OutputStarted OutputKind = iota
	OutputToken
	OutputDone
)

// Output is one step of a job.
type Output struct {
	Kind     OutputKind
	Job      *Job
	Index    int // token position, or the length of the answer
	Cached   int // prompt tokens reused, copied ones included
	Imported int
	Computed []prefix.Hash // blocks that were computed
	Weights  string        // in use when the step was made
}

// SubmitResult tells whether a job was taken.
type SubmitResult uint8

// Results of Submit.
const (
	Accepted             SubmitResult = iota
	AcceptedWithoutReuse              // the router counted on another life or other weights
	RejectedQueueFull
	RejectedDraining
	RejectedLoading
)

// sequence is a job being worked on.
type sequence struct {
	job              *Job
	importEndsAt     time.Duration // end of a copy
	importing        bool
	promptTokensLeft int // prompt tokens left
	cached           int
	imported         int
	emitted          int
	reuse            bool
	pinned           []prefix.Hash
	computed         []prefix.Hash
}

// Model is an engine in virtual time. It is not safe for concurrent use.
type Model struct {
	Name        string
	Incarnation uint64
	Weights     string
	rates       Rates
	blockTokens int
	random      *rand.Rand
	guards      guard.Set

	cache   *cache
	waiting []*sequence
	running []*sequence
	stepEnd time.Duration // end of the step in progress; 0 when idle
	step    []*sequence   // sequences of the step in progress
	chunks  map[*sequence]int
	now     time.Duration

	draining       bool
	loadEndsAt     time.Duration // 0 when not loading
	loadingWeights string
	fence          control.Fence
	loadHistory    []loadSample
	// Import returns how many leading blocks of a chain the source can give; nil disables copies.
	Import func(source string, chain []prefix.Hash) int
}

// loadSample is a load report and when it was true.
type loadSample struct {
	at   time.Duration
	load core.Load
}

// New returns an empty engine.
func New(name string, incarnation uint64, weights string, rates Rates, blockTokens int, seed uint64, guards guard.Set) *Model {
	random := rand.New(rand.NewPCG(seed, incarnation))
	return &Model{
		Name: name, Incarnation: incarnation, Weights: weights, rates: rates, blockTokens: blockTokens,
		random: random, guards: guards, cache: newCache(rates, random), chunks: map[*sequence]int{},
	}
}

// SetDraining makes the engine refuse new work and report that it leaves.
func (m *Model) SetDraining(draining bool) { m.draining = draining }

// Submit takes or refuses a job. A refused job provably does not run.
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

// Cancel drops a job wherever it stands.
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

// UnfinishedJobs returns the number of jobs not finished yet.
func (m *Model) UnfinishedJobs() int { return len(m.waiting) + len(m.running) }

// NextWakeup returns when Advance has something to do, or false when the engine is idle.
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

// considerStepStart offers the times at which the next step can begin: now, or when a copy ends. A copy that ends
// during a step waits for the step.
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

// hasStepWork reports whether a step could begin now.
func (m *Model) hasStepWork() bool {
	if len(m.waiting) > 0 && len(m.running) < m.rates.MaxBatch {
		return true
	}
	return slices.ContainsFunc(m.running, func(seq *sequence) bool { return !seq.importing || seq.importEndsAt <= m.now })
}

// Advance runs the engine up to now and returns what it produced, in order.
func (m *Model) Advance(now time.Duration) []Output {
	var outputs []Output
	for {
		due, scheduled := m.NextWakeup()
		if !scheduled || due > now {
			break
		}
		m.now = max(m.now, due)
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

// beginStep admits waiting jobs, interactive first, and starts one step of prefill and decode.
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

// runningByLane returns the running sequences with the interactive lane first, otherwise in order of arrival.
func (m *Model) runningByLane() []*sequence {
	ordered := slices.Clone(m.running)
	slices.SortStableFunc(ordered, func(a, b *sequence) int { return int(a.job.Lane) - int(b.job.Lane) })
	return ordered
}

// admitWaiting moves jobs into the batch. Only as many prefills are open as keep the chunk busy, so that a
// job whose prefix is being computed finds it in the cache when its turn comes.
func (m *Model) admitWaiting(outputs []Output) []Output {
	slices.SortStableFunc(m.waiting, func(a, b *sequence) int { return int(a.job.Lane) - int(b.job.Lane) })
	for len(m.waiting) > 0 && len(m.running) < m.rates.MaxBatch {
		next := m.waiting[0]
		if openTokens := m.competingPrefillTokens(next.job.Lane); openTokens >= m.rates.ChunkTokens {
			break
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, next)
		m.startSequence(next)
		outputs = append(outputs, Output{Kind: OutputStarted, Job: next.job, Cached: next.cached, Imported: next.imported, Weights: m.Weights})
	}
	return outputs
}

// competingPrefillTokens is the prefill of running sequences that a new one of the lane would wait for.
func (m *Model) competingPrefillTokens(lane core.Lane) int {
	tokens := 0
	for _, seq := range m.running {
		if seq.promptTokensLeft > 0 && !seq.importing && seq.job.Lane <= lane {
			tokens += seq.promptTokensLeft
		}
	}
	return tokens
}

// startSequence looks up the cache, begins a copy if one was asked for and helps, and counts what must be computed.
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
	if job.Weights == m.Weights { // other weights give other contents than the chain stands for
		seq.computed = job.Blocks[matched:]
	}
}

// endStep hands out the tokens of the step and finishes sequences.
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
		if seq.emitted >= seq.job.MaxTokens { // resumed at the very end: only the end marker was missing
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

// finishPrefill puts the computed blocks into the cache.
func (m *Model) finishPrefill(seq *sequence) {
	m.cache.insert(seq.computed, m.now)
	m.cache.pin(seq.computed)
	if len(seq.computed) > 0 {
		seq.pinned = seq.job.Blocks
	}
}

func (m *Model) release(seq *sequence) { m.cache.unpin(seq.pinned, m.now) }

// ExportablePrefix returns how many leading blocks of a chain the engine holds, for a copy.
func (m *Model) ExportablePrefix(now time.Duration, chain []prefix.Hash) int {
	return m.cache.match(chain, now)
}

// CachedPrefix returns the same without touching the blocks.
func (m *Model) CachedPrefix(chain []prefix.Hash) int { return m.cache.peek(chain) }

// Snapshot returns every cached block and the sequence of the next event.
func (m *Model) Snapshot() ([]prefix.Hash, uint64) { return m.cache.blockHashes(), m.cache.sequence }

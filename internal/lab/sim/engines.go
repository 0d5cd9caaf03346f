package sim

import (
	"fmt"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/prefix"
)

const (
	modelService       = "llm"
	weightsLoadTime    = 400 * time.Millisecond
	maxConcurrentLoads = 2
	cacheBlocks        = 120
	eventLossRatio     = 0.03
	streamFaultRatio   = 0.15
)

// simRates returns low rates and small limits, to keep the number of simulated events small.
func simRates() engine.Rates {
	rates := engine.DefaultRates()
	rates.PrefillTokensPerSecond, rates.ImportTokensPerSecond = 400, 4000
	rates.DecodeStep, rates.DecodePerSeq = 40*time.Millisecond, time.Millisecond
	rates.ChunkTokens, rates.MaxBatch = 64, 8
	rates.CacheBlocks, rates.CacheIdleTimeout = cacheBlocks, 8*time.Second
	rates.EventLag, rates.EventLossRatio, rates.LoadLag = 200*time.Millisecond, eventLossRatio, 200*time.Millisecond
	return rates
}

// blockContent identifies the input that a cached block was computed from.
type blockContent struct {
	tenant, weights, text string
}

// engineNode is a simulated model engine. cached is the oracle's record of the true content of each block of this
// incarnation.
type engineNode struct {
	*process
	model       *engine.Model
	incarnation uint64
	wakeup      vtime.Alarm
	cached      map[prefix.Hash]blockContent
	shed        rejection
	advertised  limitPeriod
	lastOrder   control.Fence // fence of the last order that it began to load, over all incarnations
}

// activeAttempt links a router's attempt to the job on the back end.
type activeAttempt struct {
	engine   *engineNode
	request  *exchange
	attempt  core.AttemptID
	stream   *stream
	router   *routerNode
	finished bool
}

func (s *activeAttempt) ended() bool { return s.finished }

// reset notifies the router that the connection broke.
func (s *activeAttempt) reset() {
	if s.finished {
		return
	}
	s.finished = true
	s.router.run(s.stream.toGeneration, func() { s.router.attemptEvent(s, core.EventAttempt{Kind: core.AttemptBroken}) })
}

// boot starts a new incarnation with an empty cache.
func (e *engineNode) boot() {
	e.start()
	e.incarnation++
	e.cached, e.shed, e.advertised = map[prefix.Hash]blockContent{}, rejection{}, limitPeriod{}
	weights := "w1"
	if e.model != nil {
		weights = e.model.Weights // weights survive a restart on the local disk
	}
	software := e.nextSoftware()
	e.model = engine.New(e.name, e.incarnation, weights, simRates(), tokensPerBlock, e.w.random.Uint64(), e.w.guards)
	e.model.Software = software
	e.model.Import = e.importFrom
	e.wakeup = vtime.Alarm{}
	e.w.logf("%s starts as incarnation %d with weights %s and software %s", e.name, e.incarnation, weights, software)
	e.advance()
}

// advance runs the model up to now and sends its output.
func (e *engineNode) advance() {
	for _, output := range e.model.Advance(e.w.now()) {
		e.handleOutput(output)
	}
	due, any := e.model.NextWakeup()
	if any {
		e.wakeup.Set(e.w.now(), due, time.Microsecond, e.after, e.advance)
	}
}

// incarnationName identifies the engine's current incarnation.
func (e *engineNode) incarnationName() string { return fmt.Sprintf("%s/%d", e.name, e.incarnation) }

// submit passes a job to the model and returns whether it was accepted.
func (e *engineNode) submit(action core.ActionDispatch, s *activeAttempt) engine.SubmitResult {
	job := &engine.Job{
		Attempt: action.Attempt, Origin: fmt.Sprintf("%s#%d", s.router.name, s.router.generation), Tenant: s.request.job.tenant,
		Blocks: action.Blocks, PromptTokens: s.request.promptTokens(), MaxTokens: action.MaxTokens, ResumeFrom: action.ResumeFrom,
		Lane: action.Lane, Incarnation: action.Incarnation, Weights: action.Weights, ExpectedCachedTokens: action.ExpectedCachedTokens,
		ImportFrom: action.ImportFrom, ImportBlocks: action.ImportBlocks, UserData: s,
	}
	e.advance()
	result := e.model.Submit(e.w.now(), job)
	if result == engine.Accepted || result == engine.AcceptedWithoutReuse {
		e.w.oracle.engineAccepted(e, job, s, result)
		e.trackConnection(s)
	}
	e.advance()
	return result
}

// handleOutput checks a job's output with the oracle and sends it to the router.
func (e *engineNode) handleOutput(output engine.Output) {
	s := output.Job.UserData.(*activeAttempt)
	if len(output.Computed) > 0 {
		e.recordComputed(s, output)
	}
	if output.Kind == engine.OutputStarted {
		e.w.oracle.engineReused(e, s, output)
	}
	event := core.EventAttempt{Echo: s.attempt, Index: output.Index, Cached: output.Cached}
	switch output.Kind {
	case engine.OutputStarted:
		event.Kind, event.Incarnation, event.AdvertisesLimit = core.AttemptStarted, e.model.Incarnation, e.advertised.limit(e.w.now()).Advertised
	case engine.OutputToken:
		event.Kind, event.Text = core.AttemptChunk, e.tokenText(s.request.job, output.Index)
	case engine.OutputDone:
		event.Kind = core.AttemptDone
	}
	e.transmit(s, event)
}

// recordComputed records the true content of newly computed blocks.
func (e *engineNode) recordComputed(s *activeAttempt, output engine.Output) {
	first := len(output.Job.Blocks) - len(output.Computed)
	for i, hash := range output.Computed {
		e.cached[hash] = s.request.job.content(output.Weights, first+i)
	}
}

// transmit sends an event to the router. During a stream fault some events are duplicated, dropped or misdirected,
// or the stream is broken.
func (e *engineNode) transmit(s *activeAttempt, event core.EventAttempt) {
	send := func(event core.EventAttempt) {
		s.stream.send(func() {
			if !s.finished {
				s.finished = event.Kind == core.AttemptDone
				s.router.attemptEvent(s, event)
			}
		})
	}
	if e.w.now() < e.w.pending.streamsUntil && event.Kind != core.AttemptStarted && e.w.chance(streamFaultRatio) {
		e.injectStreamFault(s, event, send)
		return
	}
	send(event)
}

func (e *engineNode) injectStreamFault(s *activeAttempt, event core.EventAttempt, send func(core.EventAttempt)) {
	switch e.w.random.IntN(4) {
	case 0:
		send(event)
		send(event)
	case 1:
		e.w.logf("%s drops an event of attempt %d", e.name, s.attempt)
	case 2:
		crossed := event
		crossed.Echo = s.attempt + 1
		crossed.Text = "crossed:" + event.Text
		send(crossed)
		send(event)
	default:
		e.w.logf("%s cuts the stream of attempt %d", e.name, s.attempt)
		s.stream.send(s.reset)
	}
}

// importFrom copies leading blocks from another engine, with the oracle's records of them. It returns the number
// copied.
func (e *engineNode) importFrom(source string, chain []prefix.Hash) int {
	other := e.w.engine(source)
	if other == nil || !other.up || other.frozen || e.w.isPartitioned(e.process, other.process) {
		return 0
	}
	copied := other.model.ExportablePrefix(e.w.now(), chain)
	for _, hash := range chain[:copied] {
		e.cached[hash] = other.cached[hash]
	}
	return copied
}

// handleCall passes a fenced call from control to the model.
func (e *engineNode) handleCall(call control.EngineCall) {
	e.advance()
	wasLoading := e.model.Loading()
	loading := 1
	for _, other := range e.w.engines {
		if other.up && other.model.Loading() {
			loading++
		}
	}
	accepted := e.model.HandleCall(e.w.now(), call, engine.ContendedLoadTime(weightsLoadTime, loading, maxConcurrentLoads))
	if call.Order != nil {
		e.w.logf("%s is ordered to load %s by %d/%d: accepted=%v", e.name, call.Order.Weights, call.Fence.Term, call.Fence.Sequence, accepted)
	}
	if accepted && !wasLoading && e.model.Loading() {
		e.w.oracle.engineLoads(e, call)
	}
	e.advance()
}

func (e *engineNode) controlReport() control.EngineReport {
	e.advance()
	return control.EngineReport{
		Name: e.name, Zone: e.zone, Service: modelService, Address: e.name, Incarnation: e.model.Incarnation,
		Weights: e.model.Weights, Loading: e.model.Loading(), Fence: e.model.Fence(),
	}
}

// engine returns an engine by name or address, or nil.
func (w *world) engine(name string) *engineNode {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

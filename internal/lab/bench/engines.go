package bench

import (
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/lab/vtime"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
)

// engineNode is an emulated engine. Its address equals its name.
type engineNode struct {
	run         *run
	name        string
	zone        string
	model       *engine.Model
	incarnation uint64
	down        bool
	alarm       vtime.Alarm
	seed        uint64

	inFlightTokens            int // uncached prompt tokens of requests that are still on the network
	inFlightInteractiveTokens int // those of the interactive lane
}

// attempt is one dispatch of a request to an engine.
type attempt struct {
	router    *routerNode
	request   *pending
	attempt   core.AttemptID
	tokens    int
	lane      core.Lane
	cancelled bool
}

func (e *engineNode) start() {
	e.incarnation++
	e.down = false
	e.model = engine.New(e.name, e.incarnation, weights, e.run.rates, e.run.options.blockTokens(), e.seed+e.incarnation, guard.Set{})
	e.model.Import = e.run.exportablePrefix
	e.alarm = vtime.Alarm{}
}

// crash stops the engine and breaks the connections of its running attempts.
func (e *engineNode) crash() {
	e.down = true
	for _, router := range e.run.routers {
		router.breakAttempts(e)
	}
}

// pendingTokens returns the prefill tokens ahead of a new request of a lane, including requests still on the network.
func (e *engineNode) pendingTokens(lane core.Lane) int {
	e.advance()
	load := e.model.CurrentLoad()
	if lane == core.LaneInteractive {
		return load.InteractiveTokens + e.inFlightInteractiveTokens
	}
	return load.WaitingTokens + e.inFlightTokens
}

func (e *engineNode) adjustInFlight(s *attempt, sign int) {
	e.inFlightTokens += sign * s.tokens
	if s.lane == core.LaneInteractive {
		e.inFlightInteractiveTokens += sign * s.tokens
	}
}

// queueFullBackoff is the backoff that an engine with a full queue asks for.
const queueFullBackoff = 100 * time.Millisecond

// submit handles a request that has arrived at the engine.
func (e *engineNode) submit(action core.ActionDispatch, s *attempt) {
	e.adjustInFlight(s, -1)
	if s.cancelled {
		return
	}
	if e.down {
		s.router.reply(e, s, core.EventAttempt{Kind: core.AttemptRefused})
		return
	}
	e.advance()
	job := &engine.Job{
		Attempt: action.Attempt, Origin: s.router.zone, Tenant: s.request.request.Tenant, Blocks: action.Blocks,
		PromptTokens: s.request.request.PromptTokens, MaxTokens: action.MaxTokens, ResumeFrom: action.ResumeFrom, Lane: action.Lane,
		Incarnation: action.Incarnation, Weights: action.Weights, ExpectedCachedTokens: action.ExpectedCachedTokens,
		ImportFrom: action.ImportFrom, ImportBlocks: action.ImportBlocks, UserData: s,
	}
	switch e.model.Submit(e.run.clock.Now(), job) {
	case engine.Accepted:
	case engine.AcceptedWithoutReuse:
		s.router.reply(e, s, core.EventAttempt{Kind: core.AttemptIncarnationMismatch})
	default:
		s.router.sendPushback(e, core.EventPushback{Name: action.Backend, Incarnation: action.Incarnation, Signals: pushback.Signals{Backoff: queueFullBackoff}})
		s.router.reply(e, s, core.EventAttempt{Kind: core.AttemptRefused, BackendNotAtFault: true})
	}
	e.advance()
}

// advance runs the model up to now and sends its output to the routers.
func (e *engineNode) advance() {
	if e.down {
		return
	}
	now := e.run.clock.Now()
	for _, output := range e.model.Advance(now) {
		e.handleOutput(output)
	}
	due, ok := e.model.NextWakeup()
	if !ok {
		return
	}
	incarnation := e.incarnation
	e.alarm.Set(now, due, time.Microsecond, e.run.clock.After, func() {
		if e.incarnation == incarnation {
			e.advance()
		}
	})
}

func (e *engineNode) handleOutput(output engine.Output) {
	s := output.Job.UserData.(*attempt)
	event := core.EventAttempt{Index: output.Index, Cached: output.Cached}
	switch output.Kind {
	case engine.OutputStarted:
		event.Kind, event.Incarnation = core.AttemptStarted, e.model.Incarnation
		e.run.measure.started(e.run.clock.Now(), s, output)
	case engine.OutputToken:
		event.Kind = core.AttemptChunk
	case engine.OutputDone:
		event.Kind = core.AttemptDone
		e.run.storeInVault(s)
	}
	s.router.reply(e, s, event)
}

// longestCachedPrefix returns the engine, or the vault, with the longest cached prefix of a chain, and the length of
// that prefix in blocks.
func (r *run) longestCachedPrefix(chain []prefix.Hash) (string, int) {
	source, longest := "", 0
	for _, e := range r.engines {
		if cached := e.model.CachedPrefix(chain); !e.down && cached > longest {
			source, longest = e.name, cached
		}
	}
	if cached := r.vault.cachedPrefix(chain); cached > longest {
		return vaultName, cached
	}
	return source, longest
}

// exportablePrefix returns how many leading blocks of a chain a source can transfer.
func (r *run) exportablePrefix(source string, chain []prefix.Hash) int {
	if source == vaultName {
		return r.vault.cachedPrefix(chain)
	}
	for _, e := range r.engines {
		if e.name == source && !e.down {
			return e.model.ExportablePrefix(r.clock.Now(), chain)
		}
	}
	return 0
}

package core

import (
	"slices"
	"time"

	"kitetiller/internal/guard"
	"kitetiller/internal/ledger"
)

// observeAttempt applies an event of an attempt. An answer that does not match a current attempt of its request is
// counted and dropped: it is stale or belongs to another request.
func (c *Core) observeAttempt(event EventAttempt) {
	r, found := c.requests[event.ID]
	if !found {
		return
	}
	index := slices.IndexFunc(r.attempts, func(sent attempt) bool { return sent.id == event.Attempt })
	if index < 0 || (event.Echo != event.Attempt && event.Kind <= AttemptDone) {
		if c.config.Guards.On(guard.AttemptCheck) {
			c.counters.UnmatchedAnswers++
			c.failUnmatched(r, index)
			return
		}
		index = max(index, 0)
	}
	if index >= len(r.attempts) {
		return
	}
	switch event.Kind {
	case AttemptStarted:
		c.handleStarted(r, index, event)
	case AttemptChunk:
		c.handleChunk(r, index, event)
	case AttemptDone:
		c.handleDone(r, index, event)
	case AttemptIncarnationMismatch:
		c.counters.IncarnationMismatches++
		c.index.InvalidateEngine(r.attempts[index].backend)
	default:
		c.handleFailure(r, index, event)
	}
}

// failUnmatched fails an attempt whose connection carries the answer of another attempt.
func (c *Core) failUnmatched(r *request, index int) {
	if index < 0 {
		return
	}
	c.handleFailure(r, index, EventAttempt{ID: r.ID, Attempt: r.attempts[index].id, Kind: AttemptBroken})
}

func (c *Core) handleStarted(r *request, index int, event EventAttempt) {
	sent := &r.attempts[index]
	if sent.started {
		return
	}
	sent.started = true
	sent.software = c.softwareOfRun(sent, event.Incarnation)
	c.clearOutdatedLimit(sent, event)
	c.counters.PromptTokens += uint64(r.PromptTokens)
	c.counters.CachedTokens += uint64(event.Cached)
	row := &c.backends[sent.backend]
	expectedCached := 0
	if blocks := chainFor(r, row); len(blocks) > 0 {
		expectedCached = min(len(blocks)*c.config.BlockTokens, r.PromptTokens-sent.uncached)
	}
	c.counters.RecomputedTokens += uint64(max(0, expectedCached-event.Cached))
}

// handleChunk passes the next token to the client. A repeated token is dropped; a missing token fails the attempt, so
// that another one resumes after the last token passed on.
func (c *Core) handleChunk(r *request, index int, event EventAttempt) {
	sent := &r.attempts[index]
	if !sent.streaming {
		sent.streaming = true
		c.handleFirstToken(r, index)
		sent = &r.attempts[0]
	}
	if c.config.Guards.On(guard.StreamIndexCheck) {
		if event.Index < r.emitted {
			c.counters.RepeatedChunks++
			return
		}
		if event.Index > r.emitted {
			c.handleFailure(r, 0, EventAttempt{ID: r.ID, Attempt: sent.id, Kind: AttemptBroken})
			return
		}
	}
	if !c.bindSoftware(r, sent) {
		c.handleFailure(r, 0, EventAttempt{ID: r.ID, Attempt: sent.id, Kind: AttemptBroken, BackendNotAtFault: true})
		return
	}
	c.emit(ActionChunk{ID: r.ID, Index: r.emitted, Text: event.Text})
	r.emitted++
	r.lastEmittedAt = c.now
}

// handleFirstToken updates the latency estimates of the back end and cancels concurrent attempts of the request.
func (c *Core) handleFirstToken(r *request, index int) {
	winner := r.attempts[index]
	c.wakeAt(r, c.now+c.stallTimeout(r))
	row := &c.backends[winner.backend]
	c.dropPending(row, winner.id)
	c.service(r.Service).congestion.Answered(c.now, winner.wait)
	c.recordFirstTokenLatency(row, winner.predicted, c.now-winner.sentAt)
	for i, other := range r.attempts {
		if i != index {
			c.emit(ActionCancel{ID: r.ID, Attempt: other.id})
			c.endAttempt(other)
		}
	}
	r.attempts = append(r.attempts[:0], winner)
}

// handleDone completes a request unless tokens of its stream are missing.
func (c *Core) handleDone(r *request, index int, event EventAttempt) {
	if event.Answer == nil && event.Index != r.emitted && c.config.Guards.On(guard.StreamIndexCheck) {
		c.handleFailure(r, index, EventAttempt{ID: r.ID, Attempt: r.attempts[index].id, Kind: AttemptBroken})
		return
	}
	if event.Answer != nil {
		c.service(r.Service).congestion.Answered(c.now, r.attempts[index].wait)
		c.clearOutdatedLimit(&r.attempts[index], event)
	}
	c.dropAttempt(r, index)
	c.finish(r, ActionFinish{Reason: ReasonComplete, Run: RunYes, Tokens: r.emitted, Answer: event.Answer})
}

// endAttempt releases the capacity that an attempt occupies at its back end.
func (c *Core) endAttempt(sent attempt) {
	row := &c.backends[sent.backend]
	row.running = max(0, row.running-1)
	if sent.wait != nil {
		c.service(row.machine.Service).congestion.End(c.now, sent.wait)
	}
	c.dropPending(row, sent.id)
}

func (c *Core) dropAttempt(r *request, index int) {
	c.endAttempt(r.attempts[index])
	r.attempts = slices.Delete(r.attempts, index, index+1)
}

func (c *Core) dropPending(row *backend, id AttemptID) {
	row.pendingPrefill = slices.DeleteFunc(row.pendingPrefill, func(sent pendingPrefill) bool { return sent.attempt == id })
}

// handleFailure records a connection failure unless the back end is not at fault, and fails the attempt.
func (c *Core) handleFailure(r *request, index int, event EventAttempt) {
	sent := r.attempts[index]
	row := &c.backends[sent.backend]
	if event.Kind == AttemptBroken && !c.config.Guards.On(guard.EndOfStreamCheck) && r.streamStarted() {
		c.dropAttempt(r, index)
		c.finish(r, ActionFinish{Reason: ReasonComplete, Run: RunYes, Tokens: r.emitted, Answer: &ledger.Response{}})
		return
	}
	if !event.BackendNotAtFault {
		c.recordConnectionFailure(row)
	}
	c.failAttempt(r, index, event)
}

// failAttempt removes an attempt. The last one of a request hands it over to runRetries.
func (c *Core) failAttempt(r *request, index int, event EventAttempt) {
	sent := r.attempts[index]
	if event.Kind == AttemptBroken {
		c.emit(ActionCancel{ID: r.ID, Attempt: sent.id})
	}
	if event.Kind == AttemptRefused {
		r.possibleRuns--
	}
	c.dropAttempt(r, index)
	r.failedOn = append(r.failedOn, sent.backend)
	if len(r.attempts) == 0 {
		c.pendingRetries = append(c.pendingRetries, r)
	}
}

// finishTimedOut ends a request whose first token did not arrive within the grace period after its deadline.
func (c *Core) finishTimedOut(r *request) {
	for i := range r.attempts {
		sent := &r.attempts[i]
		c.service(r.Service).congestion.GiveUp(c.now, sent.wait, 2*c.now-sent.sentAt) // its back end may need as long again
		sent.wait = nil
	}
	c.finish(r, ActionFinish{Reason: ReasonDeadline, Run: RunUnknown, RetryAfter: shortRetryAfter})
}

const (
	initialRetryTokens = 10.0
	maxRetryTokens     = 50.0
	baseRetryDelay     = 20 * time.Millisecond
	maxRetryDelay      = time.Second
	// A started stream with more attempts than maxStreamAttempts is not resumed.
	maxStreamAttempts = 8
)

// runRetries decides on requests whose attempts have all failed.
func (c *Core) runRetries() {
	for _, r := range c.pendingRetries {
		if c.requests[r.ID] == r && len(r.attempts) == 0 {
			c.retry(r)
		}
	}
	c.pendingRetries = c.pendingRetries[:0]
}

// retry schedules another attempt if the retry limits allow one. A non-repeatable request is dispatched again only if
// no earlier attempt may have run. A started stream resumes on another engine without delay.
func (c *Core) retry(r *request) {
	if !r.values.Repeatable && r.possibleRuns > 0 && c.config.Guards.On(guard.AmbiguousNotResent) {
		c.finish(r, ActionFinish{Reason: ReasonRunUnknown, Run: RunUnknown})
		return
	}
	if r.streamStarted() {
		c.resumeStream(r)
		return
	}
	service := c.service(r.Service)
	if r.attemptCount >= r.values.RetryAttempts || service.retryTokens < 1 {
		c.refuse(r, ReasonRetriesExhausted, shortRetryAfter)
		return
	}
	service.retryTokens--
	c.counters.Retries++
	r.state = stateBackoff
	r.retryAt = c.now + c.jitteredBackoff(r.attemptCount)
	c.wakeAt(r, r.retryAt)
}

func (c *Core) resumeStream(r *request) {
	if r.attemptCount > maxStreamAttempts {
		c.finish(r, ActionFinish{Reason: ReasonRetriesExhausted, Run: RunYes, RetryAfter: shortRetryAfter})
		return
	}
	c.counters.Retries++
	c.enqueue(r)
}

// jitteredBackoff returns a random delay between half and all of an exponential backoff.
func (c *Core) jitteredBackoff(tries int) time.Duration {
	delay := min(baseRetryDelay<<min(tries-1, 10), maxRetryDelay)
	return delay/2 + time.Duration(c.random.Int64N(int64(delay/2)))
}

// creditRetryBudget credits a first attempt to the retry budget of its service.
func (c *Core) creditRetryBudget(r *request) {
	service := c.service(r.Service)
	service.retryTokens = min(maxRetryTokens, service.retryTokens+r.values.RetryBudgetPercent/100)
}

// hedge dispatches a request without a first token to a second engine too.
func (c *Core) hedge(r *request) {
	service := c.service(r.Service)
	r.hedged = true
	if service.retryTokens < 1 || service.congestion.Limited(c.now) {
		return
	}
	firstBackend := r.attempts[0].backend
	r.failedOn = append(r.failedOn, firstBackend)
	candidates := c.scoreCandidates(r, service)
	r.failedOn = r.failedOn[:len(r.failedOn)-1]
	if len(candidates) == 0 || c.dispatchRefusal(r) != "" {
		return
	}
	choice := c.config.Placer.Pick(PlacementContext{Now: c.now, Request: &r.Request, Values: &r.values, Random: c.random}, candidates)
	if choice < 0 {
		return
	}
	service.retryTokens--
	c.counters.Hedges++
	c.dispatch(r, candidates[choice])
}

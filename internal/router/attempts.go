package router

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/events"
	"kitetiller/internal/prefix"
	"kitetiller/internal/pushback"
)

const (
	maxEventBytes    = 256 << 10
	maxResponseBytes = 8 << 20
	dataPrefix       = "data: "
)

type activeAttempt struct {
	action   core.ActionDispatch
	exchange *exchange
	cancel   context.CancelFunc
}

// startAttempt runs an attempt in its own goroutine. It reports the attempt as refused if the request may not be
// dispatched because of earlier crashes.
func (s *Server) startAttempt(ctx context.Context, action core.ActionDispatch) {
	ex := s.exchange(action.ID)
	if ex == nil {
		return
	}
	if s.tooManyCrashes(ex) {
		event := core.EventAttempt{ID: action.ID, Attempt: action.Attempt, Echo: action.Attempt, Kind: core.AttemptRefused}
		event.BackendNotAtFault = true
		s.offer(event)
		s.offer(core.EventQuarantined{ID: action.ID})
		return
	}
	s.announcer.Announce(core.PeerDispatch{Backend: action.Backend, Tokens: action.PrefillTokens, Lane: action.Lane})
	ex.attempts++
	ex.lastAttempt = uint64(action.Attempt)
	attemptCtx, cancel := context.WithCancel(ctx)
	attempt := &activeAttempt{action: action, exchange: ex, cancel: cancel}
	s.mutex.Lock()
	s.attempts[action.Attempt] = attempt
	s.mutex.Unlock()
	go func() {
		defer s.removeAttempt(action.Attempt)
		if ex.completion != nil {
			s.runGenerate(attemptCtx, attempt)
			return
		}
		s.runService(attemptCtx, attempt)
	}()
}

// cancelAttempt closes the connection of an attempt, upon which the back end stops.
func (s *Server) cancelAttempt(id core.AttemptID) {
	s.mutex.Lock()
	attempt := s.attempts[id]
	s.mutex.Unlock()
	if attempt != nil {
		attempt.cancel()
	}
}

func (s *Server) removeAttempt(id core.AttemptID) {
	s.mutex.Lock()
	attempt := s.attempts[id]
	delete(s.attempts, id)
	s.mutex.Unlock()
	if attempt != nil {
		attempt.cancel()
	}
}

func (a *activeAttempt) event(kind core.AttemptEventKind) core.EventAttempt {
	return core.EventAttempt{ID: a.action.ID, Attempt: a.action.Attempt, Echo: a.action.Attempt, Kind: kind}
}

// sendOnce posts a JSON body. The body cannot be rewound and the request carries no Idempotency-Key, so net/http does
// not retry it when a reused connection fails.
func (s *Server) sendOnce(ctx context.Context, address, path string, value any) (*http.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("router: encode attempt: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return s.backendClient.Do(request)
}

// onceReader hides the concrete type of a body, which net/http could rewind.
type onceReader struct{ io.Reader }

// neverSent reports whether an error proves that the back end did not receive the request.
func neverSent(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// failureEvent returns the event of an attempt that failed before an answer arrived.
func (a *activeAttempt) failureEvent(err error) core.EventAttempt {
	if neverSent(err) {
		return a.event(core.AttemptRefused)
	}
	return a.event(core.AttemptBroken)
}

// parseRefusal reads an answer other than 200. Only an explicit "not-run" proves that the back end did not run the
// request. The pushback in the answer applies in any case.
func (a *activeAttempt) parseRefusal(response *http.Response) (pushbackEvent core.EventPushback, event core.EventAttempt) {
	pushbackEvent = core.EventPushback{Name: a.action.Backend, Incarnation: a.action.Incarnation}
	var body api.BackendRejection
	err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&body)
	if err != nil {
		return pushbackEvent, a.event(core.AttemptBroken)
	}
	pushbackEvent.Incarnation = a.respondingIncarnation(body.Incarnation)
	backoffMS := min(body.RetryAfterMS, pushback.MaxBackoff.Milliseconds()) // avoids overflow of the Duration
	pushbackEvent.Signals = pushback.Signals{Backoff: time.Duration(backoffMS) * time.Millisecond, Draining: body.Draining, Limit: advertisedLimit(body.AdvertisedLimit)}
	if body.Run != core.RunNot {
		return pushbackEvent, a.event(core.AttemptBroken)
	}
	event = a.event(core.AttemptRefused)
	event.BackendNotAtFault = !pushbackEvent.Signals.IsEmpty()
	return pushbackEvent, event
}

// respondingIncarnation returns the incarnation that an answer comes from: the one it reports, or else the one that the
// attempt was dispatched to. They differ if the back end restarted and this router has not noticed yet.
func (a *activeAttempt) respondingIncarnation(reported uint64) uint64 {
	return cmp.Or(reported, a.action.Incarnation)
}

// advertisedLimit returns the rate limit that an answer advertises. A negative rate counts as none.
func advertisedLimit(rate *float64) pushback.Limit {
	if rate == nil || *rate < 0 {
		return pushback.Limit{}
	}
	return pushback.Limit{Advertised: true, Rate: *rate}
}

// observeLimit passes the rate limit in an answer to the core and reports whether the answer has one.
func (s *Server) observeLimit(a *activeAttempt, rate *float64, incarnation uint64) bool {
	limit := advertisedLimit(rate)
	s.observePushback(a, core.EventPushback{Name: a.action.Backend, Incarnation: a.respondingIncarnation(incarnation), Signals: pushback.Signals{Limit: limit}}, http.StatusOK)
	return rate != nil
}

// dispatch sends an attempt and returns the response if its status is 200. Otherwise it reports the failure to the core
// and returns nil.
func (s *Server) dispatch(ctx context.Context, a *activeAttempt, path string, body any) *http.Response {
	response, err := s.sendOnce(ctx, a.action.Address, path, body)
	if err != nil {
		s.recordSendFailure(ctx, a, err)
		s.postFailure(a, a.failureEvent(err))
		return nil
	}
	if response.StatusCode == http.StatusOK {
		return response
	}
	pushbackEvent, event := a.parseRefusal(response)
	s.observePushback(a, pushbackEvent, response.StatusCode)
	s.postFailure(a, event)
	_ = response.Body.Close()
	return nil
}

// postFailure reports a failed attempt to the core. It updates attemptsNotRun first, because the core may dispatch the
// request again at once.
func (s *Server) postFailure(a *activeAttempt, event core.EventAttempt) {
	if event.Kind == core.AttemptRefused {
		a.exchange.attemptsNotRun.Add(1)
	}
	s.post(event)
}

// observePushback passes the pushback in an answer to the core and logs it.
func (s *Server) observePushback(a *activeAttempt, event core.EventPushback, status int) {
	if event.Signals.IsEmpty() {
		return
	}
	s.post(event)
	suppressed, due := s.pushbackLogs.Allow(s.now(), event.Name)
	if !due {
		return
	}
	fields := []zap.Field{zap.String(events.FieldInstance, a.incarnationID()), zap.String(events.FieldRequest, a.exchange.name), zap.Int("answer", status), zap.Int("held", suppressed)}
	if limit := event.Signals.Limit; limit.Advertised {
		s.log.Info(events.InstanceLimitAdvertised, append(fields, zap.Float64(events.FieldAdvertisedLimit, limit.Rate))...)
	}
	if event.Signals.Backoff > 0 || event.Signals.Draining {
		s.log.Info(events.InstanceBackoffRequested, append(fields, zap.Duration(events.FieldBackoff, event.Signals.Backoff), zap.Bool("leaving", event.Signals.Draining))...)
	}
}

// runGenerate sends an attempt to an engine and reads the response stream.
func (s *Server) runGenerate(ctx context.Context, a *activeAttempt) {
	response := s.dispatch(ctx, a, api.PathGenerate, a.generateRequest(s.file))
	if response == nil {
		return
	}
	defer response.Body.Close()
	if !s.readStream(response.Body, a) {
		s.recordBrokenAttempt(ctx, a)
		s.post(a.event(core.AttemptBroken))
	}
}

// readStream passes the events of a stream to the core. It returns false if the stream ends without a done event.
func (s *Server) readStream(body io.Reader, a *activeAttempt) bool {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !found {
			continue
		}
		var event api.GenerateEvent
		if json.Unmarshal(data, &event) != nil {
			return false
		}
		if s.handleEvent(a, event) {
			return true
		}
	}
	return false
}

// handleEvent converts an event of an engine to core events and reports whether it was the last of the stream.
func (s *Server) handleEvent(a *activeAttempt, event api.GenerateEvent) bool {
	out := a.event(core.AttemptChunk)
	out.Echo, out.Index, out.Text, out.Cached, out.Incarnation = event.Attempt, event.Index, event.Text, event.Cached, event.Incarnation
	switch event.Kind {
	case api.GenerateStarted:
		s.handleStarted(a, event, out)
		return false
	case api.GenerateDone:
		if event.StoredBlocks > 0 {
			s.post(core.EventVault{Blocks: a.action.Blocks[:min(event.StoredBlocks, len(a.action.Blocks))], Held: true})
		}
		out.Kind = core.AttemptDone
		s.post(out)
		return true
	}
	s.post(out)
	return false
}

func (s *Server) handleStarted(a *activeAttempt, event api.GenerateEvent, out core.EventAttempt) {
	out.Kind = core.AttemptStarted
	out.AdvertisesLimit = s.observeLimit(a, event.AdvertisedLimit, event.Incarnation)
	s.post(out)
	s.metrics.recordStarted(a, event)
	if event.NoReuse {
		mismatch := a.event(core.AttemptIncarnationMismatch)
		mismatch.Incarnation = event.Incarnation
		s.post(mismatch)
	}
	if a.action.ImportFrom == s.file.Router.Vault && a.action.ImportBlocks > 0 {
		if found := event.Cached / s.hasher.BlockTokens(); found < a.action.ImportBlocks {
			s.post(core.EventVault{Blocks: a.missingBlocks(found), Held: false})
		}
	}
}

// missingBlocks returns the blocks that should have been imported from the vault but were not found there.
func (a *activeAttempt) missingBlocks(found int) []prefix.Hash {
	upTo := min(a.action.ImportBlocks, len(a.action.Blocks))
	return a.action.Blocks[min(found, upTo):upTo]
}

// runService sends an attempt to a small service and reads the complete answer.
func (s *Server) runService(ctx context.Context, a *activeAttempt) {
	response := s.dispatch(ctx, a, api.PathRun, api.RunRequest{
		Request: a.exchange.name, Attempt: a.action.Attempt, Router: s.file.Name, Tenant: a.exchange.request.Tenant,
		Key: a.exchange.request.Key, Body: a.exchange.body,
	})
	if response == nil {
		return
	}
	defer response.Body.Close()
	var reply api.RunResponse
	if json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&reply) != nil {
		s.recordBrokenAttempt(ctx, a)
		s.post(a.event(core.AttemptBroken))
		return
	}
	done := a.event(core.AttemptDone)
	done.AdvertisesLimit = s.observeLimit(a, reply.AdvertisedLimit, reply.Incarnation)
	done.Echo, done.Answer = reply.Attempt, &reply.Response
	s.post(done)
}

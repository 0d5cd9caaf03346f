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
	maximumEventBytes  = 256 << 10
	maximumAnswerBytes = 8 << 20
	dataPrefix         = "data: "
)

// attemptRun is one attempt in progress.
type attemptRun struct {
	action core.ActionDispatch
	run    *exchange
	cancel context.CancelFunc
}

// startAttempt begins an attempt on a goroutine of its own.
func (s *Server) startAttempt(ctx context.Context, action core.ActionDispatch) {
	run := s.exchange(action.ID)
	if run == nil {
		return
	}
	if s.barred(run) {
		refused := core.EventAttempt{ID: action.ID, Attempt: action.Attempt, Echo: action.Attempt, Kind: core.AttemptRefused}
		refused.BackendNotAtFault = true
		s.offer(refused)
		s.offer(core.EventQuarantined{ID: action.ID})
		return
	}
	s.announcer.Announce(core.PeerDispatch{Backend: action.Backend, Tokens: action.PrefillTokens, Lane: action.Lane})
	run.attempts++
	run.lastAttempt = uint64(action.Attempt)
	attemptCtx, cancel := context.WithCancel(ctx)
	started := &attemptRun{action: action, run: run, cancel: cancel}
	s.mutex.Lock()
	s.attempts[action.Attempt] = started
	s.mutex.Unlock()
	go func() {
		defer s.forgetAttempt(action.Attempt)
		if run.completion != nil {
			s.runGenerate(attemptCtx, started)
			return
		}
		s.runService(attemptCtx, started)
	}()
}

// cancelAttempt closes the connection, which tells the back end to stop.
func (s *Server) cancelAttempt(id core.AttemptID) {
	s.mutex.Lock()
	held := s.attempts[id]
	s.mutex.Unlock()
	if held != nil {
		held.cancel()
	}
}

func (s *Server) forgetAttempt(id core.AttemptID) {
	s.mutex.Lock()
	held := s.attempts[id]
	delete(s.attempts, id)
	s.mutex.Unlock()
	if held != nil {
		held.cancel()
	}
}

func (a *attemptRun) event(kind core.AttemptEventKind) core.EventAttempt {
	return core.EventAttempt{ID: a.action.ID, Attempt: a.action.Attempt, Echo: a.action.Attempt, Kind: kind}
}

// sendOnce sends a JSON body once. The body cannot be rewound and the request carries no Idempotency-Key, so that
// net/http never sends it a second time by itself when a reused connection dies.
func (s *Server) sendOnce(ctx context.Context, address, path string, value any) (*http.Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("router: attempt cannot be encoded: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return s.backends.Do(request)
}

// onceReader hides the type that net/http could rewind.
type onceReader struct{ io.Reader }

// neverSent reports whether an error proves that the back end did not get the request.
func neverSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// failure classifies a failed send.
func (a *attemptRun) failure(err error) core.EventAttempt {
	if neverSent(err) {
		return a.event(core.AttemptRefused)
	}
	return a.event(core.AttemptBroken)
}

// refusal reads a back end's 503. Only an explicit "not-run" proves that it did not take the request; what the back end says of itself counts
// in any case.
func (a *attemptRun) refusal(response *http.Response) (said core.EventPushback, event core.EventAttempt) {
	said = core.EventPushback{Name: a.action.Backend, Incarnation: a.action.Incarnation}
	var body api.BackendRefusal
	err := json.NewDecoder(io.LimitReader(response.Body, maximumEventBytes)).Decode(&body)
	if err != nil {
		return said, a.event(core.AttemptBroken)
	}
	said.Incarnation = a.speaker(body.Incarnation)
	rest := min(body.RetryAfterMS, pushback.MaxBackoff.Milliseconds()) // so that no figure is too long for a duration
	said.Signals = pushback.Signals{Backoff: time.Duration(rest) * time.Millisecond, Draining: body.Leaving, Limit: limitOf(body.Limit)}
	if body.Run != core.RunNot {
		return said, a.event(core.AttemptBroken)
	}
	event = a.event(core.AttemptRefused)
	event.BackendNotAtFault = !said.Signals.IsEmpty()
	return said, event
}

// speaker returns the life that spoke in an answer. A router may not know yet that another life stands there than the one that it meant, and what
// that says binds for that one.
func (a *attemptRun) speaker(told uint64) uint64 { return cmp.Or(told, a.action.Incarnation) }

// limitOf returns the limit that an answer names; one below 0 is none.
func limitOf(named *float64) pushback.Limit {
	if named == nil || *named < 0 {
		return pushback.Limit{}
	}
	return pushback.Limit{Advertised: true, Rate: *named}
}

// hearLimit passes on the limit that an answer names, and reports whether it names one.
func (s *Server) hearLimit(a *attemptRun, named *float64, incarnation uint64) bool {
	limit := limitOf(named)
	s.hear(a, core.EventPushback{Name: a.action.Backend, Incarnation: a.speaker(incarnation), Signals: pushback.Signals{Limit: limit}}, http.StatusOK)
	return named != nil
}

// begin sends an attempt and returns the answer of a back end that took it; otherwise it reports why not and returns
// nil.
func (s *Server) begin(ctx context.Context, a *attemptRun, path string, body any) *http.Response {
	response, err := s.sendOnce(ctx, a.action.Address, path, body)
	if err != nil {
		s.noteFailure(ctx, a, err)
		s.postFailure(a, a.failure(err))
		return nil
	}
	if response.StatusCode == http.StatusOK {
		return response
	}
	said, refused := a.refusal(response)
	s.hear(a, said, response.StatusCode)
	s.postFailure(a, refused)
	_ = response.Body.Close()
	return nil
}

// postFailure reports why a back end didn't answer. Whoever sends the request next must know by then whether it ran.
func (s *Server) postFailure(a *attemptRun, failed core.EventAttempt) {
	if failed.Kind == core.AttemptRefused {
		a.run.notRun.Add(1)
	}
	s.post(failed)
}

// hear passes on and logs what a back end said of itself.
func (s *Server) hear(a *attemptRun, told core.EventPushback, status int) {
	if told.Signals.IsEmpty() {
		return
	}
	s.post(told)
	held, due := s.saidLines.Due(s.now(), told.Name)
	if !due {
		return
	}
	fields := []zap.Field{zap.String(events.FieldInstance, a.life()), zap.String(events.FieldRequest, a.run.name), zap.Int("answer", status), zap.Int("held", held)}
	if limit := told.Signals.Limit; limit.Advertised {
		s.log.Info(events.InstanceLimitAdvertised, append(fields, zap.Float64(events.FieldAdvertisedLimit, limit.Rate))...)
	}
	if told.Signals.Backoff > 0 || told.Signals.Draining {
		s.log.Info(events.InstanceBackoffRequested, append(fields, zap.Duration(events.FieldBackoff, told.Signals.Backoff), zap.Bool("leaving", told.Signals.Draining))...)
	}
}

// runGenerate sends an attempt to an engine and reads its stream.
func (s *Server) runGenerate(ctx context.Context, a *attemptRun) {
	response := s.begin(ctx, a, api.PathGenerate, a.generateRequest(s.file))
	if response == nil {
		return
	}
	defer response.Body.Close()
	if !s.readStream(response.Body, a) {
		s.brokeOff(ctx, a)
		s.post(a.event(core.AttemptBroken))
	}
}

// readStream passes events to the core. It returns false when the stream ends without its end marker.
func (s *Server) readStream(body io.Reader, a *attemptRun) bool {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maximumEventBytes)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !found {
			continue
		}
		var event api.GenerateEvent
		if json.Unmarshal(data, &event) != nil {
			return false
		}
		if s.passEvent(a, event) {
			return true
		}
	}
	return false
}

// passEvent turns one engine event into core events and reports whether it was the last.
func (s *Server) passEvent(a *attemptRun, event api.GenerateEvent) bool {
	out := a.event(core.AttemptChunk)
	out.Echo, out.Index, out.Text, out.Cached, out.Incarnation = event.Attempt, event.Index, event.Text, event.Cached, event.Incarnation
	switch event.Kind {
	case api.GenerateStarted:
		s.passStarted(a, event, out)
		return false
	case api.GenerateDone:
		if event.Kept > 0 {
			s.post(core.EventVault{Blocks: a.action.Blocks[:min(event.Kept, len(a.action.Blocks))], Held: true})
		}
		out.Kind = core.AttemptDone
		s.post(out)
		return true
	}
	s.post(out)
	return false
}

func (s *Server) passStarted(a *attemptRun, event api.GenerateEvent, out core.EventAttempt) {
	out.Kind = core.AttemptStarted
	out.AdvertisesLimit = s.hearLimit(a, event.Limit, event.Incarnation)
	s.post(out)
	s.metrics.started(a, event)
	if event.NoReuse {
		mismatch := a.event(core.AttemptIncarnationMismatch)
		mismatch.Incarnation = event.Incarnation
		s.post(mismatch)
	}
	if a.action.ImportFrom == s.file.Router.Vault && a.action.ImportBlocks > 0 {
		if have := event.Cached / s.hasher.BlockTokens(); have < a.action.ImportBlocks {
			s.post(core.EventVault{Blocks: a.missingFrom(have), Held: false})
		}
	}
}

// missingFrom returns the blocks that the vault turned out not to hold.
func (a *attemptRun) missingFrom(have int) []prefix.Hash {
	upTo := min(a.action.ImportBlocks, len(a.action.Blocks))
	return a.action.Blocks[min(have, upTo):upTo]
}

// runService sends an attempt to a small service and reads its whole answer.
func (s *Server) runService(ctx context.Context, a *attemptRun) {
	response := s.begin(ctx, a, api.PathRun, api.RunRequest{
		Request: a.run.name, Attempt: a.action.Attempt, Router: s.file.Name, Tenant: a.run.request.Tenant,
		Key: a.run.request.Key, Body: a.run.body,
	})
	if response == nil {
		return
	}
	defer response.Body.Close()
	var reply api.RunResponse
	if json.NewDecoder(io.LimitReader(response.Body, maximumAnswerBytes)).Decode(&reply) != nil {
		s.brokeOff(ctx, a)
		s.post(a.event(core.AttemptBroken))
		return
	}
	done := a.event(core.AttemptDone)
	done.AdvertisesLimit = s.hearLimit(a, reply.Limit, reply.Incarnation)
	done.Echo, done.Answer = reply.Attempt, &reply.Answer
	s.post(done)
}

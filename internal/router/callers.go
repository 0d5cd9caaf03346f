package router

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/settings"
)

const (
	requestIDBytes    = 8
	maximumKeyLength  = 200
	defaultMaxTokens  = 64
	chatPath          = "/v1/chat/completions"
	completionPath    = "/v1/completions"
	reasonBadRequest  = core.Reason("bad-request")
	reasonNoKey       = core.Reason("unauthenticated")
	reasonTooLarge    = core.Reason("too-large")
	reasonOverload    = core.Reason("router-overloaded")
	reasonInternal    = core.Reason("internal")
	overloadAdvice    = time.Second
	priorityBatch     = "batch"
	priorityImmediate = "interactive"
)

// routes returns the callers' and operators' endpoints.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, s.serveCompletion)
	mux.HandleFunc("POST "+completionPath, s.serveCompletion)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("POST /v1/services/{name}", s.serveService)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /admin/v1/status", s.admin(s.serveStatus))
	mux.HandleFunc("GET /admin/v1/explain", s.admin(s.serveExplain))
	return mux
}

// callerError is a request that is refused before it reaches the core.
type callerError struct {
	reason core.Reason
	status int
	title  string
	detail string
}

// refuse answers a request that never reached the core. When it carries an idempotency key, an earlier send of it may
// have run, so "not run" is not said.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, name string, refusal *callerError) {
	run := core.RunNot
	if r.Header.Get(api.HeaderIdempotencyKey) != "" {
		run = core.RunUnknown
	}
	problem := api.Problem{
		Type: "urn:kitetiller:" + string(refusal.reason), Title: refusal.title, Status: refusal.status,
		Detail: refusal.detail, RequestID: name, Run: run,
	}
	switch refusal.reason {
	case reasonOverload, core.ReasonDraining:
		problem = problem.WithRetry(overloadAdvice)
	case core.ReasonQuarantined:
		problem = problem.WithRetry(quarantine.RetryAfter)
	}
	s.metrics.refusals.WithLabelValues(string(refusal.reason)).Inc()
	problem.Write(w)
}

func badRequest(detail string) *callerError {
	return &callerError{reasonBadRequest, http.StatusBadRequest, "The request is not valid", detail}
}

// requestName returns the caller's request id, or a new one.
func requestName(r *http.Request) string {
	if name := r.Header.Get(api.HeaderRequestID); name != "" && len(name) <= maximumKeyLength {
		return name
	}
	random := make([]byte, requestIDBytes)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}

// authenticate returns the tenant of the request's API key.
func (s *Server) authenticate(r *http.Request, held *view) (string, *callerError) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", &callerError{reasonNoKey, http.StatusUnauthorized, "The API key is missing", "send Authorization: Bearer KEY"}
	}
	digest := sha256.Sum256([]byte(key))
	tenant, known := held.keys[hex.EncodeToString(digest[:])]
	if !known {
		return "", &callerError{reasonNoKey, http.StatusUnauthorized, "The API key is not known", ""}
	}
	return tenant, nil
}

// readBody reads at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *callerError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &callerError{reasonTooLarge, http.StatusRequestEntityTooLarge, "The request body is too long",
			fmt.Sprintf("at most %d bytes are allowed here", limit)}
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

// received is a caller's request whose sender is known and whose body was read.
type received struct {
	name   string
	held   *view
	tenant string
	body   []byte
}

// receive authenticates a request to a service and reads its body.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, service string) (received, *callerError) {
	in := received{name: requestName(r), held: s.view.Load()}
	var refusal *callerError
	if in.tenant, refusal = s.authenticate(r, in.held); refusal != nil {
		return in, refusal
	}
	in.body, refusal = readBody(w, r, in.held.effective(s.file.Zone, service, in.tenant).MaxPromptBytes)
	return in, refusal
}

// serveCompletion answers chat and plain completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	in, refusal := s.receive(w, r, settings.Any)
	run := &exchange{name: in.name, chat: r.URL.Path == chatPath, writer: w, received: time.Now(), again: again(r, in)}
	if refusal == nil {
		run.completion, run.request, refusal = s.readCompletion(r, in.held, in.tenant, in.name, in.body)
	}
	if refusal != nil {
		s.refuse(w, r, in.name, refusal)
		return
	}
	run.prompt = run.completion.Text()
	s.serve(run, r)
}

// readCompletion checks the body and headers of a completion.
func (s *Server) readCompletion(r *http.Request, held *view, tenant, name string, body []byte) (*api.CompletionRequest, core.Request, *callerError) {
	var completion api.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return nil, core.Request{}, badRequest("the body is not the expected JSON: " + err.Error())
	}
	service, known := held.models[completion.Model]
	if !known {
		return nil, core.Request{}, &callerError{core.ReasonUnknownService, http.StatusNotFound, "No service answers this model",
			fmt.Sprintf("model %q is not in the settings", completion.Model)}
	}
	prompt := completion.Text()
	if prompt == "" {
		return nil, core.Request{}, badRequest("the prompt is empty: send messages to " + chatPath + " or prompt to " + completionPath)
	}
	if completion.MaxTokens < 0 {
		return nil, core.Request{}, badRequest("max_tokens must not be negative")
	}
	if completion.MaxTokens == 0 {
		completion.MaxTokens = defaultMaxTokens
	}
	completion.MaxTokens = min(completion.MaxTokens, held.effective(s.file.Zone, service, tenant).MaxOutputTokens)
	if completion.Seed == 0 {
		completion.Seed = ledger.Digest([]byte(prompt))
	}
	request, refusal := s.readHeaders(r)
	if refusal != nil {
		return nil, request, refusal
	}
	request.Name, request.Tenant, request.Service = name, tenant, service
	request.PromptTokens = prefix.EstimateTokens(len(prompt))
	request.MaxTokens = completion.MaxTokens
	for _, weights := range held.weights[service] {
		request.Chains = append(request.Chains, core.Chain{Weights: weights, Blocks: s.hasher.Chain(tenant, weights, []byte(prompt))})
	}
	return &completion, request, nil
}

// readHeaders reads priority, deadline, idempotency key and resume position.
func (s *Server) readHeaders(r *http.Request) (core.Request, *callerError) {
	request := core.Request{ID: core.RequestID(s.nextID.Add(1)), Key: r.Header.Get(api.HeaderIdempotencyKey)}
	if len(request.Key) > maximumKeyLength {
		return request, badRequest(fmt.Sprintf("%s is longer than %d characters", api.HeaderIdempotencyKey, maximumKeyLength))
	}
	switch priority := r.Header.Get(api.HeaderPriority); priority {
	case "":
	case priorityImmediate:
		request.Lane, request.LaneFixed = core.LaneInteractive, true
	case priorityBatch:
		request.Lane, request.LaneFixed = core.LaneBatch, true
	default:
		return request, badRequest(fmt.Sprintf("%s must be %s or %s", api.HeaderPriority, priorityImmediate, priorityBatch))
	}
	deadline, refusal := positiveHeader(r, api.HeaderDeadline)
	if refusal != nil {
		return request, refusal
	}
	request.Deadline = time.Duration(deadline) * time.Millisecond
	if r.Header.Get(api.HeaderLastEventID) != "" {
		last, refusal := positiveHeader(r, api.HeaderLastEventID)
		if refusal != nil {
			return request, refusal
		}
		request.ResumeFrom = last + 1
	}
	return request, nil
}

// positiveHeader reads a header that must be a whole number, or 0 when it is missing.
func positiveHeader(r *http.Request, header string) (int, *callerError) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, badRequest(header + " must be a whole number")
	}
	return number, nil
}

// serveService answers requests to small services.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("name")
	in, refusal := s.receive(w, r, service)
	run := &exchange{name: in.name, body: in.body, writer: w, received: time.Now(), again: again(r, in)}
	if refusal == nil {
		run.request, refusal = s.readService(r, in, service)
	}
	if refusal != nil {
		s.refuse(w, r, in.name, refusal)
		return
	}
	s.serve(run, r)
}

// readService checks a request to a small service.
func (s *Server) readService(r *http.Request, in received, service string) (core.Request, *callerError) {
	if in.held.effective(s.file.Zone, service, "").Kind != settings.KindService {
		return core.Request{}, &callerError{core.ReasonUnknownService, http.StatusNotFound, "No small service has this name", ""}
	}
	request, refusal := s.readHeaders(r)
	request.Name, request.Tenant, request.Service = in.name, in.tenant, service
	request.Digest = ledger.Digest(in.body)
	request.Lane, request.LaneFixed = core.LaneInteractive, true
	return request, refusal
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	s.ask(r.Context(), func(c *core.Core) {
		ready = c.AcceptsRequests()
	})
	if !ready || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: no settings lease, or stopping\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// admin guards operators' endpoints.
func (s *Server) admin(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.file.AdminToken == "" || r.Header.Get("Authorization") != "Bearer "+s.file.AdminToken {
			s.refuse(w, r, requestName(r), &callerError{reasonNoKey, http.StatusUnauthorized, "The admin token is missing or wrong", ""})
			return
		}
		next(w, r)
	}
}

// StatusReply is a router's view for "kitetiller status".
type StatusReply struct {
	Name        string             `json:"name"`
	Zone        string             `json:"zone"`
	Incarnation uint64             `json:"incarnation"`
	Version     uint64             `json:"settings_version"`
	LeaseValid  bool               `json:"lease_valid"`
	Draining    bool               `json:"draining"`
	Active      int                `json:"active"`
	Beliefs     int                `json:"beliefs"`
	Backends    []core.BackendView `json:"backends"`
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	reply := StatusReply{Name: s.file.Name, Zone: s.file.Zone, Incarnation: s.incarnation}
	s.ask(r.Context(), func(c *core.Core) {
		reply.Version, reply.LeaseValid, reply.Draining = c.SettingsVersion(), c.LeaseValid(), c.Draining()
		reply.Active, reply.Beliefs, reply.Backends = c.ActiveRequests(), c.IndexedBlocks(), c.Backends()
	})
	writeJSON(w, reply)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	var decisions []core.Decision
	s.ask(r.Context(), func(c *core.Core) { decisions = c.Explain(r.URL.Query().Get("request")) })
	writeJSON(w, decisions)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a caller that is gone cannot be told
}

// logFinish writes one line for each request; prompts and keys are never logged.
func (s *Server) logFinish(run *exchange, final core.ActionFinish) {
	s.log.Info("request finished", zap.String("request", run.name), zap.String("tenant", run.request.Tenant),
		zap.String("service", run.request.Service), zap.Int("attempts", int(run.attempts)), zap.Uint64("attempt", run.lastAttempt),
		zap.String("reason", string(final.Reason)), zap.String("run", string(final.Run)), zap.Int("tokens", final.Tokens),
		zap.Duration("took", time.Since(run.received)))
}

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
	requestIDBytes        = 8
	maxKeyLength          = 200
	defaultMaxTokens      = 64
	chatPath              = "/v1/chat/completions"
	completionPath        = "/v1/completions"
	reasonBadRequest      = core.Reason("bad-request")
	reasonUnauthenticated = core.Reason("unauthenticated")
	reasonTooLarge        = core.Reason("too-large")
	reasonOverload        = core.Reason("router-overloaded")
	reasonInternal        = core.Reason("internal")
	overloadRetryAfter    = time.Second
	priorityBatch         = "batch"
	priorityInteractive   = "interactive"
)

// routes returns the handler of the endpoints for clients and operators.
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

// requestError describes why a request is rejected before it reaches the core.
type requestError struct {
	reason core.Reason
	status int
	title  string
	detail string
}

// reject answers a request that did not reach the core. With an idempotency key the run status is unknown, because the
// client may have sent the request before.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, name string, reqErr *requestError) {
	run := core.RunNot
	if r.Header.Get(api.HeaderIdempotencyKey) != "" {
		run = core.RunUnknown
	}
	problem := api.Problem{
		Type: "urn:kitetiller:" + string(reqErr.reason), Title: reqErr.title, Status: reqErr.status,
		Detail: reqErr.detail, RequestID: name, Run: run,
	}
	switch reqErr.reason {
	case reasonOverload, core.ReasonDraining:
		problem = problem.WithRetryAfter(overloadRetryAfter)
	case core.ReasonQuarantined:
		problem = problem.WithRetryAfter(quarantine.RetryAfter)
	}
	s.metrics.rejections.WithLabelValues(string(reqErr.reason)).Inc()
	problem.Write(w)
}

func badRequest(detail string) *requestError {
	return &requestError{reasonBadRequest, http.StatusBadRequest, "The request is not valid", detail}
}

// requestID returns the request ID sent by the client, or a random one.
func requestID(r *http.Request) string {
	if name := r.Header.Get(api.HeaderRequestID); name != "" && len(name) <= maxKeyLength {
		return name
	}
	random := make([]byte, requestIDBytes)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}

// authenticate returns the tenant that the request's API key belongs to.
func (s *Server) authenticate(r *http.Request, current *view) (string, *requestError) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return "", &requestError{reasonUnauthenticated, http.StatusUnauthorized, "The API key is missing", "send Authorization: Bearer KEY"}
	}
	digest := sha256.Sum256([]byte(key))
	tenant, known := current.keys[hex.EncodeToString(digest[:])]
	if !known {
		return "", &requestError{reasonUnauthenticated, http.StatusUnauthorized, "The API key is not known", ""}
	}
	return tenant, nil
}

// readBody reads the request body and rejects one longer than limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *requestError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &requestError{reasonTooLarge, http.StatusRequestEntityTooLarge, "The request body is too long",
			fmt.Sprintf("at most %d bytes are allowed here", limit)}
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

// authenticatedRequest is a request with a known tenant and its complete body.
type authenticatedRequest struct {
	name   string
	view   *view
	tenant string
	body   []byte
}

// receive authenticates a request to a service and reads its body.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, service string) (authenticatedRequest, *requestError) {
	in := authenticatedRequest{name: requestID(r), view: s.view.Load()}
	var reqErr *requestError
	if in.tenant, reqErr = s.authenticate(r, in.view); reqErr != nil {
		return in, reqErr
	}
	in.body, reqErr = readBody(w, r, in.view.effective(s.file.Zone, service, in.tenant).MaxPromptBytes)
	return in, reqErr
}

// serveCompletion serves chat and text completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	in, reqErr := s.receive(w, r, settings.Wildcard)
	ex := &exchange{name: in.name, chat: r.URL.Path == chatPath, writer: w, receivedAt: time.Now(), quarantineRequest: quarantineRequest(r, in)}
	if reqErr == nil {
		ex.completion, ex.request, reqErr = s.readCompletion(r, in.view, in.tenant, in.name, in.body)
	}
	if reqErr != nil {
		s.reject(w, r, in.name, reqErr)
		return
	}
	ex.prompt = ex.completion.Text()
	s.serve(ex, r)
}

// readCompletion parses and validates the body and headers of a completion request.
func (s *Server) readCompletion(r *http.Request, current *view, tenant, name string, body []byte) (*api.CompletionRequest, core.Request, *requestError) {
	var completion api.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return nil, core.Request{}, badRequest("the body is not the expected JSON: " + err.Error())
	}
	service, known := current.models[completion.Model]
	if !known {
		return nil, core.Request{}, &requestError{core.ReasonUnknownService, http.StatusNotFound, "No service answers this model",
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
	completion.MaxTokens = min(completion.MaxTokens, current.effective(s.file.Zone, service, tenant).MaxOutputTokens)
	if completion.Seed == 0 {
		completion.Seed = ledger.Digest([]byte(prompt))
	}
	request, reqErr := s.readHeaders(r)
	if reqErr != nil {
		return nil, request, reqErr
	}
	request.Name, request.Tenant, request.Service = name, tenant, service
	request.PromptTokens = prefix.EstimateTokens(len(prompt))
	request.MaxTokens = completion.MaxTokens
	for _, weights := range current.weights[service] {
		request.Chains = append(request.Chains, core.Chain{Weights: weights, Blocks: s.hasher.Chain(tenant, weights, []byte(prompt))})
	}
	return &completion, request, nil
}

// readHeaders parses the priority, deadline, idempotency key and resume position.
func (s *Server) readHeaders(r *http.Request) (core.Request, *requestError) {
	request := core.Request{ID: core.RequestID(s.nextID.Add(1)), Key: r.Header.Get(api.HeaderIdempotencyKey)}
	if len(request.Key) > maxKeyLength {
		return request, badRequest(fmt.Sprintf("%s is longer than %d characters", api.HeaderIdempotencyKey, maxKeyLength))
	}
	switch priority := r.Header.Get(api.HeaderPriority); priority {
	case "":
	case priorityInteractive:
		request.Lane, request.LaneFixed = core.LaneInteractive, true
	case priorityBatch:
		request.Lane, request.LaneFixed = core.LaneBatch, true
	default:
		return request, badRequest(fmt.Sprintf("%s must be %s or %s", api.HeaderPriority, priorityInteractive, priorityBatch))
	}
	deadline, reqErr := nonNegativeHeader(r, api.HeaderDeadline)
	if reqErr != nil {
		return request, reqErr
	}
	request.Deadline = time.Duration(deadline) * time.Millisecond
	if r.Header.Get(api.HeaderLastEventID) != "" {
		last, reqErr := nonNegativeHeader(r, api.HeaderLastEventID)
		if reqErr != nil {
			return request, reqErr
		}
		request.ResumeFrom = last + 1
	}
	return request, nil
}

// nonNegativeHeader parses a header as a non-negative integer. It returns 0 if the header is missing.
func nonNegativeHeader(r *http.Request, header string) (int, *requestError) {
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

// serveService serves requests to small services.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("name")
	in, reqErr := s.receive(w, r, service)
	ex := &exchange{name: in.name, body: in.body, writer: w, receivedAt: time.Now(), quarantineRequest: quarantineRequest(r, in)}
	if reqErr == nil {
		ex.request, reqErr = s.readService(r, in, service)
	}
	if reqErr != nil {
		s.reject(w, r, in.name, reqErr)
		return
	}
	s.serve(ex, r)
}

// readService validates a request to a small service.
func (s *Server) readService(r *http.Request, in authenticatedRequest, service string) (core.Request, *requestError) {
	if in.view.effective(s.file.Zone, service, "").Kind != settings.KindService {
		return core.Request{}, &requestError{core.ReasonUnknownService, http.StatusNotFound, "No small service has this name", ""}
	}
	request, reqErr := s.readHeaders(r)
	request.Name, request.Tenant, request.Service = in.name, in.tenant, service
	request.Digest = ledger.Digest(in.body)
	request.Lane, request.LaneFixed = core.LaneInteractive, true
	return request, reqErr
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	s.inspect(r.Context(), func(c *core.Core) {
		ready = c.AcceptsRequests()
	})
	if !ready || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready: no settings lease, or stopping\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// admin requires the admin token for a handler.
func (s *Server) admin(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.file.AdminToken == "" || r.Header.Get("Authorization") != "Bearer "+s.file.AdminToken {
			s.reject(w, r, requestID(r), &requestError{reasonUnauthenticated, http.StatusUnauthorized, "The admin token is missing or wrong", ""})
			return
		}
		next(w, r)
	}
}

// StatusReply is the state of a router as shown by "kitetiller status".
type StatusReply struct {
	Name          string             `json:"name"`
	Zone          string             `json:"zone"`
	Incarnation   uint64             `json:"incarnation"`
	Version       uint64             `json:"settings_version"`
	LeaseValid    bool               `json:"lease_valid"`
	Draining      bool               `json:"draining"`
	Active        int                `json:"active"`
	IndexedBlocks int                `json:"beliefs"`
	Backends      []core.BackendView `json:"backends"`
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	reply := StatusReply{Name: s.file.Name, Zone: s.file.Zone, Incarnation: s.incarnation}
	s.inspect(r.Context(), func(c *core.Core) {
		reply.Version, reply.LeaseValid, reply.Draining = c.SettingsVersion(), c.LeaseValid(), c.Draining()
		reply.Active, reply.IndexedBlocks, reply.Backends = c.ActiveRequests(), c.IndexedBlocks(), c.Backends()
	})
	writeJSON(w, reply)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	var decisions []core.Decision
	s.inspect(r.Context(), func(c *core.Core) { decisions = c.Explain(r.URL.Query().Get("request")) })
	writeJSON(w, decisions)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// logFinish logs the outcome of a request. Prompts and keys must not be logged.
func (s *Server) logFinish(ex *exchange, final core.ActionFinish) {
	s.log.Info("request finished", zap.String("request", ex.name), zap.String("tenant", ex.request.Tenant),
		zap.String("service", ex.request.Service), zap.Int("attempts", int(ex.attempts)), zap.Uint64("attempt", ex.lastAttempt),
		zap.String("reason", string(final.Reason)), zap.String("run", string(final.Run)), zap.Int("tokens", final.Tokens),
		zap.Duration("took", time.Since(ex.receivedAt)))
}

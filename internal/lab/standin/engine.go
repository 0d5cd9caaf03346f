package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/lab/engine"
	"kitetiller/internal/prefix"
	"kitetiller/internal/transport"
)

const (
	outputQueueSize    = 4096 // outputs buffered for a slow router before the job is cancelled
	maxAdvanceInterval = 50 * time.Millisecond
	busyRetryDelay     = 200 * time.Millisecond // also bounds the query of an import source
	vaultTimeout       = time.Second
	fetchTimeout       = 30 * time.Second
	maxLoadTime        = time.Hour // the reply of the weight store ends a load earlier
)

// EngineConfig configures an engine process.
type EngineConfig struct {
	Name        string
	Zone        string
	Service     string
	Listen      string
	Weights     string // version loaded at startup
	WeightStore string
	BlockTokens int
	Rates       engine.Rates
}

// Engine serves a simulated model engine over HTTP in real time.
type Engine struct {
	config EngineConfig
	log    *zap.Logger
	start  time.Time
	client *transport.Client
	wake   chan struct{}

	mutex sync.Mutex
	model *engine.Model
}

// jobStream passes the outputs of a job to the HTTP response that streams them.
type jobStream struct {
	outputs chan engine.Output
}

// NewEngine returns an engine with a new incarnation and an empty cache.
func NewEngine(config EngineConfig, log *zap.Logger) *Engine {
	incarnation := uint64(time.Now().UnixNano())
	e := &Engine{
		config: config, log: log, start: time.Now(), wake: make(chan struct{}, 1),
		client: transport.NewClient("", nil),
		model:  engine.New(config.Name, incarnation, config.Weights, config.Rates, config.BlockTokens, incarnation, guard.Set{}),
	}
	e.model.Import = e.importablePrefix
	return e
}

func (e *Engine) now() time.Duration { return time.Since(e.start) }

// Run serves requests until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathGenerate, e.serveGenerate)
	mux.HandleFunc("GET "+api.PathState, e.serveState)
	mux.HandleFunc("GET "+api.PathCache, e.serveCache)
	mux.HandleFunc("POST "+api.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+api.PathKVMatch, e.serveMatch)
	mux.HandleFunc("POST /v1/leave", e.serveDrain)
	go e.runModel(ctx)
	return serve(ctx, e.config.Listen, mux, e.log)
}

// runModel advances the model in real time until ctx is done.
func (e *Engine) runModel(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
		timer.Reset(e.advanceModel())
	}
}

// advanceModel advances the model to the current time, passes its outputs on, and returns the time to the next call.
func (e *Engine) advanceModel() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, output := range e.model.Advance(e.now()) {
		stream := output.Job.UserData.(*jobStream)
		select {
		case stream.outputs <- output:
		default:
			e.model.Cancel(output.Job.Origin, output.Job.Attempt)
		}
	}
	wakeup, scheduled := e.model.NextWakeup()
	if !scheduled {
		return maxAdvanceInterval
	}
	return max(0, min(wakeup-e.now(), maxAdvanceInterval))
}

func (e *Engine) wakeModel() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	if !readJSON(w, r, &request) {
		return
	}
	stream := &jobStream{outputs: make(chan engine.Output, outputQueueSize)}
	job := &engine.Job{
		Attempt: request.Attempt, Origin: request.Router, Tenant: request.Tenant, Blocks: request.Blocks,
		PromptTokens: request.PromptTokens, MaxTokens: request.MaxTokens, ResumeFrom: request.ResumeFrom,
		Lane: request.Lane, Incarnation: request.Incarnation, Weights: request.Weights, ExpectedCachedTokens: request.ExpectedCachedTokens,
		ImportFrom: request.ImportFrom, ImportBlocks: request.ImportBlocks, UserData: stream,
	}
	e.mutex.Lock()
	result := e.model.Submit(e.now(), job)
	incarnation := e.model.Incarnation
	e.mutex.Unlock()
	if rejection, rejected := rejectionOf(result); rejected {
		rejection.Incarnation = incarnation
		writeJSON(w, http.StatusServiceUnavailable, rejection)
		return
	}
	e.wakeModel()
	e.stream(w, r, request, job, result == engine.AcceptedWithoutReuse, incarnation)
}

// rejectionOf returns the response to a job that was rejected; the flag is false if it was accepted.
func rejectionOf(result engine.SubmitResult) (api.BackendRejection, bool) {
	rejection := api.BackendRejection{Run: core.RunNot, RetryAfterMS: busyRetryDelay.Milliseconds()}
	switch result {
	case engine.RejectedDraining:
		rejection.Draining = true
		return rejection, true
	case engine.RejectedQueueFull, engine.RejectedLoading:
		return rejection, true
	}
	return rejection, false
}

// stream writes the outputs of a job as server-sent events. It cancels the job when the client disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request api.GenerateRequest, job *engine.Job, noReuse bool, incarnation uint64) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	digest := xxhash.Sum64String(request.Prompt)
	outputs := job.UserData.(*jobStream).outputs
	for {
		select {
		case <-r.Context().Done():
			e.mutex.Lock()
			e.model.Cancel(job.Origin, job.Attempt)
			e.mutex.Unlock()
			return
		case output := <-outputs:
			event := e.toEvent(output, request, digest)
			if output.Kind == engine.OutputStarted {
				event.Incarnation, event.NoReuse = incarnation, noReuse
			}
			data, _ := json.Marshal(event) // cannot fail: plain struct
			if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
				continue // the request context is cancelled shortly
			}
			if len(outputs) == 0 {
				_ = controller.Flush() // a broken connection cancels the request context
			}
			if output.Kind == engine.OutputDone {
				return
			}
		}
	}
}

func (e *Engine) toEvent(output engine.Output, request api.GenerateRequest, digest uint64) api.GenerateEvent {
	event := api.GenerateEvent{Attempt: request.Attempt, Index: output.Index}
	switch output.Kind {
	case engine.OutputStarted:
		event.Kind, event.Cached, event.Imported = api.GenerateStarted, output.Cached, output.Imported
	case engine.OutputToken:
		event.Kind, event.Text = api.GenerateToken, TokenText(digest, request.Seed, output.Index)
	case engine.OutputDone:
		event.Kind = api.GenerateDone
		event.StoredBlocks = e.storeInVault(request)
	}
	return event
}

// storeInVault stores the requested number of blocks in the vault and returns how many it holds.
func (e *Engine) storeInVault(request api.GenerateRequest) int {
	if request.VaultBlocks == 0 || request.Vault == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), vaultTimeout)
	defer cancel()
	blocks := request.Blocks[:min(request.VaultBlocks, len(request.Blocks))]
	var reply api.KVReply
	if err := e.client.Post(ctx, request.Vault, api.PathKVKeep, api.KVRequest{Blocks: blocks}, &reply); err != nil {
		return 0
	}
	return reply.CachedBlocks
}

// importablePrefix asks another engine or the vault how many leading blocks of a chain it can provide. It runs with the
// mutex locked, hence the short timeout.
func (e *Engine) importablePrefix(source string, chain []prefix.Hash) int {
	ctx, cancel := context.WithTimeout(context.Background(), busyRetryDelay)
	defer cancel()
	var reply api.KVReply
	if err := e.client.Post(ctx, source, api.PathKVMatch, api.KVRequest{Blocks: chain}, &reply); err != nil {
		return 0
	}
	return reply.CachedBlocks
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // 0, the first event, if missing
	e.mutex.Lock()
	report := e.model.Report(e.now(), after)
	fence := e.model.Fence()
	e.mutex.Unlock()
	if r.URL.Query().Get("events") == "none" {
		report.Events = nil
	}
	writeJSON(w, http.StatusOK, api.StateReply{Report: report, Engine: control.EngineReport{
		Name: e.config.Name, Zone: e.config.Zone, Service: e.config.Service, Address: e.config.Listen,
		Incarnation: report.Incarnation, Weights: report.Weights, Loading: report.Loading, Fence: fence,
	}})
}

func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	blocks, sequence := e.model.Snapshot()
	reply := api.CacheReply{Incarnation: e.model.Incarnation, Sequence: sequence, Blocks: blocks}
	e.mutex.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (e *Engine) serveMatch(w http.ResponseWriter, r *http.Request) {
	var request api.KVRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !e.mutex.TryLock() { // avoids deadlock between two engines that import from each other
		writeJSON(w, http.StatusOK, api.KVReply{})
		return
	}
	cached := e.model.ExportablePrefix(e.now(), request.Blocks)
	e.mutex.Unlock()
	writeJSON(w, http.StatusOK, api.KVReply{CachedBlocks: cached})
}

func (e *Engine) serveDrain(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	e.model.SetDraining(true)
	e.mutex.Unlock()
	w.WriteHeader(http.StatusOK)
}

// serveOrder handles a fenced call. If it starts a load, the weights are fetched from the weight store in the
// background.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var call control.EngineCall
	if !readJSON(w, r, &call) {
		return
	}
	e.mutex.Lock()
	wasLoading := e.model.Loading()
	accepted := e.model.HandleCall(e.now(), call, maxLoadTime)
	loadStarted := !wasLoading && e.model.Loading()
	fence := e.model.Fence()
	e.mutex.Unlock()
	if loadStarted {
		go e.loadWeights(call.Order.Weights)
	}
	writeJSON(w, http.StatusOK, api.OrderReply{Accepted: accepted, Fence: fence})
}

func (e *Engine) loadWeights(weights string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	err := e.client.Post(ctx, e.config.WeightStore, api.PathFetch, api.FetchRequest{Engine: e.config.Name, Weights: weights}, nil)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err != nil {
		e.log.Warn("fetching weights failed; keeping the current version", zap.String("weights", weights), zap.Error(err))
		e.model.AbortLoad()
		return
	}
	e.model.CompleteLoad(e.now())
	e.wakeModel()
	e.log.Info("weights loaded", zap.String("weights", weights))
}

package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
)

// ServiceConfig configures a small service process.
type ServiceConfig struct {
	Name            string
	Zone            string
	Service         string
	Listen          string
	ServiceTime     time.Duration
	DropAfterRatio  float64 // fraction of requests whose connection is closed after they ran
	DropBeforeRatio float64 // fraction of requests whose connection is closed before they run
}

// Service is a small back end whose requests must not run twice. It records every run.
type Service struct {
	config      ServiceConfig
	log         *zap.Logger
	incarnation uint64

	mutex    sync.Mutex
	runs     []api.RunRecord
	running  int
	draining bool
}

// NewService returns a service without recorded runs.
func NewService(config ServiceConfig, log *zap.Logger) *Service {
	return &Service{config: config, log: log, incarnation: uint64(time.Now().UnixNano())}
}

// Run serves requests until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathRun, s.serveRun)
	mux.HandleFunc("GET "+api.PathState, s.serveState)
	mux.HandleFunc("GET "+api.PathRuns, s.serveRuns)
	mux.HandleFunc("POST /v1/leave", s.serveDrain)
	return serve(ctx, s.config.Listen, mux, s.log)
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	var request api.RunRequest
	if !readJSON(w, r, &request) {
		return
	}
	if rand.Float64() < s.config.DropBeforeRatio {
		panic(http.ErrAbortHandler) // closes the connection; the request did not run
	}
	if !s.beginRun(request) {
		writeJSON(w, http.StatusServiceUnavailable, api.BackendRejection{Run: core.RunNot, Draining: true})
		return
	}
	time.Sleep(s.config.ServiceTime)
	s.endRun()
	if rand.Float64() < s.config.DropAfterRatio {
		panic(http.ErrAbortHandler) // closes the connection; the request ran, but its response is lost
	}
	response := ledger.Response{Status: http.StatusOK, ContentType: "application/json", Body: ServiceResponse(request.Body)}
	writeJSON(w, http.StatusOK, api.RunResponse{Attempt: request.Attempt, Response: response})
}

// beginRun records a run. It returns false if the service is draining.
func (s *Service) beginRun(request api.RunRequest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return false
	}
	s.running++
	s.runs = append(s.runs, api.RunRecord{
		Tenant: request.Tenant, Key: request.Key, Request: request.Request,
		Digest: ledger.Digest(request.Body), UnixMS: time.Now().UnixMilli(),
	})
	return true
}

func (s *Service) endRun() {
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	runs := append([]api.RunRecord{}, s.runs...)
	s.mutex.Unlock()
	writeJSON(w, http.StatusOK, runs)
}

func (s *Service) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (s *Service) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	report := core.BackendReport{Incarnation: s.incarnation, Leaving: s.draining, Load: core.Load{Running: s.running}}
	s.mutex.Unlock()
	writeJSON(w, http.StatusOK, api.StateReply{Report: report, Engine: control.EngineReport{
		Name: s.config.Name, Zone: s.config.Zone, Service: s.config.Service, Address: s.config.Listen, Incarnation: s.incarnation,
	}})
}

package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/transport"
)

const crashPrompt = "a prompt that no engine survives"

// crashingEngine closes its listener and all connections upon crashPrompt, and restarts as a new incarnation.
type crashingEngine struct {
	t             *testing.T
	name          string
	address       string
	incarnation   atomic.Uint64
	crashRequests *atomic.Int64 // requests with crashPrompt, shared by all engines

	mu     sync.Mutex
	server *http.Server
}

func (e *crashingEngine) start() {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		e.t.Errorf("%s: listen: %v", e.name, err)
		return
	}
	e.address = listener.Addr().String()
	e.incarnation.Add(1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathState, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.StateReply{Report: core.BackendReport{Incarnation: e.incarnation.Load(), Weights: "w1", Load: core.Load{PrefillRate: 8000}}})
	})
	mux.HandleFunc("POST "+api.PathGenerate, e.generate)
	e.mu.Lock()
	e.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	e.mu.Unlock()
}

func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

func (e *crashingEngine) generate(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return
	}
	if strings.Contains(request.Prompt, crashPrompt) {
		e.crashRequests.Add(1)
		e.crash()
		time.AfterFunc(50*time.Millisecond, e.start)
		return
	}
	for _, event := range []api.GenerateEvent{
		{Kind: api.GenerateStarted, Incarnation: e.incarnation.Load()}, {Kind: api.GenerateToken, Text: "good "}, {Kind: api.GenerateDone, Index: 1},
	} {
		event.Attempt = request.Attempt
		data, _ := json.Marshal(event)
		fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

// controlStub answers heartbeats and keeps the replicated crash counts, as a leader does.
type controlStub struct {
	address  string
	upToDate atomic.Bool // the router has the latest crash counts
}

// startControlStub starts a stub with crashes recorded earlier.
func startControlStub(t *testing.T, crashes ...quarantine.Crash) *controlStub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	var mu sync.Mutex
	registry := quarantine.NewRegistry()
	registry.Apply(quarantine.Change{Seed: stubSeed, Crashes: crashes})
	stub := &controlStub{address: address}
	server, err := transport.Listen(address, "", func(request transport.Request, respond transport.Respond) {
		mu.Lock()
		defer mu.Unlock()
		var decoded control.Request
		_ = json.Unmarshal(request.Body, &decoded)
		reply := control.Response{Kind: control.ResponseOK}
		switch {
		case decoded.Catalog != nil && decoded.Catalog.Quarantine != nil:
			registry.Apply(*decoded.Catalog.Quarantine)
		case decoded.Heartbeat != nil:
			reply.Heartbeat = &control.HeartbeatReply{Epoch: 1, Version: 7, Lease: time.Minute}
			if stub.upToDate.Store(decoded.Heartbeat.Quarantine == registry.Version()); !stub.upToDate.Load() {
				reply.Heartbeat.Quarantine = registry.Update()
			}
		}
		respond(http.StatusOK, reply)
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close(t.Context()) })
	return stub
}

// stubSeed is the fingerprint seed of a controlStub.
var stubSeed = make([]byte, quarantine.SeedBytes)

// startTestRouterWith starts a router with the given control address and machines.
func startTestRouterWith(t *testing.T, control string, machines []core.Machine) *testRouter {
	t.Helper()
	s := &testRouter{t: t, release: make(chan struct{}), stopped: make(chan error, 1), control: control}
	s.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.MachinesReply{Machines: machines})
	}))
	t.Cleanup(s.platform.Close)
	s.start(s.settingsFolder())
	return s
}

// A request that crashes every engine is rejected with the quarantine reason, and other requests are still served.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	var crashRequests atomic.Int64
	var machines []core.Machine
	for number := range 4 {
		engine := &crashingEngine{t: t, name: fmt.Sprint("e", number), address: "127.0.0.1:0", crashRequests: &crashRequests}
		engine.start()
		machines = append(machines, core.Machine{Name: engine.name, Zone: "z", Service: testService, Address: engine.address})
	}
	s := startTestRouterWith(t, startControlStub(t).address, machines)
	complete := func(prompt string) (status int, text string) {
		response := s.post("/v1/completions", testKey, fmt.Sprintf(`{"model":"llm","prompt":%q,"max_tokens":1}`, prompt))
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	s.eventually("an engine serves", func() bool { status, _ := complete("hello"); return status == http.StatusOK })
	s.eventually("the request is quarantined", func() bool {
		status, text := complete(crashPrompt)
		if status == http.StatusOK {
			t.Fatal("got status 200 for a request that crashes its engine")
		}
		return status == http.StatusServiceUnavailable && strings.Contains(text, string(core.ReasonQuarantined))
	})
	beforeRetries := crashRequests.Load()
	for range 20 {
		if status, text := complete(crashPrompt); status != http.StatusServiceUnavailable || !strings.Contains(text, string(core.ReasonQuarantined)) {
			t.Fatalf("got status %d: %s, want 503 with the quarantine reason", status, text)
		}
	}
	if afterRetries := crashRequests.Load(); afterRetries != beforeRetries || afterRetries > quarantine.QuarantineThreshold+3 {
		t.Fatalf("%d engines received the request before its quarantine and %d afterwards", beforeRetries, afterRetries-beforeRetries)
	}
	s.eventually("another request is served", func() bool { status, _ := complete("another prompt"); return status == http.StatusOK })
}

// A request suspected of two crashes may run on one more back end. Guards against counting an attempt that a back end
// refused as that run, which rejected the request as quarantined.
func TestRefusedAttemptDoesNotCountTowardQuarantine(t *testing.T) {
	var requests atomic.Int64
	engine := http.NewServeMux()
	engine.HandleFunc("GET "+api.PathState, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.StateReply{Report: core.BackendReport{Incarnation: 1, Weights: "w1", Load: core.Load{PrefillRate: 8000}}})
	})
	engine.HandleFunc("POST "+api.PathGenerate, func(w http.ResponseWriter, r *http.Request) {
		var request api.GenerateRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			t.Error(err)
		}
		if requests.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(api.BackendRejection{Run: core.RunNot})
			return
		}
		for _, kind := range []api.GenerateEventKind{api.GenerateStarted, api.GenerateDone} {
			data, _ := json.Marshal(api.GenerateEvent{Attempt: request.Attempt, Kind: kind, Incarnation: 1})
			fmt.Fprintf(w, "data: %s\n\n", data)
		}
	})
	var machines []core.Machine
	for number := range 2 {
		server := httptest.NewServer(engine)
		t.Cleanup(server.Close)
		machines = append(machines, core.Machine{Name: fmt.Sprint("e", number), Zone: "z", Service: testService, Address: server.Listener.Addr().String()})
	}
	body := `{"model":"llm","prompt":"hello","max_tokens":1}`
	hasher, err := quarantine.NewHasher(stubSeed)
	if err != nil {
		t.Fatal(err)
	}
	fingerprint := hasher.Fingerprint(quarantine.Request{Method: http.MethodPost, Path: "/v1/completions", Caller: testTenant, Body: []byte(body)})
	control := startControlStub(t, quarantine.Crash{Incarnation: "e0/7", Requests: []quarantine.Fingerprint{fingerprint}}, quarantine.Crash{Incarnation: "e1/7", Requests: []quarantine.Fingerprint{fingerprint}})
	s := startTestRouterWith(t, control.address, machines)
	s.eventually("the router has the crash counts", control.upToDate.Load)
	response := s.post("/v1/completions", testKey, body)
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || requests.Load() != 2 {
		t.Fatalf("got status %d: %s after %d attempts, want 200 after 2", response.StatusCode, text, requests.Load())
	}
}

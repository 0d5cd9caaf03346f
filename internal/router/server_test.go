package router

import (
	"bufio"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
	"kitetiller/internal/session"
	"kitetiller/internal/settings"
	"kitetiller/internal/storage"
)

const (
	testKey     = "key"
	testTenant  = "tenant"
	testService = "llm"
	testTimeout = 20 * time.Second // maximum wait for an expected condition
)

// testRouter is a router with one fake engine and, by default, no control group. It serves with the settings stored in
// its folder, as after a restart without a connection to control.
type testRouter struct {
	t         *testing.T
	engine    *httptest.Server
	platform  *httptest.Server
	release   chan struct{} // closed to let the engine stream beyond the first token
	cancelled atomic.Int32  // attempts whose connection was closed by the router
	address   string
	control   string // address of the control group, or "" for none
	stop      context.CancelFunc
	stopped   chan error
}

func testSettings() settings.Tree {
	digest := sha256.Sum256([]byte(testKey))
	kind, keys, whenCutOff, maxPromptBytes := settings.KindLLM, []string{hex.EncodeToString(digest[:])}, "serve_last", 4096
	small, repeatable := settings.KindService, false
	tree := settings.NewTree()
	tree.Nodes["/"] = settings.Overrides{WhenCutOff: &whenCutOff, MaxPromptBytes: &maxPromptBytes}
	tree.Nodes["/*"] = settings.Overrides{}
	tree.Nodes["/*/"+testService] = settings.Overrides{Kind: &kind}
	tree.Nodes["/*/small"] = settings.Overrides{Kind: &small, Repeatable: &repeatable}
	tree.Nodes["/*/"+testService+"/"+testTenant] = settings.Overrides{APIKeySHA256: &keys}
	return tree
}

func startTestRouter(t *testing.T) *testRouter {
	t.Helper()
	s := &testRouter{t: t, release: make(chan struct{}), stopped: make(chan error, 1)}
	s.engine = httptest.NewServer(s.engineRoutes())
	t.Cleanup(s.engine.Close)
	s.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		machine := core.Machine{Name: "e1", Zone: "z", Service: testService, Address: s.engine.Listener.Addr().String()}
		_ = json.NewEncoder(w).Encode(api.MachinesReply{Machines: []core.Machine{machine}})
	}))
	t.Cleanup(s.platform.Close)
	s.start(s.settingsFolder())
	return s
}

// settingsFolder returns a data folder with stored settings.
func (s *testRouter) settingsFolder() string {
	s.t.Helper()
	folder := s.t.TempDir()
	if err := storage.WriteJSON(storage.OperatingSystem, filepath.Join(folder, settingsFile), session.Settings{Version: 7, Tree: testSettings()}); err != nil {
		s.t.Fatal(err)
	}
	return folder
}

func (s *testRouter) engineRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathState, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.StateReply{Report: core.BackendReport{Incarnation: 1, Weights: "w1", Load: core.Load{PrefillRate: 8000}}})
	})
	mux.HandleFunc("POST "+api.PathGenerate, s.generate)
	return mux
}

// generate streams one token, waits for the release, and streams the others.
func (s *testRouter) generate(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		s.t.Error(err)
		return
	}
	send := func(event api.GenerateEvent) {
		event.Attempt = request.Attempt
		data, _ := json.Marshal(event)
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = http.NewResponseController(w).Flush()
	}
	send(api.GenerateEvent{Kind: api.GenerateStarted, Incarnation: 1})
	for index := range request.MaxTokens {
		if index == 1 {
			select {
			case <-s.release:
			case <-r.Context().Done():
				s.cancelled.Add(1)
				return
			}
		}
		send(api.GenerateEvent{Kind: api.GenerateToken, Index: index, Text: fmt.Sprintf("t%d ", index)})
	}
	send(api.GenerateEvent{Kind: api.GenerateDone, Index: request.MaxTokens})
}

func (s *testRouter) start(folder string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.address = listener.Addr().String()
	_ = listener.Close()
	file := &node.File{Name: "r1", Zone: "z", DataDir: folder, AdminToken: "admin", Router: &node.Router{
		Listen: s.address, Control: []string{cmp.Or(s.control, "127.0.0.1:1")}, Platform: s.platform.Listener.Addr().String(), PrefixKey: strings.Repeat("01", prefix.KeyBytes),
		BlockTokens: 64, IndexBlocks: 1000, PollInterval: 20 * time.Millisecond, HeartbeatInterval: time.Second, DrainTimeout: testTimeout, MaxConnections: 100}}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	server, err := NewServer(ctx, file, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	go func() { s.stopped <- server.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		select {
		case <-s.release:
		default:
			close(s.release)
		}
	})
	s.eventually("the router is ready", func() bool {
		response, err := http.Get("http://" + s.address + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (s *testRouter) eventually(condition string, check func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	s.t.Fatalf("timed out waiting until %s", condition)
}

func (s *testRouter) post(path, key, body string, headers ...string) *http.Response {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

const validBody = `{"model":"llm","prompt":"hello","max_tokens":4,"stream":true}`

// A router that starts without a reachable control replica serves with its stored settings if they allow it.
func TestRouterServesStoredSettingsWithoutControl(t *testing.T) {
	s := startTestRouter(t)
	close(s.release)
	text, err := io.ReadAll(s.post("/v1/completions", testKey, validBody).Body)
	if err != nil || !strings.Contains(string(text), "t3 ") || !strings.HasSuffix(strings.TrimSpace(string(text)), "[DONE]") {
		t.Fatalf("got error %v and stream %s, want a complete stream", err, text)
	}
}

// Each invalid request gets a problem response, and a valid one is served afterwards.
func TestInvalidRequestsAreRejectedWithProblem(t *testing.T) {
	s := startTestRouter(t)
	close(s.release)
	for _, test := range []struct {
		name, path, key, body string
		headers               []string
		status                int
		run                   core.RunStatus
	}{
		{"no key", "/v1/completions", "", validBody, nil, 401, core.RunNot},
		{"unknown key", "/v1/completions", "other", validBody, nil, 401, core.RunNot},
		{"not JSON", "/v1/completions", testKey, "{", nil, 400, core.RunNot},
		{"no prompt", "/v1/completions", testKey, `{"model":"llm"}`, nil, 400, core.RunNot},
		{"negative tokens", "/v1/completions", testKey, `{"model":"llm","prompt":"x","max_tokens":-1}`, nil, 400, core.RunNot},
		{"unknown model", "/v1/completions", testKey, `{"model":"other","prompt":"x"}`, nil, 404, core.RunNot},
		{"too long", "/v1/completions", testKey, strings.Repeat("x", 5000), nil, 413, core.RunNot},
		{"unknown priority", "/v1/completions", testKey, validBody, []string{api.HeaderPriority, "now"}, 400, core.RunNot},
		{"unknown service", "/v1/services/none", testKey, "{}", nil, 404, core.RunNot},
		{"no idempotency key", "/v1/services/small", testKey, "{}", nil, 400, core.RunNot},
		{"key may have run before", "/v1/services/small", "other", "{}", []string{api.HeaderIdempotencyKey, "k"}, 401, core.RunUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := s.post(test.path, test.key, test.body, test.headers...)
			var problem api.Problem
			if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.status || problem.Run != test.run || problem.Title == "" {
				t.Fatalf("got status %d and problem %+v", response.StatusCode, problem)
			}
		})
	}
	if text, _ := io.ReadAll(s.post("/v1/completions", testKey, validBody).Body); !strings.Contains(string(text), "[DONE]") {
		t.Fatalf("got incomplete stream after the invalid requests: %s", text)
	}
}

// Guards against engines that keep generating after the client has disconnected.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	s := startTestRouter(t)
	response := s.post("/v1/completions", testKey, validBody)
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	s.eventually("the engine's attempt is cancelled", func() bool { return s.cancelled.Load() == 1 })
}

// A draining router rejects new requests, and Run returns only after the stream in progress is complete.
func TestDrainFinishesActiveStream(t *testing.T) {
	s := startTestRouter(t)
	response := s.post("/v1/completions", testKey, validBody)
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	s.stop()
	s.eventually("new requests are rejected", func() bool {
		refused := s.post("/v1/completions", testKey, validBody)
		return refused.StatusCode == http.StatusServiceUnavailable && refused.Header.Get(api.HeaderDraining) != ""
	})
	close(s.release)
	rest, err := io.ReadAll(reader)
	if err != nil || !strings.Contains(string(rest), "t3 ") || !strings.Contains(string(rest), "[DONE]") {
		t.Fatalf("got error %v and rest of the stream %s, want a complete stream", err, rest)
	}
	select {
	case err := <-s.stopped:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("Run did not return after the last stream")
	}
}

// Models are listed only for requests with a known API key.
func TestModelsAreListed(t *testing.T) {
	s := startTestRouter(t)
	listModels := func(key string) (*http.Response, api.ModelList) {
		request, err := http.NewRequest(http.MethodGet, "http://"+s.address+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		var list api.ModelList
		if response.StatusCode == http.StatusOK {
			if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
				t.Fatal(err)
			}
		}
		return response, list
	}
	if response, _ := listModels("wrong"); response.StatusCode != http.StatusUnauthorized {
		t.Fatalf("got status %s with an unknown key, want 401", response.Status)
	}
	_, list := listModels(testKey)
	if list.Object != api.ObjectList || len(list.Data) != 1 || list.Data[0].ID != testService || list.Data[0].Object != api.ObjectModel {
		t.Fatalf("got models %+v, want only the model of the test service", list)
	}
}

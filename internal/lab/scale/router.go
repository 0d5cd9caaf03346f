package scale

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/core"
	"kitetiller/internal/node"
	"kitetiller/internal/prefix"
	"kitetiller/internal/router"
	"kitetiller/internal/settings"
)

const (
	serviceName  = "model"
	apiKey       = "scale-key"
	readyTimeout = 20 * time.Second
)

// emulatedEngines answers state polls and generate requests without simulating load.
type emulatedEngines struct {
	counter  trafficCounter
	machines []core.Machine
	started  time.Time
	// blockChangesPerSecond is how many blocks each engine reports as stored, and as evicted, per second.
	blockChangesPerSecond int
	tokenInterval         time.Duration
	platform              string
}

// startEmulatedEngines starts servers for the engines and for the platform's machine list.
func startEmulatedEngines(ctx context.Context, count, blockChanges int) (*emulatedEngines, error) {
	h := &emulatedEngines{started: time.Now(), blockChangesPerSecond: blockChanges}
	for i := range count {
		address, err := h.serve(ctx, i)
		if err != nil {
			return nil, err
		}
		h.machines = append(h.machines, core.Machine{Name: fmt.Sprintf("hollow-%d", i), Zone: "z", Service: serviceName, Address: address})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathMachines, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, api.MachinesReply{Machines: h.machines}) })
	listener, err := (&trafficCounter{}).listen()
	if err != nil {
		return nil, err
	}
	h.platform = listener.Addr().String()
	serveUntil(ctx, &http.Server{Handler: mux}, func(s *http.Server) { _ = s.Serve(listener) })
	return h, nil
}

func serveUntil(ctx context.Context, server *http.Server, serve func(*http.Server)) {
	go runWithRole(roleEmulated, func() { serve(server) })
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

func (h *emulatedEngines) serve(ctx context.Context, number int) (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathState, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, h.state(number, r)) })
	mux.HandleFunc("GET "+api.PathCache, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, api.CacheReply{Incarnation: 1}) })
	mux.HandleFunc("POST "+api.PathGenerate, h.generate)
	mux.HandleFunc("POST "+api.PathOrders, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, api.OrderReply{Accepted: true}) })
	listener, err := h.counter.listen()
	if err != nil {
		return "", err
	}
	serveUntil(ctx, &http.Server{Handler: mux}, func(s *http.Server) { _ = s.Serve(listener) })
	return listener.Addr().String(), nil
}

// state reports the cache events after the caller's sequence number. Stored blocks are evicted 50 events later.
func (h *emulatedEngines) state(number int, r *http.Request) api.StateReply {
	report := core.BackendReport{Incarnation: 1, Weights: "w1", Load: core.Load{PrefillRate: 8000, EvictionAge: 20 * time.Second}}
	var after uint64
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after) // 0 if missing
	newest := uint64(time.Since(h.started).Seconds() * float64(h.blockChangesPerSecond) / eventBlocks)
	for sequence := max(after, newest-min(newest, 64)); sequence < newest; sequence++ {
		event := core.CacheEvent{Sequence: sequence, Stored: makeChain(number*1_000_000+int(sequence), eventBlocks)}
		if sequence > 50 {
			event.Evicted = makeChain(number*1_000_000+int(sequence-50), eventBlocks)
		}
		report.Events = append(report.Events, event)
	}
	report.NextSequence = newest
	return api.StateReply{Report: report}
}

// generate streams the requested number of tokens.
func (h *emulatedEngines) generate(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	controller := http.NewResponseController(w)
	write := func(event api.GenerateEvent) {
		event.Attempt = request.Attempt
		data, _ := json.Marshal(event) // encoding this struct cannot fail
		fmt.Fprintf(w, "data: %s\n\n", data)
		_ = controller.Flush() // a broken connection cancels the request's context
	}
	write(api.GenerateEvent{Kind: api.GenerateStarted, Incarnation: 1})
	for index := request.ResumeFrom; index < request.MaxTokens && r.Context().Err() == nil; index++ {
		write(api.GenerateEvent{Kind: api.GenerateToken, Index: index, Text: "word "})
		time.Sleep(h.tokenInterval)
	}
	write(api.GenerateEvent{Kind: api.GenerateDone, Index: request.MaxTokens})
}

// startRouter starts a real router and waits until it is ready and knows all back ends.
func startRouter(ctx context.Context, g *group, folder, platform string, backends int) (string, error) {
	listen, err := freeAddress()
	if err != nil {
		return "", err
	}
	file := &node.File{Name: "router", Zone: "z", DataDir: filepath.Join(folder, "router"), ClusterToken: clusterToken, AdminToken: clusterToken,
		Router: &node.Router{Listen: listen, Control: g.addresses, Platform: platform, PrefixKey: strings.Repeat("01", prefix.KeyBytes), BlockTokens: 64,
			IndexBlocks: 2_000_000, PollInterval: 100 * time.Millisecond, HeartbeatInterval: routerHeartbeatInterval, DrainTimeout: time.Second, MaxConnections: 10_000}}
	server, err := router.NewServer(ctx, file, zap.NewNop())
	if err != nil {
		return "", err
	}
	go runWithRole(roleRouter, func() { _ = server.Run(ctx) }) // ends with ctx
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if isReady(listen, backends) {
			return listen, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", eris.Errorf("router not ready after %v", readyTimeout)
}

// isReady reports whether a router is ready and at least that many of its back ends are.
func isReady(address string, backends int) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/admin/v1/status", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+clusterToken)
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status struct {
		Backends []core.BackendView `json:"backends"`
	}
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return false
	}
	readyBackends := 0
	for _, backend := range status.Backends {
		if backend.State == core.BackendReady.String() {
			readyBackends++
		}
	}
	return readyBackends >= backends
}

// applySettings applies settings that allow one tenant to call the emulated service.
func applySettings(g *group) error {
	digest := sha256.Sum256([]byte(apiKey))
	kind, keys, limit := "llm", []string{hex.EncodeToString(digest[:])}, 10_000
	tree := settings.NewTree()
	tree.Nodes["/*"] = settings.Overrides{}
	tree.Nodes["/*/"+serviceName] = settings.Overrides{Kind: &kind, EngineConcurrency: &limit}
	tree.Nodes["/*/"+serviceName+"/tenant"] = settings.Overrides{APIKeySHA256: &keys}
	_, err := g.changeSettings(settings.DiffEdits(settings.NewTree(), tree)...)
	return err
}

// measurePolls measures a router's processor time and traffic by the number of engines it polls.
func measurePolls(ctx context.Context, g *group, report *Report, folder string, sizes []int, blockChanges int, duration time.Duration) error {
	var cores, traffic []Point
	for _, size := range sizes {
		phaseCtx, stop := context.WithCancel(ctx)
		usage, sent, err := pollPhase(phaseCtx, g, filepath.Join(folder, fmt.Sprint(size, "-", blockChanges)), size, blockChanges, duration)
		stop()
		if err != nil {
			return err
		}
		cores = append(cores, Point{float64(size), usage.Cores[roleRouter]})
		traffic = append(traffic, Point{float64(size), sent / usage.Wall.Seconds()})
		time.Sleep(200 * time.Millisecond)
	}
	conditions := fmt.Sprintf("polling 10 times a second, %d blocks stored and evicted a second on each", blockChanges)
	report.addSlope(roleRouter, "processor time, "+conditions, "cores", "engine", cores)
	report.addSlope(roleRouter, "bytes, "+conditions, "bytes/s", "engine", traffic)
	return nil
}

func pollPhase(ctx context.Context, g *group, folder string, size, blockChanges int, duration time.Duration) (Usage, float64, error) {
	engines, err := startEmulatedEngines(ctx, size, blockChanges)
	if err != nil {
		return Usage{}, 0, err
	}
	if _, err := startRouter(ctx, g, folder, engines.platform, size); err != nil {
		return Usage{}, 0, err
	}
	before := engines.counter.total()
	usage, err := measure(duration, func() {})
	return usage, engines.counter.total() - before, err
}

// stream sends one request and returns the time to its first token. onToken, if not nil, is called for each token.
func stream(client *http.Client, address, path string, body any, headers map[string]string, onToken func()) (time.Duration, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(string(data)))
	if err != nil {
		return 0, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, eris.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	first := time.Duration(0)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), "word") {
			continue
		}
		if first == 0 {
			first = time.Since(started)
		}
		if onToken != nil {
			onToken()
		}
	}
	return first, scanner.Err()
}

// sendAtRate sends requests per second for a duration. It returns the sorted times to first token and the number of
// failures.
func sendAtRate(rate int, duration time.Duration, send func(number int) (time.Duration, error)) ([]time.Duration, int) {
	var mutex sync.Mutex
	var times []time.Duration
	failures := 0
	var requests sync.WaitGroup
	started := time.Now()
	for number := range int(duration.Seconds() * float64(rate)) {
		time.Sleep(time.Until(started.Add(time.Duration(number) * time.Second / time.Duration(rate))))
		requests.Go(func() {
			runWithRole(roleEmulated, func() {
				took, err := send(number)
				mutex.Lock()
				defer mutex.Unlock()
				if err != nil {
					failures++
					return
				}
				times = append(times, took)
			})
		})
	}
	requests.Wait()
	slices.Sort(times)
	return times, failures
}

func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(q*float64(len(times))))].Seconds() * 1000
}

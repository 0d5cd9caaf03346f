package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots       = 64
	engineTokens      = 99487
	heartbeatInterval = 1200 * time.Millisecond
	loadTime          = 700 * time.Millisecond
	streamEvents      = 4
	eventInterval     = 5 * time.Millisecond
	maxEventsWait     = time.Second
)

// keptPart is a part of a prompt in a worker's memory.
type keptPart struct {
	salt, id string
	tokens   int
	maker    string // tenant of the request that made it
	request  string // ID of that request
	version  int
}

// order is what a worker was ordered to do, and by whom.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Version   int    `json:"version"`
	Holder    string `json:"holder"`
	Fence     int    `json:"fence_token"`
	Expected  *int   `json:"expected_rev"`
	at        time.Time
}

// worker is a model worker that follows PROTOCOL.md, in the parts that the scripts use. It does not check fencing tokens,
// as where require_fence is false.
type worker struct {
	id      string
	zone    string
	address string // as registered
	listen  string
	control []string
	record  *record
	// onUse is called with each part that a request found kept, outside of the lock.
	onUse func(request, tenant string, used keptPart)

	mu       sync.Mutex
	sequence int
	version  int // of the weights
	busy     bool
	orderSeq int // orders taken
	orders   []order
	parts    []keptPart // in order of their making
	events   []json.RawMessage
	server   *http.Server
}

// start makes the worker listen and send heartbeats.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	go w.sendHeartbeats()
	return nil
}

func (w *worker) sendHeartbeats() {
	client := &http.Client{Timeout: callTimeout}
	for target := 0; ; {
		w.mu.Lock()
		w.sequence++
		body, _ := json.Marshal(map[string]any{ // cannot fail for these types
			"service": engineService, "address": w.address, "zone": w.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0,
			"stage": "unified", "models": w.models(), "seq_no": w.sequence,
		})
		w.mu.Unlock()
		request, err := http.NewRequest(http.MethodPut, "http://"+w.control[target%len(w.control)]+"/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			target++
			time.Sleep(retryPause)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// models returns the loaded models. The caller holds mu.
func (w *worker) models() []map[string]any {
	return []map[string]any{{"name": model, "version": w.version, "adapters": []string{}}}
}

// ServeHTTP handles the calls of the system.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.refuse(out, in, http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		writeJSON(out, http.StatusOK, map[string]any{
			"stage": "unified", "models": w.models(), "busy_slots": w.busy, "seq_no": w.orderSeq, "waiting": 0, "running": 0, "kv_used": 0,
			"kv_total": engineTokens, "handles": 0, "pinned": 0, "held": 0,
		})
	case "/health":
		out.Header().Set("X-Instance-Id", w.id)
	case "/order":
		w.handleOrder(out, in)
	case "/kv-events":
		w.handleEvents(out, in)
	case "/kv-list":
		w.handleList(out)
	default:
		w.handleRequest(out, in)
	}
}

func writeJSON(out http.ResponseWriter, status int, value any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(value) // the caller may have gone
}

// refuse answers a request that is not run.
func (w *worker) refuse(out http.ResponseWriter, in *http.Request, status int) {
	out.Header().Set("X-Request-Id", in.Header.Get("X-Request-Id"))
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(status)
}

// handleOrder takes an order to load a version, which takes loadTime. Later orders meanwhile get 409.
func (w *worker) handleOrder(out http.ResponseWriter, in *http.Request) {
	var taken order
	if err := json.NewDecoder(in.Body).Decode(&taken); err != nil || taken.Holder == "" || taken.Fence == 0 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	taken.at = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, taken)
	status := http.StatusAccepted
	switch {
	case w.busy || taken.Expected != nil && *taken.Expected != w.orderSeq:
		status = http.StatusConflict
	case taken.Version == w.version:
		status = http.StatusOK
	default:
		w.busy, w.orderSeq = true, w.orderSeq+1
		time.AfterFunc(loadTime, func() { w.load(taken.Version) })
	}
	w.record.note("order arrives at %s: version %d, holder %s, fencing token %d; answered with %d", w.id, taken.Version, taken.Holder, taken.Fence, status)
	out.WriteHeader(status)
}

// load puts a version in place and drops what was kept.
func (w *worker) load(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, part := range w.parts {
		w.addEvent("-", part, 0)
	}
	w.version, w.busy, w.parts = version, false, nil
}

// addEvent adds a cache event. The caller holds mu.
func (w *worker) addEvent(kind string, part keptPart, tokens int) {
	event, _ := json.Marshal([]any{len(w.events) + 1, kind, part.salt, part.id, tokens, model}) // cannot fail for these types
	w.events = append(w.events, event)
}

// handleEvents answers a read of the cache events, and holds it until there are some.
func (w *worker) handleEvents(out http.ResponseWriter, in *http.Request) {
	since, _ := strconv.Atoi(in.URL.Query().Get("since")) // 0 if missing
	waitMS, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))   // 0 if missing
	deadline := time.Now().Add(min(maxEventsWait, time.Duration(waitMS)*time.Millisecond))
	for {
		w.mu.Lock()
		next, found := len(w.events)+1, []json.RawMessage{}
		if since >= 1 && since <= len(w.events) {
			found = append(found, w.events[since-1:]...)
		}
		w.mu.Unlock()
		if len(found) > 0 || time.Now().After(deadline) {
			writeJSON(out, http.StatusOK, map[string]any{"boot_epoch": 77120, "next_token": next, "lost": false, "events": found})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *worker) handleList(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := [][]any{}
	for _, part := range w.parts {
		held = append(held, []any{part.salt, part.id, part.tokens, model})
	}
	writeJSON(out, http.StatusOK, map[string]any{"boot_epoch": 77120, "next_token": len(w.events) + 1, "held": held})
}

// handleRequest runs a request as a stream of events.
func (w *worker) handleRequest(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, in.Body)
	id, name := in.Header.Get("X-Request-Id"), in.Header.Get("X-Tenant")
	w.mu.Lock()
	version := w.version
	expected := in.Header.Get("X-Expect-Version")
	if expected != "" && expected != strconv.Itoa(version) {
		w.mu.Unlock()
		w.refuse(out, in, http.StatusMisdirectedRequest)
		return
	}
	if w.busy {
		w.mu.Unlock()
		w.refuse(out, in, http.StatusServiceUnavailable)
		return
	}
	salt := in.Header.Get("X-Cache-Salt")
	used := w.readPrompt(id, name, salt, in.Header.Get("X-Prompt-Prefix"))
	w.mu.Unlock()
	w.record.note("%s runs request %s of tenant %s with salt %q on version %d; %d parts found kept", w.id, id, name, salt, version, len(used))
	for _, part := range used {
		w.onUse(id, name, part)
	}
	header := out.Header()
	header.Set("X-Request-Id", id)
	header.Set("X-Response-Stamp", "stamp."+w.id+"."+id)
	header.Set("X-Weight-Versions", strconv.Itoa(version))
	header.Set("Content-Type", "text/event-stream")
	for event := 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", 4*event, id, event); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
		time.Sleep(eventInterval)
	}
}

// readPrompt returns the leading parts of a prompt that were kept under the salt, and keeps the others. The caller holds mu.
func (w *worker) readPrompt(request, tenantName, salt, prompt string) []keptPart {
	var used []keptPart
	allFound := true
	for _, field := range strings.Split(prompt, ",") {
		id, count, _ := strings.Cut(field, ":")
		tokens, _ := strconv.Atoi(count) // clients send valid ones
		kept, found := w.find(salt, id)
		if allFound = allFound && found; allFound {
			used = append(used, kept)
			continue
		}
		if !found {
			part := keptPart{salt: salt, id: id, tokens: tokens, maker: tenantName, request: request, version: w.version}
			w.parts = append(w.parts, part)
			w.addEvent("+", part, tokens)
		}
	}
	return used
}

// find returns a kept part. The caller holds mu.
func (w *worker) find(salt, id string) (keptPart, bool) {
	for _, part := range w.parts {
		if part.salt == salt && part.id == id {
			return part, true
		}
	}
	return keptPart{}, false
}

// takenOrders returns the orders that have arrived.
func (w *worker) takenOrders() []order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]order{}, w.orders...)
}

// loadedVersion returns the version of the weights in place.
func (w *worker) loadedVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

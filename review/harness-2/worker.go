package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	service           = "donor-api"
	engineService     = "llm-pool"
	model             = "daka510000"
)

// worker is a stand-in of one of the platform's workers. It follows PROTOCOL: it registers, checks X-Expect-Instance,
// and signs its answers.
type worker struct {
	cluster *cluster
	id      string
	born    int64 // Unix ms of its start; 0 if it reports none
	service string
	address string
	handle  func(w http.ResponseWriter, r *http.Request) // runs a request
	server  *http.Server

	mu       sync.Mutex
	sequence int
	arrivals []arrival
}

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Duration
}

// startWorker starts a worker, which does not register yet.
func startWorker(c *cluster, number int, id, service string, handle func(w http.ResponseWriter, r *http.Request)) (*worker, error) {
	w := &worker{cluster: c, id: id, service: service, address: fmt.Sprintf("%s:%d", workerIP(c.network, number), workerPort), handle: handle}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/health":
		out.Header().Set("X-Instance-Id", w.id)
		return
	case "/report":
		writeJSON(out, fmt.Sprintf(`{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy_slots":false,"seq_no":0,"waiting":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0%s}`, model, w.bornField()))
		return
	case "/kv-events":
		time.Sleep(200 * time.Millisecond)
		writeJSON(out, `{"boot_epoch":1,"next_token":1,"lost":false,"events":[]`+w.bornField()+`}`)
		return
	case "/kv-list":
		writeJSON(out, `{"boot_epoch":1,"next_token":1,"held":[]`+w.bornField()+`}`)
		return
	}
	id := in.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.cluster.record.add("worker %s turns away %s with 421: it is for %s", w.id, id, expected)
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{id, w.cluster.record.now()})
	w.mu.Unlock()
	out.Header().Set("X-Response-Stamp", "stamp."+w.id)
	w.handle(out, in)
}

func (w *worker) bornField() string {
	if w.born == 0 {
		return ""
	}
	return fmt.Sprintf(`,"born":%d`, w.born)
}

func writeJSON(out http.ResponseWriter, text string) {
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write([]byte(text)) // the caller may have left
}

// beat returns the body of the worker's next heartbeat.
func (w *worker) beat(state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": "lima-a", "version": "v1", "slots": 32, "state": state, "cold_left_ms": 0,
		"stage": "unified", "seq_no": w.sequence,
	}
	if w.service == engineService {
		body["models"] = []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	}
	if w.born > 0 {
		body["born"] = w.born
	}
	return body
}

// send sends a call about the worker until it is acknowledged with a 2xx.
func (w *worker) send(method string, body any) error { return w.sendTo(0, method, body) }

// sendTo is like send, and calls the given control process first.
func (w *worker) sendTo(first int, method string, body any) error {
	for number := first; number < first+20; number++ {
		status, _, err := w.cluster.call(number, method, "/instances/"+w.id, body)
		if err == nil && status/100 == 2 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s %s is not acknowledged", method, w.id)
}

// register registers the worker and sends heartbeats until ctx ends.
func (w *worker) register(ctx context.Context) error {
	if err := w.send(http.MethodPut, w.beat("ready")); err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
				_ = w.send(http.MethodPut, w.beat("ready"))
			}
		}
	}()
	return nil
}

func (w *worker) arrivalsOf(prefix string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []arrival
	for _, a := range w.arrivals {
		if strings.HasPrefix(a.id, prefix) {
			found = append(found, a)
		}
	}
	return found
}

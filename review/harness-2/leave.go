package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	drainPeriod  = 2500 * time.Millisecond // drain_ms
	lateBy       = 1500 * time.Millisecond
	servesOn     = 6 * time.Second // from the acknowledgement that the worker leaves to its end
	afterEnd     = time.Second
	requestPause = 50 * time.Millisecond
	staying      = 7 // workers beside the one that leaves: one of eight is within scale_in's share of 0.13
	workTime     = 250 * time.Millisecond
	clients      = 18
	maxRequests  = 300 // of a client
)

// playLeave lets a worker leave soon after its start, while one of its heartbeats is late. A request that reaches it
// later than drain_ms after the acknowledgement that it leaves breaks DRAIN.
func playLeave(r *record, trouble bool) (bool, error) {
	return withCluster(r, func(c *cluster) (bool, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		answer := func(out http.ResponseWriter, in *http.Request) {
			time.Sleep(workTime)
			_, _ = io.WriteString(out, "receipt of "+in.Header.Get("X-Request-Id"))
		}
		var stay []*worker
		for i := range staying {
			w, err := startWorker(c, i, fmt.Sprintf("i-bbbc44f%d", i), service, answer)
			if err != nil {
				return false, err
			}
			stay = append(stay, w)
		}
		leaves, err := startWorker(c, staying, "i-5733c9a2", service, answer)
		if err != nil {
			return false, err
		}
		routes := []map[string]any{route("receipt-get", statusPath, "non_idempotent", service, 1, 300)}
		if err := c.put(configuration(1, routes, []map[string]any{plainService()}, []map[string]any{tenant("sese880", clientKey, false)})); err != nil {
			return false, err
		}
		for _, w := range stay {
			w.born = time.Now().UnixMilli()
			if err := w.register(ctx); err != nil {
				return false, err
			}
		}
		if err := c.awaitReady(); err != nil {
			return false, err
		}
		for i, g := range c.gateways {
			if err := awaitServed(r, g.front(), http.MethodPost, statusPath+"2f", fmt.Sprintf("warm-%d", i), keyHeader(clientKey)); err != nil {
				return false, err
			}
		}
		time.Sleep(contactPeriod + time.Second)
		leaves.born = time.Now().UnixMilli()
		if err := leaves.send(http.MethodPut, leaves.beat("ready")); err != nil {
			return false, err
		}
		r.add("worker %s: registered, acknowledged", leaves.id)
		stopTraffic := startTraffic(r, c)
		defer stopTraffic()
		time.Sleep(heartbeatInterval)
		late := leaves.beat("ready")
		r.add("worker %s: sends its next heartbeat, seq_no %v", leaves.id, late["seq_no"])
		if !trouble {
			if err := leaves.sendTo(1, http.MethodPut, late); err != nil {
				return false, err
			}
		}
		time.Sleep(400 * time.Millisecond)
		if err := leaves.send(http.MethodDelete, nil); err != nil {
			return false, err
		}
		left := r.now()
		r.add("worker %s: says that it leaves (DELETE), acknowledged", leaves.id)
		if trouble {
			time.Sleep(lateBy - 400*time.Millisecond)
			if err := leaves.sendTo(1, http.MethodPut, late); err != nil {
				return false, err
			}
			r.add("worker %s: its heartbeat of seq_no %v arrives %v late, acknowledged", leaves.id, late["seq_no"], lateBy)
		}
		time.Sleep(servesOn - (r.now() - left))
		r.add("worker %s: ends, as it said", leaves.id)
		_ = leaves.server.Close()
		time.Sleep(afterEnd)
		stopTraffic()
		count := 0
		for _, a := range leaves.arrivalsOf("r-") {
			if a.at > left+drainPeriod {
				if count++; count <= 5 {
					r.add("worker %s got %s at %.3f s, %.3f s after the acknowledgement", leaves.id, a.id, a.at.Seconds(), (a.at - left).Seconds())
				}
			}
		}
		r.add("worker %s got %d requests, %d of them later than drain_ms after the acknowledgement", leaves.id, len(leaves.arrivalsOf("r-")), count)
		return count > 0, nil
	})
}

// startTraffic sends requests to all gateways, of several clients at once, until the returned function is called.
func startTraffic(r *record, c *cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for client := range clients {
		all.Go(func() {
			for number := 0; ctx.Err() == nil && number < maxRequests; number++ {
				id := fmt.Sprintf("r-%d-%d", client, number)
				status, _, _ := exchange(c.gateways[(client+number)%len(c.gateways)].front(), http.MethodPost, statusPath+"2f", id, 3*time.Second, keyHeader(clientKey))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(requestPause)
			}
		})
	}
	return sync.OnceFunc(func() {
		cancel()
		all.Wait()
		r.add("clients: statuses of all answers: %v", statuses)
	})
}

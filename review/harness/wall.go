package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	configApplyTime = 2 * time.Second // bounds.config_apply_ms
	wallRequests    = 6
)

// send sends a request of a client and returns the status of its answer.
func (c *cluster) send(r *record, gateway int, id, key, prompt string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address(groupGateway, gateway, portFront)+streamPath+"2f", bytes.NewReader([]byte(strings.Repeat("x", 200))))
	if err != nil {
		return 0
	}
	request.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "Api-Key": key, "X-Model": model, "X-Token-Counts": "1460,16", "X-Prompt-Prefix": prompt, "X-Deadline-Ms": "4000",
	} {
		request.Header.Set(name, value)
	}
	r.note("client sends request %s with key %s to gateway-%d", id, key, gateway)
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
	if err != nil {
		r.note("request %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.note("request %s is answered with %d, %d bytes, %v", id, response.StatusCode, len(body), err)
	return response.StatusCode
}

// awaitService sends requests until one is answered with 200.
func (c *cluster) awaitService(r *record, key string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(retryPause) {
		served := true
		for gateway := range gatewayCount {
			served = served && c.send(r, gateway, fmt.Sprintf("start-%d-%d", gateway, time.Now().UnixNano()), key, "ffff01:16") == http.StatusOK
		}
		if served {
			return nil
		}
	}
	return fmt.Errorf("no service")
}

// newWorkers returns engine workers that are not started yet. They listen on addresses of the given group.
func (c *cluster) newWorkers(r *record, count, listenGroup int) []*worker {
	var control []string
	for i := range controlCount {
		control = append(control, c.address(groupControl, i, portControl))
	}
	var workers []*worker
	for i := range count {
		w := &worker{
			id: fmt.Sprintf("i-%06d", i+1), zone: zoneOf(i), address: c.address(groupWorker, i, portWorker), listen: c.address(listenGroup, i, portWorker),
			control: control, record: r, version: 1, onUse: func(string, string, keptPart) {},
		}
		workers = append(workers, w)
	}
	return workers
}

// playWall lets a tenant fill the cache, makes it no_sharing by a change of the configuration, and then lets another
// tenant send requests with the same leading parts.
func playWall(c *cluster, r *record, trouble bool) error {
	workers := c.newWorkers(r, 2, groupWorker)
	var mu sync.Mutex
	var walledSince time.Time // when the wall has been acknowledged for configApplyTime; guarded by mu
	sentAt := map[string]time.Time{}
	const walled, other = "sese880", "fufu112"
	for _, w := range workers {
		w.onUse = func(request, user string, part keptPart) {
			mu.Lock()
			defer mu.Unlock()
			if part.maker == user || part.maker != walled && user != walled || walledSince.IsZero() || sentAt[request].Before(walledSince) {
				return
			}
			r.breaks("WALL: request %s of tenant %s uses part %s (salt %q), which request %s of tenant %s made; %s is no_sharing", request, user, part.id, part.salt, part.request, part.maker, walled)
		}
		if err := w.start(); err != nil {
			return err
		}
	}
	tenants := func(noSharing bool) []tenant {
		return []tenant{
			{Name: walled, Keys: []string{"ctnfzs989anu6wsjnban"}, Priority: 1, NoSharing: noSharing},
			{Name: other, Keys: []string{"pqi3ax7cm2n8t5gk4v9d"}, Priority: 1},
		}
	}
	o := newOperator(c, r)
	ackedAt, err := o.putConfiguration(3, tenants(!trouble))
	if err != nil {
		return err
	}
	if err := c.awaitService(r, "pqi3ax7cm2n8t5gk4v9d"); err != nil {
		return err
	}
	for i := range wallRequests {
		id := fmt.Sprintf("walled-%d", i)
		if status := c.send(r, i%gatewayCount, id, "ctnfzs989anu6wsjnban", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e4%04x:250", i)); status != http.StatusOK {
			return fmt.Errorf("request %s was answered with %d", id, status)
		}
	}
	if trouble {
		if ackedAt, err = o.putConfiguration(7, tenants(true)); err != nil {
			return err
		}
	}
	mu.Lock()
	walledSince = ackedAt.Add(configApplyTime)
	mu.Unlock()
	time.Sleep(time.Until(walledSince) + 2*time.Second)
	for i := range wallRequests {
		id := fmt.Sprintf("other-%d", i)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		if status := c.send(r, i%gatewayCount, id, "pqi3ax7cm2n8t5gk4v9d", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,d7%04x:250", i)); status != http.StatusOK {
			return fmt.Errorf("request %s was answered with %d", id, status)
		}
	}
	return nil
}

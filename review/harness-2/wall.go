package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	draftPath    = "/fiti832/"
	firstTenant  = "sese880"
	secondTenant = "jeye930"
	secondKey    = "irth5mgjy5rcpihhacru"
	sharedParts  = "5c1e07a2:800,91bd3f06:410"
	lateParts    = "77aa01c3:800,0be2d914:410"
	applyPeriod  = 2 * time.Second // config_apply_ms
	uploadBytes  = 1000
	// uploadDeadline is the largest of the streaming routes of ayni-lima.
	uploadDeadline = 12 * time.Second
)

// playWall changes a tenant to no_sharing after one of its requests has made KV cache. A later request of another tenant
// that uses this cache breaks WALL.
func playWall(r *record, trouble bool) (bool, error) {
	return withCluster(r, func(c *cluster) (bool, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cache := &kvCache{record: r, makers: map[string]string{}}
		w, err := startWorker(c, 0, "i-7f3a91c2", engineService, cache.handle)
		if err != nil {
			return false, err
		}
		routes := []map[string]any{route("thanks-draft", draftPath, "streaming", engineService, 1, 500)}
		engines := map[string]any{
			"name": engineService, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 99487, "kv_token_bytes": 18432, "link_mbps": 550000.0, "max_in_flight": 12, "models": []map[string]any{{"name": model}}},
		}
		config := func(version int, wall bool) map[string]any {
			tenants := []map[string]any{tenant(firstTenant, clientKey, wall), tenant(secondTenant, secondKey, false)}
			return configuration(version, routes, []map[string]any{engines}, tenants)
		}
		if err := c.put(config(1, false)); err != nil {
			return false, err
		}
		if err := w.register(ctx); err != nil {
			return false, err
		}
		if err := c.awaitReady(); err != nil {
			return false, err
		}
		for i, g := range c.gateways {
			if err := awaitServed(r, g.front(), http.MethodPost, draftPath+"2f", fmt.Sprintf("first-%d", i), draftHeaders(clientKey, sharedParts, fmt.Sprintf("e4402b7%d", i))...); err != nil {
				return false, err
			}
		}
		finish, err := startUpload(r, c.gateways[0].front(), "upload", draftHeaders(clientKey, lateParts, "c4402b70")...)
		if err != nil {
			return false, err
		}
		if err := c.put(config(2, trouble)); err != nil {
			return false, err
		}
		cache.setWall(firstTenant, trouble)
		r.add("operator: tenant %s has no_sharing = %v; wait for config_apply_ms and a second more", firstTenant, trouble)
		time.Sleep(applyPeriod + time.Second)
		if err := finish(); err != nil {
			return false, err
		}
		for round, parts := range []string{sharedParts, lateParts} {
			before := cache.breaks()
			for i, g := range c.gateways {
				id := fmt.Sprintf("second-%d-%d", round, i)
				if err := awaitServed(r, g.front(), http.MethodPost, draftPath+"2f", id, draftHeaders(secondKey, parts, fmt.Sprintf("a4402b%d%d", round, i))...); err != nil {
					return false, err
				}
			}
			r.add("%s: %d uses of parts that break the rule", []string{"made before the change", "made after the change"}[round], cache.breaks()-before)
		}
		return cache.breaks() > 0, nil
	})
}

// draftHeaders returns the header lines of a request with shared parts and one of its own.
func draftHeaders(key, shared, own string) []string {
	return []string{keyHeader(key), "X-Model: " + model, "X-Token-Counts: 1460,20", "X-Prompt-Prefix: " + shared + "," + own + ":250"}
}

// startUpload sends a request with the first half of its body. The returned function sends the rest and reads the answer.
func startUpload(r *record, address, id string, headers ...string) (finish func() error, err error) {
	c, err := dial(address, 0)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(uploadDeadline))
	half := strings.Repeat("x", uploadBytes/2)
	lines := append([]string{
		"POST " + draftPath + "2f HTTP/1.1", "Host: " + host, "X-Request-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", uploadDeadline.Milliseconds()),
		fmt.Sprintf("Content-Length: %d", uploadBytes),
	}, headers...)
	if _, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"+half); err != nil {
		return nil, err
	}
	r.add("client: %s sends its head and half of its body", id)
	return func() error {
		defer c.Close()
		if _, err := io.WriteString(c, half); err != nil {
			return err
		}
		r.add("client: %s sends the rest of its body", id)
		response, err := c.readHead(http.MethodPost)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		r.add("client: %s gets %d", id, response.StatusCode)
		return err
	}, nil
}

// kvCache is a worker's memory of prompts: a part is found again under the same salt, if all parts before it are.
type kvCache struct {
	record *record

	mu     sync.Mutex
	makers map[string]string // tenant whose request made a part, by salt and the parts up to it
	wall   string            // tenant with no_sharing, or ""
	broken int
}

func (k *kvCache) setWall(name string, wall bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if wall {
		k.wall = name
	}
}

func (k *kvCache) breaks() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.broken
}

// handle runs a request: it looks the parts of the prompt up, keeps them and streams two events.
func (k *kvCache) handle(out http.ResponseWriter, in *http.Request) {
	id, salt, name := in.Header.Get("X-Request-Id"), in.Header.Get("X-Cache-Salt"), in.Header.Get("X-Tenant")
	k.record.add("worker: runs %s of tenant %s, salt %q, parts %s", id, name, salt, in.Header.Get("X-Prompt-Prefix"))
	k.use(id, salt, name, strings.Split(in.Header.Get("X-Prompt-Prefix"), ","))
	out.Header().Set("X-Weight-Versions", "1")
	out.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= 2; number++ {
		_, _ = io.WriteString(out, fmt.Sprintf("id: %d\ndata: %s\n\n", number, id))
		_ = http.NewResponseController(out).Flush()
	}
}

func (k *kvCache) use(id, salt, name string, parts []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := true
	for i := range parts {
		key := salt + " " + strings.Join(parts[:i+1], ",")
		maker, kept := k.makers[key]
		if found = found && kept; !found {
			k.makers[key] = name
			continue
		}
		k.record.add("worker: %s of tenant %s uses part %s, which a request of tenant %s made", id, name, parts[i], maker)
		if maker != name && (maker == k.wall || name == k.wall) {
			k.record.add("worker: tenant %s is no_sharing", k.wall)
			k.broken++
		}
	}
}

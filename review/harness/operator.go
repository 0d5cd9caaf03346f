package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host          = "desk.example"
	engineService = "llm-pool"
	streamPath    = "/check/"
	model         = "m0"
	callTimeout   = time.Second
	retryPause    = 200 * time.Millisecond
)

// tenant is a tenant of a configuration.
type tenant struct {
	Name      string   `json:"name"`
	Keys      []string `json:"api_keys"`
	Priority  int      `json:"priority"`
	NoSharing bool     `json:"no_sharing"`
}

// operator sends orders to the control addresses, one after the other until one gives a clear answer.
type operator struct {
	addresses []string
	record    *record
	client    *http.Client
}

func newOperator(c *cluster, r *record) *operator {
	o := &operator{record: r, client: &http.Client{Timeout: callTimeout}}
	for i := range controlCount {
		o.addresses = append(o.addresses, c.address(groupControl, i, portControl))
	}
	return o
}

// configuration returns a configuration with one service of engines and one streaming route.
func configuration(version int, tenants []tenant) []byte {
	body, _ := json.Marshal(map[string]any{ // cannot fail for these types
		"version": version,
		"routes": []map[string]any{{
			"name": "r-check", "host": host, "path_prefix": streamPath, "kind": "streaming", "timeout_ms": 4000, "target_ms": 600, "priority": 0,
			"service": engineService, "max_attempts": 2, "anonymous": false, "sticky": true, "can_resume": true, "gap_aim_ms": 500,
		}},
		"services": []map[string]any{{
			"name": engineService, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kv_capacity_tokens": engineTokens, "kv_token_bytes": 18432, "link_mbps": 550000.0, "backups": true, "stride": 4,
				"max_in_flight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	return body
}

// putConfiguration sends a configuration until it is acknowledged, and returns when that was.
func (o *operator) putConfiguration(version int, tenants []tenant) (time.Time, error) {
	return o.send(http.MethodPut, "/configuration", configuration(version, tenants), fmt.Sprintf("configuration %d", version))
}

// putVersion names a version of the weights.
func (o *operator) putVersion(version int) (time.Time, error) {
	body, _ := json.Marshal(map[string]any{"model": model, "version": version}) // cannot fail for these types
	return o.send(http.MethodPost, "/version-put", body, fmt.Sprintf("weights version %d", version))
}

func (o *operator) send(method, path string, body []byte, what string) (time.Time, error) {
	deadline := time.Now().Add(startTimeout)
	o.record.note("operator sends %s", what)
	for i := 0; time.Now().Before(deadline); i++ {
		address := o.addresses[i%len(o.addresses)]
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return time.Time{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		if response, err := o.client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				o.record.note("%s acknowledged by %s", what, address)
				return time.Now(), nil
			}
		}
		time.Sleep(retryPause)
	}
	return time.Time{}, fmt.Errorf("%s was not acknowledged", what)
}

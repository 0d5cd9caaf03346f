package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	revokePeriod = 5 * time.Second // revoke_ms
	strangeKey   = "fqasnmgkcuyj8pjbvk9m"
)

// playKeys takes away the only tenant and its key. A request with this key that runs later than revoke_ms after the
// acknowledgement breaks CONFIG, and one with a key that no configuration ever held breaks ROUTE.
func playKeys(r *record, trouble bool) (bool, error) {
	return withCluster(r, func(c *cluster) (bool, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w, err := startWorker(c, 0, "i-7f3a91c2", service, func(out http.ResponseWriter, in *http.Request) {
			r.add("worker: runs %s, X-Tenant %q", in.Header.Get("X-Request-Id"), in.Header.Get("X-Tenant"))
			_, _ = io.WriteString(out, "receipt of "+in.Header.Get("X-Request-Id"))
		})
		if err != nil {
			return false, err
		}
		routes := []map[string]any{route("receipt-get", receiptPath, "non_idempotent", service, 1, 300)}
		if err := c.put(configuration(1, routes, []map[string]any{plainService()}, []map[string]any{tenant("sese880", clientKey, false)})); err != nil {
			return false, err
		}
		if err := w.register(ctx); err != nil {
			return false, err
		}
		if err := c.awaitReady(); err != nil {
			return false, err
		}
		for i, g := range c.gateways {
			if err := awaitServed(r, g.front(), http.MethodPost, receiptPath+"2f", fmt.Sprintf("before-%d", i), keyHeader(clientKey)); err != nil {
				return false, err
			}
			status, _, err := exchange(g.front(), http.MethodPost, receiptPath+"2f", fmt.Sprintf("strange-before-%d", i), 3*time.Second, keyHeader(strangeKey))
			r.add("client: strange-before-%d with a key that was never held gets %d (%v)", i, status, err)
		}
		left := []map[string]any{}
		if !trouble { // the tenant loses its key, but stays
			kept := tenant("sese880", "", false)
			kept["api_keys"] = []string{}
			left = append(left, kept)
		}
		if err := c.put(configuration(2, routes, []map[string]any{plainService()}, left)); err != nil {
			return false, err
		}
		r.add("operator: version 2 takes the key away, with tenants = %v; wait for revoke_ms and a second more", left)
		time.Sleep(revokePeriod + time.Second)
		for i, g := range c.gateways {
			for name, key := range map[string]string{"revoked": clientKey, "strange": strangeKey} {
				id := fmt.Sprintf("%s-%d", name, i)
				status, body, err := exchange(g.front(), http.MethodPost, receiptPath+"2f", id, 3*time.Second, keyHeader(key))
				r.add("client: %s gets %d %q (%v)", id, status, body, err)
			}
		}
		revoked, strange := len(w.arrivalsOf("revoked-")), len(w.arrivalsOf("strange-"))
		r.add("requests that ran with the key that was taken away: %d; with a key that was never held: %d", revoked, strange)
		return revoked+strange > 0, nil
	})
}

package node

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"kitetiller/internal/listen"
)

const metricsHeaderTimeout = 5 * time.Second

// ServeMetrics serves the metrics of a registry by HTTP at the given address and path until stop is called. It waits for an
// address that is in use until ctx is done.
func ServeMetrics(ctx context.Context, address, path string, registry *prometheus.Registry) (stop func(), err error) {
	listener, err := listen.TCP(ctx, address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

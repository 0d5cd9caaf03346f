package node

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
)

const metricsHeaderTimeout = 5 * time.Second

// ServeMetrics serves the metrics of a registry by HTTP at the given address and path until stop is called.
func ServeMetrics(address, path string, registry *prometheus.Registry) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

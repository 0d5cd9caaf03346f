package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = time.Second
)

// serve runs an HTTP server until ctx is done, then shuts it down.
func serve(ctx context.Context, address string, handler http.Handler, log *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	log.Info("stand-in started", zap.String("listen", address))
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return eris.Wrap(server.Close(), "close")
	}
	return nil
}

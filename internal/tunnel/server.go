package tunnel

import (
	"bufio"
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"kitetiller/internal/transport"
)

const (
	// maxCarried bounds the tunnels that a process carries for others. Each takes two connections and two buffers.
	maxCarried = 256
	bufferSize = 8 << 10
	// dialTimeout bounds the time to connect to a back end for a peer.
	dialTimeout = 250 * time.Millisecond
	// maxAlternatives bounds the peers that a refusal names.
	maxAlternatives = 4
	// proofAge is how long ago that may have been sent at most by whose answer a process proves that it has paths, to open a tunnel.
	proofAge = 500 * time.Millisecond
	// drainInterval is how often a stopping process checks whether the tunnels that it carries have ended.
	drainInterval = 50 * time.Millisecond
)

// ServerConfig connects a Server to its process.
type ServerConfig struct {
	Token string // of requests from peers; "" accepts all
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	// IsBackend reports whether an address is that of a known back end. Tunnels to others are not opened.
	IsBackend func(address string) bool
	// Refusal returns why this process doesn't open a tunnel to an address to a process whose own path is known to be lost or may only
	// be slow, or "".
	Refusal func(address string, isLost bool) Outcome
	// Proof reports whether back ends answer this process what was sent within a time: Proven, Unproven or Disconnected.
	Proof func(ctx context.Context, within time.Duration) Outcome
	// Alternatives returns up to a number of peers that have paths, for processes that are refused because this one has none.
	Alternatives func(most int) []string
	IsStopping   func() bool
	// Observe is called with the outcome of each request.
	Observe func(Outcome)
}

// Server opens tunnels for peers. It is an http.Handler and safe for concurrent use.
type Server struct {
	config  ServerConfig
	carried atomic.Int64
}

// NewServer returns a server that carries no tunnels.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// Carried returns the number of open tunnels.
func (s *Server) Carried() int { return int(s.carried.Load()) }

// Wait waits until no tunnels are open, or until ctx is done.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.Carried() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// ServeHTTP opens a tunnel and carries it until either end closes it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case !s.isAuthorized(r), r.URL.Path != Path && r.URL.Path != PathProof:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.URL.Path == PathProof:
		s.serveProof(w, r)
		return
	}
	defer s.carried.Add(-1)
	query := r.URL.Query()
	asked := openRequest{address: query.Get(queryAddress), isLost: query.Get(queryLost) != "", needsProof: query.Get(queryProof) != ""}
	backend, outcome := s.connect(r.Context(), asked, s.carried.Add(1))
	s.config.Observe(outcome)
	s.writeOutcome(w, outcome)
	if outcome != Opened {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer backend.Close()
	w.Header().Set("Connection", "Upgrade")
	w.Header().Set("Upgrade", protocol)
	w.WriteHeader(http.StatusSwitchingProtocols)
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the peer has disconnected
	}
	defer peer.Close()
	carry(peer, buffered.Reader, backend)
}

// writeOutcome writes the headers that state an outcome.
func (s *Server) writeOutcome(w http.ResponseWriter, outcome Outcome) {
	w.Header().Set(outcomeHeader, string(outcome))
	if outcome == Disconnected {
		w.Header().Set(alternativesHeader, strings.Join(s.config.Alternatives(maxAlternatives), ","))
	}
}

// serveProof answers whether back ends answer this process.
func (s *Server) serveProof(w http.ResponseWriter, r *http.Request) {
	milliseconds, err := strconv.ParseInt(r.URL.Query().Get(queryWithin), 10, 32)
	if err != nil || milliseconds < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.writeOutcome(w, s.config.Proof(r.Context(), time.Duration(milliseconds)*time.Millisecond))
	w.WriteHeader(http.StatusNoContent)
}

// isAuthorized reports whether a request carries the token, if one is configured.
func (s *Server) isAuthorized(r *http.Request) bool {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return s.config.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.config.Token)) == 1
}

// connect connects to a back end for a peer.
func (s *Server) connect(ctx context.Context, asked openRequest, carried int64) (net.Conn, Outcome) {
	switch {
	case s.config.IsStopping():
		return nil, Stopping
	case carried > maxCarried:
		return nil, Full
	case !s.config.IsBackend(asked.address):
		return nil, Unknown
	}
	if refusal := s.config.Refusal(asked.address, asked.isLost); refusal != "" {
		return nil, refusal
	}
	if asked.needsProof {
		if outcome := s.config.Proof(ctx, proofAge); outcome != Proven {
			return nil, outcome
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.config.Dial(dialCtx, asked.address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Refused
	case err != nil:
		return nil, Unreachable
	}
	return conn, Opened
}

// carry copies bytes in both directions until either end closes its connection.
func carry(peer net.Conn, fromPeer io.Reader, backend net.Conn) {
	go func() {
		_, _ = io.CopyBuffer(plainWriter{backend}, plainReader{fromPeer}, make([]byte, bufferSize))
		_ = backend.Close() // the peer's request is over or was abandoned
	}()
	buffered := bufio.NewWriterSize(peer, bufferSize+maxChunkOverhead)
	chunks := flushingWriter{httputil.NewChunkedWriter(buffered), buffered}
	if _, err := io.CopyBuffer(plainWriter{chunks}, plainReader{backend}, make([]byte, bufferSize)); err == nil && transport.EndedInOrder(backend) {
		_ = chunks.chunks.Close()
		_, _ = buffered.WriteString("\r\n") // ends the empty trailer section
		_ = buffered.Flush()
	}
}

// maxChunkOverhead is how many bytes a chunk takes besides its content.
const maxChunkOverhead = 16

// flushingWriter sends each chunk at once, and in one piece.
type flushingWriter struct {
	chunks   io.WriteCloser
	buffered *bufio.Writer
}

// Write sends p as a chunk.
func (w flushingWriter) Write(p []byte) (int, error) {
	count, err := w.chunks.Write(p)
	if err == nil {
		err = w.buffered.Flush()
	}
	return count, err
}

// plainReader and plainWriter hide methods with which io.CopyBuffer would not use the given buffer.
type (
	plainReader struct{ io.Reader }
	plainWriter struct{ io.Writer }
)

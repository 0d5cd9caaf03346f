// Package transport carries the system's own HTTP/1.1 with JSON between its processes: a gnet listener whose
// framing is net/http's, a net/http client, and a link filter with which tests cut zones apart.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/payload"
)

const (
	// maxMessageBytes bounds one request; a snapshot of the control state must fit.
	maxMessageBytes = 256 << 20
	maxHeaderBytes  = 64 << 10
	eventLoops      = 2
	bearerPrefix    = "Bearer "
)

// Request is one internal request.
type Request struct {
	Path string
	Body []byte
}

// Respond sends the answer to a request, once, from any goroutine.
type Respond func(status int, body any)

// Handler takes a request. It must not block: it runs on the event loop.
type Handler func(request Request, respond Respond)

// Server is the internal listener.
type Server struct {
	gnet.BuiltinEventEngine
	engine      gnet.Engine
	started     chan struct{}
	token       string
	handler     Handler
	log         *zap.Logger
	unreadBytes atomic.Int64 // bytes of answers that peers have not read yet
	maxUnread   int64        // that owed may reach by long answers
}

// connection is the state of one accepted connection. It is touched only on its event loop.
type connection struct {
	busy        bool // a request is being answered; the next one waits in the buffer
	minBuffered int  // bytes that must be buffered before parsing again
	unread      int  // bytes of the newest answer, until the peer has asked again: only then has it read them
}

// defaultMaxUnread bounds the bytes of answers that peers have not read yet, over all connections. A process that is asked for more by peers
// behind slow links turns them away, so that its memory does not end; 48 MB is less than a tenth of a control machine's.
const defaultMaxUnread = 48 << 20

// Listen serves on address until Close. Callers must send the cluster token.
func Listen(address, token string, handler Handler, log *zap.Logger) (*Server, error) {
	server := &Server{started: make(chan struct{}), token: token, handler: handler, log: log, maxUnread: defaultMaxUnread}
	runErr := make(chan error, 1)
	go func() {
		runErr <- gnet.Run(server, "tcp://"+address, gnet.WithNumEventLoop(eventLoops), gnet.WithReuseAddr(true),
			gnet.WithLogger(log.Sugar()))
	}()
	select {
	case <-server.started:
		return server, nil
	case err := <-runErr:
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
}

// Close stops the listener.
func (s *Server) Close(ctx context.Context) error {
	return eris.Wrap(s.engine.Stop(ctx), "stop listener")
}

// OnBoot is called by gnet when the listener is open.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.started)
	return gnet.None
}

// OnOpen is called by gnet for each accepted connection.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	c.SetContext(&connection{})
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes have come in.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	state := c.Context().(*connection)
	if state.busy || c.InboundBuffered() < state.minBuffered {
		return gnet.None
	}
	data, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	request, consumed, err := parseRequest(data)
	switch {
	case err == errIncomplete:
		state.minBuffered = consumed
		return gnet.None
	case err != nil:
		s.log.Warn("malformed internal request", zap.Error(err))
		return gnet.Close
	}
	authorized := s.isAuthorized(request)
	var body []byte
	if authorized { // who doesn't show the token has nothing expanded
		body, err = payload.Decompress(request.Body, request.Header.Get(encodingHeader), maxMessageBytes)
	}
	if err != nil {
		s.log.Warn("malformed internal request", zap.Error(err))
		return gnet.Close
	}
	if _, err := c.Discard(consumed); err != nil {
		return gnet.Close
	}
	state.minBuffered = 0
	state.busy = true
	s.releaseUnread(state)
	s.dispatch(c, request, body, authorized)
	return gnet.None
}

// OnClose is called by gnet when a connection has ended.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if state, ok := c.Context().(*connection); ok {
		s.releaseUnread(state)
	}
	return gnet.None
}

// releaseUnread notes that a peer waits for no answer any more.
func (s *Server) releaseUnread(state *connection) {
	s.unreadBytes.Add(-int64(state.unread))
	state.unread = 0
}

// isAuthorized reports whether a request shows the cluster's token.
func (s *Server) isAuthorized(request *http.Request) bool {
	return s.token == "" || strings.TrimPrefix(request.Header.Get("Authorization"), bearerPrefix) == s.token
}

func (s *Server) dispatch(c gnet.Conn, request *http.Request, body []byte, authorized bool) {
	acceptsGzip := request.Header.Get(acceptHeader) == payload.Gzip
	respond := func(status int, value any) { s.writeResponse(c, status, value, acceptsGzip) }
	if !authorized {
		respond(http.StatusUnauthorized, nil)
		return
	}
	s.handler(Request{Path: request.URL.Path, Body: body}, respond)
}

// writeResponse writes a response and lets the connection's next request be parsed.
func (s *Server) writeResponse(c gnet.Conn, status int, value any, acceptsGzip bool) {
	body, encoding, err := encodeResponse(value, acceptsGzip)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
		s.log.Error("internal answer cannot be encoded", zap.Error(err))
	}
	if len(body) >= payload.MinCompressBytes && s.unreadBytes.Load()+int64(len(body)) > s.maxUnread {
		s.log.Warn("too many answers wait for slow peers, one is turned away", zap.Int64("bytes", s.unreadBytes.Load()))
		status, body, encoding = http.StatusServiceUnavailable, nil, ""
	}
	s.unreadBytes.Add(int64(len(body)))
	wire, err := frameResponse(status, body, encoding)
	if err != nil {
		s.log.Error("internal answer cannot be framed", zap.Error(err))
		return
	}
	onWritten := func(c gnet.Conn, writeErr error) error {
		state, ok := c.Context().(*connection)
		if !ok || writeErr != nil {
			s.unreadBytes.Add(-int64(len(body))) // OnClose has come before
			return nil
		}
		state.busy, state.unread = false, state.unread+len(body)
		if c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	}
	if err := c.AsyncWrite(wire, onWritten); err != nil {
		s.unreadBytes.Add(-int64(len(body)))
		s.log.Debug("internal answer cannot be written", zap.Error(err))
	}
}

// encodeResponse returns an answer as it travels, and its encoding.
func encodeResponse(value any, acceptsGzip bool) (body []byte, encoding string, err error) {
	if composite, isComposite := value.(payload.Composite); isComposite {
		parts, err := composite.Parts()
		if err != nil {
			return nil, "", err
		}
		body, encoding = payload.Assemble(parts, acceptsGzip)
		return body, encoding, nil
	}
	body, err = json.Marshal(value)
	if err == nil && acceptsGzip {
		body, encoding = payload.Compress(body)
	}
	return body, encoding, err
}

// frameResponse returns a response as it travels.
func frameResponse(status int, body []byte, encoding string) ([]byte, error) {
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
		Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(bytes.NewReader(body)),
	}
	if encoding != "" {
		response.Header.Set(encodingHeader, encoding)
	}
	var wire bytes.Buffer
	err := response.Write(&wire)
	return wire.Bytes(), eris.Wrap(err, "frame answer")
}

// errIncomplete says that more bytes are needed.
var errIncomplete = eris.New("incomplete request")

// parseRequest reads one request from the start of data. With errIncomplete it returns how many bytes are needed
// at least.
func parseRequest(data []byte) (*http.Request, int, error) {
	headerEnd := bytes.Index(data, []byte("\r\n\r\n"))
	if headerEnd < 0 {
		if len(data) > maxHeaderBytes {
			return nil, 0, eris.New("header is too long")
		}
		return nil, len(data) + 1, errIncomplete
	}
	reader := bytes.NewReader(data)
	buffered := bufio.NewReader(reader)
	request, err := http.ReadRequest(buffered)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read request")
	}
	if request.ContentLength < 0 || request.ContentLength > maxMessageBytes {
		return nil, 0, eris.Errorf("content length %d is not accepted", request.ContentLength)
	}
	total := headerEnd + len("\r\n\r\n") + int(request.ContentLength)
	if len(data) < total {
		return nil, total, errIncomplete
	}
	return request, total, nil
}

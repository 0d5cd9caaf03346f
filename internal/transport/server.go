// Package transport carries JSON over HTTP/1.1 between the processes of a cluster: a gnet server that parses and frames
// messages with net/http, a net/http client, and a link filter with which tests emulate partitions between zones.
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
	// maxMessageBytes bounds the body of one message; a snapshot of the control state must fit.
	maxMessageBytes = 256 << 20
	maxHeaderBytes  = 64 << 10
	eventLoops      = 2
	bearerPrefix    = "Bearer "
)

// Request is a request from another process of the cluster.
type Request struct {
	Path string
	Body []byte
}

// Respond sends the response to a request. It must be called once, from any goroutine.
type Respond func(status int, body any)

// Handler handles a request. It must not block, since it runs on the event loop.
type Handler func(request Request, respond Respond)

// Server is the HTTP server for requests between processes.
type Server struct {
	gnet.BuiltinEventEngine
	engine      gnet.Engine
	started     chan struct{}
	token       string
	handler     Handler
	log         *zap.Logger
	unreadBytes atomic.Int64 // bytes of responses that peers are not known to have read
	maxUnread   int64        // bound on unreadBytes; long responses that would exceed it are replaced by 503
}

// connection is the state of one accepted connection. It is accessed only on its event loop.
type connection struct {
	busy        bool // a request is being handled; the next one waits in the buffer
	minBuffered int  // bytes that must be buffered before parsing is retried
	unread      int  // bytes of the latest response; the next request or OnClose releases them
}

// defaultMaxUnread bounds the bytes of unread responses over all connections, so that peers behind slow links cannot
// exhaust the memory of the process. It is less than a tenth of the memory of a control machine.
const defaultMaxUnread = 48 << 20

// Listen serves on address until Close. Requests must carry the cluster token, unless token is empty.
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

// OnBoot is called by gnet once the listener is open.
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

// OnTraffic is called by gnet when data has arrived, and by writeResponse when a further request is buffered.
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
	if authorized { // bodies of unauthorized requests are not decompressed
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

// OnClose is called by gnet when a connection has closed.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if state, ok := c.Context().(*connection); ok {
		s.releaseUnread(state)
	}
	return gnet.None
}

// releaseUnread subtracts a connection's latest response from the unread bytes.
func (s *Server) releaseUnread(state *connection) {
	s.unreadBytes.Add(-int64(state.unread))
	state.unread = 0
}

// isAuthorized reports whether a request carries the cluster token.
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

// writeResponse writes a response and allows the connection's next request to be parsed.
func (s *Server) writeResponse(c gnet.Conn, status int, value any, acceptsGzip bool) {
	body, encoding, err := encodeResponse(value, acceptsGzip)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
		s.log.Error("cannot encode internal response", zap.Error(err))
	}
	if len(body) >= payload.MinCompressBytes && s.unreadBytes.Load()+int64(len(body)) > s.maxUnread {
		s.log.Warn("unread responses exceed the limit, answering 503", zap.Int64("bytes", s.unreadBytes.Load()))
		status, body, encoding = http.StatusServiceUnavailable, nil, ""
	}
	s.unreadBytes.Add(int64(len(body)))
	wire, err := frameResponse(status, body, encoding)
	if err != nil {
		s.log.Error("cannot frame internal response", zap.Error(err))
		return
	}
	onWritten := func(c gnet.Conn, writeErr error) error {
		state, ok := c.Context().(*connection)
		if !ok || writeErr != nil {
			s.unreadBytes.Add(-int64(len(body))) // OnClose ran first and did not count this response
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
		s.log.Debug("cannot write internal response", zap.Error(err))
	}
}

// encodeResponse returns the body of a response, compressed if the peer accepts it, and its content encoding.
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

// frameResponse returns a response in HTTP/1.1 form.
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
	return wire.Bytes(), eris.Wrap(err, "frame response")
}

// errIncomplete means that more bytes are needed.
var errIncomplete = eris.New("incomplete request")

// parseRequest parses one request from the start of data and returns its length. With errIncomplete it returns the
// least number of bytes needed to try again.
func parseRequest(data []byte) (*http.Request, int, error) {
	headerEnd := bytes.Index(data, []byte("\r\n\r\n"))
	if headerEnd < 0 {
		if len(data) > maxHeaderBytes {
			return nil, 0, eris.New("request header too long")
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
		return nil, 0, eris.Errorf("unsupported content length %d", request.ContentLength)
	}
	total := headerEnd + len("\r\n\r\n") + int(request.ContentLength)
	if len(data) < total {
		return nil, total, errIncomplete
	}
	return request, total, nil
}

package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/payload"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerHost     = 64
	maxErrorExcerpt = 200
	encodingHeader  = "Content-Encoding"
	acceptHeader    = "Accept-Encoding"
	// lateReplyTimeout is how long a request goes on after its caller has stopped waiting, and maxLateReplies how many of a
	// client do.
	lateReplyTimeout = 2 * time.Second
	maxLateReplies   = 32
)

// Client sends JSON requests to other processes. It reads a reply that comes after the caller has stopped waiting, and drops
// it: giving up on a request of HTTP/1.1 closes its connection, and a peer that replies late because of load would get
// the load of new connections in addition.
type Client struct {
	http  *http.Client
	token string
	late  atomic.Int64 // requests whose callers have stopped waiting
}

// NewClient returns a client whose connections pass through links. Client itself compresses long request bodies and
// decompresses responses; net/http's own compression is off.
func NewClient(token string, links *LinkFilter) *Client {
	return NewClientWithRoundTripper(token, NewRoundTripper(links))
}

// NewClientWithDialTimeout returns a client that abandons an attempt to connect after timeout. A machine that has just
// become reachable again does not answer earlier attempts, but answers a new one at once.
func NewClientWithDialTimeout(token string, links *LinkFilter, timeout time.Duration) *Client {
	return NewClientWithRoundTripper(token, newRoundTripper(links, timeout))
}

// NewClientWithDialer returns a client whose connections are made by dial, for example to count the bytes sent.
func NewClientWithDialer(token string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	roundTripper := NewRoundTripper(nil)
	roundTripper.DialContext = dial
	return NewClientWithRoundTripper(token, roundTripper)
}

// NewClientWithRoundTripper returns a client that sends requests with a given round tripper.
func NewClientWithRoundTripper(token string, roundTripper http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: CheckHeads(roundTripper)}, token: token}
}

// NewRoundTripper returns the HTTP transport for requests to other processes and to back ends.
func NewRoundTripper(links *LinkFilter) *http.Transport { return newRoundTripper(links, dialTimeout) }

func newRoundTripper(links *LinkFilter, timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{
		DialContext:            links.wrapDial(dialer.DialContext),
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxTransportHeadBytes,
	}
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status text and the start of the body.
func (e *StatusError) Error() string {
	excerpt := e.Body[:min(len(e.Body), maxErrorExcerpt)]
	return http.StatusText(e.Status) + ": " + string(excerpt)
}

// Post sends a value and decodes the response into reply, unless reply is nil.
func (c *Client) Post(ctx context.Context, address, path string, value, reply any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return c.do(ctx, http.MethodPost, address, path, body, reply)
}

// PostBody sends a body that is already JSON and ignores the body of the response.
func (c *Client) PostBody(ctx context.Context, address, path string, body []byte) error {
	return c.do(ctx, http.MethodPost, address, path, body, nil)
}

// Get requests a value and decodes it into reply.
func (c *Client) Get(ctx context.Context, address, path string, reply any) error {
	return c.do(ctx, http.MethodGet, address, path, nil, reply)
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte, reply any) error {
	body, encoding := payload.Compress(body)
	exchange, cancel := context.WithCancel(context.WithoutCancel(ctx))
	request, err := http.NewRequestWithContext(exchange, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return eris.Wrap(err, "create request")
	}
	request.Header.Set(acceptHeader, payload.Gzip)
	if encoding != "" {
		request.Header.Set(encodingHeader, encoding)
	}
	if c.token != "" {
		request.Header.Set("Authorization", bearerPrefix+c.token)
	}
	done := make(chan received, 1)
	go func() {
		defer cancel()
		done <- c.exchange(request)
	}()
	select {
	case r := <-done:
		if r.err != nil || reply == nil {
			return r.err
		}
		return eris.Wrapf(json.Unmarshal(r.data, reply), "decode response of %s", path)
	case <-ctx.Done():
		c.awaitLateReply(done, cancel)
		return eris.Wrapf(ctx.Err(), "%s %s", method, path)
	}
}

// received is the body of a response with status 200, or an error.
type received struct {
	data []byte
	err  error
}

// exchange sends a request and reads the whole response.
func (c *Client) exchange(request *http.Request) received {
	response, err := c.http.Do(request)
	if err != nil {
		return received{err: eris.Wrapf(err, "%s %s", request.Method, request.URL.Path)}
	}
	defer response.Body.Close()
	data, err := payload.Decompress(response.Body, response.Header.Get(encodingHeader), maxMessageBytes)
	if err != nil {
		return received{err: eris.Wrapf(err, "read response of %s", request.URL.Path)}
	}
	if response.StatusCode != http.StatusOK {
		return received{err: &StatusError{Status: response.StatusCode, Body: data}}
	}
	return received{data: data}
}

// awaitLateReply lets a request whose caller has stopped waiting go on for a while, and then cancels it.
func (c *Client) awaitLateReply(done <-chan received, cancel context.CancelFunc) {
	if c.late.Add(1) > maxLateReplies {
		c.late.Add(-1)
		cancel()
		return
	}
	go func() {
		defer c.late.Add(-1)
		defer cancel()
		select {
		case <-done:
		case <-time.After(lateReplyTimeout):
		}
	}()
}

package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
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
)

// Client sends JSON requests to other processes.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client whose connections pass through links. Client itself compresses long request bodies and
// decompresses responses; net/http's own compression is off.
func NewClient(token string, links *LinkFilter) *Client {
	return &Client{http: &http.Client{Transport: NewRoundTripper(links)}, token: token}
}

// NewClientWithDialTimeout returns a client that abandons an attempt to connect after timeout. A machine that has just
// become reachable again does not answer earlier attempts, but answers a new one at once.
func NewClientWithDialTimeout(token string, links *LinkFilter, timeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: newRoundTripper(links, timeout)}, token: token}
}

// NewClientWithDialer returns a client whose connections are made by dial, for example to count the bytes sent.
func NewClientWithDialer(token string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	roundTripper := NewRoundTripper(nil)
	roundTripper.DialContext = dial
	return &Client{http: &http.Client{Transport: roundTripper}, token: token}
}

// NewClientWithRoundTripper returns a client that sends requests with a given round tripper.
func NewClientWithRoundTripper(token string, roundTripper http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: roundTripper}, token: token}
}

// NewRoundTripper returns the HTTP transport for requests to other processes and to back ends.
func NewRoundTripper(links *LinkFilter) *http.Transport { return newRoundTripper(links, dialTimeout) }

func newRoundTripper(links *LinkFilter, timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{
		DialContext:         links.wrapDial(dialer.DialContext),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
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
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	request.Header.Set(acceptHeader, payload.Gzip)
	if encoding != "" {
		request.Header.Set(encodingHeader, encoding)
	}
	if c.token != "" {
		request.Header.Set("Authorization", bearerPrefix+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	defer response.Body.Close()
	data, err := payload.Decompress(response.Body, response.Header.Get(encodingHeader), maxMessageBytes)
	if err != nil {
		return eris.Wrapf(err, "read response of %s", path)
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode, Body: data}
	}
	if reply == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, reply), "decode response of %s", path)
}

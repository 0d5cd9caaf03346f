package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

const (
	// Path is the path of requests that open a tunnel. Their query holds the address.
	Path         = "/internal/v1/tunnel"
	queryAddress = "address"
	protocol     = "kitetiller-tunnel"
	bearerPrefix = "Bearer "
)

// Outcome is the result of a request to open a tunnel, as sent in the header outcomeHeader.
type Outcome string

// Outcomes of a request to open a tunnel.
const (
	Opened      Outcome = "opened"
	Refused     Outcome = "refused"     // the address refuses connections from the peer
	Unreachable Outcome = "unreachable" // the peer can't connect to the address
	PathLost    Outcome = "path-lost"   // the peer has no direct path to the address
	Unknown     Outcome = "unknown"     // the address is no back end that the peer knows
	Full        Outcome = "full"        // the peer carries as many tunnels as it may
	Stopping    Outcome = "stopping"    // the peer is shutting down
)

const outcomeHeader = "Tunnel-Outcome"

// OutcomeError is returned if a peer did not open a tunnel.
type OutcomeError struct{ Outcome Outcome }

// Error returns the outcome.
func (e *OutcomeError) Error() string { return "tunnel not opened: " + string(e.Outcome) }

// Conn is the client's end of a tunnel.
type Conn struct {
	net.Conn
	received io.Reader // decodes chunks
}

// Read reads bytes of the back end. It returns io.EOF only if the back end ended its stream in order.
func (c *Conn) Read(p []byte) (int, error) { return c.received.Read(p) }

// open asks the peer at the other end of a connection to open a tunnel to an address.
func open(conn net.Conn, token, address string, deadline time.Time) (*Conn, error) {
	_ = conn.SetDeadline(deadline)
	request, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+Path+"?"+url.Values{queryAddress: {address}}.Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "create tunnel request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	if token != "" {
		request.Header.Set("Authorization", bearerPrefix+token)
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	head := transport.NewHeadReader(conn)
	head.BeginHead()
	reader := bufio.NewReader(head)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	head.EndHead()
	if err := transport.CheckHead(response, outcomeHeader); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, &OutcomeError{Outcome(response.Header.Get(outcomeHeader))}
	}
	_ = conn.SetDeadline(time.Time{})
	return &Conn{Conn: conn, received: httputil.NewChunkedReader(reader)}, nil
}

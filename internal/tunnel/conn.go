package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

const (
	// Path is the path of requests that open a tunnel. Their query holds the address.
	Path         = "/internal/v1/tunnel"
	queryAddress = "address"
	queryLost    = "lost" // "1" if the path of the process that asks is known to be lost
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
	// Disconnected: the peer has no direct path to any back end.
	Disconnected Outcome = "disconnected"
	// Silent is the outcome of a tunnel that was opened, through which the back end answers nothing. It is never sent.
	Silent Outcome = "silent"
)

const (
	outcomeHeader      = "Tunnel-Outcome"
	alternativesHeader = "Tunnel-Alternatives" // addresses of peers that have paths, separated by commas
)

// OutcomeError is returned if a peer did not open a tunnel.
type OutcomeError struct {
	Outcome      Outcome
	Alternatives []string // peers to ask instead
}

// Error returns the outcome.
func (e *OutcomeError) Error() string { return "tunnel not opened: " + string(e.Outcome) }

// Conn is the client's end of a tunnel.
type Conn struct {
	net.Conn
	received io.Reader // decodes chunks
}

// Read reads bytes of the back end. It returns io.EOF only if the back end ended its stream in order.
func (c *Conn) Read(p []byte) (int, error) { return c.received.Read(p) }

// openRequest is a request to open a tunnel.
type openRequest struct {
	token, address string
	isLost         bool // the path of the process that asks is known to be lost
}

// open asks the peer at the other end of a connection to open a tunnel.
func open(conn net.Conn, asked openRequest, deadline time.Time) (*Conn, error) {
	_ = conn.SetDeadline(deadline)
	query := url.Values{queryAddress: {asked.address}}
	if asked.isLost {
		query.Set(queryLost, "1")
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "create tunnel request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	if asked.token != "" {
		request.Header.Set("Authorization", bearerPrefix+asked.token)
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	head := transport.NewHeadReader(conn)
	head.ExpectSwitch()
	head.BeginHead()
	reader := bufio.NewReader(head)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, head.Explain(err)
	}
	head.EndHead()
	if err := transport.CheckHead(response, outcomeHeader); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, &OutcomeError{Outcome(response.Header.Get(outcomeHeader)), splitAddresses(response.Header.Get(alternativesHeader))}
	}
	_ = conn.SetDeadline(time.Time{})
	return &Conn{Conn: conn, received: httputil.NewChunkedReader(reader)}, nil
}

// splitAddresses returns the addresses of a header that lists them.
func splitAddresses(list string) (addresses []string) {
	for address := range strings.SplitSeq(list, ",") {
		if address = strings.TrimSpace(address); address != "" && len(addresses) < maxAlternatives {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

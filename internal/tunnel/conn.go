package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

const (
	// Path is the path of requests that open a tunnel. Their query holds the address.
	Path = "/internal/v1/tunnel"
	// PathProof is the path of the question whether back ends answer a peer what was sent within a time, in the query in milliseconds.
	PathProof    = "/internal/v1/tunnel/proof"
	queryWithin  = "within"
	queryAddress = "address"
	queryLost    = "lost"  // "1" if the path of the process that asks is known to be lost
	queryProof   = "proof" // "1" if the peer is to prove that back ends answer it
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
	// Proven, Unproven and Disconnected are the outcomes of the question whether back ends answer the peer.
	Proven   Outcome = "proven"
	Unproven Outcome = "unproven"
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
	reader   *bufio.Reader // of what the peer sends
	received io.Reader     // decodes chunks
}

// IsIdle reports whether the tunnel is open and has nothing left to read but the end of a chunk, so that another request may be sent
// through it.
func (c *Conn) IsIdle() bool {
	left, _ := c.reader.Peek(c.reader.Buffered())
	pending, open := transport.Peek(c.Conn, len("\r\n")+1)
	left = append(slices.Clone(left), pending...)
	return open && strings.HasSuffix("\r\n", string(left))
}

// Read reads bytes of the back end. It returns io.EOF only if the back end ended its stream in order.
func (c *Conn) Read(p []byte) (int, error) { return c.received.Read(p) }

// openRequest is a request to open a tunnel.
type openRequest struct {
	token, address string
	isLost         bool // the path of the process that asks is known to be lost
	needsProof     bool // the peer is to prove that back ends answer it
}

// open asks the peer at the other end of a connection to open a tunnel.
func open(conn net.Conn, asked openRequest, deadline time.Time) (*Conn, error) {
	_ = conn.SetDeadline(deadline)
	query := url.Values{queryAddress: {asked.address}}
	if asked.isLost {
		query.Set(queryLost, "1")
	}
	if asked.needsProof {
		query.Set(queryProof, "1")
	}
	request, err := newRequest(conn, Path, query, asked.token)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	response, reader, err := exchange(conn, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, outcomeOf(response)
	}
	_ = conn.SetDeadline(time.Time{})
	return &Conn{Conn: conn, reader: reader, received: httputil.NewChunkedReader(reader)}, nil
}

// askProof asks the peer at the other end of a connection whether back ends answer it what was sent within a time.
func askProof(conn net.Conn, token string, within time.Duration) (*OutcomeError, error) {
	request, err := newRequest(conn, PathProof, url.Values{queryWithin: {strconv.FormatInt(within.Milliseconds(), 10)}}, token)
	if err != nil {
		return nil, err
	}
	response, _, err := exchange(conn, request)
	if err != nil {
		return nil, err
	}
	return outcomeOf(response), nil
}

// newRequest returns a request to the peer at the other end of a connection.
func newRequest(conn net.Conn, path string, query url.Values, token string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request to a peer")
	}
	if token != "" {
		request.Header.Set("Authorization", bearerPrefix+token)
	}
	return request, nil
}

// exchange sends a request to a peer and reads the head of the response.
func exchange(conn net.Conn, request *http.Request) (*http.Response, *bufio.Reader, error) {
	if err := request.Write(conn); err != nil {
		return nil, nil, err
	}
	head := transport.NewHeadReader(conn)
	head.ExpectSwitch()
	head.BeginHead()
	reader := bufio.NewReader(head)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, nil, head.Explain(err)
	}
	head.EndHead()
	return response, reader, transport.CheckHead(response, outcomeHeader)
}

// outcomeOf returns the outcome that a response states.
func outcomeOf(response *http.Response) *OutcomeError {
	return &OutcomeError{Outcome(response.Header.Get(outcomeHeader)), splitAddresses(response.Header.Get(alternativesHeader))}
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

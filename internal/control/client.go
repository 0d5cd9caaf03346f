package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/catalog"
	"kitetiller/internal/clock"
	"kitetiller/internal/quarantine"
	"kitetiller/internal/transport"
)

// Paths of the internal protocol.
const (
	PathRaft    = "/internal/v1/raft"
	PathRequest = "/internal/v1/request"
	PathHello   = "/internal/v1/hello"
)

const (
	attemptTimeout = 900 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
	// failureBackoff is how long an address that gave no answer is left alone, also when others still name it as leader: about
	// an election, and no longer, since it may just have started.
	failureBackoff = 600 * time.Millisecond
)

// ErrNoAnswer says that no leader answered in time; a change may or may not have been made.
var ErrNoAnswer = eris.New("no control leader answered in time")

// Client asks the control group, finding the leader by itself. It is safe for concurrent use.
type Client struct {
	transport   *transport.Client
	addresses   atomic.Pointer[[]string]
	next        atomic.Uint32
	leader      atomic.Pointer[string]
	lastFailure atomic.Pointer[failure]       // the newest one
	answeredAt  atomic.Pointer[time.Duration] // when a replica last answered anything; nil never
}

// failure is an address that gave no answer, and when.
type failure struct {
	address string
	at      time.Duration
}

// recentlyFailed reports whether an address failed so lately that it is asked only when there is no other.
func (c *Client) recentlyFailed(address string) bool {
	failed := c.lastFailure.Load()
	return failed != nil && failed.address == address && clock.Now()-failed.at < failureBackoff
}

// NewClient returns a client of the replicas at the given internal addresses.
func NewClient(client *transport.Client, addresses []string) *Client {
	c := &Client{transport: client}
	c.addresses.Store(&addresses)
	return c
}

// SetAddresses replaces the addresses that are asked when no leader is known.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) > 0 {
		c.addresses.Store(&addresses)
	}
}

// target returns the address to ask next.
func (c *Client) target() string {
	if leader := c.leader.Load(); leader != nil {
		return *leader
	}
	addresses := *c.addresses.Load()
	address := addresses[int(c.next.Add(1))%len(addresses)]
	if c.recentlyFailed(address) {
		address = addresses[int(c.next.Add(1))%len(addresses)]
	}
	return address
}

// Ask sends a request until a leader has decided it or ctx ends. Requests are safe to repeat: changes carry
// operation ids, claims carry claim ids.
func (c *Client) Ask(ctx context.Context, request Request) (Response, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := c.AskOnce(attempt, request)
		cancel()
		if err == nil && response.Kind == ResponseOK {
			return response, nil
		}
		select {
		case <-ctx.Done():
			return Response{}, ErrNoAnswer
		case <-time.After(retryDelay):
		}
	}
}

// Quarantine has the leader change what is known of requests that end their back ends. Such changes are safe to repeat.
func (c *Client) Quarantine(ctx context.Context, change quarantine.Change) error {
	_, err := c.Ask(ctx, Request{Catalog: &catalog.Command{Quarantine: &change}})
	return err
}

// AskOnce asks one replica once, for callers with a rhythm and a time limit of their own, and learns who leads.
func (c *Client) AskOnce(ctx context.Context, request Request) (Response, error) {
	return c.askAndTrackLeader(ctx, c.target(), request)
}

// AskReplica asks the replica at an address once, whoever leads. It learns nothing of the leader.
func (c *Client) AskReplica(ctx context.Context, address string, request Request) (Response, error) {
	var response Response
	err := c.transport.Post(ctx, address, PathRequest, request, &response)
	if err == nil {
		now := clock.Now()
		c.answeredAt.Store(&now)
	}
	return response, err
}

// askAndTrackLeader asks the replica at an address once.
func (c *Client) askAndTrackLeader(ctx context.Context, address string, request Request) (Response, error) {
	var response Response
	if err := c.transport.Post(ctx, address, PathRequest, request, &response); err != nil {
		if ctx.Err() == context.Canceled {
			return response, err // the caller has its answer from elsewhere
		}
		c.leader.Store(nil)
		c.lastFailure.Store(&failure{address: address, at: clock.Now()})
		return response, err
	}
	now := clock.Now()
	c.answeredAt.Store(&now)
	switch {
	case response.Kind == ResponseOK && response.Leader != "":
		c.leader.Store(&response.Leader) // another replica answered for it
	case response.Kind == ResponseOK:
		c.leader.Store(&address)
	case response.Leader != "" && response.Leader != address && !c.recentlyFailed(response.Leader):
		c.leader.Store(&response.Leader)
	default:
		c.leader.Store(nil)
	}
	return response, nil
}

// AnsweredWithin reports whether a replica has answered anything so lately.
func (c *Client) AnsweredWithin(limit time.Duration) bool {
	at := c.answeredAt.Load()
	return at != nil && clock.Now()-*at < limit
}

// AskAny asks several replicas at once, each once, and whoever they name as leader. The first that leads answers for all. It
// is for callers without a leader: one address that is silent must not hold them up.
func (c *Client) AskAny(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := map[string]bool{}
	answers := make(chan Response, maxAttempts)
	ask := func(address string) {
		if asked[address] || len(asked) >= maxAttempts {
			return
		}
		asked[address] = true
		go func() {
			response, err := c.askAndTrackLeader(ctx, address, request)
			if err != nil {
				response = Response{Kind: ResponseNoQuorum}
			}
			answers <- response
		}()
	}
	for range initialAttempts {
		ask(c.target())
	}
	for done := 0; done < len(asked); done++ {
		response := <-answers
		if response.Kind == ResponseOK {
			return response, nil
		}
		if response.Leader != "" {
			ask(response.Leader)
		}
	}
	return Response{}, ErrNoAnswer
}

const (
	// initialAttempts is how many replicas are asked at once when no leader is known, and anyMost how many in all, with those
	// that the first ones name.
	initialAttempts = 3
	maxAttempts     = 6
)

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
	// failureBackoff is how long an address that failed to answer is avoided, even if other replicas name it as leader.
	// It is about the length of an election, since a process that was starting may lead soon.
	failureBackoff = 600 * time.Millisecond
)

// ErrNoAnswer is returned if no leader answered in time; the change may or may not have been made.
var ErrNoAnswer = eris.New("no control leader answered in time")

// RejectedError is returned if the leader has no room for a change. Nothing was done.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration // 0 if the change will never fit
}

// Error returns the reason.
func (e *RejectedError) Error() string { return e.Reason }

// Client sends requests to the leader of the control group, which it discovers by itself. It is safe for concurrent
// use.
type Client struct {
	transport   *transport.Client
	addresses   atomic.Pointer[[]string]
	next        atomic.Uint32
	leader      atomic.Pointer[string]
	lastFailure atomic.Pointer[failure]       // the most recent one
	answeredAt  atomic.Pointer[time.Duration] // when a replica last answered; nil if none has
}

// failure is a failed attempt at an address.
type failure struct {
	address string
	at      time.Duration
}

// recentlyFailed reports whether the last failure was at the address and within failureBackoff.
func (c *Client) recentlyFailed(address string) bool {
	failed := c.lastFailure.Load()
	return failed != nil && failed.address == address && clock.Now()-failed.at < failureBackoff
}

// NewClient returns a client for the replicas at the given internal addresses.
func NewClient(client *transport.Client, addresses []string) *Client {
	c := &Client{transport: client}
	c.addresses.Store(&addresses)
	return c
}

// SetAddresses replaces the addresses that are tried while no leader is known.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) > 0 {
		c.addresses.Store(&addresses)
	}
}

// target returns the address for the next attempt.
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

// Ask retries a request until a leader has answered it or ctx is done. Requests are idempotent: changes carry operation
// IDs, and claims carry claim IDs. It returns a RejectedError at once if the leader has no room for a change.
func (c *Client) Ask(ctx context.Context, request Request) (Response, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := c.AskOnce(attempt, request)
		cancel()
		if err == nil && response.Kind == ResponseOK {
			return response, nil
		}
		if err == nil && (response.Kind == ResponseBusy || response.Kind == ResponseTooLarge) {
			return response, &RejectedError{Reason: response.Detail, RetryAfter: response.RetryAfter}
		}
		select {
		case <-ctx.Done():
			return Response{}, ErrNoAnswer
		case <-time.After(retryDelay):
		}
	}
}

// Quarantine sends a change of the quarantine registry to the leader. Such changes are idempotent.
func (c *Client) Quarantine(ctx context.Context, change quarantine.Change) error {
	_, err := c.Ask(ctx, Request{Catalog: &catalog.Command{Quarantine: &change}})
	return err
}

// AskOnce makes one attempt at one replica and learns the leader from the response. It is for callers that retry by
// themselves.
func (c *Client) AskOnce(ctx context.Context, request Request) (Response, error) {
	return c.askAndTrackLeader(ctx, c.target(), request)
}

// AskReplica makes one attempt at the replica with the given address, and does not learn the leader.
func (c *Client) AskReplica(ctx context.Context, address string, request Request) (Response, error) {
	var response Response
	err := c.transport.Post(ctx, address, PathRequest, request, &response)
	if err == nil {
		now := clock.Now()
		c.answeredAt.Store(&now)
	}
	return response, err
}

// askAndTrackLeader makes one attempt at the given address and records who leads. Attempts may overlap: one that fails
// tells nothing about other addresses, and a reply ends the avoidance of its address.
func (c *Client) askAndTrackLeader(ctx context.Context, address string, request Request) (Response, error) {
	var response Response
	if err := c.transport.Post(ctx, address, PathRequest, request, &response); err != nil {
		if ctx.Err() == context.Canceled {
			return response, err // the caller got an answer from another replica
		}
		if leader := c.leader.Load(); leader != nil && *leader == address {
			c.leader.CompareAndSwap(leader, nil)
		}
		c.lastFailure.Store(&failure{address: address, at: clock.Now()})
		return response, err
	}
	now := clock.Now()
	c.answeredAt.Store(&now)
	if failed := c.lastFailure.Load(); failed != nil && failed.address == address {
		c.lastFailure.CompareAndSwap(failed, nil)
	}
	switch {
	case response.Kind == ResponseOK && response.Leader != "":
		c.leader.Store(&response.Leader) // a follower answered for the leader
	case response.Kind == ResponseOK:
		c.leader.Store(&address)
	case response.Leader != "" && response.Leader != address && !c.recentlyFailed(response.Leader):
		c.leader.Store(&response.Leader)
	default:
		c.leader.Store(nil)
	}
	return response, nil
}

// AnsweredWithin reports whether any replica has answered within the given time.
func (c *Client) AnsweredWithin(limit time.Duration) bool {
	at := c.answeredAt.Load()
	return at != nil && clock.Now()-*at < limit
}

// AskAny asks several replicas concurrently, and the leaders that they name, each once. It returns the first
// ResponseOK. It is for callers that know no leader, so that an unresponsive address does not delay them.
func (c *Client) AskAny(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tried := map[string]bool{}
	responses := make(chan Response, maxAttempts)
	start := func(address string) {
		if tried[address] || len(tried) >= maxAttempts {
			return
		}
		tried[address] = true
		go func() {
			response, err := c.askAndTrackLeader(ctx, address, request)
			if err != nil {
				response = Response{Kind: ResponseNoQuorum}
			}
			responses <- response
		}()
	}
	for range initialAttempts {
		start(c.target())
	}
	for received := 0; received < len(tried); received++ {
		response := <-responses
		if response.Kind == ResponseOK {
			return response, nil
		}
		if response.Leader != "" {
			start(response.Leader)
		}
	}
	return Response{}, ErrNoAnswer
}

// AskUntilOK asks all known replicas and the leaders that they name, each again and again on its own, until one answers
// ResponseOK or ctx is done. Requests must be idempotent. It is for callers whose request must not wait for an unresponsive address.
func (c *Client) AskUntilOK(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := map[string]bool{}
	responses := make(chan Response)
	start := func(address string) {
		if !asked[address] && len(asked) < maxAskedAtOnce {
			asked[address] = true
			go c.askRepeatedly(ctx, address, request, responses)
		}
	}
	for _, address := range *c.addresses.Load() {
		start(address)
	}
	for {
		select {
		case <-ctx.Done():
			return Response{}, ErrNoAnswer
		case response := <-responses:
			if response.Kind == ResponseOK {
				return response, nil
			}
			if response.Leader != "" {
				start(response.Leader)
			}
		}
	}
}

// askRepeatedly asks one replica until ctx is done.
func (c *Client) askRepeatedly(ctx context.Context, address string, request Request, responses chan<- Response) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := c.AskReplica(attempt, address, request)
		cancel()
		if err == nil {
			select {
			case responses <- response:
			case <-ctx.Done():
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryDelay):
		}
	}
}

const (
	// maxAskedAtOnce is the number of replicas that AskUntilOK asks at most, more than a group has.
	maxAskedAtOnce = 16
	// initialAttempts is the number of replicas that AskAny asks at first, and maxAttempts the total, including the
	// leaders named in responses.
	initialAttempts = 3
	maxAttempts     = 6
)

package control

import (
	"context"
	"time"

	"kitetiller/internal/transport"
)

// Driver speaks to back ends that take orders for weights, in whatever protocol they have. Its methods may block.
type Driver interface {
	// CallWeights makes a call and returns how it ended; when ctx ends first, the result of an order is WeightsUnknown.
	CallWeights(ctx context.Context, call WeightsCall) WeightsResult
}

const (
	// weightsTimeout is how long a back end may take to answer a call.
	weightsTimeout = time.Second
	// maxCallAge is how long after its decision a call may still be made: the machine may have been suspended between the two. The next leader
	// waits for so much longer before its first order.
	maxCallAge = 300 * time.Millisecond
	// membershipInterval is how often the addresses of the group are read again.
	membershipInterval = time.Second
)

// UseDriver sets the driver of back ends; it must be called before Run.
func (s *Server) UseDriver(driver Driver) { s.driver = driver }

// queuedCall is a call and when this replica last saw that it may be made.
type queuedCall struct {
	call     WeightsCall
	queuedAt time.Duration
}

// callBackends is the thread that starts the calls of a leader, each on a goroutine of its own.
func (s *Server) callBackends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.weightsCalls:
			if s.driver != nil {
				go s.callBackend(ctx, call)
			}
		}
	}
}

func (s *Server) callBackend(ctx context.Context, queued queuedCall) {
	attempt, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	result := WeightsResult{Kind: WeightsRefused}
	if s.now()-queued.queuedAt <= maxCallAge {
		result = s.driver.CallWeights(attempt, queued.call)
	}
	result.Call = queued.call
	s.logWeights(result)
	s.submit(input{weights: &result})
}

// refreshMembership is the thread that keeps the addresses of the group's client current.
func (s *Server) refreshMembership(ctx context.Context) {
	transport.Every(ctx, membershipInterval, func() {
		s.submit(input{inspect: func(replica *Replica) { s.group.Use(replica.addresses()) }})
	})
}

// addresses returns the internal addresses of the group, or none while this replica does not know it.
func (r *Replica) addresses() []string {
	var found []string
	for _, member := range r.node.Membership().Members {
		found = append(found, member.Address)
	}
	return found
}

// UseSeeds replaces the addresses that are asked while the group is not known.
func (s *Server) UseSeeds(addresses []string) { s.group.Use(addresses) }

// Ask passes a request to the leader, wherever it is, until it is decided or ctx ends.
func (s *Server) Ask(ctx context.Context, request Request) (Response, error) {
	return s.group.Ask(ctx, request)
}

package control

import (
	"context"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/transport"
)

// Driver carries out weights calls in the protocol of the back ends. Its methods may block.
type Driver interface {
	// CallWeights makes a call and returns its result. If ctx ends first, the result of an order is WeightsUnknown.
	CallWeights(ctx context.Context, call WeightsCall) WeightsResult
}

const (
	// weightsTimeout bounds a weights call to a back end.
	weightsTimeout = time.Second
	// maxCallAge is how long after its decision a call may still be made, since the machine may have been suspended in
	// between. A new leader waits this much longer before its first order.
	maxCallAge = 300 * time.Millisecond
	// membershipInterval is how often the addresses of the group are refreshed.
	membershipInterval = time.Second
)

// UseDriver sets the driver for calls to back ends. It must be called before Run.
func (s *Server) UseDriver(driver Driver) { s.driver = driver }

// OfferReader reads the optional features of back ends, by service, from a routing document as the operator sent it.
type OfferReader func(source []byte) map[string]catalog.Offer

// UseOfferReader sets the reader for offers, which gateways get with the document. It must be called before Run.
func (s *Server) UseOfferReader(read OfferReader) { s.replica.readOffers = read }

// queuedCall is a weights call and the time at which the replica released it.
type queuedCall struct {
	call     WeightsCall
	queuedAt time.Duration
}

// callBackends starts the weights calls of a leader, each on its own goroutine.
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
	result := WeightsResult{Kind: WeightsRejected}
	if s.now()-queued.queuedAt <= maxCallAge {
		result = s.driver.CallWeights(attempt, queued.call)
	}
	result.Call = queued.call
	s.logWeights(result)
	s.submit(input{weights: &result})
}

// refreshMembership keeps the addresses of the group client up to date.
func (s *Server) refreshMembership(ctx context.Context) {
	transport.Every(ctx, membershipInterval, func() {
		s.submit(input{inspect: func(replica *Replica) { s.group.SetAddresses(replica.addresses()) }})
	})
}

// addresses returns the internal addresses of the group members known to this replica.
func (r *Replica) addresses() []string {
	var found []string
	for _, member := range r.node.Membership().Members {
		found = append(found, member.Address)
	}
	return found
}

// Ask sends a request to the leader and retries until it is answered or ctx ends.
func (s *Server) Ask(ctx context.Context, request Request) (Response, error) {
	return s.group.Ask(ctx, request)
}

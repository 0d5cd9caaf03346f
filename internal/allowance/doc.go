// Package allowance shares rate-limited resources among processes that don't coordinate directly, so that all of them
// together stay within each resource's limit. One Allocator tracks the total and leases amounts of it; a Client in
// each process spends what was leased to it.
//
// The limit holds because:
//   - An amount is deducted when it is granted, and expires at the client LeaseTTL after the client requested it, or
//     later by what its round trips take, at most MaxLeaseTTL, by the client's own clock. A grant that is lost in
//     transit is lost, not duplicated.
//   - An Allocator starts with empty buckets, so it needs to know nothing of its predecessor's grants. Until the
//     buckets had time to fill, clients may use their equal shares of the reserve.
//   - A client that cannot reach the allocator may use its equal share of the rate and of a reserve on top of the
//     limit. The allocator withholds the shares of clients that have not contacted it.
//
// Amounts may be of any unit. The package uses no I/O, locks or clock: callers pass the time, which must not run
// backwards, and serialize their calls.
package allowance

import "time"

// LeaseTTL is how long a leased amount may be used after it was requested. It covers several round trips, and is
// short compared with the windows in which limits are checked, since an amount granted before a window may be used in
// it.
const LeaseTTL = 200 * time.Millisecond

// MaxLeaseTTL is the longest lifetime of a lease, for clients whose round trips leave too little of LeaseTTL. It is
// bounded by the slack of the smallest limits, 0.8 seconds of the rate.
const MaxLeaseTTL = 240 * time.Millisecond

const (
	// usableLeaseTime is how much of a lease's lifetime is meant to be left when it arrives.
	usableLeaseTime = 80 * time.Millisecond
	// roundTripDecay is the weight of a new observation that is below the observed round trip.
	roundTripDecay = 0.1

	// burstSlackFraction of a limit's slack may be granted at once on top of the burst, so that a caller just within
	// its limit is not refused because of arrival jitter. A single amount may exceed that by debtSlackFraction.
	// reserveSlackFraction is for all clients that cannot reach the allocator. The remaining 0.6 covers amounts
	// granted but not used yet (the rate during MaxLeaseTTL) and the time until the allocator notices that a client is
	// silent (the silent clients' share of the rate during that time). With a slack of one second of the rate, these
	// take 0.24 and, with a third of the clients silent, 0.23.
	burstSlackFraction   = 0.1
	debtSlackFraction    = 0.1
	reserveSlackFraction = 0.2
	// maxRetryAfter bounds the retry delay returned to clients: requests refused longer ago are assumed not to be
	// retried.
	maxRetryAfter = 8 * time.Second
)

// Limit bounds the use of one resource: in any window, to the rate times the window, plus the burst and the slack.
type Limit struct {
	Rate  float64 `json:"rate"`  // units per second; above 0
	Burst float64 `json:"burst"` // units at once
	Slack float64 `json:"room"`  // further units per window, for what cannot be counted exactly
}

// capacity is the most that may be granted at once.
func (l Limit) capacity() float64 { return l.Burst + burstSlackFraction*l.Slack }

// maxAmount is the largest single amount that is ever granted.
func (l Limit) maxAmount() float64 { return l.capacity() + debtSlackFraction*l.Slack }

// reserve is what all clients that cannot reach the allocator may use on top of their shares of the rate.
func (l Limit) reserve() float64 { return reserveSlackFraction * l.Slack }

// RequestItem requests an amount of one resource.
type RequestItem struct {
	Name       string           `json:"n"`
	Amount     float64          `json:"a"`           // needed now; granted in full or not at all
	Prefetch   float64          `json:"h,omitempty"` // expected within a lease; granted if plenty is left
	Advertised *AdvertisedLimit `json:"l,omitempty"` // set if the resource states its limit
}

// Grant answers a RequestItem.
type Grant struct {
	Name       string        `json:"n"`
	Amount     float64       `json:"a"`           // 0 if the limit is reached
	RetryAfter time.Duration `json:"w,omitempty"` // when the amount will be available
	// WarmingUp reports that nothing was granted because the bucket was created recently, not because the limit is
	// reached: the amount is worth waiting for.
	WarmingUp bool `json:"y,omitempty"`
	// Enforced reports that the allocator enforces advertised limits. One without support for them grants any amount,
	// as for a resource without a limit; the client discards such grants.
	Enforced bool `json:"c,omitempty"`
}

// Request is sent by a client to return amounts and to request others.
type Request struct {
	Client   string        `json:"b"`
	Sequence uint64        `json:"s"` // increases with each request during the lifetime of a client
	Returned []Grant       `json:"k,omitempty"`
	Items    []RequestItem `json:"q"`
}

// Reply is the allocator's answer to a Request. Grants are in the order of the request's items.
type Reply struct {
	Term     uint64  `json:"t"` // increases with each allocator
	Sequence uint64  `json:"s"` // of the request
	Grants   []Grant `json:"g"`
}

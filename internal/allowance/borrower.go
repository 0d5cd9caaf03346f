package allowance

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is the time constant of the measured demand's exponential decay.
	demandTimeConstant = time.Second
	// prefetchFraction of the demand expected during a lease is prefetched if that demand is at least
	// minPrefetchRatio times the amount needed now; otherwise most of it would expire unused.
	prefetchFraction = 0.5
	minPrefetchRatio = 2.0
	// returnMargin is the remaining lifetime below which unused leases are returned with the next request.
	returnMargin = LeaseTTL / 2
)

// Lease is an amount that may be used once before it expires.
type Lease struct {
	Name      string
	Amount    float64
	ExpiresAt time.Duration // by the client's clock
	fallback  bool          // taken from the fallback share, not granted by the allocator
}

// Valid reports whether the amount may still be used.
func (l Lease) Valid(now time.Duration) bool { return l.Amount > 0 && now <= l.ExpiresAt }

// Client tracks the amounts leased to one process.
type Client struct {
	name           string
	sequence       uint64                   // of the newest request
	unanswered     map[uint64]time.Duration // when each request was made that was not answered yet and may still yield leases, by sequence
	term           uint64                   // highest term seen in a reply
	roundTrip      time.Duration            // of requests; rises at once and falls slowly; 0 before the first reply
	lastContact    time.Duration
	clients        float64       // number of clients that share the reserve and the rate equally, at least 1
	fallbackPeriod time.Duration // how long the fallback share may be used without contact to the allocator
	limits         map[string]Limit
	balances       map[string]*balance

	advertised        map[string]knownLimit // resources that advertise their limits
	advertisedSweptAt time.Duration         // when unused advertised limits were last removed
}

// balance is what a client holds of one resource.
type balance struct {
	leases         []Lease       // unused, by ascending expiry
	fallbackUsed   float64       // used of the fallback share, decaying over time
	fallbackUsedAt time.Duration // when fallbackUsed was last updated
	demandRate     float64       // units per second, exponentially decayed
	demandAt       time.Duration // when demandRate was last updated
}

// NewClient returns a client without leases. fallbackPeriod is how long it may use its fallback share without contact
// to the allocator.
func NewClient(name string, fallbackPeriod time.Duration) *Client {
	return &Client{
		name: name, fallbackPeriod: fallbackPeriod, clients: 1,
		limits: map[string]Limit{}, balances: map[string]*balance{}, advertised: map[string]knownLimit{}, unanswered: map[uint64]time.Duration{},
	}
}

// SetLimits replaces the configured limits.
func (c *Client) SetLimits(limits map[string]Limit) {
	c.limits = limits
	for name := range c.balances {
		if !c.IsLimited(name) {
			delete(c.balances, name)
		}
	}
}

// IsLimited reports whether a resource has a limit.
func (c *Client) IsLimited(name string) bool { _, limited := c.limit(name); return limited }

// RecordContact records that a request made at the given time was answered, and the number of clients that share the
// fallback amounts.
func (c *Client) RecordContact(requestedAt time.Duration, clients int) {
	c.lastContact = max(c.lastContact, requestedAt)
	c.clients = max(1, float64(clients))
}

func (c *Client) balance(name string) *balance {
	b := c.balances[name]
	if b == nil {
		b = &balance{}
		c.balances[name] = b
	}
	return b
}

// Take takes an amount from the leases and counts it as demand.
func (c *Client) Take(now time.Duration, name string, amount float64) (Lease, bool) {
	b := c.balance(name)
	b.observeDemand(now, amount)
	return b.take(now, name, amount)
}

// RetryTake takes an amount whose demand was already counted.
func (c *Client) RetryTake(now time.Duration, name string, amount float64) (Lease, bool) {
	return c.balance(name).take(now, name, amount)
}

func (b *balance) take(now time.Duration, name string, amount float64) (Lease, bool) {
	b.expire(now)
	held := 0.0
	for _, lease := range b.leases {
		held += lease.Amount
	}
	if held < amount {
		return Lease{}, false
	}
	result := Lease{Name: name, Amount: amount}
	for left := amount; left > 0 && len(b.leases) > 0; { // rounding may leave a remainder
		lease := &b.leases[0]
		if result.ExpiresAt == 0 {
			result.ExpiresAt = lease.ExpiresAt // leases are sorted by expiry
		}
		part := min(left, lease.Amount)
		left -= part
		lease.Amount -= part
		if lease.Amount <= 0 {
			b.leases = slices.Delete(b.leases, 0, 1)
		}
	}
	return result, true
}

// expire drops expired leases.
func (b *balance) expire(now time.Duration) {
	b.leases = slices.DeleteFunc(b.leases, func(lease Lease) bool { return !lease.Valid(now) })
}

// observeDemand adds an amount to the measured demand.
func (b *balance) observeDemand(now time.Duration, amount float64) {
	b.demandRate = b.demandRate*math.Exp(-float64(now-b.demandAt)/float64(demandTimeConstant)) + amount/demandTimeConstant.Seconds()
	b.demandAt = now
}

// Release returns an unused lease to the client's balance.
func (c *Client) Release(now time.Duration, lease Lease) {
	if !c.IsLimited(lease.Name) || lease.Amount <= 0 {
		return
	}
	b := c.balance(lease.Name)
	if lease.fallback {
		b.fallbackUsed = max(0, b.fallbackUsed-lease.Amount)
		return
	}
	if lease.Valid(now) {
		b.add(lease)
	}
}

func (b *balance) add(lease Lease) {
	index, _ := slices.BinarySearchFunc(b.leases, lease.ExpiresAt, func(other Lease, expiresAt time.Duration) int {
		return int(other.ExpiresAt - expiresAt)
	})
	b.leases = slices.Insert(b.leases, index, lease)
}

// Demand is an amount that a caller is waiting for.
type Demand struct {
	Name       string
	Amount     float64
	Advertised *AdvertisedLimit // set if the resource advertises its own limit
}

// NewRequest returns a request for the given demands, to be sent once. It also returns unused leases that expire
// soon.
func (c *Client) NewRequest(now time.Duration, demands []Demand) Request {
	c.sequence++
	maps.DeleteFunc(c.unanswered, func(_ uint64, requestedAt time.Duration) bool { return now > requestedAt+MaxLeaseTTL })
	c.unanswered[c.sequence] = now
	request := Request{Client: c.name, Sequence: c.sequence}
	for _, demand := range demands {
		b := c.balance(demand.Name)
		request.Items = append(request.Items, RequestItem{
			Name: demand.Name, Amount: demand.Amount, Prefetch: b.prefetch(demand.Amount), Advertised: demand.Advertised,
		})
	}
	for name, b := range c.balances {
		if expiring := b.takeExpiring(now); expiring > 0 {
			request.Returned = append(request.Returned, Grant{Name: name, Amount: expiring})
		}
	}
	return request
}

// prefetch returns how much to request in addition to an amount, as a multiple of it.
func (b *balance) prefetch(amount float64) float64 {
	needed := b.demandRate * LeaseTTL.Seconds()
	if needed < minPrefetchRatio*amount {
		return 0
	}
	return amount * math.Floor(prefetchFraction*needed/amount)
}

// takeExpiring removes the leases that expire soon and returns their sum.
func (b *balance) takeExpiring(now time.Duration) float64 {
	b.expire(now)
	amount := 0.0
	b.leases = slices.DeleteFunc(b.leases, func(lease Lease) bool {
		expiring := lease.ExpiresAt < now+returnMargin
		if expiring {
			amount += lease.Amount
		}
		return expiring
	})
	return amount
}

// RecordRoundTrip records how long a request took, also one whose reply came too late to be of use.
func (c *Client) RecordRoundTrip(observed time.Duration) {
	c.roundTrip = max(observed, c.roundTrip-time.Duration(roundTripDecay*float64(c.roundTrip-observed)))
}

// RoundTrip returns how long requests take, and 0 before the first reply.
func (c *Client) RoundTrip() time.Duration { return c.roundTrip }

// lifetime returns how long a leased amount may be used after it was requested.
func (c *Client) lifetime() time.Duration {
	return min(max(LeaseTTL, c.roundTrip+usableLeaseTime), MaxLeaseTTL)
}

// Result is the outcome of a demand: a lease, or the reason why there is none.
type Result struct {
	Lease      Lease
	RetryAfter time.Duration
	WarmingUp  bool
	Unenforced bool // the allocator does not enforce advertised limits
}

// ApplyReply applies the reply to a request that was made at requestedAt, and returns the outcome of each demand. The
// replies to several requests may arrive in any order, since each grant was deducted by itself. Duplicate replies and
// replies of earlier allocators yield nothing.
func (c *Client) ApplyReply(now, requestedAt time.Duration, demands []Demand, reply Reply) []Result {
	results := make([]Result, len(demands))
	if _, unanswered := c.unanswered[reply.Sequence]; reply.Term < c.term || !unanswered || len(reply.Grants) != len(demands) {
		return results
	}
	delete(c.unanswered, reply.Sequence)
	c.term = reply.Term
	c.lastContact = max(c.lastContact, requestedAt)
	for i, demand := range demands {
		grant := reply.Grants[i]
		results[i].RetryAfter, results[i].WarmingUp = grant.RetryAfter, grant.WarmingUp
		results[i].Unenforced = demand.Advertised != nil && !grant.Enforced
		lease := Lease{Name: demand.Name, Amount: grant.Amount, ExpiresAt: requestedAt + c.lifetime()}
		if grant.Amount <= 0 || !lease.Valid(now) || results[i].Unenforced {
			continue
		}
		b := c.balance(demand.Name)
		b.add(lease)
		results[i].Lease, _ = b.take(now, demand.Name, demand.Amount)
	}
	return results
}

// TakeFallback takes an amount from the fallback share, for a client that gets no reply: its equal share of the
// reserve, and of the rate since the last contact.
func (c *Client) TakeFallback(now time.Duration, name string, amount float64) (Lease, bool) {
	return c.takeShare(now, name, amount, now-c.lastContact)
}

// TakeReserve takes an amount from the equal share of the reserve, for a client whose allocator is warming up.
func (c *Client) TakeReserve(now time.Duration, name string, amount float64) (Lease, bool) {
	return c.takeShare(now, name, amount, 0)
}

// takeShare takes an amount from the client's share of the reserve and of the rate during a silence.
func (c *Client) takeShare(now time.Duration, name string, amount float64, silence time.Duration) (Lease, bool) {
	limit, limited := c.limit(name)
	if !limited || now-c.lastContact > c.fallbackPeriod || c.lastContact == 0 {
		return Lease{}, false
	}
	b := c.balance(name)
	b.decayFallbackUse(now, limit.reserve()/c.clients)
	share := limit.reserve()/c.clients + limit.Rate/c.clients*silence.Seconds()
	if b.fallbackUsed+amount > share {
		return Lease{}, false
	}
	b.fallbackUsed += amount
	return Lease{Name: name, Amount: amount, ExpiresAt: now + LeaseTTL, fallback: true}, true
}

// fallbackRecoveryPeriod is how long a fully used reserve takes to recover: the longest window in which limits are
// checked.
const fallbackRecoveryPeriod = 10 * time.Second

// decayFallbackUse reduces the recorded use by a whole reserve per fallbackRecoveryPeriod.
func (b *balance) decayFallbackUse(now time.Duration, reserve float64) {
	elapsed := now - b.fallbackUsedAt
	b.fallbackUsedAt = now
	b.fallbackUsed = max(0, b.fallbackUsed-reserve*float64(elapsed)/float64(fallbackRecoveryPeriod))
}

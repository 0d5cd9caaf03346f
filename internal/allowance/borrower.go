package allowance

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is how fast measured demand is forgotten.
	demandTimeConstant = time.Second
	// prefetchFraction of what the measured demand needs in a lease is asked for ahead, where that is aheadLeast times the amount that
	// is needed now or more: else it would mostly end unused.
	prefetchFraction = 0.5
	minPrefetchRatio = 2.0
	// returnMargin is how long before its end an amount that lies idle is given back with the next question.
	returnMargin = LeaseTTL / 2
)

// Lease is an amount that may be used once, before its time.
type Lease struct {
	Name      string
	Amount    float64
	ExpiresAt time.Duration // by the borrower's clock
	fallback  bool          // from the own part, not lent
}

// Valid reports whether the amount may still be used.
func (l Lease) Valid(now time.Duration) bool { return l.Amount > 0 && now <= l.ExpiresAt }

// Client keeps what one process was lent.
type Client struct {
	name            string
	sequence        uint64 // of the newest question
	repliedSequence uint64 // newest question that was answered
	term            uint64 // newest lender heard of
	lastContact     time.Duration
	clients         float64       // borrowers that share the equal parts, at least 1
	fallbackPeriod  time.Duration // how long a borrower out of touch may use its part
	limits          map[string]Limit
	balances        map[string]*balance

	advertised        map[string]knownLimit // of resources that name their limits
	advertisedSweptAt time.Duration         // when those were last looked through that nobody asks for
}

// balance is what is held of one resource.
type balance struct {
	leases         []Lease       // lent and not used, rising by time
	fallbackUsed   float64       // of the reserve and the own part, not made good yet
	fallbackUsedAt time.Duration // when used was right
	demandRate     float64       // units a second, of the last moments
	demandAt       time.Duration // when some was last taken
}

// NewClient returns a borrower that holds nothing. trust is how long it may use its own part without a lender.
func NewClient(name string, fallbackPeriod time.Duration) *Client {
	return &Client{name: name, fallbackPeriod: fallbackPeriod, clients: 1, limits: map[string]Limit{}, balances: map[string]*balance{}, advertised: map[string]knownLimit{}}
}

// SetLimits replaces the limits.
func (c *Client) SetLimits(limits map[string]Limit) {
	c.limits = limits
	for name := range c.balances {
		if !c.IsLimited(name) {
			delete(c.balances, name)
		}
	}
}

// IsLimited reports whether a resource is limited.
func (c *Client) IsLimited(name string) bool { _, limited := c.limit(name); return limited }

// RecordContact notes that what was asked at a time was answered by the lender of a term, and by how many borrowers own parts are
// shared.
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

// Take takes an amount from what was lent.
func (c *Client) Take(now time.Duration, name string, amount float64) (Lease, bool) {
	b := c.balance(name)
	b.observeDemand(now, amount)
	return b.take(now, name, amount)
}

// RetryTake takes an amount that was wanted before, so that it is not counted as demand once more.
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
	for left := amount; left > 0 && len(b.leases) > 0; { // rounding may leave a trace of what the pieces add up to
		lease := &b.leases[0]
		if result.ExpiresAt == 0 {
			result.ExpiresAt = lease.ExpiresAt // the first piece ends first
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

// expire drops what may be used no more.
func (b *balance) expire(now time.Duration) {
	b.leases = slices.DeleteFunc(b.leases, func(lease Lease) bool { return !lease.Valid(now) })
}

// observeDemand counts a demand.
func (b *balance) observeDemand(now time.Duration, amount float64) {
	b.demandRate = b.demandRate*math.Exp(-float64(now-b.demandAt)/float64(demandTimeConstant)) + amount/demandTimeConstant.Seconds()
	b.demandAt = now
}

// Release gives back to the pocket what was taken and not used.
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
	index, _ := slices.BinarySearchFunc(b.leases, lease.ExpiresAt, func(other Lease, expiresAt time.Duration) int { return int(other.ExpiresAt - expiresAt) })
	b.leases = slices.Insert(b.leases, index, lease)
}

// Demand is an amount that is waited for.
type Demand struct {
	Name       string
	Amount     float64
	Advertised *AdvertisedLimit // where the resource names its limit itself, else nil
}

// NewRequest returns the question for what is wanted, which is sent once. What lies idle and ends soon goes back with it.
func (c *Client) NewRequest(now time.Duration, demands []Demand) Request {
	c.sequence++
	request := Request{Client: c.name, Sequence: c.sequence}
	for _, demand := range demands {
		b := c.balance(demand.Name)
		request.Items = append(request.Items, RequestItem{Name: demand.Name, Amount: demand.Amount, Prefetch: b.prefetch(demand.Amount), Advertised: demand.Advertised})
	}
	for name, b := range c.balances {
		if expiring := b.takeExpiring(now); expiring > 0 {
			request.Returned = append(request.Returned, Grant{Name: name, Amount: expiring})
		}
	}
	return request
}

// prefetch returns how much more than an amount is worth asking for: so many more of the kind.
func (b *balance) prefetch(amount float64) float64 {
	needed := b.demandRate * LeaseTTL.Seconds()
	if needed < minPrefetchRatio*amount {
		return 0
	}
	return amount * math.Floor(prefetchFraction*needed/amount)
}

// takeExpiring takes out what ends soon and nobody has taken.
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

// Result is what became of a want: a hold, or what the lender said instead.
type Result struct {
	Lease      Lease
	RetryAfter time.Duration
	WarmingUp  bool
	Unenforced bool // the lender doesn't count resources that name their limits
}

// ApplyReply takes the answer to the newest question, which was asked at a time, and returns what became of each want. An
// answer that comes twice, or from a lender before the newest one, gives nothing.
func (c *Client) ApplyReply(now, requestedAt time.Duration, demands []Demand, reply Reply) []Result {
	results := make([]Result, len(demands))
	if reply.Term < c.term || reply.Sequence != c.sequence || c.repliedSequence == c.sequence || len(reply.Grants) != len(demands) {
		return results
	}
	c.term, c.repliedSequence = reply.Term, reply.Sequence
	c.lastContact = max(c.lastContact, requestedAt)
	for i, demand := range demands {
		grant := reply.Grants[i]
		results[i].RetryAfter, results[i].WarmingUp = grant.RetryAfter, grant.WarmingUp
		results[i].Unenforced = demand.Advertised != nil && !grant.Enforced
		lease := Lease{Name: demand.Name, Amount: grant.Amount, ExpiresAt: requestedAt + LeaseTTL}
		if grant.Amount <= 0 || !lease.Valid(now) || results[i].Unenforced {
			continue
		}
		b := c.balance(demand.Name)
		b.add(lease)
		results[i].Lease, _ = b.take(now, demand.Name, demand.Amount)
	}
	return results
}

// TakeFallback takes an amount from the own part, for a borrower that gets no answer: its equal part of the reserve, and of the
// rate since it was last in touch.
func (c *Client) TakeFallback(now time.Duration, name string, amount float64) (Lease, bool) {
	return c.takeShare(now, name, amount, now-c.lastContact)
}

// TakeReserve takes an amount from the equal part of the reserve, for a borrower whose lender has just begun with nothing.
func (c *Client) TakeReserve(now time.Duration, name string, amount float64) (Lease, bool) {
	return c.takeShare(now, name, amount, 0)
}

// takeShare takes an amount from the own part of the reserve, and of what the rate brought in so long a silence.
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

// fallbackRecoveryPeriod is how long use of the own part counts: the longest window that limits are judged in.
const fallbackRecoveryPeriod = 10 * time.Second

// decayFallbackUse lets what was used of the own part be forgotten, a whole reserve in ownMemory.
func (b *balance) decayFallbackUse(now time.Duration, reserve float64) {
	elapsed := now - b.fallbackUsedAt
	b.fallbackUsedAt = now
	b.fallbackUsed = max(0, b.fallbackUsed-reserve*float64(elapsed)/float64(fallbackRecoveryPeriod))
}

package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testFallbackPeriod = 3 * time.Second
	testWindow         = 8 * time.Second
	testSilenceTimeout = time.Second
)

// usage is an amount used by a client.
type usage struct {
	at     time.Duration
	amount float64
}

// message is a reply in flight.
type message struct {
	to          int
	requestedAt time.Duration
	deliverAt   time.Duration
	demands     []Demand
	reply       Reply
}

// faultRates are the probabilities of network faults.
type faultRates struct{ loss, duplication, delay float64 }

// fleet simulates an allocator and its clients over a network that loses, delays and duplicates messages, and records
// all use. All randomness comes from one seed.
type fleet struct {
	rng              *rand.Rand
	faults           faultRates
	now              time.Duration
	limit            Limit
	maxAmount        float64
	allocator        *Allocator // nil while there is no leader
	term             uint64
	electedAt        time.Duration
	clients          []*Client
	lastContact      []time.Duration // when each client last contacted an allocator
	pausedUntil      []time.Duration
	partitionedUntil []time.Duration // until when each client cannot reach the allocator
	leases           [][]Lease       // taken and not used yet
	inFlight         []message
	usages           []usage
	advertised       []advertisement // the limit known to each client; nil if the limit is configured
}

const resource = "r"

func newFleet(limit Limit, clients int, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, seed)), now: time.Second, limit: limit, lastContact: make([]time.Duration, clients),
		pausedUntil: make([]time.Duration, clients), partitionedUntil: make([]time.Duration, clients),
		leases: make([][]Lease, clients), clients: make([]*Client, clients),
	}
	for i := range clients {
		f.startClient(i)
	}
	f.elect()
	return f
}

func (f *fleet) startClient(i int) {
	f.clients[i], f.leases[i] = NewClient(fmt.Sprint("b", i, f.now), testFallbackPeriod), nil
	if f.advertised == nil {
		f.clients[i].SetLimits(map[string]Limit{resource: f.limit})
	}
}

func (f *fleet) elect() {
	f.term++
	f.allocator, f.electedAt = NewAllocator(f.term), f.now
	if f.advertised == nil {
		f.allocator.SetLimits(f.now, map[string]Limit{resource: f.limit})
	}
	f.withhold()
}

// withhold withholds the shares of silent clients that may still use their fallback shares.
func (f *fleet) withhold() {
	silent := 0
	for _, at := range f.lastContact {
		currentTerm := at >= f.electedAt
		if currentTerm && f.now-at > testSilenceTimeout && f.now-at < testFallbackPeriod || !currentTerm && f.now-f.electedAt < testFallbackPeriod {
			silent++
		}
	}
	f.allocator.Withhold(f.now, float64(silent)/float64(len(f.lastContact)))
}

func (f *fleet) draw(probability float64) bool { return f.rng.Float64() < probability }

// request makes a client acquire an amount from its leases, from the allocator or from its fallback share.
func (f *fleet) request(i int) {
	c, amount := f.clients[i], f.maxAmount*(0.1+0.9*f.rng.Float64())
	demands := []Demand{{Name: resource, Amount: amount}}
	if f.advertised != nil {
		limit := f.advertised[i].limit(f.now)
		demands[0].Amount, demands[0].Advertised = 1, &limit
		amount = 1
		c.SetAdvertisedLimit(f.now, resource, limit)
	}
	if lease, ok := c.Take(f.now, resource, amount); ok {
		f.leases[i] = append(f.leases[i], lease)
		return
	}
	request := c.NewRequest(f.now, demands)
	if f.allocator == nil || f.now < f.partitionedUntil[i] || f.draw(f.faults.loss) {
		if lease, ok := c.TakeFallback(f.now, resource, amount); ok {
			f.leases[i] = append(f.leases[i], lease)
		}
		return
	}
	f.lastContact[i] = f.now
	reply := f.allocator.Allocate(f.now, request)
	if f.draw(f.faults.duplication) {
		f.allocator.Allocate(f.now, request)
	}
	m := message{to: i, requestedAt: f.now, deliverAt: f.now + time.Millisecond, demands: demands, reply: reply}
	if f.draw(f.faults.delay) {
		m.deliverAt += time.Duration(f.rng.Int64N(int64(time.Second)))
	}
	if !f.draw(f.faults.loss) {
		f.inFlight = append(f.inFlight, m)
	}
	if f.draw(f.faults.duplication) {
		f.inFlight = append(f.inFlight, m)
	}
}

// deliver applies the replies that are due at clients that are not paused.
func (f *fleet) deliver() {
	var undelivered []message
	for _, m := range f.inFlight {
		if f.now < m.deliverAt || f.now < f.pausedUntil[m.to] {
			undelivered = append(undelivered, m)
			continue
		}
		c := f.clients[m.to]
		c.RecordRoundTrip(f.now - m.requestedAt)
		results := c.ApplyReply(f.now, m.requestedAt, m.demands, m.reply)
		c.RecordContact(m.requestedAt, len(f.clients))
		for _, result := range results {
			if result.WarmingUp && result.Lease.Amount == 0 {
				result.Lease, _ = c.TakeReserve(f.now, resource, m.demands[0].Amount)
			}
			if result.Lease.Amount > 0 {
				f.leases[m.to] = append(f.leases[m.to], result.Lease)
			}
		}
	}
	f.inFlight = undelivered
}

// use spends the leases that a client took and that are still valid, or releases them.
func (f *fleet) use(i int) {
	for _, lease := range f.leases[i] {
		switch {
		case f.draw(0.05):
			f.clients[i].Release(f.now, lease)
		case lease.Valid(f.now):
			f.usages = append(f.usages, usage{at: f.now, amount: lease.Amount})
		}
	}
	f.leases[i] = nil
}

// step advances the time by 10 ms; each running client requests an amount with the given probability.
func (f *fleet) step(demandProbability float64) {
	f.now += 10 * time.Millisecond
	if f.allocator != nil {
		f.withhold()
	}
	f.deliver()
	for i := range f.clients {
		if f.now < f.pausedUntil[i] {
			continue
		}
		f.use(i)
		if f.draw(demandProbability) {
			f.request(i)
		}
	}
}

// inject injects a fault.
func (f *fleet) inject(kind string, duration time.Duration, fraction float64) {
	for i := range f.clients {
		if !f.draw(fraction) {
			continue
		}
		switch kind {
		case "pause":
			f.pausedUntil[i] = f.now + duration
		case "cut":
			f.partitionedUntil[i] = f.now + duration
		case "restart":
			f.startClient(i)
		}
	}
	switch kind {
	case "fall":
		f.allocator = nil
	case "elect":
		f.elect()
	}
}

// maxWindowUsage returns the largest amount used in any window.
func (f *fleet) maxWindowUsage() float64 {
	maxUsed, sum, first := 0.0, 0.0, 0
	for _, u := range f.usages {
		for sum += u.amount; f.usages[first].at < u.at-testWindow; first++ {
			sum -= f.usages[first].amount
		}
		maxUsed = max(maxUsed, sum)
	}
	return maxUsed
}

// Whatever is lost, delayed, duplicated, paused, partitioned or newly elected, all clients together stay within the
// limit in every window.
func TestUseInAnyWindowStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := 1000.0
		limit := Limit{Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(t, "burst")}
		limit.Slack = 0.1*(rate*testWindow.Seconds()+limit.Burst) + rate*rapid.Float64Range(0, 0.3).Draw(t, "slack")
		f := newFleet(limit, rapid.IntRange(1, 12).Draw(t, "borrowers"), rapid.Uint64().Draw(t, "seed"))
		f.maxAmount = rate * rapid.Float64Range(0.001, 0.2).Draw(t, "largest")
		f.faults = faultRates{
			loss: rapid.Float64Range(0, 0.2).Draw(t, "lost"), duplication: rapid.Float64Range(0, 0.2).Draw(t, "repeated"),
			delay: rapid.Float64Range(0, 0.2).Draw(t, "late"),
		}
		demandProbability := rapid.Float64Range(0.05, 1).Draw(t, "eagerness")
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				f.step(demandProbability)
			}
			kind := rapid.SampledFrom([]string{"pause", "cut", "restart", "fall", "elect"}).Draw(t, "kind")
			f.inject(kind, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond, rapid.Float64Range(0, 0.34).Draw(t, "share"))
		}
		for range 300 {
			f.step(demandProbability)
		}
		if used, allowed := f.maxWindowUsage(), limit.Rate*testWindow.Seconds()+limit.Burst+limit.Slack; used > allowed*1.000001 {
			t.Fatalf("used %.0f in a window, %.0f allowed", used, allowed)
		}
	})
}

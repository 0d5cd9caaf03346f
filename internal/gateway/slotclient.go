package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/gateway/slotqueue"
	"kitetiller/internal/transport"
)

// slotClient asks for slots of small services. It is safe for concurrent use.
type slotClient struct {
	transport *transport.Client
	endSlots  chan struct{} // one element per report in flight

	mu           sync.Mutex
	schedulers   []string                 // serving schedulers of all zones
	down         map[string]time.Duration // schedulers that failed to reply, with the time of the next probe
	shareRunning map[string]int           // requests in slots of the equal part, by service
	work         map[string]time.Duration // smoothed time that requests take, by service
	waits        map[string]toldWait      // by back end
	lateSince    map[string]time.Duration // schedulers that have replied late since then, and not in time
}

// toldWait is the predicted wait of a new request at a back end, as told by its scheduler.
type toldWait struct{ wait, at time.Duration }

func newSlotClient(client *transport.Client) *slotClient {
	return &slotClient{
		transport: client, endSlots: make(chan struct{}, maxPendingEnds), down: map[string]time.Duration{}, shareRunning: map[string]int{}, work: map[string]time.Duration{},
		waits: map[string]toldWait{}, lateSince: map[string]time.Duration{},
	}
}

// setSchedulers replaces the schedulers of the fleet.
func (c *slotClient) setSchedulers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedulers = addresses
	for address := range c.down {
		if !slices.Contains(addresses, address) {
			delete(c.down, address)
		}
	}
	for address := range c.lateSince {
		if !slices.Contains(addresses, address) {
			delete(c.lateSince, address)
		}
	}
}

// exist reports whether control names schedulers of the fleet.
func (c *slotClient) exist() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.schedulers) > 0
}

// forBackEnd returns the schedulers that reply, in the order in which all gateways ask them for a back end of a service,
// and those that have to be probed.
func (c *slotClient) forBackEnd(now time.Duration, service, backEnd string) (usable, probe []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.schedulers {
		probeAt, down := c.down[address]
		switch {
		case !down:
			usable = append(usable, address)
		case now >= probeAt:
			c.down[address] = now + schedulerRetryInterval
			probe = append(probe, address)
		}
	}
	key := mix(xxhash.Sum64String(service)) ^ xxhash.Sum64String(backEnd)
	slices.SortFunc(usable, func(a, b string) int {
		return cmp.Or(cmp.Compare(mix(key^xxhash.Sum64String(b)), mix(key^xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
	return usable, probe
}

// setDown records that a scheduler did not reply.
func (c *slotClient) setDown(now time.Duration, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.schedulers, address) {
		c.down[address] = now + schedulerRetryInterval
	}
}

// setUp records that a scheduler replies.
func (c *slotClient) setUp(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, address)
}

// recordReply records that a scheduler replied to a call in time.
func (c *slotClient) recordReply(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lateSince, address)
}

// recordLate records that a scheduler did not reply to a call in time. It reports whether it is the first call since the
// latest reply in time, and whether the scheduler has to be replaced.
func (c *slotClient) recordLate(now time.Duration, address string) (first, replace bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, known := c.lateSince[address]
	if !known {
		c.lateSince[address] = now
		return true, false
	}
	if now-since < slotLateLimit {
		return false, false
	}
	delete(c.lateSince, address)
	return false, true
}

// recordWait records the wait that a scheduler told for a back end.
func (c *slotClient) recordWait(now time.Duration, backEnd string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waits) >= maxToldWaits {
		maps.DeleteFunc(c.waits, func(_ string, told toldWait) bool { return now >= told.at+slotWaitTTL })
	}
	c.waits[backEnd] = toldWait{wait: wait, at: now}
}

// slotOption is a back end whose slots a request may ask for.
type slotOption struct {
	id, zone string
	slots    int
	avoided  bool
}

// pick puts two random options first, weighted by their slots: the one with the shorter wait, on ties the one in the
// given zone, before the other. Avoided options are left out unless all are avoided. intN returns a random number below
// its argument. The given slice is modified.
func (c *slotClient) pick(now time.Duration, zone string, options []slotOption, intN func(int) int) []slotOption {
	if slices.ContainsFunc(options, func(o slotOption) bool { return !o.avoided }) {
		options = slices.DeleteFunc(options, func(o slotOption) bool { return o.avoided })
	}
	picked := options[:min(2, len(options))]
	for i := range picked {
		sum := 0
		for _, o := range options[i:] {
			sum += o.slots
		}
		drawn, j := intN(sum), i
		for ; drawn >= options[j].slots; j++ {
			drawn -= options[j].slots
		}
		options[i], options[j] = options[j], options[i]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(picked, func(a, b slotOption) int {
		return cmp.Or(cmp.Compare(c.expectedWait(now, a.id), c.expectedWait(now, b.id)), slotqueue.CompareBool(a.zone != zone, b.zone != zone))
	})
	return options
}

// expectedWait returns the wait told for a back end, in milliseconds. It decreases to 0 over slotWaitTTL. The caller
// holds the mutex.
func (c *slotClient) expectedWait(now time.Duration, backEnd string) int64 {
	told := c.waits[backEnd]
	left := max(0, min(slotWaitTTL, told.at+slotWaitTTL-now))
	return int64(float64(told.wait.Milliseconds()) * float64(left) / float64(slotWaitTTL))
}

// probe asks whether a scheduler replies, by reporting the end of no request.
func (c *slotClient) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, slotProbeTimeout)
	defer cancel()
	return c.transport.Post(ctx, address, pathEnd, wirePlacementEnd{}, nil) == nil
}

// probeInBackground probes schedulers that failed to reply, and uses them again if they do. Requests don't wait for it.
func (c *slotClient) probeInBackground(addresses []string) {
	for _, address := range addresses {
		go func() {
			if c.probe(context.Background(), address) {
				c.setUp(address)
			}
		}()
	}
}

// probeOthers probes the schedulers that count as replying, other than the given ones, after one has failed: a gateway
// that is cut off from a zone would otherwise wait for each scheduler of that zone in turn.
func (c *slotClient) probeOthers(now time.Duration, except ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.schedulers {
		if _, down := c.down[address]; down || slices.Contains(except, address) {
			continue
		}
		go func() {
			if !c.probe(context.Background(), address) {
				c.setDown(now, address)
			}
		}()
	}
}

// reportEnd reports the end of a request in the background, and again if there is no reply: until the request's
// time-out a lost report blocks one of few slots.
func (c *slotClient) reportEnd(address string, end wirePlacementEnd) {
	select {
	case c.endSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.endSlots }()
		for range slotEndAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), placementEndTimeout)
			err := c.transport.Post(ctx, address, pathEnd, end, nil)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// meanWork returns the mean time that a service's requests take.
func (c *slotClient) meanWork(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.work[service], slotqueue.InitialWork)
}

// recordWork records the time that a request took.
func (c *slotClient) recordWork(service string, took time.Duration) {
	mean := c.meanWork(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work[service] = mean + time.Duration(slotWorkSmoothing*float64(took-mean))
}

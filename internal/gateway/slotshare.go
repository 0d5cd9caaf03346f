package gateway

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/gateway/slotqueue"
)

// acquireShare takes a slot of the equal part if fewer than limit are taken.
func (c *slotClient) acquireShare(service string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shareRunning[service] >= limit {
		return false
	}
	c.shareRunning[service]++
	return true
}

// releaseShare returns a slot of the equal part.
func (c *slotClient) releaseShare(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shareRunning[service]--; c.shareRunning[service] <= 0 {
		delete(c.shareRunning, service)
	}
}

// placeInShare selects a back end within this gateway's equal part of the slots, for when no scheduler replies. The
// back end is chosen by the gateway's own hash, so that gateways spread over all of them without communicating.
func (x *exchange) placeInShare(slots int, in selectionInput) *candidate {
	g := x.gateway
	x.slot.source = slotSourceShare
	limit := max(1, slots/max(1, int(g.gatewayCount.Load())))
	if !g.slots.acquireShare(x.service.Name, limit) {
		return x.slotRejection(g.slots.meanWork(x.service.Name))
	}
	row := g.shareBackEnd(in)
	if row == nil {
		g.slots.releaseShare(x.service.Name)
		return nil
	}
	return &candidate{row: row, slot: &slotGrant{share: true}}
}

// shareBackEnd returns the eligible back end that this gateway's hash selects, or nil. One that is avoided is selected
// only if there is no other.
func (g *Gateway) shareBackEnd(in selectionInput) *endpoint {
	now := g.now()
	key := xxhash.Sum64String(g.settings.Name)
	g.table.mutex.Lock()
	defer g.table.mutex.Unlock()
	var best *endpoint
	for _, row := range g.table.services[in.service.Name] {
		if !g.eligible(now, row, in) {
			continue
		}
		if best == nil || cmp.Or(slotqueue.CompareBool(g.avoided(now, row), g.avoided(now, best)), cmp.Compare(mix(key^best.hash), mix(key^row.hash))) < 0 {
			best = row
		}
	}
	return best
}

package mesh

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetSchedulers is the number of schedulers in a large fleet, minSchedulersPerZone the minimum in each zone.
	// Every scheduler receives every announcement, so total work grows with their number; with few schedulers, each
	// sees enough requests to estimate the state of the engines well.
	targetSchedulers     = 12
	minSchedulersPerZone = 2
	// schedulerWarmUp is how long a new scheduler only receives announcements before it accepts placement requests, if
	// its zone has others.
	schedulerWarmUp = 1500 * time.Millisecond
)

// Gateway is a gateway that was seen recently and that other gateways can reach.
type Gateway struct {
	Peer
	Zone   string
	Tunnel string // address at which it opens tunnels to back ends, or ""
}

// Planner computes layouts. The zero value has an empty layout.
type Planner struct {
	// AllSchedule makes every gateway a scheduler.
	AllSchedule bool

	layout         Layout
	count          uint64                   // of changes of layout
	schedulerSince map[string]time.Duration // when each scheduler became one, by name
}

// Layout returns the newest layout and a count that increases whenever the layout changes.
func (p *Planner) Layout() (*Layout, uint64) { return &p.layout, p.count }

// Plan computes the layout of the given gateways.
func (p *Planner) Plan(now time.Duration, gateways []Gateway) {
	zones, tunnels := map[string][]Peer{}, map[string][]Peer{}
	for _, g := range gateways {
		zones[g.Zone] = append(zones[g.Zone], g.Peer)
		if g.Tunnel != "" {
			tunnels[g.Zone] = append(tunnels[g.Zone], Peer{Name: g.Name, Address: g.Tunnel})
		}
	}
	previous := p.schedulerSince
	p.schedulerSince = map[string]time.Duration{}
	next := Layout{Zones: make(map[string]Zone, len(zones))}
	for name, peers := range zones {
		schedulers, all := p.chooseSchedulers(peers, len(zones))
		for _, peer := range schedulers {
			since, stays := previous[peer.Name]
			if !stays {
				since = now
			}
			p.schedulerSince[peer.Name] = since
		}
		next.Zones[name] = Zone{Schedulers: schedulers, Serving: p.serving(now, schedulers), AllSchedule: all, Tunnels: topByHash(tunnels[name], name, maxTunnelPeersOfZone)}
	}
	if p.count == 0 || !reflect.DeepEqual(next, p.layout) {
		p.layout = next
		p.count++
	}
}

// chooseSchedulers returns the schedulers of a zone in ascending order of name. It selects the gateways with the
// highest hash weights, so that few schedulers change when gateways come and go.
func (p *Planner) chooseSchedulers(peers []Peer, zones int) (schedulers []Peer, all bool) {
	count := max(minSchedulersPerZone, (targetSchedulers+zones-1)/zones)
	all = len(peers) <= count || p.AllSchedule
	if !all {
		weights := make(map[string]uint64, len(peers))
		for _, peer := range peers {
			weights[peer.Name] = xxhash.Sum64String(peer.Name)
		}
		slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
		peers = peers[:count]
	}
	schedulers = slices.Clone(peers)
	slices.SortFunc(schedulers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return schedulers, all
}

// serving returns the addresses of the schedulers that have warmed up, or of all schedulers if none has.
func (p *Planner) serving(now time.Duration, schedulers []Peer) []string {
	var warm, all []string
	for _, s := range schedulers {
		all = append(all, s.Address)
		if now >= p.schedulerSince[s.Name]+schedulerWarmUp {
			warm = append(warm, s.Address)
		}
	}
	if len(warm) == 0 {
		return all
	}
	return warm
}

// Engine is an engine that publishes cache events.
type Engine struct{ ID, Zone string }

// CacheEventSources assigns each engine to one scheduler that reads its cache events, and returns the IDs of the
// engines by scheduler. It uses rendezvous hashing over the schedulers of the engine's zone, or over all schedulers if
// the zone has none, so that few assignments change when gateways come and go. The IDs of each scheduler keep the order
// of engines.
func (l *Layout) CacheEventSources(engines []Engine) map[string][]string {
	sources := map[string][]string{}
	var allSchedulers []Peer
	for _, zone := range l.sortedZones() {
		allSchedulers = append(allSchedulers, l.Zones[zone].Schedulers...)
	}
	for _, e := range engines {
		candidates := l.Zones[e.Zone].Schedulers
		if len(candidates) == 0 {
			candidates = allSchedulers
		}
		if reader := rendezvousHash(e.ID, candidates); reader != "" {
			sources[reader] = append(sources[reader], e.ID)
		}
	}
	return sources
}

// rendezvousHash returns the name of the peer with the highest hash weight for a key, or "" if there are no peers.
func rendezvousHash(key string, peers []Peer) string {
	best, highest := "", uint64(0)
	for _, peer := range peers {
		if weight := xxhash.Sum64String(key + "/" + peer.Name); best == "" || weight > highest {
			best, highest = peer.Name, weight
		}
	}
	return best
}

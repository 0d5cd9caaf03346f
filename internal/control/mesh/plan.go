package mesh

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetSchedulers is how many gateways of a large fleet place requests, and schedulersLeast how many of each zone. Each
	// hears of every send, so the work of all grows with their number, while each of so few sees enough requests to know
	// the engines well (design/015).
	targetSchedulers     = 12
	minSchedulersPerZone = 2
	// schedulerWarmUp is how long a new scheduler only hears of sends, while its zone has others, before it is asked.
	schedulerWarmUp = 1500 * time.Millisecond
)

// Gateway is one that asked lately and can be reached by others.
type Gateway struct {
	Peer
	Zone string
}

// Planner lays gateways out, again and again. Its zero value has laid nobody out.
type Planner struct {
	// AllSchedule is set where the choice of a few is switched off.
	AllSchedule bool

	layout         Layout
	count          uint64                   // of layouts that differed from the one before
	schedulerSince map[string]time.Duration // by scheduler: when it became one
}

// Layout returns the newest layout and its count, which rises with each that differs.
func (p *Planner) Layout() (*Layout, uint64) { return &p.layout, p.count }

// Plan lays the gateways out.
func (p *Planner) Plan(now time.Duration, gateways []Gateway) {
	zones := map[string][]Peer{}
	for _, g := range gateways {
		zones[g.Zone] = append(zones[g.Zone], g.Peer)
	}
	before := p.schedulerSince
	p.schedulerSince = map[string]time.Duration{}
	next := Layout{Zones: make(map[string]Zone, len(zones))}
	for name, places := range zones {
		chosen, all := p.chooseSchedulers(places, len(zones))
		for _, place := range chosen {
			since, stays := before[place.Name]
			if !stays {
				since = now
			}
			p.schedulerSince[place.Name] = since
		}
		next.Zones[name] = Zone{Schedulers: chosen, Serving: p.serving(now, chosen), AllSchedule: all}
	}
	if p.count == 0 || !reflect.DeepEqual(next, p.layout) {
		p.layout = next
		p.count++
	}
}

// chooseSchedulers returns the gateways of a zone that place requests, rising by name: those of the highest random weights, so that few
// change when gateways come and go.
func (p *Planner) chooseSchedulers(places []Peer, zones int) (chosen []Peer, all bool) {
	count := max(minSchedulersPerZone, (targetSchedulers+zones-1)/zones)
	all = len(places) <= count || p.AllSchedule
	if !all {
		weights := make(map[string]uint64, len(places))
		for _, place := range places {
			weights[place.Name] = xxhash.Sum64String(place.Name)
		}
		slices.SortFunc(places, func(a, b Peer) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
		places = places[:count]
	}
	chosen = slices.Clone(places)
	slices.SortFunc(chosen, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return chosen, all
}

// serving returns the schedulers that others may ask: all but those that became one a moment ago, unless all did.
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

// Engine is an engine whose cache events are to be read.
type Engine struct{ ID, Zone string }

// CacheEventSources gives each engine a scheduler that reads its cache events: the one of the highest random weight in the engine's
// zone, or anywhere if that zone has none, so that few change when gateways come and go. Engines rise by id, and so do those of
// each reader.
func (l *Layout) CacheEventSources(engines []Engine) map[string][]string {
	reads := map[string][]string{}
	var everywhere []Peer
	for _, zone := range l.sortedZones() {
		everywhere = append(everywhere, l.Zones[zone].Schedulers...)
	}
	for _, e := range engines {
		near := l.Zones[e.Zone].Schedulers
		if len(near) == 0 {
			near = everywhere
		}
		if reader := rendezvousHash(e.ID, near); reader != "" {
			reads[reader] = append(reads[reader], e.ID)
		}
	}
	return reads
}

// rendezvousHash returns the name of the highest random weight for a key (rendezvous hashing), or "" of none.
func rendezvousHash(key string, places []Peer) string {
	best, highest := "", uint64(0)
	for _, place := range places {
		if weight := xxhash.Sum64String(key + "/" + place.Name); best == "" || weight > highest {
			best, highest = place.Name, weight
		}
	}
	return best
}

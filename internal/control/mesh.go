package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitetiller/internal/mechanism"
)

// Mesh is whom one gateway tells of sends, so that each send reaches every scheduler in a few steps and passes between two
// zones once. Schedulers are the gateways that place requests: all of a small fleet, a few of each zone of a large one,
// which place for the others as well. The schedulers of a zone form a grid: a send goes along the row of the one that made
// it, and from there down the columns. One scheduler of each other zone gets it too and spreads it there.
type Mesh struct {
	Row        []string `json:"row,omitempty"`        // addresses in the own row: they pass what they are told to their columns
	Column     []string `json:"column,omitempty"`     // addresses in the own column: they keep what they are told
	Abroad     []string `json:"abroad,omitempty"`     // one address in each other zone: it tells its row and column
	Schedulers []string `json:"schedulers,omitempty"` // addresses to ask for a placement; empty at a scheduler
}

// meshPlan is the layout that meshes are taken from, made anew now and then.
type meshPlan struct {
	at         time.Duration
	zones      map[string][]string      // names of gateways, rising; nil before the first layout
	schedulers map[string][]string      // by zone; names, rising
	since      map[string]time.Duration // by scheduler: when it became one
	reads      map[string][]string      // by gateway: engines whose cache events it reads, rising; each engine has one reader at most
}

const (
	// meshEach is how often gateways are laid out anew.
	meshEach = 250 * time.Millisecond
	// schedulersWanted is how many gateways of a large fleet place requests, and schedulersLeast how many of each zone. Each
	// hears of every send, so the work of all grows with their number, while each of so few sees enough requests to know
	// the engines well (design/015).
	schedulersWanted = 12
	schedulersLeast  = 2
	// schedulerWarmUp is how long a new scheduler only hears of sends, while its zone has others, before it is asked.
	schedulerWarmUp = 1500 * time.Millisecond
)

// layout returns the newest layout of the gateways that asked lately.
func (r *Replica) layout(now time.Duration) *meshPlan {
	plan := &r.lead.meshes
	if plan.zones != nil && now < plan.at+meshEach {
		return plan
	}
	before := plan.since
	*plan = meshPlan{at: now, zones: map[string][]string{}, schedulers: map[string][]string{}, since: map[string]time.Duration{}}
	for _, name := range sortedKeys(r.lead.usage) {
		report := r.lead.usage[name]
		if report.address != "" && now-report.at <= usageCounts {
			plan.zones[report.zone] = append(plan.zones[report.zone], name)
		}
	}
	for zone, names := range plan.zones {
		plan.schedulers[zone] = r.schedulersOf(names, len(plan.zones))
		for _, name := range plan.schedulers[zone] {
			since, stays := before[name]
			if !stays {
				since = now
			}
			plan.since[name] = since
		}
	}
	plan.reads = r.readers(plan.schedulers)
	return plan
}

// schedulersOf returns the gateways of a zone that place requests, in the order of their names: those of the highest random
// weights, so that few change when gateways come and go.
func (r *Replica) schedulersOf(names []string, zones int) []string {
	count := max(schedulersLeast, (schedulersWanted+zones-1)/zones)
	if len(names) <= count || !r.config.Mechanisms.On(mechanism.Schedulers) {
		return names
	}
	weights := map[string]uint64{}
	for _, name := range names {
		weights[name] = xxhash.Sum64String(name)
	}
	chosen := slices.SortedFunc(slices.Values(names), func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })[:count]
	slices.Sort(chosen)
	return chosen
}

// asked returns the schedulers of a zone that others may ask: all but those that became one a moment ago, unless all did.
func (p *meshPlan) asked(now time.Duration, zone string) []string {
	all := p.schedulers[zone]
	warm := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return now < p.since[name]+schedulerWarmUp })
	if len(warm) == 0 {
		return all
	}
	return warm
}

// readers gives each engine a gateway that reads its cache events: the one of the highest random weight in the engine's
// zone, or anywhere if that zone has none, so that few change when gateways come and go.
func (r *Replica) readers(zones map[string][]string) map[string][]string {
	reads := map[string][]string{}
	var everywhere []string
	for _, zone := range sortedKeys(zones) {
		everywhere = append(everywhere, zones[zone]...)
	}
	instances := r.machine.catalog.Instances()
	for _, id := range sortedKeys(instances) {
		if !r.lead.fleet[id].engine() {
			continue
		}
		near := zones[instances[id].Zone]
		if len(near) == 0 {
			near = everywhere
		}
		if reader := highestWeight(id, near); reader != "" {
			reads[reader] = append(reads[reader], id)
		}
	}
	return reads
}

// highestWeight returns the name of the highest random weight for a key (rendezvous hashing), or "" of none.
func highestWeight(key string, names []string) string {
	best, highest := "", uint64(0)
	for _, name := range names {
		if weight := xxhash.Sum64String(key + "/" + name); best == "" || weight > highest {
			best, highest = name, weight
		}
	}
	return best
}

// meshOf returns the mesh of a gateway among those that asked lately; it is empty until the gateway is laid out.
func (r *Replica) meshOf(now time.Duration, asking string) Mesh {
	plan := r.layout(now)
	own := r.lead.usage[asking].zone
	if _, found := slices.BinarySearch(plan.zones[own], asking); !found {
		return Mesh{}
	}
	at, schedules := slices.BinarySearch(plan.schedulers[own], asking)
	if !schedules {
		return Mesh{Schedulers: r.gatewayAddresses(plan.asked(now, own)...)}
	}
	row, column := gridPeers(len(plan.schedulers[own]), at)
	mesh := Mesh{Row: r.addressesAt(plan.schedulers[own], row), Column: r.addressesAt(plan.schedulers[own], column)}
	for _, zone := range sortedKeys(plan.schedulers) {
		if members := plan.schedulers[zone]; zone != own {
			mesh.Abroad = append(mesh.Abroad, r.gatewayAddresses(members[at%len(members)])...)
		}
	}
	return mesh
}

func (r *Replica) addressesAt(names []string, places []int) []string {
	var found []string
	for _, at := range places {
		found = append(found, r.gatewayAddresses(names[at])...)
	}
	return found
}

func (r *Replica) gatewayAddresses(names ...string) []string {
	var found []string
	for _, name := range names {
		if address := r.lead.usage[name].address; address != "" { // it may have closed since it was laid out
			found = append(found, address)
		}
	}
	return found
}

// gridAbove is the size up to which everybody tells everybody.
const gridAbove = 9

// gridPeers returns the row and the column of one of so many places in a grid as wide as high. A place in a short last
// row stands for the columns that the row lacks, so that row and columns together reach every place.
func gridPeers(size, at int) (row, column []int) {
	width := 1
	for width*width < size {
		width++
	}
	if size <= gridAbove {
		width = size
	}
	first := at / width * width
	length := min(width, size-first)
	for place := range size {
		switch {
		case place == at:
		case place >= first && place < first+length:
			row = append(row, place)
		case place%width%length == at-first:
			column = append(column, place)
		}
	}
	return row, column
}

package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Mesh is whom one gateway tells of sends, so that each send reaches every gateway in a few steps and passes between two
// zones once. The gateways of a zone form a grid: a send goes along the row of the gateway that made it, and from there
// down the columns. One gateway of each other zone gets it too and spreads it there.
type Mesh struct {
	Row    []string `json:"row,omitempty"`    // addresses in the own row: they pass what they are told to their columns
	Column []string `json:"column,omitempty"` // addresses in the own column: they keep what they are told
	Abroad []string `json:"abroad,omitempty"` // one address in each other zone: it tells its row and column
}

// meshPlan is the layout that meshes are taken from, made anew now and then.
type meshPlan struct {
	at    time.Duration
	zones map[string][]string // names of gateways, rising; nil before the first layout
	reads map[string][]string // by gateway: engines whose cache events it reads, rising; each engine has one reader at most
}

// meshEach is how often gateways are laid out anew.
const meshEach = 250 * time.Millisecond

// layout returns the gateways of each zone that asked lately.
func (r *Replica) layout(now time.Duration) map[string][]string {
	plan := &r.lead.meshes
	if plan.zones != nil && now < plan.at+meshEach {
		return plan.zones
	}
	*plan = meshPlan{at: now, zones: map[string][]string{}}
	for _, name := range sortedKeys(r.lead.usage) {
		report := r.lead.usage[name]
		if report.address != "" && now-report.at <= usageCounts {
			plan.zones[report.zone] = append(plan.zones[report.zone], name)
		}
	}
	plan.reads = r.readers(plan.zones)
	return plan.zones
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
	zones := r.layout(now)
	own := r.lead.usage[asking].zone
	at, found := slices.BinarySearch(zones[own], asking)
	if !found {
		return Mesh{}
	}
	row, column := gridPeers(len(zones[own]), at)
	mesh := Mesh{Row: r.gatewayAddresses(zones[own], row), Column: r.gatewayAddresses(zones[own], column)}
	for _, zone := range sortedKeys(zones) {
		if members := zones[zone]; zone != own {
			mesh.Abroad = append(mesh.Abroad, r.gatewayAddresses(members, []int{at % len(members)})...)
		}
	}
	return mesh
}

func (r *Replica) gatewayAddresses(names []string, places []int) []string {
	var found []string
	for _, at := range places {
		if address := r.lead.usage[names[at]].address; address != "" { // it may have closed since it was laid out
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

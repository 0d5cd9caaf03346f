// Package mesh lays gateways out: which of them place requests, whom each tells of sends, and who reads which engine's cache events. It has
// no I/O, lock or clock.
package mesh

import "slices"

// Mesh is whom one gateway tells of sends, so that each send reaches every scheduler in a few steps and passes between two
// zones once. Schedulers are the gateways that place requests: all of a small fleet, a few of each zone of a large one,
// which place for the others as well. The schedulers of a zone form a grid: a send goes along the row of the one that made
// it, and from there down the columns. One scheduler of each other zone gets it too and spreads it there.
type Mesh struct {
	Row        []string `json:"row,omitempty"`        // addresses in the own row: they pass what they are told to their columns
	Column     []string `json:"column,omitempty"`     // addresses in the own column: they keep what they are told
	OtherZones []string `json:"abroad,omitempty"`     // one address in each other zone: it tells its row and column
	Schedulers []string `json:"schedulers,omitempty"` // addresses to ask for a placement; empty at a scheduler
}

// Peer is where a gateway is reached by others.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Zone is the layout of one zone.
type Zone struct {
	Schedulers  []Peer   `json:"schedulers,omitempty"` // rising by name
	Serving     []string `json:"asked,omitempty"`      // addresses of those that others ask for placements
	AllSchedule bool     `json:"all,omitempty"`        // every gateway is a scheduler
}

// Layout is how all gateways are laid out. It never changes once it was told.
type Layout struct {
	Zones map[string]Zone `json:"zones,omitempty"`
}

// MeshOf returns the mesh of a gateway. It is empty until a gateway that is to schedule has been laid out.
func (l *Layout) MeshOf(zone, name string) Mesh {
	own := l.Zones[zone]
	at, schedules := own.schedulerIndex(name)
	switch {
	case !schedules && own.AllSchedule:
		return Mesh{}
	case !schedules:
		return Mesh{Schedulers: own.Serving}
	}
	row, column := gridPeers(len(own.Schedulers), at)
	made := Mesh{Row: own.addresses(row), Column: own.addresses(column)}
	for _, other := range l.sortedZones() {
		if members := l.Zones[other].Schedulers; other != zone && len(members) > 0 {
			made.OtherZones = append(made.OtherZones, members[at%len(members)].Address)
		}
	}
	return made
}

// sortedZones returns the names of the sortedZones, rising.
func (l *Layout) sortedZones() []string {
	names := make([]string, 0, len(l.Zones))
	for name := range l.Zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// schedulerIndex returns the place of a gateway among the schedulers.
func (z Zone) schedulerIndex(name string) (int, bool) {
	at := slices.IndexFunc(z.Schedulers, func(p Peer) bool { return p.Name == name })
	return at, at >= 0
}

func (z Zone) addresses(places []int) []string {
	var found []string
	for _, at := range places {
		found = append(found, z.Schedulers[at].Address)
	}
	return found
}

// maxFullMesh is the size up to which everybody tells everybody.
const maxFullMesh = 9

// gridPeers returns the row and the column of one of so many places in a grid as wide as high. A place in a short last
// row stands for the columns that the row lacks, so that row and columns together reach every place.
func gridPeers(size, at int) (row, column []int) {
	width := 1
	for width*width < size {
		width++
	}
	if size <= maxFullMesh {
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

// Package mesh computes the layout of the gateways: which of them are schedulers that place requests, which peers each
// announces dispatched requests to, and which scheduler reads the cache events of each engine. It has no I/O, locks or
// clock.
package mesh

import (
	"slices"

	"kitetiller/internal/streamorigin"
)

// Mesh lists the peers of a gateway. Announcements of dispatched requests travel over it, so that each reaches every
// scheduler in a few hops and crosses between two zones once.
//
// Schedulers are the gateways that place requests: all gateways of a small fleet, or a few per zone of a large one,
// which also place requests for the others. The schedulers of a zone form a grid. An announcement goes along the row of
// its origin and from there down the columns. One scheduler of every other zone receives it too and forwards it there.
type Mesh struct {
	Row        []string `json:"row,omitempty"`        // addresses of the peers in the same row; they forward announcements to their columns
	Column     []string `json:"column,omitempty"`     // addresses of the peers in the same column; they forward nothing
	OtherZones []string `json:"abroad,omitempty"`     // one address per other zone; that peer forwards to its row and column
	Schedulers []string `json:"schedulers,omitempty"` // addresses for placement requests; empty for a scheduler
	// FleetSchedulers are the addresses of the schedulers of all zones that accept placement requests. It is empty while
	// every gateway is a scheduler. Control replicas of earlier builds don't send it.
	FleetSchedulers []string `json:"fleet,omitempty"`
	// Tunnels and OtherTunnels are the addresses at which peers of the own and of other zones open tunnels to back ends.
	// Gateways and control replicas of earlier builds announce none.
	Tunnels      []string `json:"tunnels,omitempty"`
	OtherTunnels []string `json:"tunnels_abroad,omitempty"`
	// RecordHolders are the gateways that keep records of streams for others, the same for all gateways. Control replicas
	// of earlier builds send none.
	RecordHolders []streamorigin.Zone `json:"record_holders,omitempty"`
}

// Peer is a gateway's name and its address for other gateways.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Zone is the layout of one zone.
type Zone struct {
	Schedulers  []Peer   `json:"schedulers,omitempty"` // in ascending order of name
	Serving     []string `json:"asked,omitempty"`      // addresses of the schedulers that accept placement requests
	AllSchedule bool     `json:"all,omitempty"`        // every gateway is a scheduler
	Tunnels     []Peer   `json:"tunnels,omitempty"`    // gateways that open tunnels, by their addresses for that; at most maxTunnelPeersOfZone
}

// Layout is the layout of all gateways. It is immutable once published.
type Layout struct {
	Zones map[string]Zone `json:"zones,omitempty"`
}

// MeshOf returns the mesh of a gateway. It has no peers if the gateway is not part of the layout yet and all gateways of
// its zone are schedulers.
func (l *Layout) MeshOf(zone, name string) Mesh {
	mesh := l.peersOf(zone, name)
	mesh.FleetSchedulers = l.fleetSchedulers()
	mesh.Tunnels, mesh.OtherTunnels = l.tunnelsOf(zone, name)
	mesh.RecordHolders = l.recordHolders()
	return mesh
}

// fleetSchedulers returns the addresses of the schedulers of all zones that accept placement requests, or nil while every
// gateway is a scheduler.
func (l *Layout) fleetSchedulers() []string {
	var addresses []string
	chosen := false
	for _, name := range l.sortedZones() {
		chosen = chosen || !l.Zones[name].AllSchedule
		addresses = append(addresses, l.Zones[name].Serving...)
	}
	if !chosen {
		return nil
	}
	return addresses
}

// peersOf returns the mesh of a gateway without the schedulers of the fleet.
func (l *Layout) peersOf(zone, name string) Mesh {
	zoneLayout := l.Zones[zone]
	index, schedules := zoneLayout.schedulerIndex(name)
	switch {
	case !schedules && zoneLayout.AllSchedule:
		return Mesh{}
	case !schedules:
		return Mesh{Schedulers: zoneLayout.Serving}
	}
	row, column := gridPeers(len(zoneLayout.Schedulers), index)
	mesh := Mesh{Row: zoneLayout.addresses(row), Column: zoneLayout.addresses(column)}
	for _, other := range l.sortedZones() {
		if members := l.Zones[other].Schedulers; other != zone && len(members) > 0 {
			mesh.OtherZones = append(mesh.OtherZones, members[index%len(members)].Address)
		}
	}
	return mesh
}

func (l *Layout) sortedZones() []string {
	names := make([]string, 0, len(l.Zones))
	for name := range l.Zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// schedulerIndex returns the index of a gateway among the schedulers.
func (z Zone) schedulerIndex(name string) (int, bool) {
	index := slices.IndexFunc(z.Schedulers, func(p Peer) bool { return p.Name == name })
	return index, index >= 0
}

func (z Zone) addresses(indexes []int) []string {
	var addresses []string
	for _, index := range indexes {
		addresses = append(addresses, z.Schedulers[index].Address)
	}
	return addresses
}

// maxFullMesh is the number of schedulers up to which each one sends to all others directly.
const maxFullMesh = 9

// gridPeers returns the row and the column of the scheduler at index in a square grid of size cells. A cell of a short
// last row also takes the columns that the row lacks, so that row and columns together reach every cell.
func gridPeers(size, index int) (row, column []int) {
	width := 1
	for width*width < size {
		width++
	}
	if size <= maxFullMesh {
		width = size
	}
	rowStart := index / width * width
	rowLength := min(width, size-rowStart)
	for cell := range size {
		switch {
		case cell == index:
		case cell >= rowStart && cell < rowStart+rowLength:
			row = append(row, cell)
		case cell%width%rowLength == index-rowStart:
			column = append(column, cell)
		}
	}
	return row, column
}

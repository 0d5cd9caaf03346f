package mesh

import (
	"slices"

	"kitetiller/internal/streamorigin"
)

// maxRecordHolders bounds the gateways of a zone that keep records of streams, so that the list that all gateways get does
// not grow with the fleet.
const maxRecordHolders = 4

// recordHolders returns the gateways that keep records of streams: schedulers, which change least in a large fleet.
func (l *Layout) recordHolders() []streamorigin.Zone {
	var zones []streamorigin.Zone
	for _, name := range l.sortedZones() {
		holders := topByHash(slices.Clone(l.Zones[name].Schedulers), name, maxRecordHolders)
		if len(holders) > 0 {
			zones = append(zones, streamorigin.Zone{Name: name, Addresses: addressesOf(holders)})
		}
	}
	return zones
}

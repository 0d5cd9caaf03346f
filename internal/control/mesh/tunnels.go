package mesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxTunnelPeersOfZone bounds the gateways of a zone that the layout names for tunnels, so that its size does not grow
	// with the fleet.
	maxTunnelPeersOfZone = 24
	// maxTunnelsOwnZone and maxTunnelsOtherZone bound the peers that one gateway is given. Each gateway gets others, so
	// that the tunnels of a partitioned zone are spread.
	maxTunnelsOwnZone   = 4
	maxTunnelsOtherZone = 3
)

// tunnelsOf returns the addresses at which peers open tunnels for a gateway, of its own zone and of the others.
func (l *Layout) tunnelsOf(zone, name string) (own, others []string) {
	for _, zoneName := range l.sortedZones() {
		peers := slices.DeleteFunc(slices.Clone(l.Zones[zoneName].Tunnels), func(p Peer) bool { return p.Name == name })
		if zoneName == zone {
			own = addressesOf(topByHash(peers, name, maxTunnelsOwnZone))
			continue
		}
		others = append(others, addressesOf(topByHash(peers, name, maxTunnelsOtherZone))...)
	}
	return own, others
}

// topByHash returns the count peers with the highest hash weights for a key, so that few change when peers come and go.
func topByHash(peers []Peer, key string, count int) []Peer {
	weight := func(p Peer) uint64 { return xxhash.Sum64String(key + "/" + p.Name) }
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return peers[:min(count, len(peers))]
}

func addressesOf(peers []Peer) []string {
	var addresses []string
	for _, p := range peers {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

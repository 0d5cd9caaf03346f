package streamorigin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownZoneHolders and otherZones say where a record is kept: at peers of the own zone, where callers mostly come back,
	// and at one each of other zones, which the loss of a zone leaves.
	ownZoneHolders = 1
	otherZones     = 2
	// A process that looks for a record asks one more of each, since its list of peers may differ from the one by which
	// the record was placed.
	extraHolders = 1
)

// Zone is the addresses of the processes of a zone that keep records.
type Zone struct {
	Name      string   `json:"zone"`
	Addresses []string `json:"at"`
}

// Keepers returns the addresses of the processes that keep a stream's record for a process at the address self.
func Keepers(key Key, zones []Zone, zone, self string) []string {
	return holders(key, zones, zone, self, ownZoneHolders, otherZones)
}

// Candidates returns the addresses of the processes that may have a stream's record, as seen from one at the address self.
func Candidates(key Key, zones []Zone, zone, self string) []string {
	return holders(key, zones, zone, self, ownZoneHolders+extraHolders, otherZones+extraHolders)
}

// holders returns the addresses of the highest hash weight for a key: own of the own zone, and one of each of others other
// zones. If there are fewer zones, the own one makes up for it.
func holders(key Key, zones []Zone, zone, self string, own, others int) []string {
	var addresses, local []string
	var remote []Zone
	for _, z := range zones {
		z.Addresses = slices.DeleteFunc(slices.Clone(z.Addresses), func(address string) bool { return address == self })
		switch {
		case z.Name == zone:
			local = z.Addresses
		case len(z.Addresses) > 0:
			remote = append(remote, z)
		}
	}
	sortByWeight(key, remote, func(z Zone) string { return z.Name })
	for _, z := range remote[:min(others, len(remote))] {
		sortByWeight(key, z.Addresses, func(address string) string { return address })
		addresses = append(addresses, z.Addresses[0])
	}
	sortByWeight(key, local, func(address string) string { return address })
	own += others - len(addresses)
	return append(addresses, local[:min(own, len(local))]...)
}

// sortByWeight sorts items by their rendezvous hash for a key, the highest first.
func sortByWeight[T any](key Key, items []T, name func(T) string) {
	weight := func(item T) uint64 {
		return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, uint64(key)), name(item)...))
	}
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(weight(b), weight(a)) })
}

// Limit returns the zones with at most count addresses each, the same ones for all that know the same processes.
func Limit(zones []Zone, count int) []Zone {
	limited := make([]Zone, 0, len(zones))
	for _, z := range zones {
		addresses := slices.Clone(z.Addresses)
		sortByWeight(0, addresses, func(address string) string { return address })
		limited = append(limited, Zone{Name: z.Name, Addresses: addresses[:min(count, len(addresses))]})
	}
	return limited
}

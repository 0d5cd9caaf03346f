package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nearbyReplicas are the control replicas of the own zone that answer for the leader, the one to ask first. A zone's gateways spread over them, and each
// stays with its own while that answers. It is used by the thread that follows control only.
type nearbyReplicas struct {
	gatewayHash uint64   // weight of the gateway
	addresses   []string // in the order of this gateway; empty where the leader answers
}

func newNearbyReplicas(name string) *nearbyReplicas {
	return &nearbyReplicas{gatewayHash: xxhash.Sum64String(name)}
}

// update takes the replicas up that control names. Those that stay keep their order, so that one that failed is not asked again at once.
func (n *nearbyReplicas) update(addresses []string) {
	known := slices.DeleteFunc(slices.Clone(n.addresses), func(a string) bool { return !slices.Contains(addresses, a) })
	added := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(known, a) })
	weight := func(a string) uint64 { return mix(n.gatewayHash ^ xxhash.Sum64String(a)) }
	slices.SortFunc(added, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	n.addresses = append(known, added...)
}

// first returns the replica to ask, if there is one.
func (n *nearbyReplicas) first() (string, bool) {
	if len(n.addresses) == 0 {
		return "", false
	}
	return n.addresses[0], true
}

// demoteFirst puts the first one last.
func (n *nearbyReplicas) demoteFirst() {
	if len(n.addresses) > 1 {
		n.addresses = append(n.addresses[1:], n.addresses[0])
	}
}

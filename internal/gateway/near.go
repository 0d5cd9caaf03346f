package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nearbyReplicas is the list of control replicas in the gateway's zone that answer on behalf of the leader, the
// one to ask first in front. Gateways spread over them, and each stays with its replica while that answers. It is
// used only by the goroutine that follows control.
type nearbyReplicas struct {
	gatewayHash uint64   // hash of the gateway's name
	addresses   []string // in this gateway's order of preference; empty if only the leader answers
}

func newNearbyReplicas(name string) *nearbyReplicas {
	return &nearbyReplicas{gatewayHash: xxhash.Sum64String(name)}
}

// update applies the replicas that control lists. Known ones keep their order, so that one that failed is not
// asked first again.
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

// demoteFirst moves the first replica to the end after it failed to answer.
func (n *nearbyReplicas) demoteFirst() {
	if len(n.addresses) > 1 {
		n.addresses = append(n.addresses[1:], n.addresses[0])
	}
}

// Package mechanism names the optional parts of request placement, which can be disabled individually to measure their
// effect. All are enabled by default. No safety invariant depends on them; those are in package guard.
package mechanism

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Name is the name of a mechanism.
type Name string

// Mechanisms of gateways.
const (
	Lanes              Name = "lanes"             // long and short requests use separate engines
	GatewayMesh        Name = "mesh"              // gateways exchange information about their requests
	Occupancy          Name = "occupancy"         // occupied slots and cache memory are taken into account
	PeerFailureReports Name = "suspicion"         // reports of other gateways about unreachable backends are taken into account
	StoreTransfers     Name = "store"             // shared parts are saved to and loaded from stores
	EngineTransfers    Name = "copies"            // shared parts are copied from other engines
	EvictionCost       Name = "displacement"      // a copy is charged for the cache entries that it evicts
	LinkQueueing       Name = "links"             // concurrent transfers from one engine or store queue up
	AffinityOwner      Name = "owner"             // requests go to one engine while no engine has cached their prompt
	AffinityMissCost   Name = "stray-cost"        // prefilling shared parts elsewhere than at their owner costs more
	CacheEvents        Name = "cache-events"      // cache contents are read from the engines
	SilenceTimeout     Name = "patience"          // a repeatable request is retried elsewhere if its backend does not respond
	FailureAvoidance   Name = "avoidance"         // backends are avoided for some time after a failure
	ViewWait           Name = "view-wait"         // a request waits for an expected update from control
	ZoneCost           Name = "zone-cost"         // backends in other zones cost more
	Interference       Name = "interference"      // prefill costs more for each request that runs concurrently
	EarlyRejection     Name = "refusal"           // a request that would wait too long is rejected immediately
	ConnectionWindow   Name = "connection-window" // connections are opened as fast as they prove useful
	CongestionLimit    Name = "congestion"        // requests are limited while most backends of a service respond late
	Tunnels            Name = "tunnels"           // a gateway without a path to a backend reaches it through another gateway
	PathComparison     Name = "path-comparison"   // paths to back ends are compared with those of other gateways
	RecomputeCost      Name = "reread-weight"     // recomputing shared parts is weighted higher than its time

	// The following take effect only for services whose configuration calls for them.
	EngineQueue  Name = "engine-queue"  // the wait at an engine is predicted by priority and by engine
	PauseBound   Name = "pause-bound"   // prompts are spread so that running streams don't pause for too long
	SharedSlots  Name = "shared-slots"  // one scheduler a back end assigns the slots of a small service
	StreamCopies Name = "stream-copies" // an engine keeps a copy of a stream that can't be repeated elsewhere
	StoreIndex   Name = "store-index"   // the contents of stores are read from them
	Reservations Name = "reservations"  // a rejected request gets a reserved time to return
)

// Mechanisms of control replicas.
const (
	Schedulers    Name = "schedulers"    // in a large fleet, a few gateways per zone place the requests of all
	WeightsDrain  Name = "weights-drain" // running requests complete before weights are replaced
	LoggedWeights Name = "held-weights"  // a new leader learns from the log which weights engines have loaded
)

// All returns all mechanisms in a fixed order.
func All() []Name {
	return []Name{
		Lanes, GatewayMesh, Occupancy, PeerFailureReports, StoreTransfers, EngineTransfers, EvictionCost, LinkQueueing, AffinityOwner, AffinityMissCost, CacheEvents, SilenceTimeout, FailureAvoidance,
		ViewWait, ZoneCost, ConnectionWindow, CongestionLimit, Tunnels, PathComparison, RecomputeCost, Interference, EarlyRejection, EngineQueue, PauseBound, SharedSlots, StreamCopies, StoreIndex, Reservations, Schedulers, WeightsDrain, LoggedWeights,
	}
}

// Set is a set of enabled mechanisms. In the zero value all are enabled.
type Set struct {
	off []Name // in the given order
}

// Without parses a comma-separated list of mechanisms to disable. The error for an unknown name lists the known ones.
func Without(names string) (Set, error) {
	var set Set
	for field := range strings.SplitSeq(names, ",") {
		name := Name(strings.TrimSpace(field))
		switch {
		case name == "":
		case !slices.Contains(All(), name):
			return Set{}, eris.Errorf("unknown mechanism %q; known mechanisms are %s", name, knownNames())
		case !slices.Contains(set.off, name):
			set.off = append(set.off, name)
		}
	}
	return set, nil
}

func knownNames() string {
	var names []string
	for _, name := range All() {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}

// On reports whether a mechanism is enabled.
func (s Set) On(name Name) bool { return !slices.Contains(s.off, name) }

// Off returns the names of the disabled mechanisms.
func (s Set) Off() []string {
	names := []string{}
	for _, name := range s.off {
		names = append(names, string(name))
	}
	return names
}

// Package mechanism names the parts of the decision that can be switched off one by one, to measure what each is worth. All are
// on unless a process is started without them. No must-hold rule depends on one; those are in package guard.
package mechanism

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Name is the name of one mechanism.
type Name string

// Mechanisms of gateways.
const (
	Lanes              Name = "lanes"         // long and short requests keep to engines of their own
	GatewayMesh        Name = "mesh"          // gateways tell each other of their requests
	Occupancy          Name = "occupancy"     // slots and memory in use count
	PeerFailureReports Name = "suspicion"     // others' reports of unreachable back ends count
	StoreTransfers     Name = "store"         // shared parts are saved in and taken from stores
	EngineTransfers    Name = "copies"        // shared parts are taken from other engines
	EvictionCost       Name = "displacement"  // a copy costs what it displaces
	LinkQueueing       Name = "links"         // moves from one engine or store wait for each other
	AffinityOwner      Name = "owner"         // requests meet at one engine while nobody holds their prompt
	AffinityMissCost   Name = "stray-cost"    // shared parts that are read elsewhere than at their owner cost more
	CacheEvents        Name = "cache-events"  // what engines keep is read from them
	SilenceTimeout     Name = "patience"      // a repeatable request leaves a silent back end
	FailureAvoidance   Name = "avoidance"     // back ends that failed are avoided for a while
	ViewWait           Name = "view-wait"     // a request waits for control that is expected
	ZoneCost           Name = "zone-cost"     // back ends of other zones cost more
	Interference       Name = "interference"  // reading a prompt costs for each request that runs beside it
	EarlyRejection     Name = "refusal"       // a request that would wait too long is turned away at once
	RecomputeCost      Name = "reread-weight" // reading shared parts again costs more than its time
)

// Mechanisms of control replicas.
const (
	Schedulers    Name = "schedulers"    // a few gateways of each zone of a large fleet place requests for all
	WeightsDrain  Name = "weights-drain" // running requests end before weights are replaced
	LoggedWeights Name = "held-weights"  // a new leader knows from the log which weights engines hold
)

// All lists every mechanism in a fixed order.
func All() []Name {
	return []Name{
		Lanes, GatewayMesh, Occupancy, PeerFailureReports, StoreTransfers, EngineTransfers, EvictionCost, LinkQueueing, AffinityOwner, AffinityMissCost, CacheEvents, SilenceTimeout, FailureAvoidance,
		ViewWait, ZoneCost, RecomputeCost, Interference, EarlyRejection, Schedulers, WeightsDrain, LoggedWeights,
	}
}

// Set tells which mechanisms are on. The zero value has all of them on.
type Set struct {
	off []Name // as they were given
}

// Without reads the mechanisms that are to be off, separated by commas. Unknown names are refused with the known ones.
func Without(names string) (Set, error) {
	var set Set
	for field := range strings.SplitSeq(names, ",") {
		name := Name(strings.TrimSpace(field))
		switch {
		case name == "":
		case !slices.Contains(All(), name):
			return Set{}, eris.Errorf("%q is no mechanism; known are %s", name, knownNames())
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

// On reports whether a mechanism is on.
func (s Set) On(name Name) bool { return !slices.Contains(s.off, name) }

// Off returns the mechanisms that are off.
func (s Set) Off() []string {
	names := []string{}
	for _, name := range s.off {
		names = append(names, string(name))
	}
	return names
}

package sim

import (
	"math/rand/v2"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/quarantine"
)

const (
	partitionStream    = 30
	maxPartitions      = 3
	minPartitionLength = 5 * time.Second
	maxPartitionLength = 13 * time.Second
	// rerouteDelay is how long a gateway may take to reach back ends through others, and how long one must have run for it
	// to be expected to carry requests. restoreDelay is how long a path may stay lost once it works again and is used.
	rerouteDelay = 3 * time.Second
	restoreDelay = 6 * time.Second
)

// backendPartition is a period in which a gateway has no links to back ends.
type backendPartition struct {
	from, until time.Duration
	refuses     bool // connections are refused rather than unanswered
}

// planPartitions separates some gateways from all back ends, in a quarter of all runs. It has its own random source, so
// that other runs don't change.
func (w *world) planPartitions() {
	if w.seed%4 != 0 || len(w.gateways) > fleetGateways {
		return
	}
	random := rand.New(rand.NewPCG(w.seed, partitionStream))
	for range 1 + random.IntN(maxPartitions) {
		at := firstFault + time.Duration(random.Int64N(int64(lastFault-firstFault)))
		length := minPartitionLength + time.Duration(random.Int64N(int64(maxPartitionLength-minPartitionLength)))
		refuses, cut := random.IntN(2) == 0, random.Perm(len(w.gateways))[:1+random.IntN(len(w.gateways)-1)]
		w.after(at, func() {
			for _, i := range cut {
				w.gateways[i].partition(length, refuses)
			}
		})
	}
}

// partition separates the gateway from all back ends. Its runs there break off.
func (g *fleetGateway) partition(length time.Duration, refuses bool) {
	g.w.logf("%s loses its links to all back ends for %v", g.process.name, length)
	g.links = backendPartition{from: g.w.now(), until: g.w.now() + length, refuses: refuses}
	for _, b := range g.w.backends {
		if b.up && refuses {
			incarnation := b.id
			g.after(time.Millisecond, func() {
				g.recordBrokenRuns(b, incarnation, false, []quarantine.Fingerprint{{'p', 'a', 'r', 't'}})
			})
		}
	}
}

// isCut reports whether the gateway has no links to back ends.
func (g *fleetGateway) isCut() bool { return g.w.now() >= g.links.from && g.w.now() < g.links.until }

// appearsEnded reports whether connections to a back end are refused, as far as the gateway can tell.
func (g *fleetGateway) appearsEnded(b *fleetBackend) bool {
	if !b.up {
		return true
	}
	return g.isCut() && g.links.refuses && !g.w.guards.On(guard.RefusalConfirmed)
}

// reach returns whether a request reaches a back end, directly or through another gateway.
func (g *fleetGateway) reach(entry control.RosterEntry) bool {
	if g.paths.IsLost(entry.Address) && g.paths.BeginProbe(g.clock(), entry.Address) {
		g.paths.EndProbe(g.clock(), entry.Address, !g.isCut())
	}
	if !g.isCut() && !g.paths.IsLost(entry.Address) {
		return true
	}
	if !g.w.guards.On(guard.TunnelForLostPath) || g.peerFor(entry, 0) == nil {
		return !g.isCut()
	}
	g.paths.RecordLost(g.clock(), entry.Address)
	return true
}

// peerFor returns another gateway that reaches a back end and has run for some time, or nil.
func (g *fleetGateway) peerFor(entry control.RosterEntry, since time.Duration) *fleetGateway {
	for _, other := range g.w.gateways {
		if other != g && other.up && !other.frozen && !other.isCut() && !other.paths.IsLost(entry.Address) && g.w.now() >= other.startedAt+since {
			return other
		}
	}
	return nil
}

// checkReach checks that a gateway without links to back ends reaches one if another gateway does, and that it uses a
// path again some time after that was restored.
func (o *oracle) checkReach(g *fleetGateway, entry control.RosterEntry, reached bool) {
	if !reached && o.w.now() >= g.links.from+rerouteDelay && g.peerFor(entry, rerouteDelay) != nil {
		o.fail(PartitionedGatewaysServe, "%s, without links to back ends for %v, does not reach %s, which others do", g.process.name, o.w.now()-g.links.from, entry.ID)
	}
	if g.paths.IsLost(entry.Address) && o.w.now() >= g.links.until+restoreDelay && !g.frozen {
		o.fail(PartitionedGatewaysServe, "%s reaches %s through others %v after its links were restored", g.process.name, entry.ID, o.w.now()-g.links.until)
	}
}

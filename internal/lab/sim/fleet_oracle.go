package sim

import (
	"fmt"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control"
)

// fleetOracle is what operators and back ends of the gateway fleet were told.
type fleetOracle struct {
	acknowledged       uint64                   // highest revision that an operator was told of
	contents           map[uint64]string        // content seen under each revision
	usedRevision       map[string]uint64        // newest revision by gateway, in its current life
	draining           map[string]time.Duration // instances whose draining was acknowledged, and when
	lastPublishedSent  uint64                   // highest version that was sent
	lastPublishedAcked uint64
	publications       map[uint64]*publication             // by version, of all that were sent
	publicationSeenAt  map[string]map[uint64]time.Duration // by gateway and version: when it first heard of it, in its current life
	orders             map[string]issuedOrder              // newest by instance
	loadStarts         map[string]issuedOrder              // newest that a back end took at once, by instance
}

// issuedOrder is an order that left its leader.
type issuedOrder struct {
	at     time.Duration
	holder consensus.ID
	issuer *controlNode
	term   uint64
}

func newFleetOracle() fleetOracle {
	return fleetOracle{
		contents: map[uint64]string{}, usedRevision: map[string]uint64{}, draining: map[string]time.Duration{}, orders: map[string]issuedOrder{},
		loadStarts: map[string]issuedOrder{}, publications: map[uint64]*publication{}, publicationSeenAt: map[string]map[uint64]time.Duration{},
	}
}

// watchFloor is what had been told when a question was asked; no answer may be older.
type watchFloor struct {
	revision uint64
	at       time.Duration
}

func (o *oracle) currentFloor() watchFloor {
	return watchFloor{revision: o.fleet.acknowledged, at: o.w.now()}
}

func (o *oracle) recordDocumentAck(revision uint64) {
	o.fleet.acknowledged = max(o.fleet.acknowledged, revision)
}

// checkWatchReply checks a confirmed view: it must hold everything that was acknowledged before it was asked for.
func (o *oracle) checkWatchReply(gateway string, floor watchFloor, reply *control.WatchReply) {
	if reply.Revision < floor.revision {
		o.fail(SettingsDurable, "%s was confirmed revision %d after %d had been acknowledged", gateway, reply.Revision, floor.revision)
	}
	if reply.Roster == nil {
		return
	}
	for _, entry := range reply.Roster.Entries {
		at, leaves := o.fleet.draining[entry.ID]
		if leaves && at < floor.at && entry.State == catalog.StateReady {
			o.fail(DrainRespected, "%s was told that %s is ready, %v after its draining had been acknowledged", gateway, entry.ID, floor.at-at)
		}
	}
}

// checkDocument checks that a revision has one content and that no life of a gateway goes back.
func (o *oracle) checkDocument(gateway string, document catalog.Document) {
	content := document.Services[0].Name
	known, seen := o.fleet.contents[document.Revision]
	if seen && known != content {
		o.fail(SettingsDurable, "revision %d is both %s and %s", document.Revision, known, content)
	}
	o.fleet.contents[document.Revision] = content
	if document.Revision < o.fleet.usedRevision[gateway] {
		o.fail(SettingsDurable, "%s went back from revision %d to %d", gateway, o.fleet.usedRevision[gateway], document.Revision)
	}
	o.fleet.usedRevision[gateway] = document.Revision
}

// checkOrder checks that holders do not take turns, and remembers the order.
func (o *oracle) checkOrder(issuer *controlNode, call control.WeightsCall) {
	before, known := o.fleet.orders[call.Instance]
	now := o.w.now()
	if known && before.holder != issuer.identity.ID && now-before.at < holderWindow {
		o.fail(CacheIsolation, "%s ordered weights at %s %v after %s had", issuer.name, call.Instance, now-before.at, before.issuer.name)
	}
	o.fleet.orders[call.Instance] = issuedOrder{at: now, holder: issuer.identity.ID, issuer: issuer, term: issuer.replica.Node().Term()}
}

// recordLoadStart notes that a back end begins to load.
func (o *oracle) recordLoadStart(call control.WeightsCall) {
	order := o.fleet.orders[call.Instance]
	order.at = o.w.now()
	o.fleet.loadStarts[call.Instance] = order
}

// recordLostReply notes that the leader does not know whether its order was taken. Requests then go on by design, and name the
// weights that they count on; the back end refuses them if it holds others.
func (o *oracle) recordLostReply(call control.WeightsCall) { delete(o.fleet.loadStarts, call.Instance) }

// checkFleetSend checks a gateway's send: while the leader that ordered new weights goes on leading, no gateway whose view
// counts sends to the back end that is about to load.
func (o *oracle) checkFleetSend(gateway, instance string) {
	order, known := o.fleet.loadStarts[instance]
	if !known || o.w.now()-order.at > sendWindow || o.w.now() <= order.at {
		return
	}
	leads := order.issuer.up && !order.issuer.frozen && order.issuer.isLeader() && order.issuer.replica.Node().Term() == order.term
	if leads {
		o.fail(CacheIsolation, "%s sent to %s %v after it began to load", gateway, instance, o.w.now()-order.at)
	}
}

// checkFleetSettled checks that after the faults everything acknowledged is in force everywhere.
func (o *oracle) checkFleetSettled() {
	for _, g := range o.w.gateways {
		if g.revision < o.fleet.acknowledged {
			o.fail(SettingsDurable, "%s rests at revision %d, %d was acknowledged", g.process.name, g.revision, o.fleet.acknowledged)
		}
	}
	for _, b := range o.w.backends {
		if !b.draining && b.version < o.fleet.lastPublishedAcked {
			o.fail(CacheIsolation, "%s rests at weights %d, %d was acknowledged", b.id, b.version, o.fleet.lastPublishedAcked)
		}
	}
	if o.fleet.acknowledged == 0 {
		o.fail(SettingsDurable, "no document was ever acknowledged: %s", fmt.Sprint(o.fleet.contents))
	}
}

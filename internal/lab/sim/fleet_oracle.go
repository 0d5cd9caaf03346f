package sim

import (
	"fmt"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/control"
)

// fleetOracle records what operators, gateways and back ends of the fleet were told.
type fleetOracle struct {
	acknowledged       uint64                   // highest revision acknowledged to an operator
	contents           map[uint64]string        // content seen under each revision
	usedRevision       map[string]uint64        // newest revision by gateway, in its current incarnation
	draining           map[string]time.Duration // when the draining of an instance was acknowledged
	lastPublishedSent  uint64                   // highest version that was sent for publication
	lastPublishedAcked uint64
	publications       map[uint64]*publication             // by version; all that were sent
	publicationSeenAt  map[string]map[uint64]time.Duration // by gateway and version; current incarnations only
	orders             map[string]issuedOrder              // newest by instance
	loadStarts         map[string]issuedOrder              // newest accepted, by instance
}

// issuedOrder is a weights order that a leader sent.
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

// watchFloor is what had been acknowledged when a watch was sent. No reply may be older.
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

// checkWatchReply checks that a confirmed view includes everything that was acknowledged before the watch was sent.
func (o *oracle) checkWatchReply(gateway string, floor watchFloor, reply *control.WatchReply) {
	if reply.Revision < floor.revision {
		o.fail(SettingsDurable, "%s was confirmed revision %d after %d had been acknowledged", gateway, reply.Revision, floor.revision)
	}
	if reply.Roster == nil {
		return
	}
	for _, entry := range reply.Roster.Entries {
		at, draining := o.fleet.draining[entry.ID]
		if draining && at < floor.at && entry.State == catalog.StateReady {
			o.fail(DrainRespected, "%s was told that %s is ready, %v after its draining had been acknowledged", gateway, entry.ID, floor.at-at)
		}
	}
}

// checkDocument checks that a revision has a single content and that no gateway incarnation goes back to an older one.
func (o *oracle) checkDocument(gateway string, document catalog.Document) {
	content := document.Services[0].Name
	known, seen := o.fleet.contents[document.Revision]
	if seen && known != content {
		o.fail(SettingsDurable, "revision %d has two contents: %s and %s", document.Revision, known, content)
	}
	o.fleet.contents[document.Revision] = content
	if document.Revision < o.fleet.usedRevision[gateway] {
		o.fail(SettingsDurable, "%s went back from revision %d to %d", gateway, o.fleet.usedRevision[gateway], document.Revision)
	}
	o.fleet.usedRevision[gateway] = document.Revision
}

// checkOrder records an order and checks that two leaders don't order weights at one back end within holderWindow.
func (o *oracle) checkOrder(issuer *controlNode, call control.WeightsCall) {
	previous, known := o.fleet.orders[call.Instance]
	now := o.w.now()
	if known && previous.holder != issuer.identity.ID && now-previous.at < holderWindow {
		o.fail(CacheIsolation, "%s ordered weights at %s %v after %s had", issuer.name, call.Instance, now-previous.at, previous.issuer.name)
	}
	o.fleet.orders[call.Instance] = issuedOrder{at: now, holder: issuer.identity.ID, issuer: issuer, term: issuer.replica.Node().Term()}
}

// recordLoadStart records that a back end accepted an order and starts to load.
func (o *oracle) recordLoadStart(call control.WeightsCall) {
	order := o.fleet.orders[call.Instance]
	order.at = o.w.now()
	o.fleet.loadStarts[call.Instance] = order
}

// recordLostReply records that the leader doesn't know whether its order was accepted. Requests then continue by design;
// they name the weights that they expect, and a back end that has others rejects them.
func (o *oracle) recordLostReply(call control.WeightsCall) { delete(o.fleet.loadStarts, call.Instance) }

// checkFleetSend checks that no gateway with a valid view sends to a back end that loads weights, while the ordering
// leader still leads.
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

// checkFleetSettled checks that every acknowledged change is in force everywhere once the faults have ended.
func (o *oracle) checkFleetSettled() {
	o.checkRegistered()
	for _, g := range o.w.gateways {
		if g.revision < o.fleet.acknowledged {
			o.fail(SettingsDurable, "%s ended at revision %d although %d was acknowledged", g.process.name, g.revision, o.fleet.acknowledged)
		}
	}
	for _, b := range o.w.backends {
		if !b.draining && b.version < o.fleet.lastPublishedAcked {
			o.fail(CacheIsolation, "%s ended with weights %d although %d was acknowledged", b.id, b.version, o.fleet.lastPublishedAcked)
		}
	}
	if o.fleet.acknowledged == 0 {
		o.fail(SettingsDurable, "no document was ever acknowledged: %s", fmt.Sprint(o.fleet.contents))
	}
}

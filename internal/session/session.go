// Package session is a router's side of its session with the control group: the heartbeats it sends, the
// settings it takes up, and the lease it may serve under. Machine is pure; the router process and the simulator
// drive it alike.
//
// Invariants: a version is acknowledged only after Saved, which the caller invokes when it is synced; the
// acknowledged version never goes back; the lease counts from before the heartbeat was sent.
package session

import (
	"fmt"
	"slices"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/settings"
)

// FastHeartbeatInterval is the pause between heartbeats until the first lease, and while a version waits to be acknowledged.
const FastHeartbeatInterval = 20 * time.Millisecond

// Settings is the newest version that a router synced.
type Settings struct {
	Version uint64        `json:"version"`
	Tree    settings.Tree `json:"tree"`
}

// Identity names one life of a router.
type Identity struct {
	Router      string
	Incarnation uint64
	Zone        string
	Address     string
}

// Machine is the state of a session. It is not safe for concurrent use.
type Machine struct {
	identity Identity
	guards   guard.Set
	interval time.Duration
	epoch    uint64
	synced   Settings
	peers    control.PeerList
}

// New returns a machine without a session. held is what the router's folder gave back; period is the pause
// between heartbeats while nothing changes.
func New(identity Identity, synced Settings, interval time.Duration, guards guard.Set) *Machine {
	return &Machine{identity: identity, guards: guards, interval: interval, synced: synced}
}

// Heartbeat returns the next message to the control group.
func (m *Machine) Heartbeat() control.Heartbeat {
	return control.Heartbeat{
		Router: m.identity.Router, Incarnation: m.identity.Incarnation, Zone: m.identity.Zone, Address: m.identity.Address,
		Epoch: m.epoch, Acked: m.synced.Version, HasSettings: m.synced.Version > 0,
		PeersSeen: m.peers.Version,
	}
}

// ClosingHeartbeat returns the message that ends the session at a planned stop.
func (m *Machine) ClosingHeartbeat() control.Heartbeat {
	heartbeat := m.Heartbeat()
	heartbeat.Closing = true
	return heartbeat
}

// ReplyActions is what to do with a reply.
type ReplyActions struct {
	ToSync          *Settings       // to sync, and then to pass to Saved and to the core; nil when nothing changed
	Lease           core.EventLease // for the core, after Save
	Peers           []control.Peer  // the other routers, when they changed; never nil then
	NextHeartbeatIn time.Duration   // until the next heartbeat
	RejectReason    string          // why the reply was not used, or ""
}

// HandleReply decides on a reply to the heartbeat that was sent at the given time of the router's clock.
func (m *Machine) HandleReply(sent time.Duration, reply control.HeartbeatReply) ReplyActions {
	next, changed, problem := m.nextTree(reply)
	if problem != "" {
		return ReplyActions{NextHeartbeatIn: FastHeartbeatInterval, RejectReason: problem}
	}
	m.epoch = reply.Epoch
	actions := ReplyActions{Lease: core.EventLease{Epoch: reply.Epoch, Until: sent + reply.Lease}, NextHeartbeatIn: m.interval}
	if reply.Peers != nil {
		m.peers = *reply.Peers
		actions.Peers = m.otherPeers()
	}
	if changed {
		actions.ToSync = &Settings{Version: reply.Version, Tree: next}
	}
	if changed || reply.Lease == 0 {
		actions.NextHeartbeatIn = FastHeartbeatInterval
	}
	return actions
}

// otherPeers returns the routers but this one, those of its own zone first.
func (m *Machine) otherPeers() []control.Peer {
	others := []control.Peer{}
	for _, peer := range m.peers.Peers {
		if peer.Name != m.identity.Router {
			others = append(others, peer)
		}
	}
	slices.SortStableFunc(others, func(a, b control.Peer) int { return m.zoneDistance(a) - m.zoneDistance(b) })
	return others
}

func (m *Machine) zoneDistance(peer control.Peer) int {
	if peer.Zone == m.identity.Zone {
		return 0
	}
	return 1
}

// MarkSynced records that a version is synced, so that the next heartbeat acknowledges it.
func (m *Machine) MarkSynced(saved Settings) { m.synced = saved }

// Synced returns the newest synced version.
func (m *Machine) Synced() Settings { return m.synced }

// nextTree returns the tree of the reply's version, or why the reply cannot be used.
func (m *Machine) nextTree(reply control.HeartbeatReply) (tree settings.Tree, changed bool, problem string) {
	switch {
	case reply.Version < m.synced.Version && m.guards.On(guard.SettingsMonotonic):
		return tree, false, fmt.Sprintf("version %d offered, %d is held", reply.Version, m.synced.Version)
	case reply.Version == m.synced.Version && m.synced.Version > 0:
		return m.synced.Tree, false, ""
	case reply.Tree != nil:
		return *reply.Tree, true, ""
	case reply.Base != m.synced.Version:
		return tree, false, fmt.Sprintf("edits start from version %d, %d is held", reply.Base, m.synced.Version)
	}
	tree, problems := m.synced.Tree.Apply(reply.Edits)
	if len(problems) > 0 {
		return tree, false, "edits do not fit: " + problems[0].String()
	}
	return tree, true, ""
}

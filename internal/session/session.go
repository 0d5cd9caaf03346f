// Package session implements the router's side of its session with the control group: the heartbeats that it sends,
// the settings versions that it applies and the lease under which it may serve. Machine does no I/O; the router
// process and the simulator both drive it.
//
// A settings version is acknowledged only after the caller has synced it to disk and called MarkSynced. The
// acknowledged version never decreases. A lease starts when the heartbeat was sent, not when the reply arrived.
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

// FastHeartbeatInterval is the heartbeat interval until the first lease, and while a version is waiting to be
// acknowledged.
const FastHeartbeatInterval = 20 * time.Millisecond

// Settings is a version of the settings that a router has synced to disk.
type Settings struct {
	Version uint64        `json:"version"`
	Tree    settings.Tree `json:"tree"`
}

// Identity identifies an incarnation of a router.
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

// New returns a machine without a session. synced is the version read from the router's folder; interval is the
// heartbeat interval while nothing changes.
func New(identity Identity, synced Settings, interval time.Duration, guards guard.Set) *Machine {
	return &Machine{identity: identity, guards: guards, interval: interval, synced: synced}
}

// Heartbeat returns the next heartbeat for the control group.
func (m *Machine) Heartbeat() control.Heartbeat {
	return control.Heartbeat{
		Router: m.identity.Router, Incarnation: m.identity.Incarnation, Zone: m.identity.Zone, Address: m.identity.Address,
		Epoch: m.epoch, Acked: m.synced.Version, HasSettings: m.synced.Version > 0,
		PeersSeen: m.peers.Version,
	}
}

// ClosingHeartbeat returns the heartbeat that ends the session at a planned stop.
func (m *Machine) ClosingHeartbeat() control.Heartbeat {
	heartbeat := m.Heartbeat()
	heartbeat.Closing = true
	return heartbeat
}

// ReplyActions is what the caller must do after a reply.
type ReplyActions struct {
	ToSync          *Settings       // to sync, then pass to MarkSynced and the core; nil if unchanged
	Lease           core.EventLease // to pass to the core, after ToSync
	Peers           []control.Peer  // the other routers, non-nil if they changed
	NextHeartbeatIn time.Duration   // delay until the next heartbeat
	RejectReason    string          // why the reply was rejected, or ""
}

// HandleReply processes the reply to the heartbeat that was sent at the given time by the router's clock.
func (m *Machine) HandleReply(sent time.Duration, reply control.HeartbeatReply) ReplyActions {
	next, changed, rejectReason := m.nextTree(reply)
	if rejectReason != "" {
		return ReplyActions{NextHeartbeatIn: FastHeartbeatInterval, RejectReason: rejectReason}
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

// otherPeers returns all routers but this one, those of its own zone first.
func (m *Machine) otherPeers() []control.Peer {
	peers := []control.Peer{}
	for _, peer := range m.peers.Peers {
		if peer.Name != m.identity.Router {
			peers = append(peers, peer)
		}
	}
	slices.SortStableFunc(peers, func(a, b control.Peer) int { return m.zoneDistance(a) - m.zoneDistance(b) })
	return peers
}

func (m *Machine) zoneDistance(peer control.Peer) int {
	if peer.Zone == m.identity.Zone {
		return 0
	}
	return 1
}

// MarkSynced records that a version is synced to disk, so that the next heartbeat acknowledges it.
func (m *Machine) MarkSynced(synced Settings) { m.synced = synced }

// Synced returns the newest synced version.
func (m *Machine) Synced() Settings { return m.synced }

// nextTree returns the settings tree of the reply's version, or why the reply is rejected.
func (m *Machine) nextTree(reply control.HeartbeatReply) (tree settings.Tree, changed bool, rejectReason string) {
	switch {
	case reply.Version < m.synced.Version && m.guards.On(guard.SettingsMonotonic):
		return tree, false, fmt.Sprintf("version %d of the reply is older than synced version %d", reply.Version, m.synced.Version)
	case reply.Version == m.synced.Version && m.synced.Version > 0:
		return m.synced.Tree, false, ""
	case reply.Tree != nil:
		return *reply.Tree, true, ""
	case reply.Base != m.synced.Version:
		return tree, false, fmt.Sprintf("edits apply to version %d, but version %d is synced", reply.Base, m.synced.Version)
	}
	tree, problems := m.synced.Tree.Apply(reply.Edits)
	if len(problems) > 0 {
		return tree, false, "edits cannot be applied: " + problems[0].String()
	}
	return tree, true, ""
}

package session

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/control"
	"kitetiller/internal/guard"
	"kitetiller/internal/settings"
)

func newMachine(version uint64) *Machine {
	return New(Identity{Router: "r1", Incarnation: 1, Zone: "z"}, Settings{Version: version, Tree: settings.NewTree()}, time.Second, guard.Set{})
}

func tree() *settings.Tree {
	empty := settings.NewTree()
	return &empty
}

func TestOlderVersionIsRejected(t *testing.T) {
	step := newMachine(5).HandleReply(0, control.HeartbeatReply{Version: 4, Tree: tree(), Lease: time.Second})
	if step.RejectReason == "" || step.ToSync != nil || step.Lease.Until != 0 {
		t.Fatalf("older version was not rejected: %+v", step)
	}
}

func TestVersionIsAcknowledgedOnlyAfterSync(t *testing.T) {
	m := newMachine(5)
	step := m.HandleReply(0, control.HeartbeatReply{Epoch: 3, Version: 6, Tree: tree()})
	if step.ToSync == nil {
		t.Fatal("reply with a new version requests no sync")
	}
	if beat := m.Heartbeat(); beat.Acked != 5 {
		t.Fatalf("version %d acknowledged before version 6 was synced", beat.Acked)
	}
	m.MarkSynced(*step.ToSync)
	if beat := m.Heartbeat(); beat.Acked != 6 || beat.Epoch != 3 {
		t.Fatalf("heartbeat after the sync: %+v", beat)
	}
}

func TestEditsMustApplyToTheSyncedVersion(t *testing.T) {
	step := newMachine(5).HandleReply(0, control.HeartbeatReply{Version: 7, Base: 6, Edits: []settings.Edit{{Path: "/z", Create: true}}})
	if step.RejectReason == "" {
		t.Fatal("edits of another base version were accepted")
	}
}

func TestLeaseStartsWhenHeartbeatWasSent(t *testing.T) {
	step := newMachine(5).HandleReply(2*time.Second, control.HeartbeatReply{Epoch: 1, Version: 5, Lease: 3 * time.Second})
	if step.Lease.Until != 5*time.Second {
		t.Fatalf("lease ends at %v, want 5s", step.Lease.Until)
	}
}

func TestPeersOfSameZoneComeFirst(t *testing.T) {
	list := &control.PeerList{Version: 9, Peers: []control.Peer{{Name: "a", Zone: "y"}, {Name: "r1", Zone: "z"}, {Name: "b", Zone: "z"}}}
	m := newMachine(5)
	step := m.HandleReply(0, control.HeartbeatReply{Version: 5, Peers: list})
	if len(step.Peers) != 2 || step.Peers[0].Name != "b" || m.Heartbeat().PeersSeen != 9 {
		t.Fatalf("peers %+v, want only b", step.Peers)
	}
}

// TestSyncedVersionNeverDecreases handles replies in random order; a restart loses versions that were not synced.
func TestSyncedVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(0)
		var newest uint64
		t.Repeat(map[string]func(*rapid.T){
			"reply": func(t *rapid.T) {
				step := m.HandleReply(0, control.HeartbeatReply{Version: rapid.Uint64Range(1, 20).Draw(t, "version"), Tree: tree()})
				if step.ToSync != nil && rapid.Bool().Draw(t, "synced") {
					m.MarkSynced(*step.ToSync)
				}
			},
			"restart": func(*rapid.T) {
				m = New(Identity{Router: "r1", Incarnation: 2}, m.Synced(), time.Second, guard.Set{})
			},
			"": func(t *rapid.T) {
				if held := m.Synced().Version; held < newest {
					t.Fatalf("synced version decreased from %d to %d", newest, held)
				}
				newest = m.Synced().Version
			},
		})
	})
}

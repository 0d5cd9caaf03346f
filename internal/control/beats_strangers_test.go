package control

import (
	"slices"
	"testing"

	"kitetiller/internal/catalog"
)

// TestBatchReplyListsUnknownBackends: the reply to a batch lists the back ends whose next heartbeat must be a full one,
// also if the batch waits for an entry. Each of several batches that wait for the same entry gets its own list.
// Otherwise a back end that sends only keepalives would stay unknown to a new leader for as long as every batch changes
// something.
func TestBatchReplyListsUnknownBackends(t *testing.T) {
	for name, changing := range map[string]BackendHeartbeat{
		"a registration":    heartbeatOf("i-7", catalog.StateReady, 1),
		"a change of state": heartbeatOf("i-2", catalog.StateDraining, 1<<60),
	} {
		t.Run(name, func(t *testing.T) {
			s := openWithEngines(t)
			const first, second, withoutKeepalives = 5000, 5001, 5002
			s.replica.Handle(s.now, first, Request{BackendHeartbeats: []BackendHeartbeat{changing}, Keepalives: []Keepalive{{ID: "i-8", Sequence: 1}}})
			s.replica.Handle(s.now, second, Request{BackendHeartbeats: []BackendHeartbeat{heartbeatOf("i-9", catalog.StateReady, 1)}, Keepalives: []Keepalive{{ID: "i-10", Sequence: 1}}})
			s.replica.Handle(s.now, withoutKeepalives, Request{BackendHeartbeats: []BackendHeartbeat{heartbeatOf("i-11", catalog.StateReady, 1)}})
			s.work()
			for client, want := range map[uint64][]string{first: {"i-8"}, second: {"i-10"}, withoutKeepalives: nil} {
				if got := s.replies[client]; got.Kind != ResponseOK || !slices.Equal(got.UnknownBackends, want) {
					t.Errorf("client %d got %+v, want unknown back ends %v", client, got, want)
				}
			}
		})
	}
}

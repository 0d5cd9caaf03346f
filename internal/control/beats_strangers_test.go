package control

import (
	"slices"
	"testing"

	"kitetiller/internal/catalog"
)

// TestBatchReplyListsUnknownBackends: the answer of a batch that waits for an entry names the back ends of which the leader wants a whole
// heartbeat, like that of one that changes nothing; each of several that wait for one entry names its own. Else a back end whose heartbeats
// are only signs is silent to a new leader for as long as every batch changes something.
func TestBatchReplyListsUnknownBackends(t *testing.T) {
	for name, changing := range map[string]BackendHeartbeat{
		"a registration":    heartbeatOf("i-7", catalog.StateReady, 1),
		"a change of state": heartbeatOf("i-2", catalog.StateDraining, 1<<60),
	} {
		t.Run(name, func(t *testing.T) {
			s := openWithEngines(t)
			const first, second, plain = 5000, 5001, 5002
			s.replica.Handle(s.now, first, Request{Beats: []BackendHeartbeat{changing}, Signs: []Keepalive{{ID: "i-8", Sequence: 1}}})
			s.replica.Handle(s.now, second, Request{Beats: []BackendHeartbeat{heartbeatOf("i-9", catalog.StateReady, 1)}, Signs: []Keepalive{{ID: "i-10", Sequence: 1}}})
			s.replica.Handle(s.now, plain, Request{Beats: []BackendHeartbeat{heartbeatOf("i-11", catalog.StateReady, 1)}})
			s.work()
			for client, wanted := range map[uint64][]string{first: {"i-8"}, second: {"i-10"}, plain: nil} {
				if got := s.replies[client]; got.Kind != ResponseOK || !slices.Equal(got.UnknownBackends, wanted) {
					t.Errorf("client %d is told %+v, wanted %v", client, got, wanted)
				}
			}
		})
	}
}

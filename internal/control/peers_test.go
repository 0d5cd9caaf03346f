package control

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/consensus"
	"kitetiller/internal/node"
	"kitetiller/internal/transport"
)

// distantPeer is a peer, in virtual time, that replies a round trip after each request.
type distantPeer struct {
	roundTrip time.Duration

	mu       sync.Mutex
	delays   []time.Duration // of each message, from when it was queued until it was sent; guarded by mu
	open     int             // requests without a reply; guarded by mu
	maxOpen  int             // guarded by mu
	previous time.Duration   // SentAt of the last message; guarded by mu
	inOrder  bool            // guarded by mu
}

// RoundTrip records the messages of a request, whose SentAt is the time of day at which they were queued.
func (p *distantPeer) RoundTrip(request *http.Request) (*http.Response, error) {
	var batch raftBatch
	if err := json.NewDecoder(request.Body).Decode(&batch); err != nil {
		return nil, err
	}
	p.mu.Lock()
	for _, message := range batch.Messages {
		p.delays = append(p.delays, time.Duration(time.Now().UnixNano())-message.SentAt)
		p.inOrder = p.inOrder && message.SentAt > p.previous
		p.previous = message.SentAt
	}
	p.open++
	p.maxOpen = max(p.maxOpen, p.open)
	p.mu.Unlock()
	time.Sleep(p.roundTrip)
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(nil))}, nil
}

// sendHeartbeats queues a message every heartbeat for a peer.
func sendHeartbeats(heartbeat time.Duration, peer *distantPeer) {
	peer.inOrder = true
	s := &Server{client: transport.NewClientWithRoundTripper("", peer), log: zap.NewNop(), file: &node.File{Control: &node.Control{Heartbeat: heartbeat}}}
	queue := make(chan consensus.Message, outboxCapacity)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.sendTo("peer:1", queue)
	}()
	for range 50 {
		queue <- consensus.Message{Kind: consensus.MessageAppend, SentAt: time.Duration(time.Now().UnixNano())}
		time.Sleep(heartbeat)
	}
	close(queue)
	<-done
	time.Sleep(10 * time.Second) // until the last request has ended
	synctest.Wait()
}

// TestHeartbeatsDoNotWaitForRoundTrips guards against messages to a distant peer that wait until it has replied to those
// before them, and its replies likewise: a leader's lease expired at 80 ms each way.
func TestHeartbeatsDoNotWaitForRoundTrips(t *testing.T) {
	const heartbeat = 60 * time.Millisecond
	for _, roundTrip := range []time.Duration{100 * time.Millisecond, 160 * time.Millisecond, 240 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			peer := &distantPeer{roundTrip: roundTrip}
			sendHeartbeats(heartbeat, peer)
			if len(peer.delays) != 50 || !peer.inOrder {
				t.Errorf("round trip %v: %d of 50 messages sent, in order: %v", roundTrip, len(peer.delays), peer.inOrder)
			}
			for i, delay := range peer.delays {
				if delay >= heartbeat {
					t.Fatalf("round trip %v: message %d was sent %v after it was queued", roundTrip, i, delay)
				}
			}
			if peer.maxOpen > maxPeerRequests {
				t.Errorf("round trip %v: %d requests at a time", roundTrip, peer.maxOpen)
			}
		})
	}
}

// TestNearPeerGetsOneRequestAtATime checks that messages to a peer that replies soon can't overtake each other.
func TestNearPeerGetsOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &distantPeer{roundTrip: 20 * time.Millisecond}
		sendHeartbeats(60*time.Millisecond, peer)
		if peer.maxOpen != 1 || !peer.inOrder {
			t.Errorf("%d requests at a time, in order: %v", peer.maxOpen, peer.inOrder)
		}
	})
}

// TestUnreachablePeerGetsFewRequests checks that a peer that doesn't reply costs a bounded number of open requests.
func TestUnreachablePeerGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &distantPeer{roundTrip: 2 * time.Second}
		sendHeartbeats(60*time.Millisecond, peer)
		// The transport reads replies for 2 s after a request was given up.
		if limit := maxPeerRequests + 32; peer.maxOpen > limit {
			t.Errorf("%d requests at a time, want at most %d", peer.maxOpen, limit)
		}
	})
}

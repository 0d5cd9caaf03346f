package control

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/consensus"
)

// enqueue queues a message for a peer. It drops the message if the queue is full; the protocol retransmits it.
func (s *Server) enqueue(message consensus.Message) {
	address := s.addressOf(message.To)
	if address == "" {
		return
	}
	s.mutex.Lock()
	queue, found := s.outboxes[message.To]
	if !found {
		queue = make(chan consensus.Message, outboxCapacity)
		s.outboxes[message.To] = queue
		go s.sendTo(address, queue)
	}
	s.mutex.Unlock()
	select {
	case queue <- message:
	default:
	}
}

// addressOf returns the address of a replica, from the membership or else from the last batch received from it, since a
// replica that has just joined does not know the membership yet.
func (s *Server) addressOf(id consensus.ID) string {
	if member, found := s.replica.Node().Membership().Find(id); found {
		return member.Address
	}
	return s.senderAddresses[id]
}

// raftBatch is a batch of consensus messages from one replica to another.
type raftBatch struct {
	Address  string              `json:"address"` // address of the sender
	Messages []consensus.Message `json:"messages"`
}

const (
	// peerTimeoutHeartbeats is the base timeout of a request to a peer, in heartbeat intervals. It is short since an
	// unreachable peer must not hold up later messages.
	peerTimeoutHeartbeats = 4
	// minPeerBytesPerSecond is the slowest acceptable transfer rate to a peer. It extends the timeout of large snapshots.
	// A replica with 0.8 of a core decodes some 20 MB of JSON per second.
	minPeerBytesPerSecond = 4 << 20
)

// peerTimeout returns the timeout of a request to a peer with a body of the given size.
func peerTimeout(heartbeat time.Duration, bytes int) time.Duration {
	return peerTimeoutHeartbeats*heartbeat + time.Duration(bytes)*time.Second/minPeerBytesPerSecond
}

const (
	// maxPeerRequests is the number of requests to one peer at a time. It is what peerTimeoutHeartbeats allow for if one
	// is sent each heartbeat.
	maxPeerRequests = 4
	// maxOverlappingBytes is the size of a request up to which the next one may be sent before its reply. After larger
	// ones, messages would arrive before those that they follow.
	maxOverlappingBytes = 64 << 10
)

// sendTo sends the queued messages to one peer, in batches. It waits for the reply to each, so that they arrive in order,
// but not longer than half a heartbeat: over a long round trip, messages and their replies would otherwise wait for
// those before them, and a leader's lease would expire although no message was late.
func (s *Server) sendTo(address string, queue chan consensus.Message) {
	slots := make(chan struct{}, maxPeerRequests)
	for message := range queue {
		body, err := json.Marshal(s.nextBatch(message, queue))
		if err != nil {
			s.log.Error("failed to encode messages to a peer", zap.String("peer", address), zap.Error(err))
			continue
		}
		slots <- struct{}{}
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			s.post(address, body)
			<-slots
		}()
		if len(body) > maxOverlappingBytes {
			<-sent
			continue
		}
		select {
		case <-sent:
		case <-time.After(s.file.Control.Heartbeat / 2):
		}
	}
}

// nextBatch returns a batch of a message and of those that wait in the queue.
func (s *Server) nextBatch(first consensus.Message, queue chan consensus.Message) raftBatch {
	batch := raftBatch{Address: s.file.Control.InternalAddress, Messages: []consensus.Message{first}}
	for size := first.Size(); size < maxBatchBytes && len(batch.Messages) < maxBatch && len(queue) > 0; {
		next := <-queue
		size += next.Size()
		batch.Messages = append(batch.Messages, next)
	}
	return batch
}

// post sends a batch to a peer.
func (s *Server) post(address string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout(s.file.Control.Heartbeat, len(body)))
	defer cancel()
	if err := s.client.PostBody(ctx, address, PathRaft, body); err != nil {
		s.log.Debug("failed to send messages to a peer", zap.String("peer", address), zap.Error(err))
	}
}

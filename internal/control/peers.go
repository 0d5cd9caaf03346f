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

// sendTo sends the queued messages to one peer, in batches.
func (s *Server) sendTo(address string, queue chan consensus.Message) {
	for message := range queue {
		batch := raftBatch{Address: s.file.Control.InternalAddress, Messages: []consensus.Message{message}}
		for size := message.Size(); size < maxBatchBytes && len(batch.Messages) < maxBatch && len(queue) > 0; {
			next := <-queue
			size += next.Size()
			batch.Messages = append(batch.Messages, next)
		}
		body, err := json.Marshal(batch)
		if err != nil {
			s.log.Error("failed to encode messages to a peer", zap.String("peer", address), zap.Error(err))
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout(s.file.Control.Heartbeat, len(body)))
		if err := s.client.PostBody(ctx, address, PathRaft, body); err != nil {
			s.log.Debug("failed to send messages to a peer", zap.String("peer", address), zap.Error(err))
		}
		cancel()
	}
}

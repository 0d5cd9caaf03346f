package control

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/consensus"
	"kitetiller/internal/events"
	"kitetiller/internal/transport"
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

// joinOrCreateGroup joins a replica with an empty data folder to an existing group, as a learner. If there is none, it
// creates a group, provided that this replica is the first initial member and all others have answered that they have
// no state.
func (s *Server) joinOrCreateGroup(ctx context.Context) {
	for {
		groupExists, othersEmpty := s.probeInitialMembers(ctx)
		switch {
		case groupExists && s.tryJoin(ctx):
			return
		case !groupExists && othersEmpty && !s.file.Control.JoinOnly && s.file.Control.Founders[0] == s.file.Control.InternalAddress:
			s.inputs <- input{createGroup: true}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}

func (s *Server) probeInitialMembers(ctx context.Context) (groupExists, othersEmpty bool) {
	othersEmpty = true
	for _, address := range s.file.Control.Founders {
		if address == s.file.Control.InternalAddress {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		var reply HelloReply
		err := s.client.Post(attempt, address, PathHello, struct{}{}, &reply)
		cancel()
		groupExists = groupExists || (err == nil && reply.HasState)
		othersEmpty = othersEmpty && err == nil && !reply.HasState
	}
	return groupExists, othersEmpty
}

// tryJoin asks the leader to add this replica as a learner and reports whether it succeeded.
func (s *Server) tryJoin(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	self := consensus.Member{ID: s.identity.Load().ID, Name: s.identity.Load().Name, Address: s.file.Control.InternalAddress}
	_, err := s.group.Ask(attempt, Request{Join: &self})
	if err != nil {
		s.log.Info("failed to join the control group, retrying", zap.Error(err))
		return false
	}
	s.log.Info(events.GroupJoined)
	return true
}

// rejoinWhileLeaderless asks to join as a learner while this replica knows no leader, since the group may have replaced
// it during an outage. The request has no effect for a member.
func (s *Server) rejoinWhileLeaderless(ctx context.Context) {
	transport.Every(ctx, rejoinInterval, func() {
		if s.hasStateWithoutLeader() {
			s.tryJoin(ctx)
		}
	})
}

// hasStateWithoutLeader reports whether this replica has state but knows no leader.
func (s *Server) hasStateWithoutLeader() bool {
	return s.queryReplica(func(replica *Replica) bool {
		return replica.Node().LastIndex() > 0 && replica.Node().LeaderSilent(s.now())
	})
}

// createGroup makes this replica the first voter of a new group.
func (s *Server) createGroup() {
	if s.replica.Node().LastIndex() > 0 {
		return
	}
	self := consensus.Member{ID: s.identity.Load().ID, Name: s.identity.Load().Name, Address: s.file.Control.InternalAddress}
	state := BootstrapState(self)
	if _, err := s.disk.Write(Persist{Checkpoint: &state}); err != nil {
		s.log.Error(events.StorageFailed, zap.Error(err))
		time.AfterFunc(rejoinInterval, func() { s.submit(input{createGroup: true}) }) // the folder is still empty
		return
	}
	replica, err := NewReplica(s.config, state, s.now())
	if err != nil {
		s.fatal <- err
		return
	}
	replica.readOffers = s.replica.readOffers
	s.replica = replica
	s.log.Info(events.GroupCreated)
}

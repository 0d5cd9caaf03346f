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

// enqueue queues a message for a peer. A full enqueue drops it: the protocol sends again.
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

// addressOf returns where a replica can be reached: from the membership, or from where it wrote to us, since
// a replica that has just joined does not know the membership yet.
func (s *Server) addressOf(id consensus.ID) string {
	if member, found := s.replica.Node().Membership().Find(id); found {
		return member.Address
	}
	return s.senderAddresses[id]
}

// raftBatch is one request between replicas.
type raftBatch struct {
	Address  string              `json:"address"` // of the sender
	Messages []consensus.Message `json:"messages"`
}

const (
	// peerTimeoutHeartbeats is how many heartbeats a message to a peer may take; a peer behind a cut must not hold up what follows.
	peerTimeoutHeartbeats = 4
	// minPeerBytesPerSecond is what a peer takes at the least, in bytes a second: a snapshot of a large state has so much more time. A replica with
	// 0.8 of a core decodes some 20 MB of JSON a second.
	minPeerBytesPerSecond = 4 << 20
)

// peerTimeout returns how long a message of so many bytes to a peer may take.
func peerTimeout(heartbeat time.Duration, bytes int) time.Duration {
	return peerTimeoutHeartbeats*heartbeat + time.Duration(bytes)*time.Second/minPeerBytesPerSecond
}

// sendTo is the thread that sends messages to one peer, several in one request.
func (s *Server) sendTo(address string, queue chan consensus.Message) {
	for message := range queue {
		batch := raftBatch{Address: s.file.Control.Internal, Messages: []consensus.Message{message}}
		for len(batch.Messages) < maxInputBatch && len(queue) > 0 {
			batch.Messages = append(batch.Messages, <-queue)
		}
		body, err := json.Marshal(batch)
		if err != nil {
			s.log.Error("messages to a peer cannot be encoded", zap.String("peer", address), zap.Error(err))
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout(s.file.Control.Heartbeat, len(body)))
		if err := s.client.PostBody(ctx, address, PathRaft, body); err != nil {
			s.log.Debug("peer not reached", zap.String("peer", address), zap.Error(err))
		}
		cancel()
	}
}

// joinOrFound finds the group for a replica with an empty folder: it joins an existing one as a learner, or
// founds one if it is the first founder and every other founder has answered that it has no state either.
func (s *Server) joinOrFound(ctx context.Context) {
	for {
		groupExists, allEmpty := s.probeFounders(ctx)
		switch {
		case groupExists && s.tryJoin(ctx):
			return
		case !groupExists && allEmpty && !s.file.Control.JoinOnly && s.file.Control.Founders[0] == s.file.Control.Internal:
			s.inputs <- input{foundGroup: true}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}

func (s *Server) probeFounders(ctx context.Context) (exists, allEmpty bool) {
	allEmpty = true
	for _, address := range s.file.Control.Founders {
		if address == s.file.Control.Internal {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		var reply HelloReply
		err := s.client.Post(attempt, address, PathHello, struct{}{}, &reply)
		cancel()
		exists = exists || (err == nil && reply.HasState)
		allEmpty = allEmpty && err == nil && !reply.HasState
	}
	return exists, allEmpty
}

// tryJoin asks the leader to add this replica as a learner.
func (s *Server) tryJoin(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	self := consensus.Member{ID: s.identity.ID, Name: s.identity.Name, Address: s.file.Control.Internal}
	_, err := s.group.Ask(attempt, Request{Join: &self})
	if err != nil {
		s.log.Info("waiting to join the control group", zap.Error(err))
		return false
	}
	s.log.Info(events.GroupJoined)
	return true
}

// rejoinWhileLeaderless is the thread that asks to become a learner while no leader is known: the group may have replaced this replica
// while it was away. For a member it changes nothing.
func (s *Server) rejoinWhileLeaderless(ctx context.Context) {
	transport.Every(ctx, rejoinInterval, func() {
		if s.hasStateWithoutLeader() {
			s.tryJoin(ctx)
		}
	})
}

// hasStateWithoutLeader reports whether this replica has state and hears no leader.
func (s *Server) hasStateWithoutLeader() bool {
	return s.holds(func(replica *Replica) bool {
		return replica.Node().LastIndex() > 0 && replica.Node().LeaderSilent(s.now())
	})
}

// foundGroup makes this replica the first voter of a new group.
func (s *Server) foundGroup() {
	if s.replica.Node().LastIndex() > 0 {
		return
	}
	self := consensus.Member{ID: s.identity.ID, Name: s.identity.Name, Address: s.file.Control.Internal}
	state := BootstrapState(self)
	if err := s.disk.Write(Persist{Checkpoint: &state}); err != nil {
		s.fatal <- err
		return
	}
	replica, err := NewReplica(s.config, state, s.now())
	if err != nil {
		s.fatal <- err
		return
	}
	s.replica = replica
	s.log.Info(events.GroupFounded)
}

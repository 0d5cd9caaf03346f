package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/consensus"
	"kitetiller/internal/events"
	"kitetiller/internal/transport"
)

// A replica with an empty data folder finds its group in two ways: it asks the configured seeds whether they have state, and
// the leader announces the group to seeds and members that it doesn't hear from. Without the announcements, a group whose seeds
// have all lost their data or moved could not be found by anyone, since only the seeds' addresses are configured. Gateways keep
// nothing across a restart, so the leader announces the group to those that it doesn't hear from either.

const (
	// announceInterval is the time between two announcements of the group.
	announceInterval = 250 * time.Millisecond
	// gatewaySilence is how long the leader may not hear a gateway before it announces the group to it. Gateways poll more often.
	gatewaySilence = time.Second
	// maxAnnouncedGateways bounds the gateways of one announcement.
	maxAnnouncedGateways = 64
)

// Hello asks a replica whether it has state. From a leader, it also states where the group is.
type Hello struct {
	Members []string `json:"members,omitempty"` // internal addresses of the group
}

// HelloReply tells whether the answering replica has state.
type HelloReply struct {
	HasState bool `json:"has_state"`
}

// seeds returns the configured internal addresses of replicas.
func (s *Server) seeds() []string { return *s.seedAddresses.Load() }

// UseSeeds replaces the configured addresses of replicas.
func (s *Server) UseSeeds(addresses []string) {
	s.seedAddresses.Store(&addresses)
	s.group.SetAddresses(addresses)
}

// handleHello answers a hello. A replica without state uses the addresses in it to join.
func (s *Server) handleHello(hello Hello, respond transport.Respond) {
	hasState := s.replica.Node().LastIndex() > 0
	if !hasState && len(hello.Members) > 0 {
		s.announced.Store(&hello.Members)
	}
	respond(http.StatusOK, HelloReply{HasState: hasState})
}

// announceGroup announces the group to the processes that the leader doesn't hear from, while this replica leads.
func (s *Server) announceGroup(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
		var replicas, gateways []string
		var hello Hello
		queried := s.queryReplica(func(replica *Replica) bool {
			replicas, gateways = replica.silentReplicas(s.now(), s.seeds()), replica.silentGateways(s.now())
			hello = Hello{Members: replica.addresses()}
			return true
		})
		if queried { // otherwise the replica may set the variables later
			s.announce(ctx, hello, append(replicas, batchOf(gateways, maxAnnouncedGateways, round)...))
		}
	}
}

// batchOf returns at most size of the names, others in each round until all have had their turn.
func batchOf(names []string, size, round int) []string {
	if len(names) <= size {
		return names
	}
	batches := (len(names) + size - 1) / size
	first := round % batches * size
	return names[first:min(first+size, len(names))]
}

// announce sends a hello to addresses, all at once.
func (s *Server) announce(ctx context.Context, hello Hello, addresses []string) {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, address := range addresses {
		sent.Go(func() {
			if err := s.announcer.Post(attempt, address, PathHello, hello, nil); err != nil {
				s.log.Debug("failed to announce the group", zap.String("address", address), zap.Error(err))
			}
		})
	}
	sent.Wait()
}

// silentReplicas returns the addresses of seeds and members from which this leader gets no replies, or none if this replica
// doesn't lead.
func (r *Replica) silentReplicas(now time.Duration, seeds []string) []string {
	if r.leader == nil {
		return nil
	}
	heard := map[string]bool{r.config.Address: true}
	for _, peer := range r.node.Peers() {
		if member, found := r.node.Membership().Find(peer.ID); found && now-peer.LastReplyAt <= presenceTimeout {
			heard[member.Address] = true
		}
	}
	candidates := slices.Concat(seeds, r.addresses())
	slices.Sort(candidates)
	return slices.DeleteFunc(slices.Compact(candidates), func(address string) bool { return heard[address] })
}

// silentGateways returns the addresses of the gateways that this leader has not heard for gatewaySilence, sorted by name, or none
// if this replica doesn't lead.
func (r *Replica) silentGateways(now time.Duration) []string {
	if r.leader == nil || now < r.leader.startedAt+gatewaySilence {
		return nil
	}
	var silent []string
	for _, name := range r.machine.catalog.AddressedGateways() {
		if report, reported := r.leader.usage[name]; !reported || now-report.receivedAt >= gatewaySilence {
			silent = append(silent, r.machine.catalog.GatewayAddress(name))
		}
	}
	return silent
}

// joinOrCreateGroup joins a replica with an empty data folder to an existing group, as a learner. If there is none, it
// creates a group, provided that this replica is the first initial member and all others have answered that they have
// no state. It does neither while the data folder can't be created, and returns at once if it already runs.
func (s *Server) joinOrCreateGroup(ctx context.Context) {
	if !s.joining.CompareAndSwap(false, true) {
		return
	}
	defer s.joining.Store(false)
	for {
		groupExists, othersEmpty := s.findGroup(ctx)
		switch {
		case s.folderFailed.Load():
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

// findGroup asks the seeds whether a group exists, all at once. othersEmpty reports whether all of them have answered that they
// have no state. A group that was announced exists, whatever the seeds would answer.
func (s *Server) findGroup(ctx context.Context) (groupExists, othersEmpty bool) {
	if members := s.announced.Load(); members != nil {
		s.group.SetAddresses(*members)
		return true, false
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(s.seeds()), func(address string) bool { return address == s.file.Control.InternalAddress })
	answers := make(chan *HelloReply, len(others)) // nil if a seed didn't answer
	for _, address := range others {
		go func() {
			var reply HelloReply
			if err := s.client.Post(attempt, address, PathHello, Hello{}, &reply); err != nil {
				answers <- nil
				return
			}
			answers <- &reply
		}()
	}
	othersEmpty = true
	for range others {
		reply := <-answers
		if reply != nil && reply.HasState {
			return true, false
		}
		othersEmpty = othersEmpty && reply != nil
	}
	return false, othersEmpty
}

// tryJoin asks the leader to add this replica as a learner and reports whether it succeeded.
func (s *Server) tryJoin(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	self := consensus.Member{ID: s.identity.Load().ID, Name: s.identity.Load().Name, Address: s.file.Control.InternalAddress}
	_, err := s.group.AskUntilOK(attempt, Request{Join: &self})
	if err != nil {
		s.log.Info("failed to join the control group, retrying", zap.Error(err))
		return false
	}
	s.log.Info(events.GroupJoined)
	return true
}

// rejoinWhileLeaderless asks to join as a learner while this replica knows no leader, since the group may have replaced
// it during an outage, or not added it although a leader had accepted it. The request has no effect for a member.
func (s *Server) rejoinWhileLeaderless(ctx context.Context) {
	transport.Every(ctx, rejoinInterval, func() {
		if s.isMemberWithoutLeader() {
			s.tryJoin(ctx)
		}
	})
}

// isMemberWithoutLeader reports whether this replica has state, or has joined, but knows no leader.
func (s *Server) isMemberWithoutLeader() bool {
	return s.queryReplica(func(replica *Replica) bool {
		return (replica.Node().LastIndex() > 0 || !s.joining.Load()) && replica.Node().LeaderSilent(s.now())
	})
}

// createGroup makes this replica the first voter of a new group.
func (s *Server) createGroup() {
	if s.replica.Node().LastIndex() > 0 {
		return
	}
	if s.writing {
		time.AfterFunc(announceInterval, func() { s.submit(input{createGroup: true}) })
		return
	}
	self := consensus.Member{ID: s.identity.Load().ID, Name: s.identity.Load().Name, Address: s.file.Control.InternalAddress}
	state := BootstrapState(self)
	if _, err := s.disk.Write(Persist{Checkpoint: &state}); err != nil {
		s.log.Error(events.StorageFailed, zap.Error(err))
		time.AfterFunc(rejoinInterval, func() { s.submit(input{createGroup: true}) })
		return
	}
	replica, err := NewReplica(s.config, state, s.now())
	if err != nil {
		s.fatal <- err
		return
	}
	replica.readOffers = s.replica.readOffers
	replica.StartSyncTime(s.disk.OpenSyncTime())
	s.replica = replica
	s.log.Info(events.GroupCreated)
}

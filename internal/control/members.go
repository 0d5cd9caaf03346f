package control

import (
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/consensus"
	"kitetiller/internal/events"
)

// memberChangeKind is what a change does to a member of the group.
type memberChangeKind uint8

const (
	memberAdded memberChangeKind = iota // as a learner
	memberPromoted
	memberRemoved
)

// Reasons for changes of the members, as logged.
const (
	reasonJoined    = "joined"
	reasonCaughtUp  = "caught-up"
	reasonVoterLost = "voter-lost" // a voter was removed; the learner has not caught up yet
	reasonSilent    = "silent"
	reasonNameTaken = "name-taken" // another replica has the member's name, so that the member has lost its disk
)

// memberChange is a change of a member that this leader proposed.
type memberChange struct {
	kind   memberChangeKind
	member consensus.Member
	reason string
	silent time.Duration // time since the member's last message, at the proposal
	lag    uint64        // committed entries that the member was not known to have, at the proposal
	took   time.Duration // until it committed
	voters int           // from then on
}

// proposedMembership is a membership that this leader proposed.
type proposedMembership struct {
	changes    []memberChange
	index      uint64 // of the entry
	proposedAt time.Duration
}

// changeMembers proposes a membership that differs by the given changes. It reports whether it was proposed.
func (r *Replica) changeMembers(now time.Duration, membership consensus.Membership, changes ...memberChange) bool {
	for i := range changes {
		changes[i].voters = membership.Voters()
		for _, peer := range r.node.Peers() {
			if peer.ID == changes[i].member.ID {
				changes[i].silent, changes[i].lag = now-peer.LastReplyAt, max(peer.Match, r.node.Commit())-peer.Match
			}
		}
	}
	index, _, ok := r.node.ProposeMembership(now, membership)
	if ok {
		r.leader.proposedMembership = &proposedMembership{changes, index, now}
	}
	return ok
}

// recordMemberChange records the proposed changes once they have committed.
func (r *Replica) recordMemberChange(now time.Duration) {
	proposed := r.leader.proposedMembership
	if proposed == nil || r.node.Commit() < proposed.index {
		return
	}
	for _, change := range proposed.changes {
		change.took = now - proposed.proposedAt
		r.memberChanges = append(r.memberChanges, change)
	}
	r.leader.proposedMembership = nil
}

// takeMemberChanges returns the changes that have committed since the last call.
func (r *Replica) takeMemberChanges() []memberChange {
	taken := r.memberChanges
	r.memberChanges = nil
	return taken
}

// lossReason returns why a voter counts as lost.
func lossReason(membership consensus.Membership, voter consensus.Member) string {
	if nameTaken(membership, voter) {
		return reasonNameTaken
	}
	return reasonSilent
}

// unknownLosses is returned by lossesBorne on a replica that can't tell.
const unknownLosses = -1

// lossesBorne returns how many voters may lose their disks now so that the others still are a majority and have what is
// committed, or unknownLosses if this replica doesn't lead with a valid lease. A voter counts if it is present and its log is
// close to the leader's. While a change of the members is not committed, either membership may be in force after a loss.
func (r *Replica) lossesBorne(now time.Duration) int {
	if r.leader == nil || !r.hasCurrentState(now) {
		return unknownLosses
	}
	membership := r.node.Membership()
	borne := r.lossesBorneBy(now, membership)
	if !r.node.MembershipCommitted() {
		borne = min(borne, r.lossesBorneBy(now, r.node.MembershipAt(r.node.Commit())))
	}
	return max(0, borne)
}

func (r *Replica) lossesBorneBy(now time.Duration, membership consensus.Membership) int {
	present := 0
	if membership.IsVoter(r.config.ID) {
		present++
	}
	for _, peer := range r.node.Peers() {
		if membership.IsVoter(peer.ID) && isPresent(now, peer) && r.hasCaughtUp(peer.Match) {
			present++
		}
	}
	return present - (membership.Voters()/2 + 1)
}

// membersLogState is what the log says of the group's members. It is owned by runReplica.
type membersLogState struct {
	awaitsState bool // the data folder was empty at the start, and nothing has been written since
	losses      int  // last logged losses borne, once lossesKnown is set
	lossesKnown bool
	limiter     intervalLimiter // of the lines about losses borne
	checkedAt   time.Duration   // when the losses borne were last computed
}

// lossesCheckInterval is the minimum time between two computations of the losses borne.
const lossesCheckInterval = 100 * time.Millisecond

// logMembers logs changes of the members, the first durable state, and how many losses the group bears.
func (s *Server) logMembers() {
	if s.membersLog.awaitsState && s.replica.node.HasDurableState() {
		s.membersLog.awaitsState = false
		s.log.Info(events.FirstStateDurable, zap.Uint64("index", s.replica.node.Persisted()), zap.Duration(events.FieldElapsed, s.now()))
	}
	for _, change := range s.replica.takeMemberChanges() {
		s.log.Info(change.event(), zap.String("member", string(change.member.ID)), zap.String("internal", change.member.Address), zap.String("why", change.reason),
			zap.Duration("silent", change.silent), zap.Uint64("lag", change.lag), zap.Int("voters", change.voters), zap.Duration(events.FieldElapsed, change.took))
	}
	s.logLossesBorne()
}

func (c memberChange) event() string {
	return [...]string{memberAdded: events.MemberAdded, memberPromoted: events.MemberPromoted, memberRemoved: events.MemberRemoved}[c.kind]
}

// logLossesBorne logs how many losses the group bears when that has changed since the last line, at most once per
// slowLogInterval. A value that lasted shorter than that may have no line.
func (s *Server) logLossesBorne() {
	now, state := s.now(), &s.membersLog
	if now < state.checkedAt+lossesCheckInterval {
		return
	}
	state.checkedAt = now
	losses := s.replica.lossesBorne(now)
	s.usage.lossesBorne.Store(int64(losses))
	if losses == unknownLosses {
		state.lossesKnown = false
		return
	}
	if state.lossesKnown && state.losses == losses {
		return
	}
	if _, allowed := state.limiter.allow(now); !allowed {
		return
	}
	state.losses, state.lossesKnown = losses, true
	s.log.Info(events.LossesBorneChanged, zap.Int("losses", losses), zap.Int("voters", s.replica.node.Membership().Voters()), zap.Uint64("term", s.replica.node.Term()))
}

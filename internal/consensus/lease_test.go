package consensus

import (
	"slices"
	"testing"
	"time"
)

// delayedMessage is a message on its way.
type delayedMessage struct {
	message Message
	due     time.Duration
}

// slowNetwork delivers the messages of a cluster after a delay each way.
type slowNetwork struct {
	*cluster
	delay time.Duration
	onWay []delayedMessage
}

// run advances time.
func (s *slowNetwork) run(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.advance(10 * time.Millisecond)
		for {
			for _, m := range s.inFlight {
				s.onWay = append(s.onWay, delayedMessage{m, s.now + s.delay})
			}
			s.inFlight = nil
			next := slices.IndexFunc(s.onWay, func(m delayedMessage) bool { return m.due <= s.now })
			if next < 0 {
				break
			}
			s.inFlight = append(s.inFlight, s.onWay[next].message)
			s.onWay = slices.Delete(s.onWay, next, next+1)
			s.deliver(0)
		}
	}
}

// validShare returns for which part of the time some leader held a lease.
func (s *slowNetwork) validShare(length time.Duration) float64 {
	valid, steps := 0, 0
	for end := s.now + length; s.now < end; steps++ {
		s.run(10 * time.Millisecond)
		if leader := s.leader(); leader != nil && leader.node.LeaseValid(s.now) {
			valid++
		}
	}
	return float64(valid) / float64(steps)
}

// Guards against a leader without a lease for as long as round trips take longer than that, so that nothing is served though a
// leader is elected.
func TestLeaseOutlastsLongRoundTrips(t *testing.T) {
	for _, delay := range []time.Duration{0, 100, 240, 300, 450} {
		s := &slowNetwork{cluster: newCluster(5, 1, t.Fatalf), delay: delay * time.Millisecond}
		s.run(20 * time.Second)
		if share := s.validShare(10 * time.Second); share < 1 {
			t.Errorf("messages of %v: a leader holds a lease for %.2f of the time, want 1", s.delay, share)
		}
	}
}

// Guards against leaders that are replaced late for ever since round trips were long once.
func TestSilenceFollowsShorterRoundTrips(t *testing.T) {
	s := &slowNetwork{cluster: newCluster(3, 1, t.Fatalf), delay: 450 * time.Millisecond}
	s.run(20 * time.Second)
	if leader := s.leader(); leader == nil || leader.node.silence == 0 {
		t.Fatal("no longer silence is asked for over round trips of 0.9 s")
	}
	s.delay = 0
	s.run(10 * time.Second)
	for _, r := range s.replicas {
		if r.node.silence != 0 || r.hard.Silence != 0 {
			t.Errorf("%s asks for %v and has promised %v, 10 s after round trips became short", r.id, r.node.silence, r.hard.Silence)
		}
	}
}

// Guards against two leaders with leases: a voter that restarts must stay silent for as long as it may have promised.
func TestRestartedVoterStaysSilent(t *testing.T) {
	s := &slowNetwork{cluster: newCluster(3, 1, t.Fatalf), delay: 450 * time.Millisecond}
	s.run(20 * time.Second)
	old := s.leader()
	s.delay = 0
	for began := s.now; !old.node.LeaseValid(s.now + 2*testTiming.Lease); s.run(10 * time.Millisecond) {
		if s.now > began+time.Second {
			t.Fatal("the leader has no long lease after replies to its latest messages")
		}
	}
	s.partitioned[old.id] = true
	for _, r := range s.replicas {
		if r != old {
			s.kill(r)
			s.start(r)
		}
	}
	s.run(10 * time.Second) // advance fails if two leases are valid
	if next := s.leader(); next == nil || next == old {
		t.Fatal("no other leader after 10 s")
	}
}

// Guards against elections that nobody wins for a long time, since replicas give up candidates whose votes are on their way.
func TestLeaderIsElectedOverLongRoundTrips(t *testing.T) {
	for _, delay := range []time.Duration{0, 100, 250, 350, 450} {
		for seed := range uint64(20) {
			s := &slowNetwork{cluster: newCluster(5, seed, t.Fatalf), delay: delay * time.Millisecond}
			s.run(20 * time.Second)
			for _, r := range s.replicas {
				s.kill(r)
				s.start(r)
			}
			s.inFlight, s.onWay = nil, nil
			began, bound := s.now, 5*time.Second+12*s.delay
			for leader := s.leader(); leader == nil || !leader.node.LeaseValid(s.now); leader = s.leader() {
				if s.now > began+bound {
					t.Errorf("messages of %v, seed %d: no leader with a lease within %v of a restart of all", s.delay, seed, bound)
					break
				}
				s.run(10 * time.Millisecond)
			}
		}
	}
}

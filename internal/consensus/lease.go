package consensus

import (
	"slices"
	"time"
)

// A leader's lease lasts for a part of the time for which voters reject votes after its messages, their silence. Where round
// trips take so long that a lease would end before it is renewed, the leader asks for a longer silence. A voter grants what
// it has on stable storage, since it stays silent for as long after a restart as it may have promised before.

const (
	// leaseReserve is how much longer than a round trip a lease lasts at least, in heartbeats.
	leaseReserve = 3
	// maxLeaseScale bounds the silence that a leader asks for, in multiples of ElectionMin.
	maxLeaseScale = 5
	// shorterLeaseMargin is by how much a round trip must fit into a shorter lease before the leader asks for it.
	shorterLeaseMargin = 1.25
	// roundTripWindow is the time after which a round trip is forgotten.
	roundTripWindow = time.Second
)

// roundTrips estimates the round trip to a peer: the shortest one of the present and the previous window, since a reply that
// waits for a sync or behind others tells nothing about those beside it.
type roundTrips struct {
	current, previous time.Duration // 0 if there was none
	windowEnd         time.Duration
}

// Observe records a round trip.
func (r *roundTrips) Observe(now, took time.Duration) {
	if now >= r.windowEnd {
		r.previous, r.current, r.windowEnd = r.current, 0, now+roundTripWindow
	}
	if r.current == 0 || took < r.current {
		r.current = max(took, 1)
	}
}

// Shortest returns the shortest recent round trip, or 0 if none is known.
func (r *roundTrips) Shortest() time.Duration {
	if r.current == 0 || r.previous == 0 {
		return max(r.current, r.previous)
	}
	return min(r.current, r.previous)
}

// LeaseValid reports whether this replica leads and a quorum acknowledged it recently enough that no other replica can
// have been elected. While it is valid, the leader may serve reads of committed state.
func (n *Node) LeaseValid(now time.Duration) bool {
	if n.role != Leader || n.commit < n.termStartIndex {
		return false
	}
	return now < n.leaseUntil(now)
}

// leaseUntil returns the latest time until which a quorum of voters is silent.
func (n *Node) leaseUntil(now time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(n.membership.Members))
	for _, member := range n.membership.Members {
		switch {
		case member.Learner:
		case member.ID == n.config.ID:
			times = append(times, now+n.config.Timing.Lease)
		default:
			times = append(times, n.peers[member.ID].leaseUntil)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return int(b - a) })
	return times[len(times)/2]
}

// recordGrant extends the lease by a peer's reply to a message.
func (n *Node) recordGrant(now time.Duration, peer *progress, reply *Message) {
	if reply.SentAt == 0 {
		return
	}
	lease := n.config.Timing.Lease
	if reply.Silence > 0 {
		lease = time.Duration(float64(lease) * float64(reply.Silence) / float64(n.config.Timing.ElectionMin))
	}
	peer.leaseUntil = max(peer.leaseUntil, reply.SentAt+lease)
	peer.roundTrips.Observe(now, now-reply.SentAt)
}

// Lease returns the round trip to the fastest quorum and the silence that this leader asks for. Both are 0 on other replicas, and
// if they are unknown or as usual.
func (n *Node) Lease() (roundTrip, silence time.Duration) {
	if n.role != Leader {
		return 0, 0
	}
	roundTrip, _ = n.quorumRoundTrip()
	return roundTrip, n.silence
}

// updateSilence sets the silence that this leader asks for, by the round trips of the fastest quorum.
func (n *Node) updateSilence() {
	if !n.config.LongLeases() {
		n.silence = 0
		return
	}
	roundTrip, known := n.quorumRoundTrip()
	if !known {
		return
	}
	timing := n.config.Timing
	scaleFor := func(roundTrip time.Duration) time.Duration {
		needed := roundTrip + leaseReserve*timing.Heartbeat
		return min((needed+timing.Lease-1)/timing.Lease, maxLeaseScale)
	}
	scale := max(1, n.silence/timing.ElectionMin)
	if longer := scaleFor(roundTrip); longer > scale {
		scale = longer
	} else if shorter := scaleFor(time.Duration(shorterLeaseMargin * float64(roundTrip))); shorter < scale {
		scale = shorter
	}
	n.silence = scale * timing.ElectionMin
	if scale == 1 {
		n.silence = 0
	}
}

// quorumRoundTrip returns the longest round trip of the fastest voters that make a quorum with this leader.
func (n *Node) quorumRoundTrip() (roundTrip time.Duration, known bool) {
	var times []time.Duration
	for _, member := range n.membership.Members {
		if member.Learner || member.ID == n.config.ID {
			continue
		}
		if shortest := n.peers[member.ID].roundTrips.Shortest(); shortest > 0 {
			times = append(times, shortest)
		}
	}
	return n.quorumTime(times)
}

// promiseSilence makes this replica reject votes for as long as a leader's message asks, and returns what it grants.
func (n *Node) promiseSilence(now, asked time.Duration) (granted time.Duration) {
	minSilence := n.config.Timing.ElectionMin
	asked = min(asked, maxLeaseScale*minSilence)
	n.silentUntil = max(n.silentUntil, now+max(asked, minSilence))
	shorter := n.silentUntil-now <= max(asked, minSilence) // nothing longer is promised any more
	if asked > n.hard.Silence || asked < n.hard.Silence && shorter {
		n.hard.Silence = asked
		n.hardStateChanged = true
	}
	return min(asked, n.storedSilence)
}

package tunnel

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// peerProvenTTL is how long an answer of any back end through a peer shows that it has paths.
	peerProvenTTL = 5 * time.Second
	// maxSilentAddresses is the number of back ends of which nothing may come through a peer before it isn't asked for others either.
	maxSilentAddresses = 2
	// referralTTL is how long a peer that another one named is asked, and maxReferrals how many such peers are held.
	referralTTL  = 5 * time.Second
	maxReferrals = 16
)

// peerRecord is what is known of a peer's paths to all back ends.
type peerRecord struct {
	provenUntil   time.Duration            // a back end answered through it lately
	silent        map[string]time.Duration // addresses of which nothing came through it since, and until when that counts
	excludedUntil time.Duration            // it has no paths itself
}

// peerRecords holds what is known of peers, and the refusals to open tunnels.
type peerRecords struct {
	records  map[string]*peerRecord
	referred map[string]time.Duration      // named by other peers, and until when they are asked
	refusals map[peerAddress]time.Duration // end of refusalTTL
}

func newPeerRecords() peerRecords {
	return peerRecords{records: map[string]*peerRecord{}, referred: map[string]time.Duration{}, refusals: map[peerAddress]time.Duration{}}
}

func (p *peerRecords) record(peer string) *peerRecord {
	r := p.records[peer]
	if r == nil {
		r = &peerRecord{silent: map[string]time.Duration{}}
		p.records[peer] = r
	}
	return r
}

// RecordAnswer records that a back end answered through a peer.
func (p *peerRecords) RecordAnswer(now time.Duration, peer string) {
	*p.record(peer) = peerRecord{provenUntil: now + peerProvenTTL, silent: map[string]time.Duration{}}
}

// RecordSilent records that nothing came of an address through a peer which had connected to it.
func (p *peerRecords) RecordSilent(now time.Duration, peer, address string) {
	r := p.record(peer)
	r.provenUntil = 0
	r.silent[address] = now + refusalTTL
	p.RecordRefusal(now, peer, address)
}

// RecordDisconnected records that a peer has no paths itself, and names others that do.
func (p *peerRecords) RecordDisconnected(now time.Duration, peer string, others []string) {
	p.record(peer).excludedUntil = now + refusalTTL
	for _, other := range others {
		if len(p.referred) < maxReferrals {
			p.referred[other] = now + referralTTL
		}
	}
}

// RecordRefusal records that a peer could not reach an address.
func (p *peerRecords) RecordRefusal(now time.Duration, peer, address string) {
	p.refusals[peerAddress{peer, address}] = now + refusalTTL
}

// Refused reports whether a peer recently could not reach an address.
func (p *peerRecords) Refused(now time.Duration, peer, address string) bool {
	return now < p.refusals[peerAddress{peer, address}]
}

// IsProven reports whether a back end answered through a peer lately.
func (p *peerRecords) IsProven(now time.Duration, peer string) bool {
	r := p.records[peer]
	return r != nil && now < r.provenUntil
}

// Proven returns up to a number of proven peers.
func (p *peerRecords) Proven(now time.Duration, most int) (peers []string) {
	for peer := range p.records {
		if len(peers) < most && p.IsProven(now, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Candidates returns the peers to ask for an address, given groups of them, nearest first. Proven ones come first, those of nearer
// groups before others. The rest is in random order, as a partition may strike all peers that are near.
func (p *peerRecords) Candidates(now time.Duration, address string, groups [][]string) []string {
	var proven, others []string
	add := func(peer string) {
		switch {
		case p.isExcluded(now, peer) || p.Refused(now, peer, address) || p.Refused(now, peer, anyAddress) || slices.Contains(proven, peer) || slices.Contains(others, peer):
		case p.IsProven(now, peer):
			proven = append(proven, peer)
		default:
			others = append(others, peer)
		}
	}
	for _, group := range groups {
		for _, i := range rand.Perm(len(group)) {
			add(group[i])
		}
	}
	for peer, until := range p.referred {
		if now < until {
			add(peer)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(proven, others...)
}

// isExcluded reports whether a peer isn't asked for any address.
func (p *peerRecords) isExcluded(now time.Duration, peer string) bool {
	r := p.records[peer]
	if r == nil {
		return false
	}
	silent := 0
	for _, until := range r.silent {
		if now < until {
			silent++
		}
	}
	return now < r.excludedUntil || silent >= maxSilentAddresses
}

// Sweep removes what has expired.
func (p *peerRecords) Sweep(now time.Duration) {
	maps.DeleteFunc(p.refusals, func(_ peerAddress, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(p.referred, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(p.records, func(_ string, r *peerRecord) bool {
		maps.DeleteFunc(r.silent, func(_ string, until time.Duration) bool { return now >= until })
		return now >= r.provenUntil && now >= r.excludedUntil && len(r.silent) == 0
	})
}

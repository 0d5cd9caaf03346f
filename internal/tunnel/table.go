package tunnel

import (
	"maps"
	"time"
)

const (
	// minProbeInterval and maxProbeInterval bound the interval at which a lost path is probed, which doubles with each
	// failure.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// refusalTTL is how long a peer is not asked again for an address that it could not reach.
	refusalTTL = time.Second
)

// Cause is why a direct path counts as lost.
type Cause string

// Causes of a lost path.
const (
	CauseDial   Cause = "dial"   // a direct connection was not established
	CauseSilent Cause = "silent" // connections are established, but nothing is received on them
)

// lostPath is an address that is reached through peers only.
type lostPath struct {
	since    time.Duration
	probeAt  time.Duration // the next probe is due
	interval time.Duration // between probes
	probing  bool          // a probe is running
}

// peerAddress is an address that was requested from a peer.
type peerAddress struct{ peer, address string }

// Table holds which addresses are reached through peers only, and which peers can't reach them either.
type Table struct {
	peerRecords
	lost   map[string]*lostPath
	failed map[string]time.Duration // end of refusalTTL, by address that no peer opened a tunnel to
	hedged map[string]struct{}      // addresses for which peers are asked while a direct connection is pending
}

// NewTable returns a table without lost paths.
func NewTable() *Table {
	return &Table{peerRecords: newPeerRecords(), lost: map[string]*lostPath{}, failed: map[string]time.Duration{}, hedged: map[string]struct{}{}}
}

// IsLost reports whether the direct path to an address is lost.
func (t *Table) IsLost(address string) bool { return t.lost[address] != nil }

// RestoreAll makes no path count as lost.
func (t *Table) RestoreAll() { clear(t.lost) }

// Len returns the number of lost paths.
func (t *Table) Len() int { return len(t.lost) }

// RecordLost records that a peer reached an address which was not reached directly, and reports whether the path was not
// lost before.
func (t *Table) RecordLost(now time.Duration, address string) bool {
	if t.IsLost(address) {
		return false
	}
	t.lost[address] = &lostPath{since: now, probeAt: now + minProbeInterval, interval: minProbeInterval}
	return true
}

// BeginProbe reports whether a probe of an address is due, and if so records that it runs.
func (t *Table) BeginProbe(now time.Duration, address string) bool {
	path := t.lost[address]
	if path == nil || path.probing || now < path.probeAt {
		return false
	}
	path.probing = true
	return true
}

// EndProbe records the result of a probe. If it succeeded, the path is no longer lost, and lostFor is how long it was.
func (t *Table) EndProbe(now time.Duration, address string, succeeded bool) (lostFor time.Duration) {
	path := t.lost[address]
	if path == nil {
		return 0
	}
	if succeeded {
		delete(t.lost, address)
		return now - path.since
	}
	path.probing = false
	path.interval = min(2*path.interval, maxProbeInterval)
	path.probeAt = now + path.interval
	return 0
}

// BeginHedge reports whether peers may be asked for an address while a direct connection is pending, and if so records
// that they are. One connection at a time may do so, as a back end that is slow to accept connections would get a
// multiple of them.
func (t *Table) BeginHedge(address string) bool {
	if _, hedged := t.hedged[address]; hedged {
		return false
	}
	t.hedged[address] = struct{}{}
	return true
}

// EndHedge records that the peers were asked.
func (t *Table) EndHedge(address string) { delete(t.hedged, address) }

// RecordFailed records that no peer opened a tunnel to an address.
func (t *Table) RecordFailed(now time.Duration, address string) {
	t.failed[address] = now + refusalTTL
}

// Failed reports whether no peer recently opened a tunnel to an address.
func (t *Table) Failed(now time.Duration, address string) bool { return now < t.failed[address] }

// Sweep removes expired refusals, and the paths to addresses that are no longer known.
func (t *Table) Sweep(now time.Duration, known func(address string) bool) {
	t.peerRecords.Sweep(now)
	maps.DeleteFunc(t.failed, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(t.lost, func(address string, _ *lostPath) bool { return !known(address) })
}

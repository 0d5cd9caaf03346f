package sim

import (
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/lab/syncs"
)

const (
	minSlowSync   = 50 * time.Millisecond
	maxSlowSync   = 1500 * time.Millisecond
	minSlowLength = 4 * time.Second
	maxSlowLength = 15 * time.Second
	usualSync     = time.Millisecond
)

// syncsOf returns the number of syncs in a row of a write.
func syncsOf(persist control.Persist) time.Duration {
	if persist.Checkpoint != nil {
		return syncs.Checkpoint
	}
	return syncs.Append
}

// openTime returns how long the syncs of a start take that are slower than usual.
func (n *controlNode) openTime() time.Duration {
	if n.hasSegment {
		return syncs.Open * n.syncDelay()
	}
	return 0
}

// createFolder makes the identity of a replica with an empty data directory durable while the replica runs.
func (n *controlNode) createFolder() {
	n.syncing = &control.Persist{}
	n.after(syncs.Create*(usualSync+n.syncDelay()), func() {
		n.hasSegment, n.syncing = true, nil
		n.advance()
	})
}

// endSlowSyncs ends what slowDown began.
func (n *controlNode) endSlowSyncs() { n.slowUntil = min(n.slowUntil, n.w.now()) }

// syncDelay returns by how much a write that begins now takes longer than usual.
func (n *controlNode) syncDelay() time.Duration {
	if n.w.now() >= n.slowUntil {
		return 0
	}
	return n.slowSync
}

// slowDown makes the syncs of a replica slow for a time, also across restarts.
func (n *controlNode) slowDown(sync, length time.Duration) {
	n.w.logf("%s: its syncs take %v for %v", n.name, sync, length)
	n.slowSync, n.slowUntil = sync, n.w.now()+length
	n.w.recordControlDisturbance(length + recoveryTime)
}

// outageSlowSync makes the syncs of one replica, of a minority or of all slow. In half of the cases all lose power first.
func (w *world) outageSlowSync() {
	sync, length := w.drawOutage(minSlowSync, maxSlowSync), w.drawOutage(minSlowLength, maxSlowLength)
	counts := []int{1, outageVoters / 2, len(w.controls)}
	for _, i := range w.outages.random.Perm(len(w.controls))[:counts[w.outages.random.IntN(len(counts))]] {
		w.controls[i].slowDown(sync, length)
	}
	if w.outages.random.IntN(2) == 0 {
		w.outagePowerLoss()
	}
}

// slowestSync returns the duration of the slowest syncs of any replica that are slow now or were since a time.
func (w *world) slowestSync(since time.Duration) time.Duration {
	slowest := time.Duration(0)
	for _, n := range w.controls {
		if n.slowUntil > since {
			slowest = max(slowest, n.slowSync)
		}
	}
	return slowest
}

package gateway

import "time"

const (
	// maxUnanswered is the number of consecutive attempts at one back end that may end without a byte before peers are
	// asked for a path, and unansweredTTL how long such an attempt counts.
	maxUnanswered = 2
	unansweredTTL = 5 * time.Second
)

// unansweredRuns counts consecutive attempts at an address that ended without a byte.
type unansweredRuns struct {
	count int
	at    time.Duration // of the latest
}

// recordUnanswered records that the attempt ended without a byte.
func (a *attempt) recordUnanswered() {
	g := a.exchange.gateway
	if a.conn.peer != "" {
		g.dialer.RecordSilent(a.conn.peer, a.row.entry.Address)
		return
	}
	g.table.recordUnanswered(g.now(), a.row.entry.Address)
	if g.paths.compares() {
		g.paths.SuspectSilence(a.row.entry.Address, a.sentAt)
	}
}

// recordUnanswered records that something which was sent to an address directly got no answer.
func (t *table) recordUnanswered(now time.Duration, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := t.unanswered[address]
	if now-runs.at > unansweredTTL {
		runs.count = 0
	}
	t.unanswered[address] = unansweredRuns{count: runs.count + 1, at: now}
}

// recordPathRestored records that a back end answered on a direct connection again.
func (t *table) recordPathRestored(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.unanswered, address)
}

// pathSuspected reports whether the direct path to an address may be lost although connections are established: consecutive attempts
// there got no byte.
func (t *table) pathSuspected(now time.Duration, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := t.unanswered[address]
	return runs.count >= maxUnanswered && now-runs.at <= unansweredTTL
}

// sweepUnanswered removes expired signs. The caller holds the mutex.
func (t *table) sweepUnanswered(now time.Duration) {
	for address, runs := range t.unanswered {
		if now-runs.at > unansweredTTL {
			delete(t.unanswered, address)
		}
	}
}

// rowAt returns the back end at an address, or nil.
func (t *table) rowAt(address string) *endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.rows {
		if row.entry.Address == address {
			return row
		}
	}
	return nil
}

// serviceAt returns the service of the back end at an address, and whether there is one.
func (t *table) serviceAt(address string) (service string, known bool) {
	if row := t.rowAt(address); row != nil {
		return row.entry.Service, true
	}
	return "", false
}

package gateway

import "time"

const (
	// directSilence is how long a gateway may receive nothing from any back end before requests that wait for a response
	// count as signs of a partition.
	directSilence = 400 * time.Millisecond
	// minSilentAddresses is the number of back ends that must show such signs.
	minSilentAddresses = 2
	// maxUnanswered is the number of consecutive attempts at one back end that may end without a byte before peers are
	// asked for a path, and unansweredTTL how long such an attempt counts.
	maxUnanswered = 2
	unansweredTTL = 5 * time.Second
)

// directPaths holds what direct connections to back ends show about the paths to them. It is guarded by the table's
// mutex.
type directPaths struct {
	lastByteAt time.Duration             // when bytes of any back end arrived
	unanswered map[string]unansweredRuns // by address
}

// unansweredRuns counts consecutive attempts at an address that ended without a byte.
type unansweredRuns struct {
	count int
	at    time.Duration // of the latest
}

// recordByte records that a back end sent bytes on a direct connection.
func (p *directPaths) recordByte(now time.Duration, address string) {
	p.lastByteAt = now
	delete(p.unanswered, address)
}

// recordUnanswered records that an attempt on a direct connection ended without a byte.
func (t *table) recordUnanswered(now time.Duration, sent *attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if sent.conn.peer != "" {
		return
	}
	address := sent.row.entry.Address
	runs := t.direct.unanswered[address]
	if now-runs.at > unansweredTTL {
		runs.count = 0
	}
	t.direct.unanswered[address] = unansweredRuns{count: runs.count + 1, at: now}
}

// recordPathRestored records that a back end answered on a direct connection again.
func (t *table) recordPathRestored(now time.Duration, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.direct.recordByte(now, address)
}

// pathSuspected reports whether the direct path to an address may be lost although connections are established:
// consecutive attempts there got no byte, or several back ends are silent and none has sent a byte since.
func (t *table) pathSuspected(now time.Duration, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := t.direct.unanswered[address]
	if runs.count >= maxUnanswered && now-runs.at <= unansweredTTL {
		return true
	}
	return now-t.direct.lastByteAt >= directSilence && t.silentAddresses(now) >= minSilentAddresses
}

// silentAddresses returns the number of back ends that were sent a request directly after the last byte of any, and have
// not answered it. The caller holds the mutex.
func (t *table) silentAddresses(now time.Duration) int {
	silent := map[string]struct{}{}
	for address, runs := range t.direct.unanswered {
		if runs.at > t.direct.lastByteAt && now-runs.at <= unansweredTTL {
			silent[address] = struct{}{}
		}
	}
	for sent := range t.waiting {
		if sent.conn != nil && sent.conn.peer == "" && sent.startedAt > t.direct.lastByteAt && now-sent.startedAt >= directSilence {
			silent[sent.row.entry.Address] = struct{}{}
		}
	}
	return len(silent)
}

// sweepDirectPaths removes expired signs. The caller holds the mutex.
func (t *table) sweepDirectPaths(now time.Duration) {
	for address, runs := range t.direct.unanswered {
		if now-runs.at > unansweredTTL {
			delete(t.direct.unanswered, address)
		}
	}
}

// serviceAt returns the service of the back end at an address, and whether there is one.
func (t *table) serviceAt(address string) (service string, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.rows {
		if row.entry.Address == address {
			return row.entry.Service, true
		}
	}
	return "", false
}

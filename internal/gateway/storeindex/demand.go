package storeindex

import "time"

const (
	// demandWindow is the time over which requests for a part are counted, in steps of demandStep.
	demandWindow = 10 * time.Second
	demandStep   = 2 * time.Second
	demandSteps  = int64(demandWindow / demandStep)
)

// demand counts the requests for one part.
type demand struct {
	counts [demandSteps]uint16 // by step number modulo demandSteps
	step   int64               // newest step counted
	lastAt time.Duration
}

// demandTable holds the demand by part ID, whatever the salt: after new weights the parts that were requested most are
// still known.
type demandTable map[string]*demand

func (t demandTable) record(now time.Duration, id string) {
	d := t[id]
	if d == nil {
		if len(t) >= maxShared {
			return
		}
		d = &demand{step: int64(now / demandStep)}
		t[id] = d
	}
	d.advance(now)
	if int64(now/demandStep) <= d.step-demandSteps {
		return // reported too late to count
	}
	if slot := &d.counts[int64(now/demandStep)%demandSteps]; *slot < 1<<16-1 {
		*slot++
	}
	d.lastAt = max(d.lastAt, now)
}

// advance clears the steps that have left the window.
func (d *demand) advance(now time.Duration) {
	current := int64(now / demandStep)
	for step := max(d.step+1, current-demandSteps+1); step <= current; step++ {
		d.counts[step%demandSteps] = 0
	}
	d.step = max(d.step, current)
}

// recent returns the requests for a part in the last demandWindow.
func (t demandTable) recent(now time.Duration, id string) int {
	d := t[id]
	if d == nil {
		return 0
	}
	d.advance(now)
	total := 0
	for _, count := range d.counts {
		total += int(count)
	}
	return total
}

// isShared reports whether a part was requested as a shared one recently.
func (t demandTable) isShared(now time.Duration, id string) bool {
	d := t[id]
	return d != nil && now <= d.lastAt+sharedTTL
}

func (t demandTable) sweep(now time.Duration) {
	for id, d := range t {
		if now > d.lastAt+sharedTTL {
			delete(t, id)
		}
	}
}

package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"kitetiller/internal/admission"
	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/guard"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/pushback"
)

const (
	// silenceTimeout is how long a back end may leave a request without a word, while it says nothing else either, before it is
	// avoided.
	silenceTimeout = 1200 * time.Millisecond
	// outdatedAvoidance is how long a back end is avoided that holds older weights than believed: about a period of its heartbeats.
	outdatedAvoidance = time.Second
)

// endpoint is a row of the back end table.
type endpoint struct {
	life                catalog.Incarnation // never changes
	entry               control.RosterEntry // with the newest weights that control or the back end itself told of
	controlVersions     map[string]uint64   // weights by model, as control last told them
	entryAt             time.Duration       // when the entry came
	occupancy           belief.Occupancy
	prefillBusyUntil    time.Duration         // when the prompts sent so far, by any gateway, are taken to be read
	cache               *belief.CacheEstimate // cached parts that it is believed to hold
	hash                uint64                // of its address
	longLane            bool                  // it serves long requests rather than short ones
	waiting             map[*attempt]time.Duration
	lastByteAt          time.Duration // newest bytes of any answer
	failures            int           // in a row
	failureRate         float64       // share of failures, smoothed
	avoidUntil          time.Duration
	limitExhaustedUntil time.Duration // nothing of its limit can be had until then, as the lender says
	limitPacedUntil     time.Duration // no more of its limit is placed for other gateways until then
	reports             suspicion     // of other gateways
	gone                bool
	assigned            bool // this gateway reads its cache events
}

// table holds the back ends of the newest roster.
type table struct {
	mechanisms       mechanism.Set // that are on
	mutex            sync.Mutex
	rows             map[string]*endpoint
	services         map[string][]*endpoint
	published        *belief.PublishTimes              // of weights
	stored           *belief.StoredParts               // parts that were sent to a store
	lanes            map[string]*lanes                 // by service
	meanDurations    map[string]belief.MeanDuration    // by service
	placed           map[string]placement              // for other gateways, by ticket
	links            belief.Links                      // of engines and stores
	prefillEstimates map[string]belief.PrefillEstimate // by service
	lastSent         map[string]time.Duration          // by shared part, the last of a prompt's: when it was last sent somewhere; at most metMost
	admission        map[string]*admission.Controller  // by service
	assignedCount    int                               // rows that are home
	holders          map[string][]*endpoint            // that hold a shared part, under any salt, by its id
	signals          *pushback.Tracker                 // what back ends said of themselves
	leaseRetryAt     time.Duration                     // until then nobody is asked for a part of a limit: the lender gave no answer
	lastRetryAt      map[string]time.Duration          // by service: when the caller that was told last may come back that found all at their limits
	rosterChanged    *bell                             // rings with each roster
	waiting          map[*attempt]struct{}             // all that wait at any row, also at those that are gone
}

func newTable(mechanisms mechanism.Set) *table {
	return &table{
		mechanisms: mechanisms, rows: map[string]*endpoint{}, services: map[string][]*endpoint{},
		published: belief.NewPublishTimes(guard.Set{}), stored: belief.NewStoredParts(), links: belief.Links{}, signals: pushback.NewTracker(),
		lanes: map[string]*lanes{}, meanDurations: map[string]belief.MeanDuration{}, prefillEstimates: map[string]belief.PrefillEstimate{}, lastSent: map[string]time.Duration{}, admission: map[string]*admission.Controller{},
		placed: map[string]placement{}, holders: map[string][]*endpoint{}, waiting: map[*attempt]struct{}{}, rosterChanged: newBell(), lastRetryAt: map[string]time.Duration{},
	}
}

// recordVersion notes the weights that a back end itself told of when it turned a request away, and reports whether they are news. Where they are
// older than believed it is left alone for a while: control hears of it with the next heartbeat.
func (t *table) recordVersion(now time.Duration, row *endpoint, model string, version uint64) (newer bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if believed := row.entry.Versions[model]; version <= believed {
		if version > 0 && version < believed {
			row.avoidUntil = max(row.avoidUntil, now+outdatedAvoidance)
		}
		return false
	}
	row.entry.Versions = newestVersions(row.entry.Versions, map[string]uint64{model: version})
	row.cache.Clear()
	return true
}

// applyWatchReply notes what every answer of control carries, and returns the versions of weights that it tells to be younger than known.
func (t *table) applyWatchReply(now, asked time.Duration, reply *control.WatchReply) []belief.AgeRegression {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.published.Update(now, asked, reply.Version.Term, reply.Wanted)
}

// setAssigned notes which back ends this gateway reads.
func (t *table) setAssigned(ids []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.assignedCount = 0
	for id, row := range t.rows {
		row.assigned = slices.Contains(ids, id)
		if row.assigned {
			t.assignedCount++
		}
	}
}

// usage returns the own requests by instance.
func (t *table) usage() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := map[string]int{}
	for id, row := range t.rows {
		if n := row.occupancy.Own.Running; n > 0 {
			counts[id] = n
		}
	}
	return counts
}

// weightsLoading reports whether a back end's weights are being replaced.
func (t *table) weightsLoading(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return row.entry.Loading && !row.gone
}

// hasHeartbeat reports whether control hears a back end's heartbeats.
func (t *table) hasHeartbeat(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !row.gone && !row.entry.Silent
}

// weightsDraining reports whether own requests run on a back end that gets no new ones, since its weights are to be replaced.
func (t *table) weightsDraining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.rows {
		if row.entry.Loading && row.occupancy.Own.Running > 0 {
			return true
		}
	}
	return false
}

// begin notes that an attempt is sent, and returns what this gateway now has running there.
func (t *table) begin(now time.Duration, sent *attempt) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := &sent.row.occupancy.Own
	*own = own.Plus(sent.load())
	if sent.plan.scheduled == nil {
		t.addPrefill(now, sent.row, sent.uncached)
	}
	sent.atRest = max(0, t.signals.Restriction(now, sent.row.life).BackoffUntil-now)
	sent.limited = t.signals.Limit(sent.row.life)
	sent.row.waiting[sent] = now
	t.waiting[sent] = struct{}{}
	return sent.row.occupancy.Local()
}

// recordBytes notes bytes of an answer; the first ones end the wait.
func (t *table) recordBytes(now time.Duration, sent *attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sent.row.lastByteAt = now
	t.endWait(sent)
}

// endWait notes that an attempt waits no longer, and ends the watch of its limit. The caller holds the mutex.
func (t *table) endWait(sent *attempt) {
	delete(sent.row.waiting, sent)
	delete(t.waiting, sent)
	if sent.limit != nil {
		sent.limit.Stop()
	}
}

// end notes that an attempt is over, and how it went. It returns what this gateway still has running there.
func (t *table) end(now time.Duration, sent *attempt, grade outcomeGrade) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.endWait(sent)
	own := &sent.row.occupancy.Own
	*own = own.Minus(sent.load())
	sent.row.grade(now, grade)
	if grade == gradeGood {
		t.recordDuration(sent.row, now-sent.began)
	}
	return sent.row.occupancy.Local()
}

// recordDuration learns how long a request stayed at a back end. The caller holds the mutex.
func (t *table) recordDuration(row *endpoint, length time.Duration) {
	service := row.entry.Service
	t.meanDurations[service] = t.meanDuration(service).Observe(length)
}

// meanDuration returns how long requests meanDuration at the back ends of a service.
func (t *table) meanDuration(service string) belief.MeanDuration {
	if known, measured := t.meanDurations[service]; measured {
		return known
	}
	return belief.InitialMeanDuration
}

// applySends notes what other gateways sent, and returns what is news of what back ends said of themselves.
func (t *table) applySends(now time.Duration, sends []send) (updates []said) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, sent := range sends {
		row := t.rows[sent.Instance]
		if row == nil {
			continue
		}
		at := now - min(now, sent.Age)
		if sent.Kept {
			row.cache.ApplyPeerReport(at, sent.Salt, sent.Parts)
			t.indexHolder(row, sent.Parts)
			continue
		}
		if sent.Unreached {
			t.suspect(at, row, sent.Gateway)
			continue
		}
		if !sent.Said.IsEmpty() {
			if fresh := t.hearOf(now, at, row, sent.Said); !fresh.IsEmpty() {
				updates = append(updates, said{sent.Instance, fresh})
			}
			continue
		}
		if sent.Refused != "" {
			t.judge(row.entry.Service).RecordRejection(at, sent.Refused)
			continue
		}
		row.occupancy.RecordPeer(sent.Gateway, at, sent.Load)
		if sent.Salt == "" {
			continue // it tells of no prompt
		}
		t.addPrefill(at, row, sent.Uncached)
		t.recordCached(at, row, sent)
		t.recordDemand(at, row, sent.Uncached)
	}
	return updates
}

// lanesOf returns the lanes of a service, made when it is first named.
func (t *table) lanesOf(service string) *lanes {
	found := t.lanes[service]
	if found == nil {
		found = &lanes{}
		t.lanes[service] = found
	}
	return found
}

// sweep forgets what is long past.
func (t *table) sweep(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stored.Sweep(now)
	t.sweepPlacements(now)
	for _, judge := range t.admission {
		judge.Sweep(now)
	}
	t.links.Sweep(now)
	t.sweepHolders()
	t.sweepLastSent(now)
	t.signals.Sweep(now, func(life catalog.Incarnation) bool { return t.rows[life.ID()] != nil })
	for _, row := range t.rows {
		row.occupancy.Sweep(now)
	}
}

// unresponsive reports whether a back end leaves requests without a word.
func (e *endpoint) unresponsive(now time.Duration) bool {
	if len(e.waiting) == 0 || now-e.lastByteAt < silenceTimeout {
		return false
	}
	oldest := slices.Min(slices.Collect(maps.Values(e.waiting)))
	return now-oldest > silenceTimeout
}

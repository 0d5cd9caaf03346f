package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"kitetiller/internal/admission"
	"kitetiller/internal/admission/reservation"
	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/gateway/belief"
	"kitetiller/internal/gateway/enginequeue"
	"kitetiller/internal/gateway/storeindex"
	"kitetiller/internal/guard"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/pushback"
	"kitetiller/internal/streamorigin"
)

const (
	// silenceTimeout is how long a back end may leave a request without a response, and send no bytes of any other
	// response, before it is avoided.
	silenceTimeout = 1200 * time.Millisecond
	// outdatedAvoidance is how long a back end that holds older weights than expected is avoided; it is about one
	// heartbeat interval.
	outdatedAvoidance = time.Second
)

// endpoint is an entry of the back end table.
type endpoint struct {
	incarnation         catalog.Incarnation // immutable
	entry               control.RosterEntry // with the newest weight versions reported by control or by the back end
	software            streamorigin.SoftwareVersion
	controlVersions     map[string]uint64 // weight versions by model, as last reported by control
	entryAt             time.Duration     // when the entry was received
	occupancy           belief.Occupancy
	prefillBusyUntil    time.Duration         // estimated end of the prefills of all gateways' requests sent so far
	queue               *enginequeue.Queue    // nil until needed, and for services without queues
	cache               *belief.CacheEstimate // estimate of the cached parts
	hash                uint64                // of the address
	longLane            bool                  // assigned to long requests rather than short ones
	waiting             map[*attempt]time.Duration
	lastByteAt          time.Duration // when the last bytes of any response arrived
	lifeReplyTime       time.Duration // that its last reply to the question for its incarnation took
	failures            int           // consecutive
	failureRate         float64       // smoothed
	avoidUntil          time.Duration
	limitExhaustedUntil time.Duration // no lease on its advertised limit is available until then
	limitPacedUntil     time.Duration // no more requests of other gateways are placed under its limit until then
	reports             peerReport    // by other gateways that it is unreachable
	gone                bool
	copies              keptCopies    // of this gateway's runs
	joinedAt            time.Duration // when this incarnation was first in the roster
	assigned            bool          // this gateway reads its cache events
}

// table holds the back ends of the current roster, and state shared by requests.
type table struct {
	mechanisms       mechanism.Set // enabled ones
	mutex            sync.Mutex
	rows             map[string]*endpoint
	services         map[string][]*endpoint
	published        *belief.PublishTimes              // versions of weights
	stored           *belief.StoredParts               // parts that were sent to a store
	stores           *storeindex.Index                 // what stores are known to hold
	currentView      func() *view                      // nil or returning nil if there is none
	lanes            map[string]*lanes                 // by service
	meanDurations    map[string]belief.MeanDuration    // by service
	placed           map[string]placement              // placements for other gateways, by ticket
	links            belief.Links                      // of engines and stores
	prefillEstimates map[string]belief.PrefillEstimate // by service
	lastSent         map[string]time.Duration          // of shared parts, by the ID of a prompt's last one; at most maxLastSent
	admission        map[string]*admission.Controller  // by service
	assignedCount    int                               // number of assigned rows
	holders          map[string][]*endpoint            // with a shared part cached under any salt, by part ID
	signals          *pushback.Tracker                 // load and limit signals of back ends
	leaseRetryAt     time.Duration                     // no lease is requested until then, since the allocator did not answer
	lastRetryAt      map[string]time.Duration          // by service: latest retry time given while all were at their limits
	queueRates       map[string]*enginequeue.Rates     // by latency-critical service
	lastQueueNumber  uint64                            // of a placement in a queue
	rosterChanged    *notifier                         // signals each new roster
	waiting          map[*attempt]struct{}             // awaiting a response, also at removed back ends
	// reservations are those of latency-critical services.
	reservations map[string]*reservation.Controller
	unanswered   map[string]unansweredRuns // by address
	rosterHeld   bool                      // a roster was applied
	// software holds the software versions of each service's back ends, observed since softwareSince without a break.
	software      map[string]*streamorigin.History
	softwareSince time.Duration
	minStreamAge  time.Duration
	streamAges    map[string]knownAge // by service
	// movedAt is when requests that went to other services before began to go to a service.
	movedAt map[string]time.Duration
	// rosterConfirmedAt is when the latest watch was sent whose reply confirmed the roster.
	rosterConfirmedAt time.Duration
	// lifeReplyTimes are the mean times of replies to the question for the incarnation, by service.
	lifeReplyTimes map[string]time.Duration
	// replyTimes are the mean times of replies to any question that takes a back end no time, by service.
	replyTimes map[string]time.Duration
	// firstByteTimes are the mean times until the first byte of a response, beyond what was predicted, by service.
	firstByteTimes map[string]time.Duration
}

func newTable(mechanisms mechanism.Set) *table {
	return &table{
		mechanisms: mechanisms, rows: map[string]*endpoint{}, services: map[string][]*endpoint{},
		published: belief.NewPublishTimes(guard.Set{}), stored: belief.NewStoredParts(), stores: storeindex.New(), links: belief.Links{}, signals: pushback.NewTracker(),
		lanes: map[string]*lanes{}, meanDurations: map[string]belief.MeanDuration{}, prefillEstimates: map[string]belief.PrefillEstimate{}, lastSent: map[string]time.Duration{}, admission: map[string]*admission.Controller{},
		queueRates: map[string]*enginequeue.Rates{}, placed: map[string]placement{}, holders: map[string][]*endpoint{}, waiting: map[*attempt]struct{}{}, rosterChanged: newNotifier(), lastRetryAt: map[string]time.Duration{}, reservations: map[string]*reservation.Controller{},
		software: map[string]*streamorigin.History{}, streamAges: map[string]knownAge{}, movedAt: map[string]time.Duration{}, minStreamAge: defaultMinStreamAge,
		unanswered: map[string]unansweredRuns{}, lifeReplyTimes: map[string]time.Duration{}, replyTimes: map[string]time.Duration{}, firstByteTimes: map[string]time.Duration{},
	}
}

// recordVersion records the weight version that a back end reported when it rejected a request, and reports
// whether it is newer than the known one. A back end with older weights than known is avoided until control has
// received its next heartbeat.
func (t *table) recordVersion(now time.Duration, row *endpoint, model string, version uint64) (newer bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := row.entry.Versions[model]; version <= known {
		if version > 0 && version < known {
			row.avoidUntil = max(row.avoidUntil, now+outdatedAvoidance)
		}
		return false
	}
	row.entry.Versions = newestVersions(row.entry.Versions, map[string]uint64{model: version})
	row.cache.Clear()
	return true
}

// applyWatchReply applies the part of a watch reply that every reply carries, and returns the versions whose age
// regressed.
func (t *table) applyWatchReply(now, sentAt time.Duration, reply *control.WatchReply) []belief.AgeRegression {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.rosterConfirmedAt = sentAt
	return t.published.Update(now, sentAt, reply.Version.Term, reply.Publications)
}

// setAssigned sets the back ends whose cache events this gateway reads.
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

// usage returns the number of this gateway's running requests by instance.
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

// hasHeartbeat reports whether control receives a back end's heartbeats.
func (t *table) hasHeartbeat(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !row.gone && !row.entry.Silent
}

// weightsDraining reports whether own requests run on a back end that gets no new ones because its weights are to
// be replaced.
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

// begin records that an attempt is sent, and returns this gateway's load at its back end.
func (t *table) begin(now time.Duration, sent *attempt) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := &sent.row.occupancy.Own
	*own = own.Plus(sent.load())
	if sent.plan.scheduled == nil {
		t.addPrefill(now, sent.row, sent.uncached)
		sent.queued = queuedRequest{number: sent.plan.queueNumber, placedAt: now}
		if !sent.continues && sent.plan.slot == nil {
			t.queueSent(now, sent.row, sent.plan.queueNumber, int(sent.plan.priority), sent.uncached)
		}
	}
	sent.backoffLeft = max(0, t.signals.Restriction(now, sent.row.incarnation).BackoffUntil-now)
	sent.advertisedLimit = t.signals.Limit(sent.row.incarnation)
	sent.row.waiting[sent] = now
	t.waiting[sent] = struct{}{}
	return sent.row.occupancy.Local()
}

// recordBytes records bytes of a response; the first ones end the attempt's wait.
func (t *table) recordBytes(now time.Duration, sent *attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sent.row.lastByteAt = now
	if sent.conn != nil && sent.conn.peer == "" {
		delete(t.unanswered, sent.row.entry.Address)
	}
	t.endWait(sent)
}

// endWait removes an attempt from those awaiting a response, and stops its start deadline timer. The caller holds
// the mutex.
func (t *table) endWait(sent *attempt) {
	delete(sent.row.waiting, sent)
	delete(t.waiting, sent)
	if sent.startTimer != nil {
		sent.startTimer.Stop()
	}
}

// end records the end and outcome of an attempt, and returns this gateway's remaining load at its back end.
func (t *table) end(now time.Duration, sent *attempt, outcome attemptOutcome) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.endWait(sent)
	own := &sent.row.occupancy.Own
	*own = own.Minus(sent.load())
	sent.row.recordOutcome(now, outcome)
	if outcome == outcomeSuccess {
		t.recordDuration(sent.row, sent.exchange.call.promptTokens(), now-sent.startedAt)
	}
	return sent.row.occupancy.Local()
}

// recordDuration updates the mean request duration of a back end's service, and that of the request's lane. The caller
// holds the mutex.
func (t *table) recordDuration(row *endpoint, promptTokens int, length time.Duration) {
	if lanes := t.lanes[row.entry.Service]; lanes != nil {
		lanes.observeDuration(promptTokens, length)
	}
	service := row.entry.Service
	t.meanDurations[service] = t.meanDuration(service).Observe(length)
}

// meanDuration returns the mean request duration at the back ends of a service.
func (t *table) meanDuration(service string) belief.MeanDuration {
	if known, measured := t.meanDurations[service]; measured {
		return known
	}
	return belief.InitialMeanDuration
}

// applySends applies announcements of other gateways, and returns the new signals of back ends among them.
func (t *table) applySends(now time.Duration, sends []announcement) (updates []peerPushback) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, sent := range sends {
		at := now - min(now, sent.Age)
		if sent.StoreReport != nil {
			t.stores.ApplyPeer(at, *sent.StoreReport)
			continue
		}
		row := t.rows[sent.Instance]
		if row == nil {
			continue
		}
		if sent.CacheReport {
			row.cache.ApplyPeerReport(at, sent.Salt, sent.Parts)
			t.indexHolder(row, sent.Parts)
			continue
		}
		if sent.Unreachable {
			t.recordPeerReport(at, row, sent.Gateway)
			continue
		}
		if !sent.Signals.IsEmpty() {
			if fresh := t.observePeerPushback(now, at, row, sent.Signals); !fresh.IsEmpty() {
				updates = append(updates, peerPushback{sent.Instance, fresh})
			}
			continue
		}
		if sent.RejectedRequest != "" {
			t.admissionController(row.entry.Service).RecordRejection(at, sent.RejectedRequest)
			continue
		}
		row.occupancy.RecordPeer(sent.Gateway, at, sent.Load)
		t.applyQueueAnnouncement(now, at, row, &sent)
		if sent.Salt == "" {
			continue // no prompt is described
		}
		t.addPrefill(at, row, sent.Uncached)
		t.recordCached(at, row, sent)
		t.recordDemand(at, row, &sent)
	}
	return updates
}

// lanesOf returns the lanes of a service, creating them on first use.
func (t *table) lanesOf(service string) *lanes {
	found := t.lanes[service]
	if found == nil {
		found = &lanes{}
		t.lanes[service] = found
	}
	return found
}

// sweep removes expired state.
func (t *table) sweep(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stored.Sweep(now)
	t.stores.Sweep(now)
	t.expirePlacements(now)
	t.sweepUnanswered(now)
	for _, controller := range t.admission {
		controller.Sweep(now)
	}
	for _, controller := range t.reservations {
		controller.Sweep(now)
	}
	for _, rates := range t.queueRates {
		rates.Sweep(now)
	}
	t.links.Sweep(now)
	t.sweepHolders()
	t.sweepLastSent(now)
	t.signals.Sweep(now, func(incarnation catalog.Incarnation) bool { return t.rows[incarnation.ID()] != nil })
	for _, row := range t.rows {
		row.occupancy.Sweep(now)
		if row.queue != nil {
			row.queue.Sweep(now)
		}
		row.copies.sweep(now)
	}
}

// unresponsive reports whether a back end has left a request without a response for longer than silenceTimeout and
// sent no other bytes meanwhile.
func (e *endpoint) unresponsive(now time.Duration) bool {
	if len(e.waiting) == 0 || now-e.lastByteAt < silenceTimeout {
		return false
	}
	oldest := slices.Min(slices.Collect(maps.Values(e.waiting)))
	return now-oldest > silenceTimeout
}

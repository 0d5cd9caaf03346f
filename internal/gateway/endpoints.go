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
	// muteAfter is how long a back end may leave a request without a word, while it says nothing else either, before it is
	// avoided.
	muteAfter = 1200 * time.Millisecond
	// olderPause is how long a back end is avoided that holds older weights than believed: about a period of its heartbeats.
	olderPause = time.Second
)

// endpoint is a row of the back end table.
type endpoint struct {
	life     catalog.Life        // never changes
	entry    control.RosterEntry // with the newest weights that control or the back end itself told of
	told     map[string]uint64   // weights by model, as control last told them
	heardAt  time.Duration       // when the entry came
	occupied belief.Occupancy
	busyTo   time.Duration    // when the prompts sent so far, by any gateway, are taken to be read
	held     *belief.Holdings // cached parts that it is believed to hold
	hash     uint64           // of its address
	long     bool             // it serves long requests rather than short ones
	waiting  map[*attempt]time.Duration
	spokeAt  time.Duration // newest bytes of any answer
	failures int           // in a row
	failing  float64       // share of failures, smoothed
	avoidTo  time.Duration
	dryTo    time.Duration // nothing of its limit can be had until then, as the lender says
	pacedTo  time.Duration // no more of its limit is placed for other gateways until then
	reports  suspicion     // of other gateways
	gone     bool
	home     bool // this gateway reads its cache events
}

// table holds the back ends of the newest roster.
type table struct {
	mechanisms mechanism.Set // that are on
	mutex      sync.Mutex
	rows       map[string]*endpoint
	services   map[string][]*endpoint
	named      *belief.Namings                  // of weights
	stored     *belief.Stored                   // parts that were sent to a store
	lanes      map[string]*lanes                // by service
	stays      map[string]belief.Stays          // by service
	placed     map[string]placement             // for other gateways, by ticket
	links      belief.Links                     // of engines and stores
	paces      map[string]belief.Pace           // by service
	met        map[string]time.Duration         // by shared part, the last of a prompt's: when it was last sent somewhere; at most metMost
	judges     map[string]*admission.Controller // by service
	homes      int                              // rows that are home
	holders    map[string][]*endpoint           // that hold a shared part, under any salt, by its id
	pushed     *pushback.Tracker                // what back ends said of themselves
	unlentTo   time.Duration                    // until then nobody is asked for a part of a limit: the lender gave no answer
	turns      map[string]time.Duration         // by service: when the caller that was told last may come back that found all at their limits
	changed    *bell                            // rings with each roster
	waiting    map[*attempt]struct{}            // all that wait at any row, also at those that are gone
}

func newTable(mechanisms mechanism.Set) *table {
	return &table{
		mechanisms: mechanisms, rows: map[string]*endpoint{}, services: map[string][]*endpoint{},
		named: belief.NewNamings(guard.Set{}), stored: belief.NewStored(), links: belief.Links{}, pushed: pushback.NewTracker(),
		lanes: map[string]*lanes{}, stays: map[string]belief.Stays{}, paces: map[string]belief.Pace{}, met: map[string]time.Duration{}, judges: map[string]*admission.Controller{},
		placed: map[string]placement{}, holders: map[string][]*endpoint{}, waiting: map[*attempt]struct{}{}, changed: newBell(), turns: map[string]time.Duration{},
	}
}

// learnVersion notes the weights that a back end itself told of when it turned a request away, and reports whether they are news. Where they are
// older than believed it is left alone for a while: control hears of it with the next heartbeat.
func (t *table) learnVersion(now time.Duration, row *endpoint, model string, version uint64) (news bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if believed := row.entry.Versions[model]; version <= believed {
		if version > 0 && version < believed {
			row.avoidTo = max(row.avoidTo, now+olderPause)
		}
		return false
	}
	row.entry.Versions = newestVersions(row.entry.Versions, map[string]uint64{model: version})
	row.held.Clear()
	return true
}

// takeNews notes what every answer of control carries, and returns the versions of weights that it tells to be younger than known.
func (t *table) takeNews(now, asked time.Duration, reply *control.WatchReply) []belief.Younger {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.named.Take(now, asked, reply.Version.Term, reply.Wanted)
}

// setHome notes which back ends this gateway reads.
func (t *table) setHome(ids []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.homes = 0
	for id, row := range t.rows {
		row.home = slices.Contains(ids, id)
		if row.home {
			t.homes++
		}
	}
}

// usage returns the own requests by instance.
func (t *table) usage() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := map[string]int{}
	for id, row := range t.rows {
		if n := row.occupied.Own.Running; n > 0 {
			counts[id] = n
		}
	}
	return counts
}

// loads reports whether a back end's weights are being replaced.
func (t *table) loads(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return row.entry.Loading && !row.gone
}

// heard reports whether control hears a back end's heartbeats.
func (t *table) heard(row *endpoint) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !row.gone && !row.entry.Silent
}

// drains reports whether own requests run on a back end that gets no new ones, since its weights are to be replaced.
func (t *table) drains() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.rows {
		if row.entry.Loading && row.occupied.Own.Running > 0 {
			return true
		}
	}
	return false
}

// begin notes that an attempt is sent, and returns what this gateway now has running there.
func (t *table) begin(now time.Duration, sent *attempt) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := &sent.row.occupied.Own
	*own = own.Plus(sent.load())
	if sent.plan.scheduled == nil {
		t.read(now, sent.row, sent.uncached)
	}
	sent.atRest = max(0, t.pushed.Restriction(now, sent.row.life).BackoffUntil-now)
	sent.limited = t.pushed.Limit(sent.row.life)
	sent.row.waiting[sent] = now
	t.waiting[sent] = struct{}{}
	return sent.row.occupied.Here()
}

// spoke notes bytes of an answer; the first ones end the wait.
func (t *table) spoke(now time.Duration, sent *attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sent.row.spokeAt = now
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
func (t *table) end(now time.Duration, sent *attempt, good outcomeGrade) belief.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.endWait(sent)
	own := &sent.row.occupied.Own
	*own = own.Minus(sent.load())
	sent.row.grade(now, good)
	if good == gradeGood {
		t.noteStay(sent.row, now-sent.began)
	}
	return sent.row.occupied.Here()
}

// noteStay learns how long a request stayed at a back end. The caller holds the mutex.
func (t *table) noteStay(row *endpoint, length time.Duration) {
	service := row.entry.Service
	t.stays[service] = t.stay(service).Next(length)
}

// stay returns how long requests stay at the back ends of a service.
func (t *table) stay(service string) belief.Stays {
	if known, measured := t.stays[service]; measured {
		return known
	}
	return belief.StayFirst
}

// takeSends notes what other gateways sent, and returns what is news of what back ends said of themselves.
func (t *table) takeSends(now time.Duration, sends []send) (told []said) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, made := range sends {
		row := t.rows[made.Instance]
		if row == nil {
			continue
		}
		at := now - min(now, made.Age)
		if made.Kept {
			row.held.Keep(at, made.Salt, made.Parts)
			t.index(row, made.Parts)
			continue
		}
		if made.Unreached {
			t.suspect(at, row, made.Gateway)
			continue
		}
		if !made.Said.IsEmpty() {
			if news := t.hearOf(now, at, row, made.Said); !news.IsEmpty() {
				told = append(told, said{made.Instance, news})
			}
			continue
		}
		if made.Refused != "" {
			t.judge(row.entry.Service).RecordRejection(at, made.Refused)
			continue
		}
		row.occupied.Note(made.Gateway, at, made.Load)
		if made.Salt == "" {
			continue // it tells of no prompt
		}
		t.read(at, row, made.Uncached)
		t.hold(at, row, made)
		t.noteDemand(at, row, made.Uncached)
	}
	return told
}

// lane returns the lanes of a service, made when it is first named.
func (t *table) lane(service string) *lanes {
	held := t.lanes[service]
	if held == nil {
		held = &lanes{}
		t.lanes[service] = held
	}
	return held
}

// sweep forgets what is long past.
func (t *table) sweep(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stored.Sweep(now)
	t.sweepPlacements(now)
	for _, judge := range t.judges {
		judge.Sweep(now)
	}
	t.links.Sweep(now)
	t.forgetHolders()
	t.forgetMet(now)
	t.pushed.Sweep(now, func(life catalog.Life) bool { return t.rows[life.ID()] != nil })
	for _, row := range t.rows {
		row.occupied.Sweep(now)
	}
}

// mute reports whether a back end leaves requests without a word.
func (e *endpoint) mute(now time.Duration) bool {
	if len(e.waiting) == 0 || now-e.spokeAt < muteAfter {
		return false
	}
	oldest := slices.Min(slices.Collect(maps.Values(e.waiting)))
	return now-oldest > muteAfter
}

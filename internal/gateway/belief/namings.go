package belief

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

// ageTolerance is by how much a naming must be told younger than known to be told of: an answer may take so long that its age is out of
// date by about as much (650 ms of a gateway's patience with control).
const ageTolerance = 700 * time.Millisecond

// AgeRegression is a naming that control tells to be younger than was known.
type AgeRegression struct {
	Model           string
	Version         uint64
	Known, Reported time.Duration // since it was named
}

// PublishTimes are when versions of models' weights were named, as control told. A version never grows younger by a new leader's word, and
// none is forgotten for that one doesn't tell of it.
type PublishTimes struct {
	guards guard.Set
	models map[string][]publication // rising by version; at most catalog.NamingsKept, as control tells
}

// publication is a version that was named. All times are of this process's clock.
type publication struct {
	version            uint64
	term               uint64        // of the leader that told of it last
	at                 time.Duration // when it was named at the earliest by that leader's word; each leader tells of one time
	before             time.Duration // the earliest time by any other leader's word
	regressionReported bool          // that it was told younger
}

// publishedAt returns the earliest time that was told.
func (n *publication) publishedAt() time.Duration { return min(n.at, n.before) }

// NewPublishTimes returns none.
func NewPublishTimes(guards guard.Set) *PublishTimes {
	return &PublishTimes{guards: guards, models: map[string][]publication{}}
}

// Update takes up what an answer of control tells, the question for which was asked at a time, and returns what it tells to be younger
// than was known, once each. term is of the leader that confirmed the answer.
func (n *PublishTimes) Update(now, asked time.Duration, term uint64, wanted []roster.Wanted) []AgeRegression {
	if !n.guards.On(guard.PublicationAgeMonotonic) {
		clear(n.models)
	}
	var regressions []AgeRegression
	for _, w := range wanted {
		reported := asked - w.Age
		known := n.find(w.Model, w.Version)
		if known == nil {
			n.add(w.Model, publication{version: w.Version, term: term, at: reported, before: math.MaxInt64})
			continue
		}
		if known.term == term {
			known.at = max(known.at, reported) // the age may be as much younger than the question as that took
			continue
		}
		known.before, known.at, known.term = known.publishedAt(), reported, term
		if !known.regressionReported && reported > known.before+ageTolerance {
			known.regressionReported = true
			regressions = append(regressions, AgeRegression{Model: w.Model, Version: w.Version, Known: now - known.before, Reported: now - reported})
		}
	}
	return regressions
}

// add adds a version that isn't known yet.
func (n *PublishTimes) add(model string, fresh publication) {
	known := append(n.models[model], fresh)
	slices.SortFunc(known, func(a, b publication) int { return cmp.Compare(a.version, b.version) })
	n.models[model] = slices.Delete(known, 0, max(0, len(known)-catalog.MaxPublications))
}

// find returns what is known of a version, or nil.
func (n *PublishTimes) find(model string, version uint64) *publication {
	for i := range n.models[model] {
		if known := &n.models[model][i]; known.version == version {
			return known
		}
	}
	return nil
}

// OldestMissing returns when the oldest version was named that is newer than one that is held, if there is one. A newer version may be told to be
// older, by another proposer's clock: it was named after all the same.
func (n *PublishTimes) OldestMissing(model string, held uint64) (time.Duration, bool) {
	oldest := time.Duration(math.MaxInt64)
	for _, known := range slices.Backward(n.models[model]) {
		if known.version <= held {
			break
		}
		oldest = min(oldest, known.publishedAt())
	}
	if oldest == math.MaxInt64 {
		return 0, false
	}
	return oldest, true
}

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

// ageTolerance is how much smaller than known a reported age must be to count as a regression. The delay of an
// answer, up to 650 ms, makes its ages inexact by about as much.
const ageTolerance = 700 * time.Millisecond

// AgeRegression is a version whose age, as reported by control, is smaller than the known one.
type AgeRegression struct {
	Model           string
	Version         uint64
	Known, Reported time.Duration // since it was published
}

// PublishTimes records when versions of models' weights were published, as reported by control. Reports of a new
// leader never make a known version younger, and a version missing from a report is kept.
type PublishTimes struct {
	guards guard.Set
	models map[string][]publication // ascending by version; at most catalog.MaxPublications each
}

// publication is a published version. All times are of this process's clock.
type publication struct {
	version            uint64
	term               uint64        // of the leader that reported it last
	at                 time.Duration // latest estimate from that leader's reports; a leader always reports the same time
	before             time.Duration // earliest time reported by any other leader
	regressionReported bool          // a regression was already returned
}

// publishedAt returns the earliest reported time.
func (n *publication) publishedAt() time.Duration { return min(n.at, n.before) }

// NewPublishTimes returns an empty record.
func NewPublishTimes(guards guard.Set) *PublishTimes {
	return &PublishTimes{guards: guards, models: map[string][]publication{}}
}

// Update applies a reply of control to a request sent at sentAt, and returns each version's first age
// regression. term is that of the leader that confirmed the reply.
func (n *PublishTimes) Update(now, sentAt time.Duration, term uint64, publications []roster.Publication) []AgeRegression {
	if !n.guards.On(guard.PublicationAgeMonotonic) {
		clear(n.models)
	}
	var regressions []AgeRegression
	for _, p := range publications {
		reported := sentAt - p.Age
		known := n.find(p.Model, p.Version)
		if known == nil {
			n.add(p.Model, publication{version: p.Version, term: term, at: reported, before: math.MaxInt64})
			continue
		}
		if known.term == term {
			known.at = max(known.at, reported) // the delay of the answer makes the computed time too early by at most that delay
			continue
		}
		known.before, known.at, known.term = known.publishedAt(), reported, term
		if !known.regressionReported && reported > known.before+ageTolerance {
			known.regressionReported = true
			regressions = append(regressions, AgeRegression{Model: p.Model, Version: p.Version, Known: now - known.before, Reported: now - reported})
		}
	}
	return regressions
}

// add adds an unknown version.
func (n *PublishTimes) add(model string, added publication) {
	known := append(n.models[model], added)
	slices.SortFunc(known, func(a, b publication) int { return cmp.Compare(a.version, b.version) })
	n.models[model] = slices.Delete(known, 0, max(0, len(known)-catalog.MaxPublications))
}

// find returns the record of a version, or nil.
func (n *PublishTimes) find(model string, version uint64) *publication {
	for i := range n.models[model] {
		if known := &n.models[model][i]; known.version == version {
			return known
		}
	}
	return nil
}

// OldestMissing returns the earliest publish time of all versions newer than held, if there are any. It scans all
// of them, since clock differences between proposers can make a newer version appear older.
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

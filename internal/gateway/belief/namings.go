package belief

import (
	"time"

	"kitetiller/internal/control/roster"
	"kitetiller/internal/guard"
)

// youngerMargin is by how much a naming must be told younger than known to be told of: an answer may take so long that its age is out of
// date by about as much (650 ms of a gateway's patience with control).
const youngerMargin = 700 * time.Millisecond

// namingsMost bounds the versions of a model that are known, as control bounds what it tells.
const namingsMost = 32

// Younger is a naming that control tells to be younger than was known.
type Younger struct {
	Model       string
	Version     uint64
	Known, Told time.Duration // since it was named
}

// Namings are when versions of models' weights were named, as control told.
type Namings struct {
	guards guard.Set
	models map[string][]naming // rising by version
}

// naming is a version that was named.
type naming struct {
	version uint64
	at      time.Duration // by this process's clock
	noted   bool          // that it was told younger
}

// NewNamings returns none.
func NewNamings(guards guard.Set) *Namings {
	return &Namings{guards: guards, models: map[string][]naming{}}
}

// Take takes up what an answer of control tells, the question for which was asked at a time, and returns what it tells to be younger
// than was known, once each.
func (n *Namings) Take(now, asked time.Duration, _ uint64, wanted []roster.Wanted) []Younger {
	var younger []Younger
	fresh := map[string][]naming{}
	for _, w := range wanted {
		at, noted := asked-w.Age, false
		if known := n.find(w.Model, w.Version); known != nil {
			noted = known.noted
			if !noted && at > known.at+youngerMargin {
				noted = true
				younger = append(younger, Younger{Model: w.Model, Version: w.Version, Known: now - known.at, Told: now - at})
			}
		}
		fresh[w.Model] = append(fresh[w.Model], naming{version: w.Version, at: at, noted: noted})
	}
	n.models = fresh
	return younger
}

// find returns what is known of a version, or nil.
func (n *Namings) find(model string, version uint64) *naming {
	for i := range n.models[model] {
		if known := &n.models[model][i]; known.version == version {
			return known
		}
	}
	return nil
}

// Since returns when the oldest version was named that is newer than one that is held, if there is one.
func (n *Namings) Since(model string, held uint64) (time.Duration, bool) {
	for _, known := range n.models[model] {
		if known.version > held {
			return known.at, true
		}
	}
	return 0, false
}

package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"kitetiller/internal/catalog"
)

const (
	// outdatedAfter is how long after newer weights were named an answer on older ones is worth less to callers, and
	// outdatedShare of the route's objective is what that counts.
	outdatedAfter = 1500 * time.Millisecond
	outdatedShare = 0.25
)

// beginLimit returns until when requests may begin on a back end's weights, if newer ones were named. The time counts
// from when the oldest version that it lacks was named, not the newest.
func (g *Gateway) beginLimit(row *endpoint, model string) (time.Duration, bool) {
	namedAt, lacks := g.lacksSince(row, model)
	return namedAt + g.settings.VersionLimit, lacks
}

// lacksSince returns when the oldest version that a back end lacks was named, if there is one.
func (g *Gateway) lacksSince(row *endpoint, model string) (time.Duration, bool) {
	held, holds := row.entry.Versions[model]
	if !holds {
		return 0, false
	}
	for _, version := range g.table.named[model] {
		if version.version > held {
			return version.namedAt, true
		}
	}
	return 0, false
}

// outdated is what speaks against a back end whose weights are not the newest, in milliseconds.
func (g *Gateway) outdated(now time.Duration, scored *candidate, wish need) float64 {
	namedAt, lacks := g.lacksSince(scored.row, wish.call.Model)
	begins := now + time.Duration(scored.wait*float64(time.Millisecond))
	if !lacks || begins < namedAt+outdatedAfter {
		return 0
	}
	return outdatedShare * float64(wish.objective) / float64(time.Millisecond)
}

// beginsTooLate reports whether a request would likely begin after the limit for the back end's weights.
func (g *Gateway) beginsTooLate(now time.Duration, scored *candidate, model string) bool {
	limit, limited := g.beginLimit(scored.row, model)
	if limited {
		scored.beginBy = limit
	}
	wait := time.Duration(beginFactor * float64(scored.wait) * float64(time.Millisecond))
	return limited && now+wait >= limit-beginMargin
}

// salt names the cached parts that a request may share: those of the same weights, and of the same tenant where it
// shares nothing.
func salt(version uint64, owner *catalog.Tenant) string {
	name := "w" + formatVersion(version)
	if owner != nil && owner.Isolated {
		name += "/" + owner.Name
	}
	return name
}

// uniqueSalt names cached parts that nobody shares, for where it is not known which weights made them.
func uniqueSalt() string { return "u" + strconv.FormatUint(rand.Uint64(), saltBase) }

const saltBase = 36

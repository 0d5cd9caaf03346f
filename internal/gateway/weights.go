package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"kitetiller/internal/catalog"
	"kitetiller/internal/gateway/belief"
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
	return g.table.named.Since(model, held)
}

// beginsTooLate reports whether a request would likely begin after the limit for the back end's weights.
func (g *Gateway) beginsTooLate(now time.Duration, scored *candidate, model string) bool {
	limit, limited := g.beginLimit(scored.row, model)
	if limited {
		scored.beginBy = limit
	}
	wait := belief.FromMilliseconds(beginFactor * scored.wait)
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

package quarantine

import (
	"bytes"
	"cmp"
	"slices"
)

// maxJudgedParts bounds the parts that are compared with each other, those with the most crashes.
const maxJudgedParts = 128

// partGroup is a set of parts with the same crashes. Nothing tells which of them causes these, so that only requests with
// all of them are affected; if another one crashes a back end, the sets differ.
type partGroup struct {
	parts        []Fingerprint
	incarnations []string
}

// judgeParts returns the groups of parts that explain crashes best: PartSuspectThreshold of them or more, and no other part
// has all of these and more. evidence holds the distinct incarnations that crashed under each part and request.
//
// The parts of requests that merely ran beside the cause share some of its crashes. The parts that the cause shares with
// other requests may have more, but are cleared by each completion of such a request.
func judgeParts(evidence map[Fingerprint][]string) []partGroup {
	var groups []partGroup
	for _, f := range mostCrashed(evidence) {
		incarnations := evidence[f]
		explained := false
		for i := range groups {
			if !containsAll(groups[i].incarnations, incarnations) {
				continue
			}
			if explained = true; len(groups[i].incarnations) == len(incarnations) {
				groups[i].parts = append(groups[i].parts, f)
			}
		}
		if !explained {
			groups = append(groups, partGroup{parts: []Fingerprint{f}, incarnations: incarnations})
		}
	}
	return groups
}

// mostCrashed returns the parts with PartSuspectThreshold crashes or more, the most first, maxJudgedParts at most.
func mostCrashed(evidence map[Fingerprint][]string) []Fingerprint {
	var parts []Fingerprint
	for f, incarnations := range evidence {
		if f.IsPart() && len(incarnations) >= PartSuspectThreshold {
			parts = append(parts, f)
		}
	}
	slices.SortFunc(parts, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(evidence[b]), len(evidence[a])), bytes.Compare(a[:], b[:]))
	})
	return parts[:min(maxJudgedParts, len(parts))]
}

// containsAll reports whether a contains all of b.
func containsAll(a, b []string) bool {
	return !slices.ContainsFunc(b, func(s string) bool { return !slices.Contains(a, s) })
}

// matches reports whether a request with the given parts has all parts of the group.
func (g partGroup) matches(parts []Fingerprint) bool {
	return !slices.ContainsFunc(g.parts, func(f Fingerprint) bool { return !slices.Contains(parts, f) })
}

// isQuarantined reports whether the crashes suffice to quarantine requests with the parts of the group.
func (g partGroup) isQuarantined() bool { return len(g.incarnations) >= PartQuarantineThreshold }

// QuarantinedEntries returns the entries for which requests are quarantined. Parts with the same crashes are quarantined
// together.
func QuarantinedEntries(entries []Entry) []Entry {
	evidence := make(map[Fingerprint][]string, len(entries))
	var quarantined []Entry
	for _, e := range entries {
		evidence[e.Request] = e.Incarnations
		if !e.Request.IsPart() && len(e.Incarnations) >= QuarantineThreshold {
			quarantined = append(quarantined, e)
		}
	}
	for _, group := range judgeParts(evidence) {
		if !group.isQuarantined() {
			continue
		}
		for _, f := range group.parts {
			quarantined = append(quarantined, Entry{Request: f, Incarnations: group.incarnations})
		}
	}
	return quarantined
}

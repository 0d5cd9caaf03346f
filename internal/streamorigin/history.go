package streamorigin

import "time"

// History tracks which software versions a service's back ends have had. As long as there has been one only, every stream
// began at it, and no records are needed. It is not safe for concurrent use.
type History struct {
	since    time.Duration            // start of the uninterrupted observation
	present  map[SoftwareVersion]bool // of the registered back ends
	departed map[SoftwareVersion]time.Duration
	longest  time.Duration // period asked for; departed holds at least the versions that left in it
}

// NewHistory returns a history that begins now.
func NewHistory(now time.Duration) *History {
	return &History{since: now, present: map[SoftwareVersion]bool{}, departed: map[SoftwareVersion]time.Duration{}}
}

// Observe records the versions of the back ends that are registered from now on.
func (h *History) Observe(now time.Duration, versions map[SoftwareVersion]bool) {
	for version := range h.present {
		if !versions[version] {
			h.departed[version] = now
		}
	}
	h.present = versions
}

// Interrupt records that changes up to now may have been missed.
func (h *History) Interrupt(now time.Duration) { h.since = now }

// ObservedSince reports whether the observation has not been interrupted since a time.
func (h *History) ObservedSince(at time.Duration) bool { return h != nil && h.since <= at }

// Sole returns the version that all back ends have had for a period; ok is false if there were others, if one is not
// known, or if the observation is shorter.
func (h *History) Sole(now, period time.Duration) (version SoftwareVersion, ok bool) {
	if h == nil || h.since > now-period {
		return SoftwareVersion{}, false
	}
	return h.Current(now, period)
}

// Current is Sole for as long as the observation lasts, which may be shorter than the period.
func (h *History) Current(now, period time.Duration) (version SoftwareVersion, ok bool) {
	if h == nil || len(h.present) != 1 {
		return SoftwareVersion{}, false
	}
	for sole := range h.present {
		version = sole
	}
	h.longest = max(h.longest, period)
	for other, at := range h.departed {
		switch {
		case at <= now-h.longest:
			delete(h.departed, other)
		case at > now-period && other != version:
			return SoftwareVersion{}, false
		}
	}
	return version, version.IsKnown()
}

package reservation

import (
	"slices"
	"time"
)

const (
	// shareWindow is the time over which tenants' use is compared, and shareRefresh how long a computed fair share is
	// used.
	shareWindow  = 2 * time.Second
	shareRefresh = 100 * time.Millisecond
	// shareTolerance is by how much a tenant may exceed the fair share. A tenant that got at most minShareRequests of the
	// size at hand is never above it: with many tenants the fair share of a scheduler is about one request per window, and
	// chance alone exceeds it. maxShareDelay bounds the delay of a tenant's places, in multiples of shareWindow.
	shareTolerance   = 1.1
	minShareRequests = 2
	maxShareDelay    = 100.0
	// maxTenants bounds the tenants tracked of a priority. Further ones are counted together.
	maxTenants = 2048
	// otherTenants is the name under which further tenants are counted.
	otherTenants = "\x00others"
)

// shares compares what the tenants of one priority ask for and get, in tokens to prefill.
type shares struct {
	tenants    map[string]*tenantUse
	admitted   meter
	fair       float64 // fair share of a tenant over shareWindow
	computedAt time.Duration
	demands    []float64 // reused
}

type tenantUse struct {
	offered, admitted meter
	reserved          float64 // tokens of outstanding places
	usedAt            time.Duration
}

// tenant returns the use of a tenant.
func (s *shares) tenant(now time.Duration, name string) *tenantUse {
	use := s.tenants[name]
	if use == nil && len(s.tenants) >= maxTenants {
		name = otherTenants
		use = s.tenants[name]
	}
	if use == nil {
		if s.tenants == nil {
			s.tenants = map[string]*tenantUse{}
		}
		use = &tenantUse{}
		s.tenants[name] = use
	}
	use.usedAt = now
	return use
}

// above reports whether a tenant that sends a request of the given tokens has had more than its fair share.
func (s *shares) above(now time.Duration, use *tenantUse, tokens int, servedPart float64) bool {
	fair := s.fairShare(now, servedPart)
	limit := max(shareTolerance*fair, minShareRequests*float64(tokens))
	return len(s.tenants) > 1 && fair > 0 && use.admitted.sum(now, shareWindow) > limit
}

// delay returns the time until a tenant's use is down to its fair share, places included, if it gets no more.
func (s *shares) delay(now time.Duration, use *tenantUse, servedPart float64) time.Duration {
	fair := s.fairShare(now, servedPart)
	if len(s.tenants) < 2 || fair <= 0 {
		return 0
	}
	excess := use.admitted.sum(now, shareWindow) + use.reserved - fair
	return time.Duration(min(max(excess/fair, 0), maxShareDelay) * float64(shareWindow))
}

// fairShare returns the largest amount that a tenant may have so that all amounts add up to what was admitted and read
// (max-min fairness): a tenant that asks for less leaves the rest to the others. servedPart is the part of what was
// admitted that engines have read.
func (s *shares) fairShare(now time.Duration, servedPart float64) float64 {
	if s.computedAt > 0 && now < s.computedAt+shareRefresh {
		return s.fair
	}
	s.computedAt = now
	s.demands = s.demands[:0]
	for _, use := range s.tenants {
		if demand := use.offered.sum(now, shareWindow); demand > 0 {
			s.demands = append(s.demands, demand)
		}
	}
	slices.Sort(s.demands)
	left := servedPart * s.admitted.sum(now, shareWindow)
	s.fair = left
	for i, demand := range s.demands {
		s.fair = left / float64(len(s.demands)-i)
		if demand > s.fair {
			break
		}
		left -= demand
		s.fair = demand + left // if all get what they ask for, the rest is free for anyone
	}
	return s.fair
}

// sweep removes tenants that have sent nothing recently and have no places.
func (s *shares) sweep(now time.Duration) {
	for name, use := range s.tenants {
		if now > use.usedAt+shareWindow && use.reserved <= 0 {
			delete(s.tenants, name)
		}
	}
}

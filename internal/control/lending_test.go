package control

import (
	"testing"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/quota"
)

// openFleetWithQuota is openWithEngines with a tenant quota of 100 units per second and a burst of 50.
func openFleetWithQuota(t *testing.T) *singleReplica {
	t.Helper()
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	s.setQuota(2, 100)
	return s
}

func (s *singleReplica) setQuota(revision uint64, rate float64) {
	tenant := catalog.Tenant{Name: "north", Quota: catalog.Quota{Rate: rate, Burst: rate / 2}}
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: revision, Tenants: []catalog.Tenant{tenant}}}})
}

// requestShare requests an amount of the tenant quota for a gateway and returns the granted amount.
func (s *singleReplica) requestShare(gateway string, amount float64) float64 {
	s.t.Helper()
	request := allowance.Request{Client: gateway, Sequence: uint64(s.now), Items: []allowance.RequestItem{{Name: quota.Tenant("north"), Amount: amount}}}
	response := s.ask(Request{AllowanceRequest: &request})
	if response.AllowanceReply == nil {
		s.t.Fatalf("%+v", response)
	}
	return response.AllowanceReply.Grants[0].Amount
}

// TestGrantsStayWithinLimit also checks that a new leader starts with nothing to grant, so that it does not grant again
// what an earlier leader granted.
func TestGrantsStayWithinLimit(t *testing.T) {
	s := openFleetWithQuota(t)
	if lent := s.requestShare("g1", 40); lent != 0 {
		t.Fatalf("granted %v of a limit just set, want 0", lent)
	}
	s.advance(10 * time.Second)
	if lent := s.requestShare("g1", 40); lent != 40 {
		t.Fatalf("granted %v, want 40", lent)
	}
	if lent := s.requestShare("g2", 40); lent != 0 {
		t.Fatalf("granted %v beyond the burst, want 0", lent)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if lent := next.requestShare("g3", 45); lent != 0 {
		t.Fatalf("a new leader granted %v at once, want 0", lent)
	}
	next.advance(time.Second)
	if lent := next.requestShare("g3", 45); lent != 45 {
		t.Fatalf("the new leader granted %v after 1 s, want 45", lent)
	}
}

func TestLoweredLimitAppliesImmediately(t *testing.T) {
	s := openFleetWithQuota(t)
	s.advance(10 * time.Second)
	s.setQuota(3, 10)
	if lent := s.requestShare("g1", 40); lent != 0 {
		t.Fatalf("granted %v of a limit lowered to 10 per second, want 0", lent)
	}
	if lent := s.requestShare("g1", 5); lent != 5 {
		t.Fatalf("granted %v, want 5", lent)
	}
}

// TestSharesOfSilentGatewaysAreWithheld checks that the fallback shares of silent gateways are withheld until their
// views have expired.
func TestSharesOfSilentGatewaysAreWithheld(t *testing.T) {
	s := openFleetWithQuota(t)
	version := s.watchNow("g1", RosterVersion{}).Version
	s.watchNow("g2", RosterVersion{})
	silentFractionAfter := func(duration time.Duration) float64 {
		for end := s.now + duration; s.now < end; {
			version = s.watchNow("g1", version).Version
			s.advance(200 * time.Millisecond)
		}
		return s.replica.silentFraction(s.now)
	}
	for _, step := range []struct {
		after    time.Duration
		fraction float64
	}{{600 * time.Millisecond, 0}, {time.Second, 0.5}, {2 * time.Second, 0}} {
		if fraction := silentFractionAfter(step.after); fraction != step.fraction {
			t.Fatalf("at %v: withheld fraction %v, want %v", s.now, fraction, step.fraction)
		}
	}
}

func TestStatusShowsLimits(t *testing.T) {
	s := openFleetWithQuota(t)
	s.advance(10 * time.Second)
	s.requestShare("g1", 40)
	s.advance(50 * time.Millisecond)
	s.requestShare("g1", 40)
	limits := s.ask(Request{Status: &StatusRequest{}}).Status.Limits
	if len(limits) != 1 || limits[0].Name != quota.Tenant("north") || limits[0].Granted != 40 || limits[0].Refused != 40 || !limits[0].OverLimit {
		t.Fatalf("limits in the status: %+v", limits)
	}
}

// TestNewLeaderReportsAllGateways guards against a new leader that counts only the gateways that have contacted it: the
// first ones would then use too large a fallback share.
func TestNewLeaderReportsAllGateways(t *testing.T) {
	s := openFleetWithQuota(t)
	for _, gateway := range []string{"g1", "g2", "g3", "g4"} {
		s.watchNow(gateway, RosterVersion{})
	}
	s.advance(gatewayListInterval + 200*time.Millisecond)
	if gateways := s.watchNow("g1", RosterVersion{}).Gateways; gateways != 4 {
		t.Fatalf("the first leader reports %d gateways, want 4", gateways)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if gateways := next.watchNow("g1", RosterVersion{}).Gateways; gateways != 4 {
		t.Fatalf("the next leader reports %d gateways to the first one, want 4", gateways)
	}
}

// requestAdvertisedShare requests one unit of a back end's advertised limit for a gateway that learned of it some time
// ago, and returns the granted amount.
func (s *singleReplica) requestAdvertisedShare(gateway string, rate float64, age time.Duration) float64 {
	s.t.Helper()
	item := allowance.RequestItem{Name: quota.Backend("i-1"), Amount: 1, Advertised: &allowance.AdvertisedLimit{Rate: rate, Age: age}}
	response := s.ask(Request{AllowanceRequest: &allowance.Request{Client: gateway, Sequence: uint64(s.now), Items: []allowance.RequestItem{item}}})
	if response.AllowanceReply == nil || !response.AllowanceReply.Grants[0].Enforced {
		s.t.Fatalf("%+v", response)
	}
	return response.AllowanceReply.Grants[0].Amount
}

// TestGrantsStayWithinAdvertisedLimit checks that the gateways together get no more than a back end advertises, from
// nothing at first and under a new leader, across changes of the routing document.
func TestGrantsStayWithinAdvertisedLimit(t *testing.T) {
	s := openFleetWithQuota(t)
	grantedWithin := func(s *singleReplica, duration time.Duration) (granted float64) {
		for i, end := 0, s.now+duration; s.now < end; i++ {
			granted += s.requestAdvertisedShare([]string{"g1", "g2", "g3"}[i%3], 4, 0)
			s.advance(20 * time.Millisecond)
		}
		return granted
	}
	if lent := grantedWithin(s, 200*time.Millisecond); lent != 0 {
		t.Fatalf("granted %v of a limit just learned, want 0", lent)
	}
	if lent := grantedWithin(s, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("granted %v in 4 s of 4 per second, want 12 to 17", lent)
	}
	s.setQuota(3, 10)
	if lent := grantedWithin(s, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("granted %v in 4 s after a document change, want 12 to 17", lent)
	}
	if advertised := s.ask(Request{Status: &StatusRequest{}}).Status.AdvertisedLimits; len(advertised) != 1 || advertised[0].Limit.Rate != 4 || advertised[0].Refused == 0 {
		t.Fatalf("advertised limits in the status: %+v", advertised)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayViewTTL = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if lent := grantedWithin(next, 200*time.Millisecond); lent != 0 {
		t.Fatalf("a new leader granted %v at once, want 0", lent)
	}
	if lent := grantedWithin(next, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("the new leader granted %v in 4 s of 4 per second, want 12 to 17", lent)
	}
	next.advance(20 * time.Second)
	next.requestShare("g1", 1)
	if advertised := next.ask(Request{Status: &StatusRequest{}}).Status.AdvertisedLimits; len(advertised) != 0 {
		t.Fatalf("status shows an advertised limit that is no longer used: %+v", advertised)
	}
}

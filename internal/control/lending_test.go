package control

import (
	"testing"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/quota"
)

// openFleetWithQuota is openFleet with a tenant of 100 units a second and a burst of 50.
func openFleetWithQuota(t *testing.T) *singleReplica {
	t.Helper()
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayTrust = 3 * time.Second })
	s.setQuota(2, 100)
	return s
}

func (s *singleReplica) setQuota(revision uint64, rate float64) {
	tenant := catalog.Tenant{Name: "north", Quota: catalog.Quota{Rate: rate, Burst: rate / 2}}
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: revision, Tenants: []catalog.Tenant{tenant}}}})
}

// requestShare asks for an amount as a gateway does, and returns what was lent.
func (s *singleReplica) requestShare(gateway string, amount float64) float64 {
	s.t.Helper()
	request := allowance.Request{Client: gateway, Sequence: uint64(s.now), Items: []allowance.RequestItem{{Name: quota.Tenant("north"), Amount: amount}}}
	response := s.ask(Request{Borrow: &request})
	if response.Lent == nil {
		s.t.Fatalf("%+v", response)
	}
	return response.Lent.Grants[0].Amount
}

// TestGrantsStayWithinLimit, and begins with nothing: what an earlier leader lent is not lent again.
func TestGrantsStayWithinLimit(t *testing.T) {
	s := openFleetWithQuota(t)
	if lent := s.requestShare("g1", 40); lent != 0 {
		t.Fatalf("%v lent of a limit that has just come", lent)
	}
	s.advance(10 * time.Second)
	if lent := s.requestShare("g1", 40); lent != 40 {
		t.Fatalf("%v lent", lent)
	}
	if lent := s.requestShare("g2", 40); lent != 0 {
		t.Fatalf("%v lent beyond the burst", lent)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayTrust = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if lent := next.requestShare("g3", 45); lent != 0 {
		t.Fatalf("%v lent by a leader that has just begun", lent)
	}
	next.advance(time.Second)
	if lent := next.requestShare("g3", 45); lent != 45 {
		t.Fatalf("%v lent by the next leader", lent)
	}
}

// TestLoweredLimitAppliesImmediately.
func TestLoweredLimitAppliesImmediately(t *testing.T) {
	s := openFleetWithQuota(t)
	s.advance(10 * time.Second)
	s.setQuota(3, 10)
	if lent := s.requestShare("g1", 40); lent != 0 {
		t.Fatalf("%v lent of a limit of 10 a second", lent)
	}
	if lent := s.requestShare("g1", 5); lent != 5 {
		t.Fatalf("%v lent", lent)
	}
}

// TestSharesOfSilentGatewaysAreWithheld: what gateways out of touch use by themselves is kept back until they may trust their view
// no more.
func TestSharesOfSilentGatewaysAreWithheld(t *testing.T) {
	s := openFleetWithQuota(t)
	version := s.watchNow("g1", RosterVersion{}).Version
	s.watchNow("g2", RosterVersion{})
	silentFractionAfter := func(length time.Duration) float64 {
		for end := s.now + length; s.now < end; {
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
			t.Fatalf("at %v the part %v is kept back, wanted %v", s.now, fraction, step.fraction)
		}
	}
}

// TestStatusShowsLimits: the leader tells what is limited, lent and refused.
func TestStatusShowsLimits(t *testing.T) {
	s := openFleetWithQuota(t)
	s.advance(10 * time.Second)
	s.requestShare("g1", 40)
	s.advance(50 * time.Millisecond)
	s.requestShare("g1", 40)
	limits := s.ask(Request{Status: &StatusRequest{}}).Status.Limits
	if len(limits) != 1 || limits[0].Name != quota.Tenant("north") || limits[0].Granted != 40 || limits[0].Refused != 40 || !limits[0].OverLimit {
		t.Fatalf("%+v", limits)
	}
}

// TestNewLeaderReportsAllGateways: the first gateways that ask a new leader are told of all that asked the last one, else each
// would take the whole for its equal part (soak, kept plan: 121,164 units in 4 s where 120,000 were allowed).
func TestNewLeaderReportsAllGateways(t *testing.T) {
	s := openFleetWithQuota(t)
	for _, gateway := range []string{"g1", "g2", "g3", "g4"} {
		s.watchNow(gateway, RosterVersion{})
	}
	s.advance(gatewayListInterval + 200*time.Millisecond)
	if n := s.watchNow("g1", RosterVersion{}).Gateways; n != 4 {
		t.Fatalf("%d gateways before", n)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayTrust = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if n := next.watchNow("g1", RosterVersion{}).Gateways; n != 4 {
		t.Fatalf("the first gateway that asks the next leader is told of %d", n)
	}
}

// requestAdvertisedShare asks for a part of a back end's limit as a gateway does that heard of it some time ago, and returns what was lent.
func (s *singleReplica) requestAdvertisedShare(gateway string, rate float64, age time.Duration) float64 {
	s.t.Helper()
	item := allowance.RequestItem{Name: quota.Backend("i-1"), Amount: 1, Advertised: &allowance.AdvertisedLimit{Rate: rate, Age: age}}
	response := s.ask(Request{Borrow: &allowance.Request{Client: gateway, Sequence: uint64(s.now), Items: []allowance.RequestItem{item}}})
	if response.Lent == nil || !response.Lent.Grants[0].Enforced {
		s.t.Fatalf("%+v", response)
	}
	return response.Lent.Grants[0].Amount
}

// TestGrantsStayWithinAdvertisedLimit: to all gateways together what a back end names, whatever documents say, from nothing on, and a new leader
// from nothing again; status shows it.
func TestGrantsStayWithinAdvertisedLimit(t *testing.T) {
	s := openFleetWithQuota(t)
	ask := func(s *singleReplica, length time.Duration) (lent float64) {
		for i, end := 0, s.now+length; s.now < end; i++ {
			lent += s.requestAdvertisedShare([]string{"g1", "g2", "g3"}[i%3], 4, 0)
			s.advance(20 * time.Millisecond)
		}
		return lent
	}
	if lent := ask(s, 200*time.Millisecond); lent != 0 {
		t.Fatalf("%v lent of a limit that was just heard", lent)
	}
	if lent := ask(s, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("%v lent in 4 s of 4 a second", lent)
	}
	s.setQuota(3, 10)
	if lent := ask(s, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("%v lent in 4 s after another document", lent)
	}
	if advertised := s.ask(Request{Status: &StatusRequest{}}).Status.Named; len(advertised) != 1 || advertised[0].Limit.Rate != 4 || advertised[0].Refused == 0 {
		t.Fatalf("%+v", advertised)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayTrust = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if lent := ask(next, 200*time.Millisecond); lent != 0 {
		t.Fatalf("%v lent by a leader that has just begun", lent)
	}
	if lent := ask(next, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("%v lent in 4 s by the next leader", lent)
	}
	next.advance(20 * time.Second)
	next.requestShare("g1", 1)
	if advertised := next.ask(Request{Status: &StatusRequest{}}).Status.Named; len(advertised) != 0 {
		t.Fatalf("nobody asks for it any more: %+v", advertised)
	}
}

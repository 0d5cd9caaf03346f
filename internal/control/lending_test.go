package control

import (
	"testing"
	"time"

	"kitetiller/internal/allowance"
	"kitetiller/internal/catalog"
	"kitetiller/internal/quota"
)

// openLimited is openFleet with a tenant of 100 units a second and a burst of 50.
func openLimited(t *testing.T) *singleReplica {
	t.Helper()
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.GatewayTrust = 3 * time.Second })
	s.limit(2, 100)
	return s
}

func (s *singleReplica) limit(revision uint64, rate float64) {
	tenant := catalog.Tenant{Name: "north", Quota: catalog.Quota{Rate: rate, Burst: rate / 2}}
	s.ask(Request{Catalog: &catalog.Command{Replace: &catalog.Document{Revision: revision, Tenants: []catalog.Tenant{tenant}}}})
}

// borrow asks for an amount as a gateway does, and returns what was lent.
func (s *singleReplica) borrow(gateway string, amount float64) float64 {
	s.t.Helper()
	asked := allowance.Request{Client: gateway, Sequence: uint64(s.now), Items: []allowance.RequestItem{{Name: quota.Tenant("north"), Amount: amount}}}
	response := s.ask(Request{Borrow: &asked})
	if response.Lent == nil {
		s.t.Fatalf("%+v", response)
	}
	return response.Lent.Grants[0].Amount
}

// TestLeaderLendsNoMoreThanTheLimit, and begins with nothing: what an earlier leader lent is not lent again.
func TestLeaderLendsNoMoreThanTheLimit(t *testing.T) {
	s := openLimited(t)
	if lent := s.borrow("g1", 40); lent != 0 {
		t.Fatalf("%v lent of a limit that has just come", lent)
	}
	s.advance(10 * time.Second)
	if lent := s.borrow("g1", 40); lent != 40 {
		t.Fatalf("%v lent", lent)
	}
	if lent := s.borrow("g2", 40); lent != 0 {
		t.Fatalf("%v lent beyond the burst", lent)
	}
	_ = s.disk.Close()
	next := reopenUnelected(t, s.folder)
	next.changeConfig(func(config *Config) { config.GatewayTrust = 3 * time.Second })
	next.advance(400 * time.Millisecond)
	if lent := next.borrow("g3", 45); lent != 0 {
		t.Fatalf("%v lent by a leader that has just begun", lent)
	}
	next.advance(time.Second)
	if lent := next.borrow("g3", 45); lent != 45 {
		t.Fatalf("%v lent by the next leader", lent)
	}
}

// TestLoweredLimitBindsTheLeaderAtOnce.
func TestLoweredLimitBindsTheLeaderAtOnce(t *testing.T) {
	s := openLimited(t)
	s.advance(10 * time.Second)
	s.limit(3, 10)
	if lent := s.borrow("g1", 40); lent != 0 {
		t.Fatalf("%v lent of a limit of 10 a second", lent)
	}
	if lent := s.borrow("g1", 5); lent != 5 {
		t.Fatalf("%v lent", lent)
	}
}

// TestSilentGatewaysKeepTheirParts: what gateways out of touch use by themselves is kept back until they may trust their view
// no more.
func TestSilentGatewaysKeepTheirParts(t *testing.T) {
	s := openLimited(t)
	version := s.watchNow("g1", RosterVersion{}).Version
	s.watchNow("g2", RosterVersion{})
	heard := func(length time.Duration) float64 {
		for end := s.now + length; s.now < end; {
			version = s.watchNow("g1", version).Version
			s.advance(200 * time.Millisecond)
		}
		return s.replica.partOutOfTouch(s.now)
	}
	for _, step := range []struct {
		after time.Duration
		part  float64
	}{{600 * time.Millisecond, 0}, {time.Second, 0.5}, {2 * time.Second, 0}} {
		if part := heard(step.after); part != step.part {
			t.Fatalf("at %v the part %v is kept back, wanted %v", s.now, part, step.part)
		}
	}
}

// TestStatusShowsLimits: the leader tells what is limited, lent and refused.
func TestStatusShowsLimits(t *testing.T) {
	s := openLimited(t)
	s.advance(10 * time.Second)
	s.borrow("g1", 40)
	s.advance(50 * time.Millisecond)
	s.borrow("g1", 40)
	limits := s.ask(Request{Status: &StatusRequest{}}).Status.Limits
	if len(limits) != 1 || limits[0].Name != quota.Tenant("north") || limits[0].Granted != 40 || limits[0].Refused != 40 || !limits[0].OverLimit {
		t.Fatalf("%+v", limits)
	}
}

// TestNewLeaderKnowsHowManyShareTheParts: the first gateways that ask a new leader are told of all that asked the last one, else each
// would take the whole for its equal part (soak, kept plan: 121,164 units in 4 s where 120,000 were allowed).
func TestNewLeaderKnowsHowManyShareTheParts(t *testing.T) {
	s := openLimited(t)
	for _, gateway := range []string{"g1", "g2", "g3", "g4"} {
		s.watchNow(gateway, RosterVersion{})
	}
	s.advance(gatewaysPeriod + 200*time.Millisecond)
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

// borrowNamed asks for a part of a back end's limit as a gateway does that heard of it some time ago, and returns what was lent.
func (s *singleReplica) borrowNamed(gateway string, rate float64, age time.Duration) float64 {
	s.t.Helper()
	ask := allowance.RequestItem{Name: quota.Backend("i-1"), Amount: 1, Advertised: &allowance.AdvertisedLimit{Rate: rate, Age: age}}
	response := s.ask(Request{Borrow: &allowance.Request{Client: gateway, Sequence: uint64(s.now), Items: []allowance.RequestItem{ask}}})
	if response.Lent == nil || !response.Lent.Grants[0].Enforced {
		s.t.Fatalf("%+v", response)
	}
	return response.Lent.Grants[0].Amount
}

// TestLeaderLendsPartsOfNamedLimits: to all gateways together what a back end names, whatever documents say, from nothing on, and a new leader
// from nothing again; status shows it.
func TestLeaderLendsPartsOfNamedLimits(t *testing.T) {
	s := openLimited(t)
	ask := func(s *singleReplica, length time.Duration) (lent float64) {
		for i, end := 0, s.now+length; s.now < end; i++ {
			lent += s.borrowNamed([]string{"g1", "g2", "g3"}[i%3], 4, 0)
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
	s.limit(3, 10)
	if lent := ask(s, 4*time.Second); lent < 12 || lent > 17 {
		t.Fatalf("%v lent in 4 s after another document", lent)
	}
	if told := s.ask(Request{Status: &StatusRequest{}}).Status.Named; len(told) != 1 || told[0].Limit.Rate != 4 || told[0].Refused == 0 {
		t.Fatalf("%+v", told)
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
	next.borrow("g1", 1)
	if told := next.ask(Request{Status: &StatusRequest{}}).Status.Named; len(told) != 0 {
		t.Fatalf("nobody asks for it any more: %+v", told)
	}
}

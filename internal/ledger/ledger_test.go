package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const testRetention = 1000

func key(name string) Key { return Key{Tenant: "t", Service: "s", Key: name} }

func claim(name, id string, digest uint64) Claim {
	return Claim{Key: key(name), Digest: digest, ClaimID: id, Holder: Holder{Router: "r", Epoch: 1}, RetentionMS: testRetention}
}

func TestClaimIsGrantedOnce(t *testing.T) {
	l := New()
	if got := l.Claim(claim("k", "c1", 1), 0, true).Kind; got != Granted {
		t.Fatalf("first claim: %s", got)
	}
	if got := l.Claim(claim("k", "c1", 1), 0, true).Kind; got != Granted {
		t.Fatalf("retransmitted claim: %s", got)
	}
	if got := l.Claim(claim("k", "c2", 1), 0, true).Kind; got != InProgress {
		t.Fatalf("second claim: %s", got)
	}
	if got := l.Claim(claim("k", "c3", 2), 0, true).Kind; got != DigestMismatch {
		t.Fatalf("claim with another body: %s", got)
	}
}

func TestReleasedClaimIsNotGrantedAgain(t *testing.T) {
	l := New()
	l.End(End{Key: key("k"), ClaimID: "c1", Kind: EndReleased}, 0)
	if got := l.Claim(claim("k", "c1", 1), 0, true).Kind; got != Withdrawn {
		t.Fatalf("delayed copy of a released claim: %s", got)
	}
	if got := l.Claim(claim("k", "c2", 1), 0, true).Kind; got != Granted {
		t.Fatalf("new claim after the release: %s", got)
	}
}

func TestClosedSessionMarksRunningClaimsUnknown(t *testing.T) {
	l := New()
	l.Claim(claim("k", "c1", 1), 0, true)
	l.CloseSession(Holder{Router: "r", Epoch: 1})
	if got := l.Claim(claim("k", "c2", 1), 0, true).Kind; got != RunUnknown {
		t.Fatalf("claim after the session was closed: %s", got)
	}
	l.End(End{Key: key("k"), ClaimID: "c1", Kind: EndFinished, Response: &Response{Status: 200}}, 0)
	if got := l.Claim(claim("k", "c3", 1), 0, true).Kind; got != Replayed {
		t.Fatalf("claim after the late response: %s", got)
	}
}

func TestExpiredKeyIsRejected(t *testing.T) {
	l := New()
	l.Claim(claim("k", "c1", 1), 0, true)
	l.End(End{Key: key("k"), ClaimID: "c1", Kind: EndFinished, Response: &Response{Status: 200}}, 1)
	if got := l.Claim(claim("k", "c2", 1), testRetention+1, true).Kind; got != KeyExpired {
		t.Fatalf("claim after the retention time: %s", got)
	}
}

// modelKey is the state of a key in the reference model.
type modelKey struct {
	state   State
	claimID string
}

// TestLedgerMatchesReferenceModel applies random claims, ends, session closings and restarts from snapshots.
func TestLedgerMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		model := map[string]*modelKey{}
		claims := 0
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				claims++
				checkClaim(t, l, model, name.Draw(t, "key"), fmt.Sprint(claims))
			},
			"end": func(t *rapid.T) {
				endClaim(l, model, name.Draw(t, "key"), rapid.SampledFrom([]EndKind{EndFinished, EndReleased, EndUnknown}).Draw(t, "kind"))
			},
			"session ends": func(*rapid.T) {
				l.CloseSession(Holder{Router: "r", Epoch: 1})
				for _, expected := range model {
					if expected.state == StateRunning {
						expected.state = StateUnknown
					}
				}
			},
			"restart": func(t *rapid.T) {
				data, err := json.Marshal(l)
				if err != nil {
					t.Fatal(err)
				}
				l = New()
				if err := json.Unmarshal(data, l); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

func checkClaim(t *rapid.T, l *Ledger, model map[string]*modelKey, name, id string) {
	got := l.Claim(claim(name, id, 1), 0, true).Kind
	expected := model[name]
	want := Granted
	switch {
	case expected == nil:
		model[name] = &modelKey{state: StateRunning, claimID: id}
	case expected.state == StateRunning:
		want = InProgress
	case expected.state == StateFinished:
		want = Replayed
	default:
		want = RunUnknown
	}
	if got != want {
		t.Fatalf("claim of %s: %s, want %s", name, got, want)
	}
}

func endClaim(l *Ledger, model map[string]*modelKey, name string, kind EndKind) {
	expected := model[name]
	if expected == nil {
		return
	}
	l.End(End{Key: key(name), ClaimID: expected.claimID, Kind: kind, Response: &Response{Status: 200}}, 0)
	switch {
	case expected.state == StateFinished:
	case kind == EndReleased:
		delete(model, name)
	case kind == EndFinished:
		expected.state = StateFinished
	default:
		expected.state = StateUnknown
	}
}

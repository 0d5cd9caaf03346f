package pushback

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitetiller/internal/catalog"
)

// observation is one entry of the model, which keeps all signals in a list.
type observation struct {
	at          time.Duration
	incarnation catalog.Incarnation
	signals     Signals
}

// An incarnation is restricted while one of its own signals is in effect, or a backoff of an earlier incarnation that
// it may have requested itself.
func TestTrackerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now, epoch := NewTracker(), time.Duration(0), time.UnixMilli(1_000_000)
		var observations []observation
		anyIncarnation := rapid.Custom(func(t *rapid.T) catalog.Incarnation {
			incarnation := catalog.Incarnation{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}
			if incarnation.Name == "a" {
				incarnation.StartedMS = epoch.UnixMilli() + rapid.Int64Range(1, 20).Draw(t, "born")*1000
			}
			return incarnation
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				o := observation{now, anyIncarnation.Draw(t, "speaker"), Signals{
					Backoff:  time.Duration(rapid.IntRange(-1, 6).Draw(t, "rest")) * time.Second,
					Draining: rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
				}}
				observations = append(observations, o)
				tracker.Observe(now, epoch.Add(now), o.incarnation, o.signals, 0)
			case 1:
				tracker.Sweep(now, func(catalog.Incarnation) bool { return true })
			}
			queried := anyIncarnation.Draw(t, "asked")
			want := Restriction{}
			for _, o := range observations {
				until := o.at + o.signals.Backoff
				earlier := o.incarnation.Name == queried.Name && o.incarnation.StartedMS < queried.StartedMS &&
					queried.StartedMS <= epoch.Add(o.at+maxClockSkew).UnixMilli()
				if o.incarnation == queried && o.signals.Draining {
					want.Draining = true
				}
				if (o.incarnation == queried || earlier) && o.signals.Backoff > 0 && until > now {
					want.BackoffUntil = max(want.BackoffUntil, until)
				}
			}
			// The tracker keeps one state per incarnation: its newest backoff decides which later incarnations may
			// have requested it, so it may restrict longer than the model.
			got := tracker.Restriction(now, queried)
			if got.Draining != want.Draining || got.BackoffUntil < want.BackoffUntil {
				t.Fatalf("%v at %v: got %+v, want %+v", queried, now, got, want)
			}
			if queried.Name == "b" && got != want {
				t.Fatalf("%v at %v: got %+v, want %+v", queried, now, got, want)
			}
		}
	})
}

// The limit of an incarnation is the latest one observed, in whatever order observations arrive. A response without a
// limit withdraws only a limit observed before its request was sent.
func TestLimitsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type observed struct {
			at    time.Duration
			limit Limit
		}
		tracker, now := NewTracker(), time.Minute
		latest := map[catalog.Incarnation]observed{}
		incarnations := []catalog.Incarnation{{Name: "a", StartedMS: 1}, {Name: "a", StartedMS: 2}, {Name: "b"}}
		observe := func(at time.Duration, incarnation catalog.Incarnation, limit Limit) {
			before := latest[incarnation]
			changed := tracker.ObserveLimit(at, incarnation, limit)
			if at < before.at || limit.Withdrawn && !before.limit.Advertised {
				return
			}
			latest[incarnation] = observed{at, limit}
			if wantChanged := before.limit.Advertised != limit.Advertised || before.limit.Rate != limit.Rate; changed != wantChanged {
				t.Fatalf("%+v after %+v: ObserveLimit reported changed = %v", limit, before, changed)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond
			incarnation := rapid.SampledFrom(incarnations).Draw(t, "life")
			age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				signals := Signals{Limit: Limit{Advertised: true, Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))}}
				if before := latest[incarnation]; now >= before.at {
					latest[incarnation] = observed{now, signals.Limit}
				}
				tracker.Observe(now, time.Time{}, incarnation, signals, 0)
			case 1:
				observe(now-age, incarnation, Limit{Advertised: true, Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))})
			case 2:
				observe(now-age, incarnation, Limit{Withdrawn: true})
			case 3:
				before := latest[incarnation]
				if withdrawn := tracker.ObserveNoLimit(now, now-age, incarnation); withdrawn != (before.limit.Advertised && before.at < now-age) {
					t.Fatalf("request sent %v ago, known limit %+v, now %v: withdrawn = %v", age, before, now, withdrawn)
				} else if withdrawn {
					latest[incarnation] = observed{now, Limit{Withdrawn: true}}
				}
			case 4:
				tracker.Sweep(now, func(catalog.Incarnation) bool { return true })
				for incarnation, last := range latest {
					if last.limit.Withdrawn {
						delete(latest, incarnation) // the tracker may have removed it
					}
				}
			}
			for _, incarnation := range incarnations {
				last := latest[incarnation]
				if got := tracker.Limit(incarnation); got.Advertised != last.limit.Advertised || got.Advertised && got != last.limit {
					t.Fatalf("%v at %v: got %+v, want %+v", incarnation, now, got, last)
				}
				if restriction := tracker.Restriction(now, incarnation); restriction.Limit != tracker.Limit(incarnation) {
					t.Fatalf("Restriction has limit %+v, Limit returns %+v", restriction.Limit, tracker.Limit(incarnation))
				}
			}
		}
	})
}

// A backoff applies to a later incarnation only if that may have requested it.
func TestBackoffBelongsToIncarnation(t *testing.T) {
	wallClock := time.UnixMilli(50_000)
	tracker := NewTracker()
	tracker.Observe(0, wallClock, catalog.Incarnation{Name: "a", StartedMS: 10_000}, Signals{Backoff: 30 * time.Second, Draining: true}, 0)
	for name, c := range map[string]struct {
		incarnation          catalog.Incarnation
		backingOff, draining bool
	}{
		"the same incarnation":                               {catalog.Incarnation{Name: "a", StartedMS: 10_000}, true, true},
		"a later incarnation started before the observation": {catalog.Incarnation{Name: "a", StartedMS: 49_000}, true, false},
		"a later incarnation started within the clock skew":  {catalog.Incarnation{Name: "a", StartedMS: 50_500}, true, false},
		"a later incarnation started after the clock skew":   {catalog.Incarnation{Name: "a", StartedMS: 52_000}, false, false},
		"another back end":                                   {catalog.Incarnation{Name: "b", StartedMS: 10_000}, false, false},
	} {
		if restriction := tracker.Restriction(time.Second, c.incarnation); restriction.IsBackingOff(time.Second) != c.backingOff ||
			restriction.Draining != c.draining {
			t.Errorf("%s: %+v", name, restriction)
		}
	}
}

// A backoff ends after its duration plus jitter, never earlier. A shorter one doesn't shorten it, and MaxBackoff caps
// it.
func TestBackoffExpires(t *testing.T) {
	a, wallClock := catalog.Incarnation{Name: "a"}, time.UnixMilli(0)
	tracker := NewTracker()
	if restriction := tracker.Observe(time.Second, wallClock, a, Signals{Backoff: 3 * time.Second}, 0.999); restriction.BackoffUntil < 4*time.Second ||
		restriction.BackoffUntil > 4*time.Second+maxJitter {
		t.Fatalf("backoff of 3s with full jitter: got %+v", restriction)
	}
	if restriction := tracker.Observe(2*time.Second, wallClock, a, Signals{Backoff: time.Second}, 0); restriction.BackoffUntil < 4*time.Second {
		t.Fatalf("a shorter backoff shortened the earlier one: %+v", restriction)
	}
	if restriction := tracker.Restriction(5*time.Second, a); restriction.IsBlocked(5 * time.Second) {
		t.Fatalf("still blocked after the backoff ended: %+v", restriction)
	}
	if restriction := tracker.Observe(5*time.Second, wallClock, a, Signals{Backoff: 1000 * time.Hour}, 0); restriction.BackoffUntil > 5*time.Second+MaxBackoff+maxJitter {
		t.Fatalf("backoff exceeds MaxBackoff: %+v", restriction)
	}
}

// A backoff is removed once it expired, draining once the incarnation has been unknown for untimedTTL.
func TestSweepRemovesExpiredState(t *testing.T) {
	draining, backingOff, wallClock := catalog.Incarnation{Name: "l"}, catalog.Incarnation{Name: "r"}, time.UnixMilli(0)
	tracker := NewTracker()
	tracker.Observe(0, wallClock, draining, Signals{Draining: true}, 0)
	tracker.Observe(0, wallClock, backingOff, Signals{Backoff: time.Second}, 0)
	tracker.Sweep(2*untimedTTL, func(catalog.Incarnation) bool { return true })
	if len(tracker.states) != 1 || !tracker.Restriction(2*untimedTTL, draining).Draining {
		t.Fatalf("draining incarnation removed or expired backoff kept: %+v", tracker.states)
	}
	tracker.Sweep(2*untimedTTL, func(catalog.Incarnation) bool { return false })
	if len(tracker.states) != 0 {
		t.Fatalf("state left of unknown incarnations: %+v", tracker.states)
	}
}

package streamorigin

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func present(names ...string) map[SoftwareVersion]bool {
	versions := map[SoftwareVersion]bool{}
	for _, name := range names {
		if name == "" {
			versions[SoftwareVersion{}] = true
			continue
		}
		versions[Known(name)] = true
	}
	return versions
}

// A version is the sole one only if no other, and no unknown one, was present at any time of the period, and nothing was
// missed in it.
func TestSoleVersionHoldsForTheWholePeriod(t *testing.T) {
	const period = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		h, now, since := NewHistory(0), time.Duration(0), time.Duration(0)
		type span struct {
			name string
			end  time.Duration // last time at which it was present
		}
		var seen []span
		current := map[string]bool{}
		extend := func() {
			for name := range current {
				seen = append(seen, span{name, now})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", ""}), 0, 3, rapid.ID[string]).Draw(t, "names")
				extend()
				h.Observe(now, present(names...))
				current = map[string]bool{}
				for _, name := range names {
					current[name] = true
				}
				extend()
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 7).Draw(t, "wait")) * time.Second
				extend()
			},
			"interrupt": func(*rapid.T) { h.Interrupt(now); since = now },
			"": func(t *rapid.T) {
				names := map[string]bool{}
				for _, s := range seen {
					if s.end > now-period {
						names[s.name] = true
					}
				}
				want := since <= now-period && len(current) == 1 && len(names) == 1 && !names[""]
				if version, ok := h.Sole(now, period); ok != want || ok && !names[version.Name()] {
					t.Fatalf("at %v: %q, %t, want %t of %v", now, version.Name(), ok, want, names)
				}
			},
		})
	})
}

// A service that was never observed has no sole version.
func TestNoHistoryProvesNothing(t *testing.T) {
	var h *History
	if _, ok := h.Sole(time.Hour, 0); ok {
		t.Fatal("a service without a history has a sole version")
	}
	if _, ok := NewHistory(0).Sole(time.Hour, time.Second); ok {
		t.Fatal("a service without back ends has a sole version")
	}
}

// A question for a short period must not make the history forget what matters for a longer one: records of streams are
// sent for longer than the proof that one version serves needs.
func TestShorterPeriodForgetsNothing(t *testing.T) {
	const short, long = 10 * time.Second, 15 * time.Second
	h := NewHistory(0)
	h.Observe(0, present("v1"))
	h.Observe(time.Minute, present("v2"))
	if _, ok := h.Sole(time.Minute, long); ok {
		t.Fatal("v1 has just left")
	}
	if _, ok := h.Sole(time.Minute+short, short); !ok {
		t.Fatal("v2 is the only version of the short period")
	}
	if _, ok := h.Sole(time.Minute+short, long); ok {
		t.Fatal("v1 was present in the long period")
	}
	if _, ok := h.Sole(time.Minute+long, long); !ok {
		t.Fatal("v2 is the only version of the long period")
	}
}

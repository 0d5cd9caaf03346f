package main

import (
	"testing"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/soak"
)

// TestOldestCompatible: one that broke a promise, or that couldn't be judged, counts with all before it.
func TestOldestCompatible(t *testing.T) {
	compatible := func(commit string) buildResult { return buildResult{commit: commit, plays: 1} }
	violating := buildResult{commit: "broke", plays: 1, violations: map[soak.Promise]int{soak.ServiceBack: 1}}
	failed := buildResult{commit: "mute", failure: eris.New("acknowledged nothing")}
	for _, row := range []struct {
		results []buildResult
		want    string
	}{
		{nil, ""}, {[]buildResult{compatible("a")}, "a"}, {[]buildResult{compatible("a"), compatible("b")}, "a"}, {[]buildResult{compatible("a"), violating, compatible("c"), compatible("d")}, "c"},
		{[]buildResult{failed, compatible("b")}, "b"}, {[]buildResult{compatible("a"), failed}, ""},
	} {
		if got, found := oldestCompatible(row.results); got != row.want || found != (row.want != "") {
			t.Errorf("%v: %q, wanted %q", row.results, got, row.want)
		}
	}
}

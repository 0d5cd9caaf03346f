package main

import (
	"testing"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/soak"
)

// A build that broke a promise, or whose runs were inconclusive, excludes itself and all older builds.
func TestOldestCompatible(t *testing.T) {
	compatible := func(commit string) buildResult { return buildResult{commit: commit, runs: 1} }
	violating := buildResult{commit: "broke", runs: 1, violations: map[soak.Guarantee]int{soak.ServiceRecovers: 1}}
	failed := buildResult{commit: "mute", failure: eris.New("acknowledged nothing")}
	for _, row := range []struct {
		results []buildResult
		want    string
	}{
		{nil, ""}, {[]buildResult{compatible("a")}, "a"}, {[]buildResult{compatible("a"), compatible("b")}, "a"}, {[]buildResult{compatible("a"), violating, compatible("c"), compatible("d")}, "c"},
		{[]buildResult{failed, compatible("b")}, "b"}, {[]buildResult{compatible("a"), failed}, ""},
	} {
		if got, found := oldestCompatible(row.results); got != row.want || found != (row.want != "") {
			t.Errorf("%v: got %q, want %q", row.results, got, row.want)
		}
	}
}

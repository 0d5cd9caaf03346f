package main

import (
	"testing"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/soak"
)

// TestOldestThatTakesPart: one that broke a promise, or that couldn't be judged, counts with all before it.
func TestOldestThatTakesPart(t *testing.T) {
	good := func(commit string) mixed { return mixed{commit: commit, plays: 1} }
	broke := mixed{commit: "broke", plays: 1, broken: map[soak.Guarantee]int{soak.ServiceRecovers: 1}}
	mute := mixed{commit: "mute", cannot: eris.New("acknowledged nothing")}
	for _, row := range []struct {
		all    []mixed
		wanted string
	}{
		{nil, ""}, {[]mixed{good("a")}, "a"}, {[]mixed{good("a"), good("b")}, "a"}, {[]mixed{good("a"), broke, good("c"), good("d")}, "c"},
		{[]mixed{mute, good("b")}, "b"}, {[]mixed{good("a"), mute}, ""},
	} {
		if got, found := oldestOf(row.all); got != row.wanted || found != (row.wanted != "") {
			t.Errorf("%v: %q, wanted %q", row.all, got, row.wanted)
		}
	}
}

package router

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/pushback"
)

// A refusal yields the reported incarnation, or else the targeted one, and backoff, draining and rate limit. A negative
// limit counts as none.
func TestRefusalReportsIncarnationAndSignals(t *testing.T) {
	attempt := &activeAttempt{action: core.ActionDispatch{Backend: "e", Incarnation: 3}}
	for body, want := range map[string]core.EventPushback{
		`{"run":"not-run"}`: {Name: "e", Incarnation: 3},
		`{"run":"not-run","incarnation":4,"leaving":true}`:    {Name: "e", Incarnation: 4, Signals: pushback.Signals{Draining: true}},
		`{"run":"not-run","retry_after_ms":50}`:               {Name: "e", Incarnation: 3, Signals: pushback.Signals{Backoff: 50 * time.Millisecond}},
		`{"run":"not-run","limit_per_s":3.8,"incarnation":4}`: {Name: "e", Incarnation: 4, Signals: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: 3.8}}},
		`{"run":"not-run","limit_per_s":0}`:                   {Name: "e", Incarnation: 3, Signals: pushback.Signals{Limit: pushback.Limit{Advertised: true}}},
		`{"run":"not-run","limit_per_s":-1}`:                  {Name: "e", Incarnation: 3},
		`{"run":"unknown","limit_per_s":2,"incarnation":4}`:   {Name: "e", Incarnation: 4, Signals: pushback.Signals{Limit: pushback.Limit{Advertised: true, Rate: 2}}},
	} {
		response := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader(body))}
		if got, _ := attempt.parseRefusal(response); got != want {
			t.Errorf("parseRefusal(%s) = %+v, want %+v", body, got, want)
		}
	}
}

package api

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kitetiller/internal/core"
)

// rejectionReasons are reasons for which the core rejects requests.
var rejectionReasons = []core.Reason{
	core.ReasonNoSettings, core.ReasonNoLease, core.ReasonDraining, core.ReasonUnknownService, core.ReasonRateLimit, core.ReasonConcurrencyLimit,
	core.ReasonQueueFull, core.ReasonDeadline, core.ReasonNoBackend, core.ReasonRetriesExhausted, core.ReasonKeyRequired, core.ReasonKeyReused,
	core.ReasonKeyExpired, core.ReasonInProgress, core.ReasonRunUnknown, core.ReasonLedgerUnavailable,
}

func TestEveryReasonHasStatusAndTitle(t *testing.T) {
	for _, reason := range rejectionReasons {
		problem := NewProblem(reason, core.RunNot, "")
		if problem.Status < 400 || problem.Title == "" || !strings.HasSuffix(problem.Type, string(reason)) {
			t.Errorf("%s: incomplete problem %+v", reason, problem)
		}
	}
}

func TestRetryAfterRoundsUpToWholeSeconds(t *testing.T) {
	recorder := httptest.NewRecorder()
	NewProblem(core.ReasonQueueFull, core.RunNot, "").WithRetryAfter(1200 * time.Millisecond).Write(recorder)
	if got := recorder.Header().Get("Retry-After"); got != "2" {
		t.Fatalf("got Retry-After %q, want 2", got)
	}
	if got := recorder.Header().Get("Content-Type"); got != "application/problem+json" {
		t.Fatalf("got Content-Type %q, want application/problem+json", got)
	}
}

// FuzzCompletionRequest: no body may make decoding or Text panic.
func FuzzCompletionRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`))
	f.Add([]byte(`{"prompt":"hi","max_tokens":-1,"seed":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var request CompletionRequest
		if json.Unmarshal(data, &request) != nil {
			return
		}
		if len(request.Messages) == 0 && request.Text() != request.Prompt {
			t.Fatal("Text changed the prompt of a request without messages")
		}
	})
}

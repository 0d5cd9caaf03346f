package core

import (
	"testing"
	"time"
)

// reportSoftware reports an engine as running a software version.
func (h *harness) reportSoftware(name string, incarnation uint64, software string) []Action {
	return h.tick(EventBackendPoll{Name: name, RequestedAt: h.now, Report: &BackendReport{Incarnation: incarnation, Weights: "w1", Software: software}})
}

// beginStream dispatches a request and passes on its first token.
func (h *harness) beginStream() ActionDispatch {
	h.t.Helper()
	sent := requireAction[ActionDispatch](h.t, h.tick(EventRequest{promptRequest(1, 4)}))
	requireAction[ActionChunk](h.t, h.tick(chunkEvent(sent, 0)))
	return sent
}

func broken(sent ActionDispatch) EventAttempt {
	return EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Kind: AttemptBroken}
}

func (h *harness) softwareOf(sent ActionDispatch) string {
	return h.core.backends[h.core.backendIDs[sent.Backend]].software
}

// A stream resumes on an engine of the software version that began it.
func TestStreamResumesOnSameSoftware(t *testing.T) {
	h := newHarness(t, 6)
	for i := range 6 {
		h.reportSoftware(engineName(i), 2, []string{"b1", "b2", ""}[i%3])
	}
	sent := h.beginStream()
	next := requireAction[ActionDispatch](t, h.tick(broken(sent)))
	if next.Backend == sent.Backend || h.softwareOf(next) != h.softwareOf(sent) {
		t.Fatalf("began at %s of %q, resumed at %s of %q", sent.Backend, h.softwareOf(sent), next.Backend, h.softwareOf(next))
	}
}

// A stream whose engine restarts as another software version is refused if no other engine has the earlier one.
func TestStreamIsRefusedWithoutItsSoftware(t *testing.T) {
	h := newHarness(t, 2)
	h.reportSoftware(engineName(0), 2, "b1")
	h.reportSoftware(engineName(1), 2, "b2")
	sent := h.beginStream()
	final := requireAction[ActionFinish](t, h.reportSoftware(sent.Backend, 3, "b3"))
	if final.Reason != ReasonOtherSoftware {
		t.Fatalf("refused with %+v", final)
	}
}

// A stream waits for a busy engine of its software version without delaying requests behind it.
func TestStreamWaitsForSameSoftwareAside(t *testing.T) {
	h := newHarness(t, 2)
	h.reportSoftware(engineName(0), 2, "b1")
	h.reportSoftware(engineName(1), 2, "b2")
	sent := h.beginStream()
	if next, dispatched := findAction[ActionDispatch](h.tick(broken(sent))); dispatched {
		t.Fatalf("resumed at once: %+v", next)
	}
	requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(2, 4)}))
	next := requireAction[ActionDispatch](t, h.advance(baseRetryDelay))
	if next.ID != 1 || h.softwareOf(next) != h.softwareOf(sent) || next.ResumeFrom != 1 {
		t.Fatalf("began at %s, resumed at %+v", sent.Backend, next)
	}
}

// The tokens of an engine that restarted as another software version, which the router does not know yet, are not passed
// on as the rest of a stream.
func TestRestartedEngineOfOtherSoftwareDoesNotResumeStream(t *testing.T) {
	h := newHarness(t, 2)
	h.reportSoftware(engineName(0), 2, "b1")
	h.reportSoftware(engineName(1), 2, "b1")
	sent := h.beginStream()
	next := requireAction[ActionDispatch](t, h.tick(broken(sent)))
	started := EventAttempt{ID: next.ID, Attempt: next.Attempt, Echo: next.Attempt, Kind: AttemptStarted, Incarnation: 3}
	if chunk, passed := findAction[ActionChunk](h.tick(started, chunkEvent(next, 1))); passed {
		t.Fatalf("passed on %+v", chunk)
	}
}

// After a restart of all routers a client that comes back within the time for which records last must not get the rest of
// its stream from another software version than the one that had left by then.
func TestStreamOfUnknownOriginWaitsForNoShorterProofThanItsRecord(t *testing.T) {
	h := newHarness(t, 2)
	serve := func(d time.Duration) {
		for until := h.now + d; h.now < until; h.advance(time.Second) {
			h.reportSoftware(engineName(0), 2, "b2")
			h.reportSoftware(engineName(1), 2, "b2")
		}
	}
	takeUp := func(id int) []Action {
		r := promptRequest(id, 4)
		r.ResumeFrom = 1
		return h.tick(EventRequest{r})
	}
	serve(MaxStreamAge - time.Second)
	if final := requireAction[ActionFinish](t, takeUp(1)); final.Reason != ReasonOriginUnknown {
		t.Fatalf("%+v", final)
	}
	serve(5 * time.Second)
	if sent := requireAction[ActionDispatch](t, takeUp(2)); sent.ResumeFrom != 1 {
		t.Fatalf("%+v", sent)
	}
}

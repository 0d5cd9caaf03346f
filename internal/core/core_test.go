package core

import (
	"fmt"
	"testing"
	"time"

	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

const (
	testService              = "llm"
	testNonRepeatableService = "small"
	testTenant               = "tenant"
	testBlockTokens          = 64
)

// harness drives a core in virtual time.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Duration
}

func pointer[T any](value T) *T { return &value }

func testTree() settings.Tree {
	return settings.Tree{Nodes: map[settings.Path]settings.Overrides{
		"/":                              {},
		"/*":                             {},
		"/*/" + testService:              {Kind: pointer("llm")},
		"/*/" + testNonRepeatableService: {Kind: pointer("service"), Repeatable: pointer(false)},
	}}
}

// newHarness returns a core with settings, a lease and engines that have reported.
func newHarness(t *testing.T, engines int) *harness {
	h := &harness{t: t, core: New(Config{Router: "r1", Zone: "z", Seed: 1, BlockTokens: testBlockTokens, IndexLimit: 1000})}
	var machines []Machine
	for i := range engines {
		machines = append(machines, Machine{Name: engineName(i), Zone: "z", Service: testService, Address: engineName(i)})
	}
	machines = append(machines, Machine{Name: "s0", Zone: "z", Service: testNonRepeatableService, Address: "s0"})
	h.tick(EventSettings{Version: 1, Tree: testTree()}, EventLease{Epoch: 5, Until: time.Hour}, EventMachineList{RequestedAt: h.now, Machines: machines})
	for i := range engines {
		h.report(engineName(i), 1)
	}
	h.report("s0", 1)
	return h
}

func engineName(i int) string { return fmt.Sprintf("e%d", i) }

func (h *harness) tick(events ...Event) []Action { return h.core.Tick(h.now, events) }

func (h *harness) report(name string, incarnation uint64) []Action {
	return h.tick(EventBackendPoll{Name: name, RequestedAt: h.now, Report: &BackendReport{Incarnation: incarnation, Weights: "w1"}})
}

func (h *harness) advance(d time.Duration, events ...Event) []Action {
	h.now += d
	return h.tick(events...)
}

func promptRequest(id int, blocks int) Request {
	chain := make([]prefix.Hash, blocks)
	for i := range chain {
		chain[i][0], chain[i][1] = 1, byte(i+1)
	}
	return Request{
		ID: RequestID(id), Name: fmt.Sprint(id), Tenant: testTenant, Service: testService, PromptTokens: blocks * testBlockTokens,
		MaxTokens: 8, Chains: []Chain{{Weights: "w1", Blocks: chain}},
	}
}

func findAction[T Action](actions []Action) (T, bool) {
	for _, action := range actions {
		if typed, ok := action.(T); ok {
			return typed, true
		}
	}
	var none T
	return none, false
}

func requireAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	found, ok := findAction[T](actions)
	if !ok {
		t.Fatalf("no %T among %+v", found, actions)
	}
	return found
}

func chunkEvent(sent ActionDispatch, index int) EventAttempt {
	return EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Echo: sent.Attempt, Kind: AttemptChunk, Index: index, Text: "x"}
}

func doneEvent(sent ActionDispatch, length int) EventAttempt {
	return EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Echo: sent.Attempt, Kind: AttemptDone, Index: length}
}

func TestStreamIsPassedOnAndCompletes(t *testing.T) {
	h := newHarness(t, 2)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	if got := requireAction[ActionChunk](t, h.tick(chunkEvent(sent, 0))); got.Index != 0 {
		t.Fatalf("chunk index = %d, want 0", got.Index)
	}
	if repeated, found := findAction[ActionChunk](h.tick(chunkEvent(sent, 0))); found {
		t.Fatalf("repeated chunk was passed to the client: %+v", repeated)
	}
	if final := requireAction[ActionFinish](t, h.tick(doneEvent(sent, 1))); final.Reason != ReasonComplete || final.Tokens != 1 {
		t.Fatalf("unexpected final answer: %+v", final)
	}
}

func TestStreamGapResumesOnAnotherBackend(t *testing.T) {
	h := newHarness(t, 2)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	h.tick(chunkEvent(sent, 0))
	next := requireAction[ActionDispatch](t, h.tick(chunkEvent(sent, 2)))
	if next.ResumeFrom != 1 || next.Backend == sent.Backend {
		t.Fatalf("resumed from token %d on %s after a gap on %s", next.ResumeFrom, next.Backend, sent.Backend)
	}
}

func TestTruncatedStreamIsNotComplete(t *testing.T) {
	h := newHarness(t, 2)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	h.tick(chunkEvent(sent, 0))
	actions := h.tick(doneEvent(sent, 3))
	if final, ended := findAction[ActionFinish](actions); ended {
		t.Fatalf("stream with missing tokens finished with %+v", final)
	}
	requireAction[ActionDispatch](t, actions)
}

// TestStreamMovesFromUnreachableEngine: a frozen engine keeps its connections open, so only missing reports reveal
// it.
func TestStreamMovesFromUnreachableEngine(t *testing.T) {
	h := newHarness(t, 2)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	h.tick(chunkEvent(sent, 0))
	otherEngine := engineName(1)
	if sent.Backend == otherEngine {
		otherEngine = engineName(0)
	}
	for range 3 {
		h.advance(500 * time.Millisecond)
		h.report(otherEngine, 1)
	}
	next := requireAction[ActionDispatch](t, h.advance(100*time.Millisecond, EventBackendPoll{Name: sent.Backend}))
	if next.Backend != otherEngine || next.ResumeFrom != 1 {
		t.Fatalf("stream resumed on %s from token %d", next.Backend, next.ResumeFrom)
	}
}

func TestNewIncarnationInvalidatesCacheIndexAndStreams(t *testing.T) {
	h := newHarness(t, 1)
	sent := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 4)}))
	h.tick(chunkEvent(sent, 0))
	next := requireAction[ActionDispatch](t, h.report(sent.Backend, 2))
	if next.ExpectedCachedTokens != 0 || next.Incarnation != 2 || next.ResumeFrom != 1 {
		t.Fatalf("unexpected dispatch after a restart: %+v", next)
	}
}

func nonRepeatableRequest(id int, key string) Request {
	return Request{ID: RequestID(id), Name: fmt.Sprint(id), Tenant: testTenant, Service: testNonRepeatableService, Key: key, Digest: 1}
}

// dispatchWithClaim sends a request to the non-repeatable service and grants its claim.
func (h *harness) dispatchWithClaim(id int, key string) ActionDispatch {
	claim := requireAction[ActionClaim](h.t, h.tick(EventRequest{nonRepeatableRequest(id, key)}))
	if early, found := findAction[ActionDispatch](h.core.actions); found {
		h.t.Fatalf("dispatched before the claim was granted: %+v", early)
	}
	return requireAction[ActionDispatch](h.t, h.tick(EventClaim{ID: claim.ID, ClaimID: claim.Claim.ClaimID, Outcome: ledger.Outcome{Kind: ledger.Granted}}))
}

func TestAmbiguousAttemptIsNotResent(t *testing.T) {
	h := newHarness(t, 1)
	sent := h.dispatchWithClaim(1, "k")
	actions := h.tick(EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Kind: AttemptBroken})
	if again, found := findAction[ActionDispatch](actions); found {
		t.Fatalf("ambiguous attempt was dispatched again: %+v", again)
	}
	if final := requireAction[ActionFinish](t, actions); final.Run != RunUnknown {
		t.Fatalf("unexpected final answer: %+v", final)
	}
	if end := requireAction[ActionEndClaim](t, actions); end.End.Kind != ledger.EndUnknown {
		t.Fatalf("unexpected end of the claim: %v", end.End.Kind)
	}
}

func TestRefusedAttemptReleasesTheClaim(t *testing.T) {
	h := newHarness(t, 1)
	sent := h.dispatchWithClaim(1, "k")
	h.tick(EventAttempt{ID: sent.ID, Attempt: sent.Attempt, Kind: AttemptRefused})
	actions := h.advance(time.Second, EventBackendPoll{Name: "s0"}, EventBackendPoll{Name: "s0"})
	final := requireAction[ActionFinish](t, actions)
	if final.Run != RunNot || final.RetryAfter == 0 {
		t.Fatalf("unexpected final answer: %+v", final)
	}
	if end := requireAction[ActionEndClaim](t, actions); end.End.Kind != ledger.EndReleased {
		t.Fatalf("unexpected end of the claim: %v", end.End.Kind)
	}
}

func TestClaimOfExpiredSessionIsNotDispatched(t *testing.T) {
	h := newHarness(t, 1)
	claim := requireAction[ActionClaim](t, h.tick(EventRequest{nonRepeatableRequest(1, "k")}))
	actions := h.tick(EventLease{Epoch: 6, Until: time.Hour},
		EventClaim{ID: claim.ID, ClaimID: claim.Claim.ClaimID, Outcome: ledger.Outcome{Kind: ledger.Granted}})
	if sent, found := findAction[ActionDispatch](actions); found {
		t.Fatalf("dispatched under a claim of an earlier session: %+v", sent)
	}
	if final := requireAction[ActionFinish](t, actions); final.Run != RunNot {
		t.Fatalf("unexpected final answer: %+v", final)
	}
}

func TestLeavingBackendReceivesNoNewRequests(t *testing.T) {
	h := newHarness(t, 1)
	h.tick(EventBackendPoll{Name: "e0", Report: &BackendReport{Incarnation: 1, Weights: "w1", Leaving: true}})
	if sent, found := findAction[ActionDispatch](h.tick(EventRequest{promptRequest(1, 4)})); found {
		t.Fatalf("dispatched to a leaving engine: %+v", sent)
	}
	if final := requireAction[ActionFinish](t, h.advance(time.Second)); final.Reason != ReasonNoBackend || final.Run != RunNot {
		t.Fatalf("unexpected final answer: %+v", final)
	}
}

func TestExpiredLeaseRefusesNewRequests(t *testing.T) {
	h := newHarness(t, 1)
	final := requireAction[ActionFinish](t, h.advance(2*time.Hour, EventRequest{promptRequest(1, 4)}))
	if final.Reason != ReasonNoLease || final.Run != RunNot || final.RetryAfter == 0 {
		t.Fatalf("unexpected final answer: %+v", final)
	}
}

func TestOlderSettingsAreIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.tick(EventSettings{Version: 9, Tree: testTree()})
	h.tick(EventSettings{Version: 4, Tree: testTree()})
	if h.core.SettingsVersion() != 9 {
		t.Fatalf("settings version = %d, want 9", h.core.SettingsVersion())
	}
}

// TestExpiredLeaseReportsRunStatusUnknown: the router's settings may predate the service becoming non-repeatable, so
// it cannot prove that an earlier request with the key did not run.
func TestExpiredLeaseReportsRunStatusUnknown(t *testing.T) {
	h := newHarness(t, 1)
	keyed := promptRequest(1, 4)
	keyed.Key = "k"
	final := requireAction[ActionFinish](t, h.advance(2*time.Hour, EventRequest{keyed}))
	if final.Run != RunUnknown {
		t.Fatalf("run status = %s, want unknown", final.Run)
	}
}

// TestPrefixIsNotCopiedBeyondHotCopies: with hot_copies holders a prefix is recomputed, not copied again.
func TestPrefixIsNotCopiedBeyondHotCopies(t *testing.T) {
	for _, limit := range []int{1, 2} {
		h := newHarness(t, 3)
		h.core.config.ImportRate = 1_000_000
		tree := testTree()
		tree.Nodes["/*/"+testService] = settings.Overrides{Kind: pointer("llm"), HotCopies: pointer(limit), EngineConcurrency: pointer(1)}
		h.tick(EventSettings{Version: 2, Tree: tree})
		first := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(1, 40)}))
		h.core.backends[h.core.backendIDs[first.Backend]].concurrencyLimit = 1 // no capacity left
		second := requireAction[ActionDispatch](t, h.tick(EventRequest{promptRequest(2, 40)}))
		if copied := second.ImportBlocks > 0; copied != (limit > 1) {
			t.Fatalf("hot_copies = %d with one holder: copied = %v", limit, copied)
		}
	}
}

// TestEngineConcurrencyFollowsTheSettings: the limit also changes for back ends discovered before the settings
// arrive, and when operators change it at run time.
func TestEngineConcurrencyFollowsTheSettings(t *testing.T) {
	h := newHarness(t, 1)
	for version, want := range map[uint64]int{2: 40, 3: 2} {
		tree := testTree()
		tree.Nodes["/*/"+testService] = settings.Overrides{Kind: pointer("llm"), EngineConcurrency: pointer(want)}
		h.core.settingsVersion = version - 1
		h.tick(EventSettings{Version: version, Tree: tree})
		row := &h.core.backends[0]
		if got := int(row.concurrencyLimit); got != want {
			t.Fatalf("concurrency limit = %d, want %d", got, want)
		}
		h.core.recordFirstTokenLatency(row, time.Millisecond, time.Minute)
		if int(row.concurrencyLimit) > want {
			t.Fatalf("concurrency limit after a late answer = %v, want at most %d", row.concurrencyLimit, want)
		}
		row.concurrencyLimit = float64(want)
	}
}

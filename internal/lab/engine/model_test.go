package engine

import (
	"testing"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/guard"
	"kitetiller/internal/prefix"
)

const testBlockTokens = 64

// chainOf returns a chain of blocks; chains of different seeds have no block in common.
func chainOf(seed byte, length int) []prefix.Hash {
	chain := make([]prefix.Hash, length)
	for i := range chain {
		chain[i][0], chain[i][1], chain[i][2] = seed, byte(i), 1
	}
	return chain
}

func newTestJob(attempt int, chain []prefix.Hash, tokens int) *Job {
	return &Job{
		Attempt: core.AttemptID(attempt), Origin: "router", Blocks: chain, PromptTokens: len(chain) * testBlockTokens,
		MaxTokens: tokens, Incarnation: 1, Weights: "w1",
	}
}

func newTestModel() *Model {
	return New("engine", 1, "w1", DefaultRates(), testBlockTokens, 1, guard.Set{})
}

// An import that ends during a step must not cause a wakeup before the end of the step: Advance would loop forever.
func TestNextWakeupIsEndOfStepDuringImport(t *testing.T) {
	model := newTestModel()
	model.Import = func(string, []prefix.Hash) int { return 4 }
	model.Submit(0, newTestJob(1, chainOf(1, 100), 1))
	model.Advance(0)
	importing := newTestJob(2, chainOf(2, 5), 1)
	importing.ImportBlocks, importing.ImportFrom = 4, "other"
	model.running = append(model.running, &sequence{job: importing, importing: true, importEndsAt: time.Millisecond, promptTokensLeft: 1})
	model.now = 2 * time.Millisecond
	if due, _ := model.NextWakeup(); due != model.stepEnd {
		t.Fatalf("next wakeup at %v, want the end of the step at %v", due, model.stepEnd)
	}
}

func runUntilIdle(model *Model) []Output {
	var all []Output
	for {
		wakeup, scheduled := model.NextWakeup()
		if !scheduled {
			return all
		}
		all = append(all, model.Advance(wakeup)...)
	}
}

func TestSecondPromptReusesCachedPrefix(t *testing.T) {
	model := newTestModel()
	model.Submit(0, newTestJob(1, chainOf(1, 20), 3))
	runUntilIdle(model)
	model.Submit(model.now, newTestJob(2, chainOf(1, 20), 3))
	outputs := runUntilIdle(model)
	if outputs[0].Kind != OutputStarted || outputs[0].Cached != 20*testBlockTokens {
		t.Fatalf("job started with %d cached tokens, want %d", outputs[0].Cached, 20*testBlockTokens)
	}
}

func TestResumedStreamIsCompleteAndOrdered(t *testing.T) {
	model := newTestModel()
	resumed := newTestJob(1, chainOf(1, 3), 9)
	resumed.ResumeFrom = 4
	model.Submit(0, resumed)
	next := 4
	for _, output := range runUntilIdle(model) {
		if output.Kind == OutputToken {
			if output.Index != next {
				t.Fatalf("token index %d, want %d", output.Index, next)
			}
			next++
		}
	}
	if next != 9 {
		t.Fatalf("stream ended before token index %d, want 9", next)
	}
}

func TestCacheIsNotReusedAcrossIncarnations(t *testing.T) {
	model := newTestModel()
	model.Submit(0, newTestJob(1, chainOf(1, 20), 1))
	runUntilIdle(model)
	stale := newTestJob(2, chainOf(1, 20), 1)
	stale.Incarnation = 7
	if result := model.Submit(model.now, stale); result != AcceptedWithoutReuse {
		t.Fatalf("result %v, want AcceptedWithoutReuse", result)
	}
	if outputs := runUntilIdle(model); outputs[0].Cached != 0 {
		t.Fatalf("%d cached tokens reused for another incarnation, want 0", outputs[0].Cached)
	}
}

func TestCancelledJobProducesNoOutput(t *testing.T) {
	model := newTestModel()
	model.Submit(0, newTestJob(1, chainOf(1, 20), 50))
	model.Advance(200 * time.Millisecond)
	model.Cancel("router", 1)
	if outputs := runUntilIdle(model); len(outputs) != 0 || model.UnfinishedJobs() != 0 {
		t.Fatalf("%d outputs and %d jobs after cancellation, want none", len(outputs), model.UnfinishedJobs())
	}
}

func TestDrainingEngineRejectsJobs(t *testing.T) {
	model := newTestModel()
	model.SetDraining(true)
	if result := model.Submit(0, newTestJob(1, chainOf(1, 2), 1)); result != RejectedDraining {
		t.Fatalf("result %v, want RejectedDraining", result)
	}
}

// Resuming a stream that lost only its end marker must not produce another token.
func TestResumeAfterLastTokenProducesOnlyEndMarker(t *testing.T) {
	model := newTestModel()
	resumed := newTestJob(1, chainOf(1, 3), 9)
	resumed.ResumeFrom = 9
	model.Submit(0, resumed)
	for _, output := range runUntilIdle(model) {
		if output.Kind == OutputToken {
			t.Fatalf("token index %d emitted after the last of 9 tokens", output.Index)
		}
	}
}

package core

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kitetiller/internal/prefix"
)

const (
	benchPrompts   = 512
	benchBlocks    = 60
	benchTemplates = 40
	sharedBlocks   = 24
)

// benchChain returns the chain of a prompt: blocks of a shared template, then blocks of its own.
func benchChain(number int) []prefix.Hash {
	chain := make([]prefix.Hash, benchBlocks)
	for i := range chain {
		owner := uint64(number)
		if i < sharedBlocks {
			owner = 1<<32 + uint64(number%benchTemplates)
		}
		binary.LittleEndian.PutUint64(chain[i][:], owner)
		binary.LittleEndian.PutUint64(chain[i][8:], uint64(i))
	}
	return chain
}

// benchCore returns a core whose index holds each prompt on one engine and each template on several.
func benchCore(engines int) *Core {
	c := New(Config{Router: "r", Zone: "z0", Seed: 1, BlockTokens: testBlockTokens, IndexLimit: 2_000_000, ImportRate: 40_000})
	var machines []Machine
	for i := range engines {
		machines = append(machines, Machine{Name: engineName(i), Zone: fmt.Sprintf("z%d", i%3), Service: testService, Address: engineName(i)})
	}
	c.Tick(0, []Event{EventSettings{Version: 1, Tree: testTree()}, EventLease{Epoch: 1, Until: 1 << 60}, EventMachineList{Machines: machines}})
	var reports []Event
	for i := range engines {
		reports = append(reports, EventBackendPoll{Name: engineName(i), Report: &BackendReport{Incarnation: 1, Weights: "w1", Load: Load{PrefillRate: 8000}}})
	}
	c.Tick(0, reports)
	random := rand.New(rand.NewPCG(1, 2))
	for number := range benchPrompts {
		c.index.Add(prefix.EngineID(random.IntN(engines)), benchChain(number), 0, prefix.SourceEvent)
	}
	return c
}

// BenchmarkDecision measures the whole processing of one request from arrival to end.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{20, 300, 3100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { benchDecision(b, engines) })
	}
}

func benchDecision(b *testing.B, engines int) {
	c := benchCore(engines)
	requests := make([]Request, benchPrompts)
	for i := range requests {
		requests[i] = Request{Name: fmt.Sprint(i), Tenant: testTenant, Service: testService, PromptTokens: benchBlocks * testBlockTokens, MaxTokens: 8,
			Chains: []Chain{{Weights: "w1", Blocks: benchChain(i)}}}
	}
	now := time.Duration(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request := requests[i%benchPrompts]
		request.ID = RequestID(i + 1)
		now += 100 * time.Microsecond
		actions := c.Tick(now, []Event{EventRequest{Request: request}})
		sent, ok := findAction[ActionDispatch](actions)
		if !ok {
			b.Fatalf("request %d was not dispatched: %+v", i, actions)
		}
		c.Tick(now, []Event{EventCallerGone{ID: sent.ID}})
		if i%4096 == 0 {
			refreshReports(c, engines, now)
		}
	}
}

// refreshReports keeps the engines ready as time passes.
func refreshReports(c *Core, engines int, now time.Duration) {
	for i := range engines {
		c.observe(EventBackendPoll{Name: engineName(i), RequestedAt: now + time.Second, Report: &BackendReport{Incarnation: 1, Weights: "w1", Load: Load{PrefillRate: 8000}}})
	}
}

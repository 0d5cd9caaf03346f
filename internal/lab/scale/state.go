package scale

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
	"kitetiller/internal/prefix"
	"kitetiller/internal/settings"
)

const eventBlocks = 24 // blocks that a cache event stores or evicts

// makeChain returns a chain of block hashes that is distinct for each number.
func makeChain(number, length int) []prefix.Hash {
	chain := make([]prefix.Hash, length)
	for i := range chain {
		binary.LittleEndian.PutUint64(chain[i][:], uint64(number)*0x9e3779b97f4a7c15+1)
		binary.LittleEndian.PutUint64(chain[i][8:], uint64(i))
	}
	return chain
}

// measureIndex measures the prefix index: memory of an indexed block and processor time of a change.
func measureIndex(report *Report, sizes []int) {
	var memory, change []Point
	for _, size := range sizes {
		before := heapInUse()
		index := prefix.NewIndex(2 * size)
		for number := range size / eventBlocks {
			index.Add(prefix.EngineID(number%300), makeChain(number, eventBlocks), 0, prefix.SourceEvent)
		}
		memory = append(memory, Point{float64(index.Len()), heapInUse() - before})
		changes := size / eventBlocks / 2
		started := time.Now()
		for number := range changes {
			index.Remove(prefix.EngineID(number%300), makeChain(number, eventBlocks))
			index.Add(prefix.EngineID(number%300), makeChain(number+size, eventBlocks), time.Second, prefix.SourceEvent)
		}
		change = append(change, Point{float64(index.Len()), time.Since(started).Seconds() * 1e6 / float64(2*changes*eventBlocks)})
	}
	report.addSlope("prefix index", "memory", "bytes", "believed block", memory)
	report.addSlope("prefix index", "processor time of one block change", "us", "believed block", change)
	report.addFigure("prefix index", fmt.Sprintf("processor time of one block change at %.0f blocks", change[len(change)-1].Size), "us", change[len(change)-1].Value)
}

// measureLedger measures the run ledger: memory and snapshot size of a stored response.
func measureLedger(report *Report, sizes []int) error {
	var memory, snapshot []Point
	for _, size := range sizes {
		before := heapInUse()
		runLedger := ledger.New()
		for i := range size {
			key := ledger.Key{Tenant: "rwanda-university", Service: "app-service", Key: fmt.Sprintf("transcript-%08d", i)}
			id := fmt.Sprintf("router-1-%d-%d", 7, i)
			runLedger.Claim(ledger.Claim{Key: key, Digest: uint64(i), ClaimID: id, Holder: ledger.Holder{Router: "router-1", Epoch: 7}, RetentionMS: 86_400_000}, 0, true)
			runLedger.End(ledger.End{Key: key, ClaimID: id, Kind: ledger.EndFinished, Response: &ledger.Response{Status: 200, ContentType: "application/json", Body: []byte(`{"confirmed":"54a9b2526a9cd9a1"}`)}}, 0)
		}
		memory = append(memory, Point{float64(size), heapInUse() - before})
		data, err := json.Marshal(runLedger)
		if err != nil {
			return err
		}
		snapshot = append(snapshot, Point{float64(size), float64(len(data))})
	}
	report.addSlope("ledger", "memory", "bytes", "kept answer", memory)
	report.addSlope("ledger", "snapshot on disk", "bytes", "kept answer", snapshot)
	return nil
}

// makeSettingsTree returns a settings tree with the tenants spread over the services.
func makeSettingsTree(tenants, services int) settings.Tree {
	tree := settings.NewTree()
	for s := range services {
		service := settings.Path(fmt.Sprintf("/*/model-%d", s))
		kind := "llm"
		tree.Nodes[service] = settings.Overrides{Kind: &kind}
		for t := range tenants / services {
			weight := float64(1 + t%9)
			digest := []string{fmt.Sprintf("%064x", t*services+s)}
			tree.Nodes[service+settings.Path(fmt.Sprintf("/tenant-%d", t))] = settings.Overrides{ShareWeight: &weight, APIKeySHA256: &digest}
		}
	}
	return tree
}

// measureTree measures the settings tree: memory and encoded size by the number of tenants, and the time to resolve a
// scope and to apply a change.
func measureTree(report *Report, sizes []int, services int) error {
	var memory, encoded []Point
	var tree settings.Tree
	for _, size := range sizes {
		before := heapInUse()
		tree = makeSettingsTree(size, services)
		memory = append(memory, Point{float64(size), heapInUse() - before})
		data, err := json.Marshal(tree)
		if err != nil {
			return err
		}
		encoded = append(encoded, Point{float64(size), float64(len(data))})
	}
	report.addSlope("settings tree", "memory", "bytes", "tenant", memory)
	report.addSlope("settings tree", "whole tree on the wire", "bytes", "tenant", encoded)
	const rounds = 2000
	started := time.Now()
	for i := range rounds {
		tree.Resolve("z", "model-1", fmt.Sprintf("tenant-%d", i%100))
	}
	report.addFigure("settings tree", "time to resolve a place, not yet cached", "us", time.Since(started).Seconds()*1e6/rounds)
	edits := []settings.Edit{{Path: "/", Setting: "queue_limit", Value: json.RawMessage("77")}}
	started = time.Now()
	for range 20 {
		if _, problems := tree.Apply(edits); len(problems) > 0 {
			panic("scale: settings edit rejected: " + problems[0].String())
		}
	}
	report.addFigure("settings tree", fmt.Sprintf("time to apply and check a change, %d tenants", sizes[len(sizes)-1]), "ms", time.Since(started).Seconds()*1000/20)
	return nil
}

// measureDecision measures the time of a routing decision by the number of engines of a service.
func measureDecision(report *Report, sizes []int, rounds int) {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{float64(size), decisionTime(size, rounds)})
	}
	report.addSlope("router decision", "processor time", "us", "engine of the service", points)
	report.addFigure("router decision", fmt.Sprintf("processor time at %d engines", sizes[len(sizes)-1]), "us", points[len(points)-1].Value)
}

// decisionTime returns the mean time in microseconds from a request's arrival to its dispatch.
func decisionTime(engines, rounds int) float64 {
	c := core.New(core.Config{Router: "r", Zone: "z0", Seed: 1, BlockTokens: 64, IndexLimit: 1_000_000, ImportRate: 40_000})
	kind := "llm"
	tree := settings.NewTree()
	tree.Nodes["/*/s"] = settings.Overrides{Kind: &kind}
	events := []core.Event{core.EventSettings{Version: 1, Tree: tree}, core.EventLease{Epoch: 1, Until: 1 << 60}}
	var machines []core.Machine
	for i := range engines {
		machines = append(machines, core.Machine{Name: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%3), Service: "s", Address: fmt.Sprint(i)})
	}
	c.Tick(0, append(events, core.EventMachineList{Machines: machines}))
	for i := range engines {
		c.Tick(0, []core.Event{core.EventBackendPoll{Name: fmt.Sprint(i), Report: &core.BackendReport{Incarnation: 1, Weights: "w", Load: core.Load{PrefillRate: 8000}}}})
	}
	var total time.Duration
	for i := range rounds {
		request := core.Request{ID: core.RequestID(i + 1), Tenant: "t", Service: "s", PromptTokens: 60 * 64, MaxTokens: 8,
			Chains: []core.Chain{{Weights: "w", Blocks: makeChain(i%500, 60)}}}
		started := time.Now()
		c.Tick(time.Duration(i)*20*time.Microsecond, []core.Event{core.EventRequest{Request: request}})
		total += time.Since(started)
		c.Tick(time.Duration(i)*20*time.Microsecond, []core.Event{core.EventCallerGone{ID: request.ID}})
	}
	return total.Seconds() * 1e6 / float64(rounds)
}

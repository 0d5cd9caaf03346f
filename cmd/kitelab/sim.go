package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/guard"
	"kitetiller/internal/lab/sim"
)

// traceLines is the number of lines printed from the end of a violation's trace.
const traceLines = 150

// simFlags are the arguments of "kitelab sim".
type simFlags struct {
	seeds          int
	firstSeed      uint64
	guardOff       string
	listGuards     bool
	listInvariants bool
	trace          string
	workers        int
	outages        bool
	replacements   bool
}

func defineSim() command {
	flags := &simFlags{seeds: 200, firstSeed: 1, workers: runtime.NumCPU()}
	sub := newSubcommand("sim", "run the whole system in virtual time under faults, and check what must always hold")
	sub.Int(&flags.seeds, "n", "seeds", "number of seeds")
	sub.UInt64(&flags.firstSeed, "s", "first-seed", "first seed")
	sub.String(&flags.guardOff, "g", "guard-off", "run without one protection, to see that its check fails")
	sub.Bool(&flags.listGuards, "", "list-guards", "list the protections")
	sub.Bool(&flags.listInvariants, "", "list-invariants", "list what is checked")
	sub.String(&flags.trace, "t", "trace", "file for the whole trace of the first seed")
	sub.Bool(&flags.outages, "", "outages", "a group of 5 voters among 8 replicas that loses several disks at once, with power lost everywhere else")
	sub.Bool(&flags.replacements, "", "replacements", "replaced machines and lost disks of control, and once they are made up for, a loss of power with as many lost disks as are tolerated")
	sub.Int(&flags.workers, "w", "workers", "seeds run at once")
	return command{sub, flags.run}
}

func (f *simFlags) run() error {
	switch {
	case f.outages && f.replacements:
		return eris.New("--outages and --replacements exclude each other")
	case f.listGuards:
		for _, known := range guard.All() {
			fmt.Println(known)
		}
		return nil
	case f.listInvariants:
		for _, known := range append(sim.Invariants(), sim.FleetRules()...) {
			fmt.Printf("%-20s %s\n", known.Name, known.Help)
		}
		return nil
	}
	guards, err := f.guards()
	if err != nil {
		return err
	}
	if f.trace != "" {
		if err := f.writeTrace(guards); err != nil {
			return err
		}
	}
	return f.runSeeds(guards)
}

func (f *simFlags) guards() (guard.Set, error) {
	if f.guardOff == "" {
		return guard.Set{}, nil
	}
	for _, known := range guard.All() {
		if string(known) == f.guardOff {
			return guard.Without(known), nil
		}
	}
	return guard.Set{}, eris.Errorf("unknown guard %q; --list-guards names all", f.guardOff)
}

func (f *simFlags) writeTrace(guards guard.Set) error {
	file, err := os.Create(f.trace)
	if err != nil {
		return eris.Wrap(err, "create trace file")
	}
	f.play(f.firstSeed, guards, file)
	return eris.Wrap(file.Close(), "close trace file")
}

// runSeeds runs the seeds in parallel, prints a summary and reports the lowest seed that violates an invariant.
func (f *simFlags) runSeeds(guards guard.Set) error {
	started := time.Now()
	results := f.collect(guards)
	var violation *sim.Result
	faults, requests, changes, violations := 0, 0, 0, 0
	for i := range results {
		faults += results[i].Faults
		requests += results[i].Requests
		changes += results[i].Changes
		if results[i].Violation != nil {
			violations++
			violation = &results[i]
			break
		}
	}
	fmt.Fprintf(os.Stderr, "%.1f seeds/s, %v of virtual time each\n", float64(len(results))/time.Since(started).Seconds(), sim.RunLength)
	if violation != nil {
		f.printViolation(guards, *violation)
	}
	fmt.Printf("sim: seeds=%d violations=%d faults=%d requests=%d changes=%d\n", f.seeds, violations, faults, requests, changes)
	if violation != nil {
		return errViolation
	}
	return nil
}

// play runs one seed.
func (f *simFlags) play(seed uint64, guards guard.Set, trace io.Writer) sim.Result {
	switch {
	case f.replacements:
		return sim.RunReplacements(seed, guards, trace)
	case f.outages:
		return sim.RunOutages(seed, guards, trace)
	}
	return sim.Run(seed, guards, trace)
}

// collect returns the results in order of seeds. Once a violation is found, later seeds are not started.
func (f *simFlags) collect(guards guard.Set) []sim.Result {
	results := make([]sim.Result, f.seeds)
	var mutex sync.Mutex
	next, stop := 0, f.seeds
	var workers sync.WaitGroup
	for range max(1, f.workers) {
		workers.Go(func() {
			for {
				mutex.Lock()
				index := next
				next++
				done := index >= stop
				mutex.Unlock()
				if done {
					return
				}
				result := f.play(f.firstSeed+uint64(index), guards, nil)
				mutex.Lock()
				results[index] = result
				if result.Violation != nil {
					stop = min(stop, index+1)
				}
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	return results[:stop]
}

// printViolation replays the seed with tracing and prints the end of the trace.
func (f *simFlags) printViolation(guards guard.Set, result sim.Result) {
	var trace bytes.Buffer
	f.play(result.Seed, guards, &trace)
	lines := strings.Split(strings.TrimRight(trace.String(), "\n"), "\n")
	for _, line := range lines[max(0, len(lines)-traceLines):] {
		fmt.Println(line)
	}
	fmt.Printf("seed %d breaks %s at %v: %s\n", result.Seed, result.Violation.Invariant, result.Violation.At, result.Violation.Detail)
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/load"
	"kitetiller/internal/lab/plan"
	"kitetiller/internal/node"
)

// loadFlags are the arguments of "kitelab load".
type loadFlags struct {
	deployment     string
	routers        string
	keys           string
	backends       string
	duration       time.Duration
	rate           float64
	seed           uint64
	out            string
	allowBroken    bool
	disconnects    bool
	withoutService bool
	label          string
}

func defineLoad() command {
	flags := &loadFlags{duration: 20 * time.Second, rate: 30, seed: 1, label: "load"}
	sub := newSubcommand("load", "send callers' traffic to routers and check every answer")
	sub.String(&flags.deployment, "", "deployment", "deployment file whose traffic is sent")
	sub.String(&flags.routers, "r", "routers", "addresses of routers, with commas")
	sub.String(&flags.keys, "k", "keys", "API keys, with commas")
	sub.String(&flags.backends, "b", "backends", "addresses of small services, to check their runs afterwards")
	sub.Duration(&flags.duration, "t", "duration", "how long requests are sent")
	sub.Float64(&flags.rate, "", "rate", "requests a second")
	sub.UInt64(&flags.seed, "s", "seed", "seed of the traffic")
	sub.String(&flags.out, "o", "out", "file for the result as JSON")
	sub.Bool(&flags.allowBroken, "", "allow-broken", "broken connections are expected: a process is killed on purpose")
	sub.Bool(&flags.disconnects, "", "hang-ups", "some callers hang up")
	sub.Bool(&flags.withoutService, "", "without-service", "send nothing to the small service")
	sub.String(&flags.label, "", "label", "word before the last line")
	return command{sub, flags.run}
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

func (f *loadFlags) run() error {
	deployment, err := plan.Load(f.deployment)
	if err != nil {
		return err
	}
	ctx, stop := node.StopSignal()
	defer stop()
	result, err := load.Run(ctx, load.Options{
		Deployment: deployment, Routers: splitList(f.routers), Keys: splitList(f.keys), Backends: splitList(f.backends),
		Duration: f.duration, Rate: f.rate, Seed: f.seed, AllowBrokenConnections: f.allowBroken, Progress: os.Stderr,
		ClientDisconnects: f.disconnects, SkipService: f.withoutService,
	})
	if err != nil {
		return err
	}
	if err := f.write(result); err != nil {
		return err
	}
	printLoad(result)
	fmt.Printf("%s: requests=%d complete=%d refused=%d lost=%d duplicated=%d out_of_order=%d wrong_answer=%d\n", f.label,
		result.Requests, result.Complete, result.Rejected, result.Lost, result.Duplicated, result.OutOfOrder, result.WrongAnswer)
	if !result.Passed(f.allowBroken) {
		return errViolation
	}
	return nil
}

func (f *loadFlags) write(result load.Result) error {
	if f.out == "" {
		return nil
	}
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	return eris.Wrapf(os.WriteFile(f.out, data, 0o644), "write %s", f.out)
}

func printLoad(result load.Result) {
	fmt.Printf("%-22s %8s %9s %9s %9s %9s\n", "", "count", "p50 ms", "p95 ms", "p99 ms", "max ms")
	for _, row := range []struct {
		name string
		q    load.Quantiles
	}{{"time to first token", result.FirstTokens}, {"small service", result.Service}} {
		fmt.Printf("%-22s %8d %9.1f %9.1f %9.1f %9.1f\n", row.name, row.q.Count, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	fmt.Printf("errors=%d broken_connections=%d hung_up=%d false_not_run=%d\n", result.ErrorEvents, result.BrokenConnections, result.ClientDisconnects, result.FalseNotRun)
	for reason, count := range result.Reasons {
		fmt.Printf("  refused as %s: %d\n", reason, count)
	}
}

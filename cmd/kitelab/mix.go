package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/earlier"
	"kitetiller/internal/lab/soak"
	"kitetiller/platform/standin"
)

// rollingPlan restarts each process twice, one process at a time, so that each of them runs both builds.
const rollingPlan = "platform/standin/testdata/upgrade/rolling.json"

// mixFlags are the arguments of "kitelab mix".
type mixFlags struct {
	commits    string
	plan       string
	seeds      int
	firstSeed  uint64
	program    string
	programDir string
	keep       string
}

func defineMix() command {
	flags := &mixFlags{plan: rollingPlan, seeds: 1, firstSeed: 1, program: filepath.Join(filepath.Dir(os.Args[0]), "kitetiller"), programDir: filepath.Join(filepath.Dir(os.Args[0]), "earlier")}
	sub := newSubcommand("mix", "play a soak with the builds of earlier commits beside this one, in the repository's root; tells which can take part")
	sub.String(&flags.commits, "c", "commits", "earlier commits, oldest first, apart by commas (default: the one in production, by deploy/system.toml)")
	sub.String(&flags.plan, "p", "plan", "plan to play")
	sub.Int(&flags.seeds, "n", "seeds", "plays for each commit")
	sub.UInt64(&flags.firstSeed, "s", "first-seed", "seed of the first play")
	sub.String(&flags.program, "", "program", "this build's program file")
	sub.String(&flags.programDir, "", "programs", "folder to keep earlier programs in")
	sub.String(&flags.keep, "k", "keep", "folder to keep plans, settings, data and logs in, by commit and seed")
	return command{sub, flags.run}
}

// buildResult summarizes the soak runs with one earlier build.
type buildResult struct {
	commit     string
	runs       int
	violations map[soak.Guarantee]int
	failure    error // why the build failed or a run was inconclusive
}

func (r buildResult) compatible() bool { return r.failure == nil && len(r.violations) == 0 }

func (f *mixFlags) run() error {
	commits, err := f.earlierCommits()
	if err != nil {
		return err
	}
	if f.seeds <= 0 {
		return eris.New("--seeds must be above 0")
	}
	plan, err := soak.Read(f.plan)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var results []buildResult
	for _, commit := range commits {
		results = append(results, f.play(ctx, commit, plan))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	for _, result := range results {
		fmt.Println(result)
	}
	oldest, found := oldestCompatible(results)
	if !found {
		fmt.Println("the newest of these builds can't take part")
		return errViolation
	}
	fmt.Println("the oldest build from which on all can take part:", oldest)
	return nil
}

// earlierCommits returns the commits whose builds are tested.
func (f *mixFlags) earlierCommits() ([]string, error) {
	if f.commits != "" {
		return strings.Split(f.commits, ","), nil
	}
	commit, err := standin.Production("deploy/system.toml")
	return []string{commit}, err
}

// play runs a plan with the build of a commit beside this one, once for each seed.
func (f *mixFlags) play(ctx context.Context, commit string, plan soak.Plan) buildResult {
	result := buildResult{commit: commit, violations: map[soak.Guarantee]int{}}
	other, err := earlier.Build(ctx, ".", commit, "cmd/kitetiller", f.programDir)
	if err != nil {
		result.failure = err
		return result
	}
	for seed := f.firstSeed; seed < f.firstSeed+uint64(f.seeds); seed++ {
		plan.Seed = seed
		fmt.Printf("== %s beside this build, seed %d\n", commit, seed)
		violations, err := standin.Play(ctx, standin.Options{Program: f.program, OtherProgram: other, Plan: plan, Dir: f.playDir(commit, seed), Out: os.Stdout})
		if err != nil {
			result.failure = err
			return result
		}
		result.runs++
		for _, violation := range violations {
			result.violations[violation.Guarantee]++
		}
	}
	return result
}

// playDir returns the folder for the files of one run, or "" if they are not kept.
func (f *mixFlags) playDir(commit string, seed uint64) string {
	if f.keep == "" {
		return ""
	}
	return filepath.Join(f.keep, fmt.Sprint(commit, "-", seed))
}

func (r buildResult) String() string {
	if r.failure != nil {
		return fmt.Sprintf("%s: not judged after %d plays: %s", r.commit, r.runs, eris.ToString(r.failure, false))
	}
	return fmt.Sprintf("%s: %d plays, broken %v", r.commit, r.runs, r.violations)
}

// oldestCompatible returns the oldest commit such that its build and all later ones are compatible. Results are ordered
// from oldest to newest.
func oldestCompatible(results []buildResult) (commit string, found bool) {
	for i := len(results) - 1; i >= 0 && results[i].compatible(); i-- {
		commit, found = results[i].commit, true
	}
	return commit, found
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/soak"
	"kitetiller/platform/standin"
)

// soakFlags are the arguments of "kitelab soak".
type soakFlags struct {
	minutes      float64
	seed         uint64
	plan         string
	keep         string
	program      string
	otherProgram string
	guardOff     string
	outages      bool
	cuts         bool
	shape        string
	gateways     int
}

func defineSoak() command {
	flags := &soakFlags{minutes: 5, program: filepath.Join(filepath.Dir(os.Args[0]), "kitetiller")}
	sub := newSubcommand("soak", "play faults against real processes on loopback, and check promises by what callers and back ends see")
	sub.Float64(&flags.minutes, "m", "minutes", "length of the traffic")
	sub.UInt64(&flags.seed, "s", "seed", "seed of the plan; 0 draws one")
	sub.String(&flags.plan, "p", "plan", "plan to play, instead of drawing one")
	sub.String(&flags.keep, "k", "keep", "folder to keep plan, settings, data and logs in")
	sub.String(&flags.program, "", "program", "kitetiller's program file")
	sub.String(&flags.otherProgram, "o", "other-program", "program file of another build: half of the processes begin with it, and each start changes the build")
	sub.Bool(&flags.outages, "", "outages", "draw losses of power and of data folders, instead of faults of all kinds")
	sub.Bool(&flags.cuts, "", "cuts", "draw cuts between gateways and all workers, instead of faults of all kinds")
	sub.String(&flags.shape, "", "shape", "JSON file with the deployment to draw outages or cuts for (see docs/operations/soak.md)")
	sub.Int(&flags.gateways, "", "gateways", "gateways of that deployment")
	sub.String(&flags.guardOff, "g", "guard-off", "break one promise on purpose (see docs/operations/soak.md), to see that its check fails")
	return command{sub, flags.run}
}

func (f *soakFlags) run() error {
	breakPromise := soak.Guarantee(f.guardOff)
	breakable := []soak.Guarantee{soak.WithinLimit, soak.AtMostOnce, soak.CorrectResponse, soak.QuarantineEnforced, soak.ForgedHeartbeatsIgnored, soak.BackoffRespected, soak.DrainRespected, soak.DeregistrationRespected, soak.IsolationRespected, soak.AdvertisedLimitRespected, soak.ConfigDurable, soak.SlotsRespected, soak.PartitionedGatewaysServe, soak.BystandersServed,
		soak.OneVersionPerAnswer, soak.OneVersionPerStream, soak.TakenUpStreamsContinue, soak.StorageBounded, soak.MemoryBounded}
	if breakPromise != "" && !slices.Contains(breakable, breakPromise) {
		return eris.Errorf("promise %q cannot be broken on purpose; supported: %v", f.guardOff, breakable)
	}
	if f.minutes <= 0 {
		return eris.New("--minutes must be above 0")
	}
	plan, err := f.readPlan()
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, %.0f s\n", plan.Seed, plan.Length().Seconds())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violations, err := standin.Play(ctx, standin.Options{Program: f.program, OtherProgram: f.otherProgram, Plan: plan, Dir: f.keep, BreakPromise: breakPromise, Out: os.Stdout})
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return errViolation
	}
	return nil
}

// readPlan reads the plan file, or generates a plan from the seed if no file is given.
func (f *soakFlags) readPlan() (soak.Plan, error) {
	if f.plan != "" {
		return soak.Read(f.plan)
	}
	if f.seed == 0 {
		f.seed = rand.Uint64()
	}
	if f.outages || f.cuts {
		shape, err := soak.ReadShape(f.shape)
		if f.cuts {
			return soak.GenerateCuts(f.seed, f.gateways, shape), err
		}
		return soak.GenerateOutages(f.seed, f.gateways, shape), err
	}
	return soak.Generate(f.seed, time.Duration(f.minutes*float64(time.Minute))), nil
}

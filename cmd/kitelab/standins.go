package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kitetiller/internal/core"
	"kitetiller/internal/lab/fleet"
	"kitetiller/internal/lab/plan"
	"kitetiller/internal/lab/standin"
	"kitetiller/internal/node"
	"kitetiller/internal/settings"
)

// standinFlags are the flags common to all stand-in processes.
type standinFlags struct {
	name       string
	zone       string
	listen     string
	deployment string
}

func (f *standinFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.name, "n", "name", "name of the process, as on the machine list")
	sub.String(&f.zone, "z", "zone", "zone it runs in")
	sub.String(&f.listen, "l", "listen", "address to serve on (IP:PORT)")
	sub.String(&f.deployment, "", "deployment", "deployment file with the rates to reproduce")
}

// runner is a stand-in process.
type runner interface {
	Run(ctx context.Context) error
}

// serve loads the deployment, creates the stand-in and runs it until a stop signal arrives.
func (f *standinFlags) serve(kind string, build func(*plan.Deployment, *zap.Logger) (runner, error)) error {
	if f.listen == "" || f.deployment == "" {
		return eris.New("--listen and --deployment are needed")
	}
	deployment, err := plan.Load(f.deployment)
	if err != nil {
		return err
	}
	if f.name == "" {
		f.name = kind
	}
	log, err := node.NewLogger("info", f.name)
	if err != nil {
		return err
	}
	process, err := build(deployment, log.Logger)
	if err != nil {
		return err
	}
	ctx, stop := node.StopSignal()
	defer stop()
	return process.Run(ctx)
}

func defineEngine() command {
	flags := &standinFlags{}
	store, weights := "", "w1"
	sub := newSubcommand("engine", "run a model engine stand-in")
	flags.attach(sub)
	sub.String(&store, "", "weight-store", "address of the weight store")
	sub.String(&weights, "", "weights", "weights loaded at the start")
	return command{sub, func() error {
		return flags.serve("engine", func(d *plan.Deployment, log *zap.Logger) (runner, error) {
			return standin.NewEngine(standin.EngineConfig{
				Name: flags.name, Zone: flags.zone, Service: d.Model.Name, Listen: flags.listen, Weights: weights,
				WeightStore: store, BlockTokens: blockTokens, Rates: d.Rates(),
			}, log), nil
		})
	}}
}

// blockTokens is the number of tokens in a cache block of local fleets, as in the default of node files.
const blockTokens = 64

func defineBackend() command {
	flags := &standinFlags{}
	dropAfter, dropBefore := 0.0, 0.0
	sub := newSubcommand("backend", "run a small service stand-in that records each run")
	flags.attach(sub)
	sub.Float64(&dropAfter, "", "drop-after", "share of requests that run and lose their connection")
	sub.Float64(&dropBefore, "", "drop-before", "share of requests that are read and dropped")
	return command{sub, func() error {
		return flags.serve("backend", func(d *plan.Deployment, log *zap.Logger) (runner, error) {
			return standin.NewService(standin.ServiceConfig{
				Name: flags.name, Zone: flags.zone, Service: d.Small.Name, Listen: flags.listen,
				ServiceTime: d.Small.ServiceTime, DropAfterRatio: dropAfter, DropBeforeRatio: dropBefore,
			}, log), nil
		})
	}}
}

func defineVault() command {
	flags := &standinFlags{}
	sub := newSubcommand("vault", "run a KV store stand-in")
	flags.attach(sub)
	return command{sub, func() error {
		return flags.serve("vault", func(d *plan.Deployment, log *zap.Logger) (runner, error) {
			return standin.NewVault(standin.VaultConfig{Listen: flags.listen, MaxBlocks: d.Vault.Blocks}, log), nil
		})
	}}
}

func defineWeights() command {
	flags := &standinFlags{}
	sub := newSubcommand("weights", "run a rate-limited weight store stand-in")
	flags.attach(sub)
	return command{sub, func() error {
		return flags.serve("weights", func(d *plan.Deployment, log *zap.Logger) (runner, error) {
			return standin.NewWeightStore(standin.WeightStoreConfig{
				Listen: flags.listen, LoadTime: d.Weights.LoadTime, FullSpeedLimit: d.Weights.MaxConcurrent,
			}, log), nil
		})
	}}
}

func definePlatform() command {
	flags := &standinFlags{}
	list := ""
	sub := newSubcommand("platform", "run a lagging machine list stand-in")
	flags.attach(sub)
	sub.String(&list, "m", "machines", "JSON file with the first list")
	return command{sub, func() error {
		return flags.serve("platform", func(d *plan.Deployment, log *zap.Logger) (runner, error) {
			data, err := os.ReadFile(list)
			if err != nil {
				return nil, eris.Wrap(err, "read machine list")
			}
			var machines []core.Machine
			if err := json.Unmarshal(data, &machines); err != nil {
				return nil, eris.Wrapf(err, "decode %s", list)
			}
			return standin.NewPlatform(standin.PlatformConfig{Listen: flags.listen, Lag: d.PlatformLag, Machines: machines}, log), nil
		})
	}}
}

func defineFleetPlan() command {
	deployment, data, spares := "", "", 0
	sub := newSubcommand("fleet-plan", "lay a deployment out on this machine for scripts/fleet; starts nothing")
	sub.String(&deployment, "", "deployment", "deployment file")
	sub.String(&data, "d", "data", "folder for node files, logs and data")
	sub.Int(&spares, "", "spares", "spare control replicas")
	return command{sub, func() error {
		if err := validateSettings(deployment); err != nil {
			return err
		}
		layout, err := fleet.Create(deployment, data, spares)
		if err != nil {
			return err
		}
		return layout.WriteFiles()
	}}
}

// validateSettings rejects a deployment file whose settings tree control would not accept.
func validateSettings(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	if _, problems := settings.ParseFile(data); len(problems) > 0 {
		return eris.Errorf("%s: %s", path, problems[0])
	}
	return nil
}

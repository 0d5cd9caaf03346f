// Command kitelab runs test tools for kitetiller: stand-ins for external systems, load generation, simulation, soak
// tests, benchmarks and scale measurements.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand: the parser of its flags and the function that runs it.
type command struct {
	parser *flaggy.Subcommand
	run    func() error
}

// errViolation makes the program exit with status 1 without an error message: the violations were printed already.
var errViolation = eris.New("")

func main() {
	parser := flaggy.NewParser("kitelab")
	parser.Description = "stand-ins, load, simulation, bench and scale runs for kitetiller"
	parser.DisableShowVersionWithVersion()
	var commands []command
	for _, define := range []func() command{
		defineEngine, defineBackend, defineVault, defineWeights, definePlatform, defineFleetPlan, defineLoad, defineSim, defineBench, defineScale, defineAccount, defineSoak, defineMix, defineUnsynced,
	} {
		commands = append(commands, define())
	}
	for _, candidate := range commands {
		parser.AttachSubcommand(candidate.parser, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "kitelab:", err)
		os.Exit(exitUsage)
	}
	for _, candidate := range commands {
		if candidate.parser.Used {
			finish(candidate.run())
		}
	}
	parser.ShowHelpWithMessage("a subcommand is needed")
	os.Exit(exitUsage)
}

func finish(err error) {
	if err == nil {
		os.Exit(0)
	}
	if !eris.Is(err, errViolation) {
		fmt.Fprintln(os.Stderr, "kitelab:", eris.ToString(err, false))
	}
	os.Exit(exitFailure)
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

package main

import (
	"fmt"

	"kitetiller/internal/lab/bench"
	"kitetiller/internal/lab/scale"
	"kitetiller/internal/node"
)

// scaleFlags are the arguments of "kitelab scale".
type scaleFlags struct {
	quick bool
	out   string
}

func defineScale() command {
	flags := &scaleFlags{out: "scale-out"}
	sub := newSubcommand("scale", "measure what each role costs against nodes, engines, blocks, tenants, changes and requests")
	sub.Bool(&flags.quick, "q", "quick", "shorter phases, less than a minute in all")
	sub.String(&flags.out, "o", "out", "folder for scale.json, the table and the plots")
	return command{sub, flags.run}
}

func (f *scaleFlags) run() error {
	ctx, stop := node.StopSignal()
	defer stop()
	report, err := scale.Run(ctx, f.quick)
	if err != nil {
		return err
	}
	text := report.Markdown()
	fmt.Print(text)
	if err := bench.WriteJSON(f.out, "scale.json", report); err != nil {
		return err
	}
	if err := bench.WriteText(f.out, "scale.md", text); err != nil {
		return err
	}
	return report.Plot(f.out)
}

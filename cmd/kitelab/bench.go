package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/bench"
	"kitetiller/internal/lab/plan"
	"kitetiller/internal/settings"
)

// benchFlags are the arguments of "kitelab bench".
type benchFlags struct {
	deployment string
	seeds      int
	firstSeed  uint64
	out        string
	length     time.Duration
	scale      float64
	calm       bool
	overload   bool
	only       string
	hashDepth  int
	grain      int
	day        time.Duration
	crashZone  bool
}

func defineBench() command {
	flags := &benchFlags{deployment: "kigali", seeds: 5, firstSeed: 1, out: "bench-out", length: 60 * time.Second, scale: 1}
	sub := newSubcommand("bench", "compare routing policies in virtual time against emulated engines")
	sub.String(&flags.deployment, "d", "deployment", "kigali, nilewash, or a deployment file")
	sub.Int(&flags.seeds, "n", "seeds", "number of seeds")
	sub.UInt64(&flags.firstSeed, "s", "first-seed", "first seed")
	sub.String(&flags.out, "o", "out", "folder for results.json, the table and the plots")
	sub.Duration(&flags.length, "", "length", "virtual time for which requests are sent")
	sub.Float64(&flags.scale, "", "scale", "factor on the deployment's request rate")
	sub.Bool(&flags.calm, "", "calm", "no crash and no shift of hot prefixes")
	sub.Bool(&flags.overload, "", "overload", "also run rising rates, up to twice the saturating one")
	sub.String(&flags.only, "", "only", "run only this policy")
	sub.Int(&flags.hashDepth, "", "hash-depth", "blocks that the hash policies place by; 0 chooses")
	sub.Bool(&flags.crashZone, "", "crash-zone", "all engines of a zone crash instead of one")
	sub.Duration(&flags.day, "", "day", "demand follows the sun from zone to zone, with days of this length")
	sub.Int(&flags.grain, "", "grain", "tokens of a cache block; 0 is 64")
	return command{sub, flags.run}
}

// deploymentFile returns the path of a deployment file, given as a path or as the name of a file in configs.
func deploymentFile(name string) string {
	if filepath.Ext(name) != "" {
		return name
	}
	return filepath.Join("configs", name+".yaml")
}

func loadDeployment(name string) (*plan.Deployment, settings.Tree, error) {
	path := deploymentFile(name)
	deployment, err := plan.Load(path)
	if err != nil {
		return nil, settings.Tree{}, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, settings.Tree{}, eris.Wrapf(err, "read %s", path)
	}
	tree, problems := settings.ParseFile(data)
	if len(problems) > 0 {
		return nil, tree, eris.Errorf("%s: %s", path, problems[0])
	}
	return deployment, tree, nil
}

func (f *benchFlags) run() error {
	deployment, tree, err := loadDeployment(f.deployment)
	if err != nil {
		return err
	}
	options := bench.Options{Deployment: deployment, Tree: tree, Length: f.length, Scale: f.scale, InjectFaults: !f.calm, HashDepth: f.hashDepth, BlockTokens: f.grain, DayLength: f.day, CrashZone: f.crashZone}
	policies := bench.Policies()
	if f.only != "" {
		policies = []bench.Policy{bench.Policy(f.only)}
	}
	started := time.Now()
	rows := bench.Compare(options, policies, f.firstSeed, f.seeds)
	text := bench.Markdown(fmt.Sprintf("%s, %d seeds, %v", deployment.Name, f.seeds, f.length), bench.Summarise(rows))
	fmt.Print(text)
	fmt.Fprintf(os.Stderr, "%v\n", time.Since(started).Round(time.Millisecond))
	if err := bench.WriteJSON(f.out, "results.json", rows); err != nil {
		return err
	}
	if err := bench.WriteText(f.out, "results.md", text); err != nil {
		return err
	}
	if err := bench.Plot(f.out, deployment.Name, rows, options); err != nil {
		return err
	}
	if f.overload {
		return f.runOverload(options)
	}
	return nil
}

// overloadScales are factors on the deployment's request rate. The engines saturate at a factor near 1.
var overloadScales = []float64{0.5, 1, 1.5, 2, 3}

// runOverload compares the hash policies and the router at increasing request rates, without crashes or shifts of hot
// prefixes.
func (f *benchFlags) runOverload(options bench.Options) error {
	options.InjectFaults = false
	var all []bench.Row
	var text strings.Builder
	for _, scale := range overloadScales {
		options.Scale = scale
		rows := bench.Compare(options, []bench.Policy{bench.PrefixHash, bench.BoundedPrefixHash, bench.Kitetiller}, f.firstSeed, f.seeds)
		for i := range rows {
			rows[i].Scale = scale
		}
		all = append(all, rows...)
		title := fmt.Sprintf("%s at %.1f times its rate, %d seeds", options.Deployment.Name, scale, f.seeds)
		text.WriteString(bench.Markdown(title, bench.Summarise(rows)))
	}
	fmt.Print(text.String())
	if err := bench.WriteJSON(f.out, "overload.json", all); err != nil {
		return err
	}
	if err := bench.WriteText(f.out, "overload.md", text.String()); err != nil {
		return err
	}
	return f.runGoodput()
}

// runGoodput measures how early rejection affects goodput, on emulated engines.
func (f *benchFlags) runGoodput() error {
	points := bench.GoodputCurve(f.firstSeed)
	text := bench.GoodputMarkdown(points)
	fmt.Print(text)
	if err := bench.WriteJSON(f.out, "goodput.json", points); err != nil {
		return err
	}
	if err := bench.WriteText(f.out, "goodput.md", text); err != nil {
		return err
	}
	return bench.PlotGoodput(f.out, points)
}

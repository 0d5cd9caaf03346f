package bench

import (
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 18 * vg.Centimeter
	plotHeight    = 11 * vg.Centimeter
	smoothSeconds = 3
)

// Plot writes plots of the distribution of the time to first token, the hit rate over time, and the recomputed tokens
// by cause.
func Plot(folder, deployment string, rows []Row, options Options) error {
	if err := plotDistribution(folder, deployment, rows); err != nil {
		return err
	}
	if err := plotHitRate(folder, deployment, rows, options); err != nil {
		return err
	}
	return plotCauses(folder, deployment, rows)
}

func rowsOf(rows []Row, policy Policy) []Row {
	var selected []Row
	for _, row := range rows {
		if row.Policy == policy {
			selected = append(selected, row)
		}
	}
	return selected
}

func save(p *plot.Plot, folder, name string) error {
	return eris.Wrapf(p.Save(plotWidth, plotHeight, filepath.Join(folder, name)), "draw %s", name)
}

// addLine adds a line. Its colour and dashes follow from index.
func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrapf(err, "draw %s", name)
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func plotDistribution(folder, deployment string, rows []Row) error {
	p := plot.New()
	p.Title.Text = deployment + ": time to first token"
	p.X.Label.Text, p.Y.Label.Text = "quantile, percent", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for index, policy := range Policies() {
		points := distribution(rowsOf(rows, policy))
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, index, string(policy), points); err != nil {
			return err
		}
	}
	return save(p, folder, "ttft.png")
}

// distribution returns each quantile of the time to first token, averaged over seeds.
func distribution(rows []Row) plotter.XYs {
	var points plotter.XYs
	if len(rows) == 0 {
		return nil
	}
	for quantile := 1.0; quantile < 100; quantile += 0.5 {
		total := 0.0
		for _, row := range rows {
			total += milliseconds(row.firstToken, quantile)
		}
		points = append(points, plotter.XY{X: quantile, Y: max(0.1, total/float64(len(rows)))})
	}
	return points
}

func plotHitRate(folder, deployment string, rows []Row, options Options) error {
	p := plot.New()
	p.Title.Text = deployment + ": prefix hit rate"
	if options.InjectFaults {
		p.Title.Text += ", engine crash at " + options.crashAt().String() + ", shift at " + options.shiftAt().String()
	}
	p.X.Label.Text, p.Y.Label.Text = "s", "share of prompt tokens"
	p.Legend.Left = true
	for index, policy := range Policies() {
		points := hitOverTime(rowsOf(rows, policy), int(options.Length/time.Second))
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, index, string(policy), points); err != nil {
			return err
		}
	}
	return save(p, folder, "hit-rate.png")
}

func hitOverTime(rows []Row, last int) plotter.XYs {
	var points plotter.XYs
	if len(rows) == 0 {
		return nil
	}
	for second := smoothSeconds; second < last; second++ {
		total, count := 0.0, 0
		for _, row := range rows {
			for _, rate := range row.hitSeries[second-smoothSeconds : second] {
				total += rate
				count++
			}
		}
		points = append(points, plotter.XY{X: float64(second), Y: total / float64(count)})
	}
	return points
}

func plotCauses(folder, deployment string, rows []Row) error {
	p := plot.New()
	p.Title.Text = deployment + ": prompt tokens computed again, a seed"
	p.Y.Label.Text = "tokens"
	p.Legend.Top = true
	var names []string
	var values [causeCount]plotter.Values
	for _, policy := range Policies() {
		selected := rowsOf(rows, policy)
		if len(selected) == 0 {
			continue
		}
		names = append(names, string(policy))
		for cause := range causeCount {
			total := 0.0
			for _, row := range selected {
				total += row.byCause[cause]
			}
			values[cause] = append(values[cause], total/float64(len(selected)))
		}
	}
	var previous *plotter.BarChart
	for cause, label := range []string{"held elsewhere", "evicted everywhere"} {
		bars, err := plotter.NewBarChart(values[cause], vg.Points(30))
		if err != nil {
			return eris.Wrap(err, "draw causes")
		}
		bars.Color = plotutil.Color(cause)
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(label, bars)
	}
	p.NominalX(names...)
	return save(p, folder, "recomputed.png")
}

package account

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth        = 22 * vg.Centimeter
	plotHeight       = 11 * vg.Centimeter
	maxExampleLength = 160 // characters of an example log line
)

// outcomes lists the outcomes in the order of table columns and plot lines.
var outcomes = []Outcome{Rejected, Failed, Late, AttemptFailed}

// Print writes the mean losses of the days as Markdown tables, with events grouped by intervals of the given length.
func Print(w io.Writer, days []Day, length time.Duration) {
	if causes := ByCause(days); len(causes) > 0 {
		fmt.Fprintf(w, "| worth lost to | a day | share |\n|---|---|---|\n")
		for _, r := range causes {
			fmt.Fprintf(w, "| %s | %.4f | %.1f%% |\n", r.Name, r.Value, 100*r.Share)
		}
	}
	if mechanisms := ByMechanism(days); len(mechanisms) > 0 {
		fmt.Fprintf(w, "\n| requests | a day | share | the first line that shows it |\n|---|---|---|---|\n")
		for _, r := range mechanisms {
			fmt.Fprintf(w, "| %s | %.1f | %.1f%% | `%.*s` |\n", r.Name, r.Value, 100*r.Share, maxExampleLength, strings.TrimSpace(r.Line))
		}
	}
	printRecomputes(w, days, length)
	for _, d := range days {
		if d.MalformedLines > 0 {
			fmt.Fprintf(w, "\n%d lines of %s can't be read: cut short, or of something else\n", d.MalformedLines, d.Name)
		}
	}
	intervals := ByInterval(days, length)
	if len(intervals) == 0 {
		return
	}
	fmt.Fprintf(w, "\n| from second | refused | failed | late | attempts failed |\n|---|---|---|---|---|\n")
	for _, interval := range intervals {
		fmt.Fprintf(w, "| %g |", interval.Start.Seconds())
		for _, o := range outcomes {
			fmt.Fprintf(w, " %.1f |", interval.Counts[o])
		}
		fmt.Fprintln(w)
	}
}

// printRecomputes writes the tables of recomputed shared prompt tokens.
func printRecomputes(w io.Writer, days []Day, length time.Duration) {
	causes := RecomputedTokensBy(days, func(r Recompute) string { return r.Cause })
	reported, explained := 0.0, 0.0
	for _, d := range days {
		reported += d.RecomputedTokens / float64(len(days))
	}
	if len(causes) == 0 {
		if reported > 0 {
			fmt.Fprintf(w, "\n%.0f tokens a day of shared parts were read again, by the reports; no line tells why: there are none, or of an earlier build\n", reported)
		}
		return
	}
	for _, r := range causes {
		explained += r.Value
	}
	fmt.Fprintf(w, "\n%.0f tokens a day of shared parts were expected to be read again", explained)
	if reported > 0 {
		fmt.Fprintf(w, "; %.0f were, by the reports, so that %.0f in 100 have a cause", reported, 100*min(1, explained/reported))
	}
	fmt.Fprintln(w)
	for _, table := range []struct {
		name string
		key  func(Recompute) string
	}{
		{"cause", func(r Recompute) string { return r.Cause }},
		{"route", func(r Recompute) string { return r.Route }},
		{"from second, cause", func(r Recompute) string { return fmt.Sprintf("%4g, %s", r.At.Truncate(length).Seconds(), r.Cause) }},
	} {
		fmt.Fprintf(w, "\n| %s | tokens a day | share |\n|---|---|---|\n", table.name)
		for _, r := range RecomputedTokensBy(days, table.key) {
			fmt.Fprintf(w, "| %s | %.0f | %.1f%% |\n", r.Name, r.Value, 100*r.Share)
		}
	}
}

// PrintComparisons writes a table of the worth of each day before and after a change.
func PrintComparisons(w io.Writer, comparisons []DayComparison) {
	fmt.Fprintf(w, "\n| day | before | after | difference |\n|---|---|---|---|\n")
	sum := 0.0
	for _, c := range comparisons {
		sum += c.After - c.Before
		fmt.Fprintf(w, "| %s | %.4f | %.4f | %+.4f |\n", c.Name, c.Before, c.After, c.After-c.Before)
	}
	if len(comparisons) > 0 {
		fmt.Fprintf(w, "| mean of %d | | | %+.4f |\n", len(comparisons), sum/float64(len(comparisons)))
	}
}

// Plot draws the events of each outcome over the day. The extension of the file selects the format.
func Plot(file string, days []Day, length time.Duration) error {
	p := plot.New()
	p.Title.Text = "requests lost, a day"
	p.X.Label.Text, p.Y.Label.Text = "second", "requests in "+length.String()
	p.Legend.Top = true
	intervals := ByInterval(days, length)
	for i, o := range outcomes {
		var points plotter.XYs
		for _, interval := range intervals {
			points = append(points, plotter.XY{X: interval.Start.Seconds(), Y: interval.Counts[o]})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrapf(err, "draw %s", o)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(o), line)
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, file), "draw %s", file)
}

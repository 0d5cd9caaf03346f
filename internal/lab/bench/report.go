package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// Compare runs every policy with every seed, in parallel, and returns the rows ordered by policy, then seed.
func Compare(options Options, policies []Policy, firstSeed uint64, seeds int) []Row {
	rows := make([]Row, len(policies)*seeds)
	workers := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i := range rows {
		workers <- struct{}{}
		wg.Go(func() {
			rows[i] = Run(options, policies[i/seeds], firstSeed+uint64(i%seeds))
			<-workers
		})
	}
	wg.Wait()
	return rows
}

// Summary holds a policy's results over all seeds.
type Summary struct {
	Policy Policy
	Mean   Row
	Spread map[string]float64 // standard deviation over seeds, by column name
}

// column is a column of the result table.
type column struct {
	name  string
	value func(*Row) *float64
}

var columns = []column{
	{"hit rate", func(r *Row) *float64 { return &r.PrefixHitRate }},
	{"p50 ms", func(r *Row) *float64 { return &r.TTFTP50 }},
	{"p99 ms", func(r *Row) *float64 { return &r.TTFTP99 }},
	{"interactive p99 ms", func(r *Row) *float64 { return &r.InteractiveTTFTP99 }},
	{"recomputed", func(r *Row) *float64 { return &r.RecomputedRatio }},
	{"held elsewhere", func(r *Row) *float64 { return &r.RecomputedCachedElsewhere }},
	{"copied", func(r *Row) *float64 { return &r.ImportedRatio }},
	{"refused", func(r *Row) *float64 { return &r.RejectedRatio }},
	{"goodput/s", func(r *Row) *float64 { return &r.Goodput }},
	{"crash recovery s", func(r *Row) *float64 { return &r.CrashRecovery }},
	{"shift recovery s", func(r *Row) *float64 { return &r.ShiftRecovery }},
}

// Summarise returns the mean and standard deviation of each policy.
func Summarise(rows []Row) []Summary {
	var summaries []Summary
	for _, policy := range Policies() {
		var selected []Row
		for _, row := range rows {
			if row.Policy == policy {
				selected = append(selected, row)
			}
		}
		if len(selected) > 0 {
			summaries = append(summaries, summarise(policy, selected))
		}
	}
	return summaries
}

func summarise(policy Policy, rows []Row) Summary {
	summary := Summary{Policy: policy, Spread: map[string]float64{}}
	for _, c := range columns {
		total, squares := 0.0, 0.0
		for i := range rows {
			total += *c.value(&rows[i])
		}
		mean := total / float64(len(rows))
		for i := range rows {
			squares += math.Pow(*c.value(&rows[i])-mean, 2)
		}
		*c.value(&summary.Mean) = mean
		summary.Spread[c.name] = math.Sqrt(squares / float64(len(rows)))
	}
	return summary
}

// Markdown returns a table of means and standard deviations.
func Markdown(title string, summaries []Summary) string {
	var text strings.Builder
	fmt.Fprintf(&text, "## %s\n\n| policy |", title)
	for _, c := range columns {
		fmt.Fprintf(&text, " %s |", c.name)
	}
	fmt.Fprintf(&text, "\n|---|%s\n", strings.Repeat("---:|", len(columns)))
	for _, summary := range summaries {
		fmt.Fprintf(&text, "| %s |", summary.Policy)
		for _, c := range columns {
			fmt.Fprintf(&text, " %s ± %s |", formatValue(*c.value(&summary.Mean)), formatValue(summary.Spread[c.name]))
		}
		text.WriteString("\n")
	}
	return text.String()
}

// formatValue formats a number with about three significant digits.
func formatValue(value float64) string {
	switch size := math.Abs(value); {
	case size >= 100:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	case size >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.4f", value)
}

// WriteJSON writes a value as JSON to a file in a folder.
func WriteJSON(folder, name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return writeFile(folder, name, data)
}

// WriteText writes text to a file in a folder.
func WriteText(folder, name, text string) error { return writeFile(folder, name, []byte(text)) }

func writeFile(folder, name string, data []byte) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrapf(err, "create folder %s", folder)
	}
	return eris.Wrapf(os.WriteFile(filepath.Join(folder, name), data, 0o644), "write %s", name)
}

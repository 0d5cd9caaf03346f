// Package account breaks down what a simulated day of traffic lost by cause, time and mechanism. Its input is the
// report of an external evaluator, the processes' log lines, or both.
package account

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Day holds the losses of one day of traffic.
type Day struct {
	Name   string
	Worth  float64 // fraction of the attainable worth that was earned, minus penalties; 0 without a report
	Losses []Loss
	LogSummary
	// RecomputedTokens is the reported number of shared prompt tokens that were prefilled again; 0 without a report.
	RecomputedTokens float64
}

// Recompute is the shared prompt tokens that an engine was expected to prefill for a request, as the log line of its
// response states it.
type Recompute struct {
	At     time.Duration // relative to the same start as Event.At
	Route  string
	Cause  string
	Tokens int
}

// CauseFirstUse marks shared parts that were prefilled for the first time; they don't count as recomputed.
const CauseFirstUse = "first"

// RecomputedTokensBy returns the mean number of shared prompt tokens per day that were expected to be recomputed,
// grouped by key.
func RecomputedTokensBy(days []Day, key func(Recompute) string) []Row {
	sums := map[string]float64{}
	for _, d := range days {
		for _, r := range d.Recomputes {
			if r.Cause != CauseFirstUse {
				sums[key(r)] += float64(r.Tokens) / float64(len(days))
			}
		}
	}
	return rows(sums, nil)
}

// Loss is the worth lost to one cause, as a fraction of the attainable worth.
type Loss struct {
	Cause string
	Worth float64
}

// Event is a log line of a request that was rejected, failed or late, or of an attempt that failed.
type Event struct {
	At        time.Duration // since the first log line, or the time that precedes the line
	Outcome   Outcome
	Mechanism string // reason or cause, without addresses and instance names
	Line      string // unmodified log line
}

// Outcome is the result of a request or an attempt.
type Outcome string

// Outcomes of requests and attempts.
const (
	Rejected      Outcome = "refused"        // by the gateway
	Failed        Outcome = "failed"         // the back end returned a server error
	Late          Outcome = "late"           // served after its deadline
	AttemptFailed Outcome = "attempt failed" // the request itself may have been served by another attempt
)

// Row is one row of a table.
type Row struct {
	Name  string
	Value float64
	Share float64 // fraction of the sum of all rows
	Line  string  // example log line, or ""
}

// rows converts sums by name to rows, in descending order of value.
func rows(sums map[string]float64, examples map[string]string) []Row {
	total := 0.0
	for _, value := range sums {
		total += value
	}
	var result []Row
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		row := Row{Name: name, Value: sums[name], Line: examples[name]}
		if total > 0 {
			row.Share = row.Value / total
		}
		result = append(result, row)
	}
	slices.SortStableFunc(result, func(a, b Row) int { return cmp.Compare(b.Value, a.Value) })
	return result
}

// ByCause returns the mean worth per day lost to each cause.
func ByCause(days []Day) []Row {
	sums := map[string]float64{}
	for _, d := range days {
		for _, l := range d.Losses {
			sums[l.Cause] += l.Worth / float64(len(days))
		}
	}
	return rows(sums, nil)
}

// ByMechanism returns the mean number of events per day for each outcome and mechanism, with the first log line as an
// example.
func ByMechanism(days []Day) []Row {
	sums, examples := map[string]float64{}, map[string]string{}
	for _, d := range days {
		for _, e := range d.Events {
			name := string(e.Outcome) + ": " + e.Mechanism
			sums[name] += 1 / float64(len(days))
			if examples[name] == "" {
				examples[name] = e.Line
			}
		}
	}
	return rows(sums, examples)
}

// Interval counts the events of one stretch of the day.
type Interval struct {
	Start  time.Duration
	Counts map[Outcome]float64 // mean per day
}

// ByInterval divides the day into intervals of the given length and returns those with events, in order of time.
func ByInterval(days []Day, length time.Duration) []Interval {
	byStart := map[time.Duration]map[Outcome]float64{}
	for _, d := range days {
		for _, e := range d.Events {
			start := e.At.Truncate(length)
			if byStart[start] == nil {
				byStart[start] = map[Outcome]float64{}
			}
			byStart[start][e.Outcome] += 1 / float64(len(days))
		}
	}
	var intervals []Interval
	for _, start := range slices.Sorted(maps.Keys(byStart)) {
		intervals = append(intervals, Interval{Start: start, Counts: byStart[start]})
	}
	return intervals
}

// DayComparison is the worth of the same day under two versions of the code.
type DayComparison struct {
	Name          string
	Before, After float64
}

// CompareDays pairs the days that both sets contain, by name.
func CompareDays(before, after []Day) []DayComparison {
	var comparisons []DayComparison
	for _, b := range before {
		i := slices.IndexFunc(after, func(a Day) bool { return a.Name == b.Name })
		if i >= 0 {
			comparisons = append(comparisons, DayComparison{Name: b.Name, Before: b.Worth, After: after[i].Worth})
		}
	}
	slices.SortFunc(comparisons, func(a, b DayComparison) int { return strings.Compare(a.Name, b.Name) })
	return comparisons
}

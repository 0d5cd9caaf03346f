// Package account tells what a day of service lost, by cause, by moment and by mechanism: from a report that was made
// outside, from the product's own log lines, or from both.
package account

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Day is what one played or lived day lost.
type Day struct {
	Name   string
	Worth  float64 // what was earned of what was owed, less prices; of the reports only
	Losses []Loss
	LogSummary
	// RecomputedTokens is how many tokens of shared parts were read again, by the report; 0 without one.
	RecomputedTokens float64
}

// Recompute tells of shared parts that a request's engine was expected to read, by the line of its answer.
type Recompute struct {
	At     time.Duration // as Event tells it
	Route  string
	Cause  string
	Tokens int
}

// CauseFirstUse is the cause of parts that nobody had read before: not again.
const CauseFirstUse = "first"

// RecomputedTokensBy returns the tokens a day of shared parts that were expected to be read again, by what a key makes of each.
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

// Loss is worth that was lost to a cause, as a part of what was owed.
type Loss struct {
	Cause string
	Worth float64
}

// Event is a request that was not served, or served late, or an attempt that failed, as a log line tells it.
type Event struct {
	At        time.Duration // since the day's first line, or as the line says
	Outcome   Outcome
	Mechanism string // reason or cause, without names of this one request
	Line      string // as it stands in the log
}

// Outcome tells what became of a request.
type Outcome string

// Outcomes of requests and attempts.
const (
	Rejected      Outcome = "refused"        // the gateway answered itself
	Failed        Outcome = "failed"         // the back end's answer was a failure
	Late          Outcome = "late"           // served, not within the objective
	AttemptFailed Outcome = "attempt failed" // an attempt; the request may have been served by another one
)

// Row is a line of a table.
type Row struct {
	Name  string
	Value float64
	Share float64 // of the sum of all rows
	Line  string  // an example, or ""
}

// rows returns sums by name as rows, the greatest first.
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

// ByCause returns the worth lost to each cause, the mean of the days.
func ByCause(days []Day) []Row {
	sums := map[string]float64{}
	for _, d := range days {
		for _, l := range d.Losses {
			sums[l.Cause] += l.Worth / float64(len(days))
		}
	}
	return rows(sums, nil)
}

// ByMechanism returns how many requests a day met each outcome by each mechanism, with the first line that shows it.
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

// Interval is a span of a day with the requests that were lost in it.
type Interval struct {
	Start  time.Duration
	Counts map[Outcome]float64 // a day
}

// ByInterval returns the spans of a length, rising, without those where nothing was lost.
func ByInterval(days []Day, length time.Duration) []Interval {
	byStart := map[time.Duration]map[Outcome]float64{}
	for _, d := range days {
		for _, e := range d.Events {
			from := e.At.Truncate(length)
			if byStart[from] == nil {
				byStart[from] = map[Outcome]float64{}
			}
			byStart[from][e.Outcome] += 1 / float64(len(days))
		}
	}
	var intervals []Interval
	for _, from := range slices.Sorted(maps.Keys(byStart)) {
		intervals = append(intervals, Interval{Start: from, Counts: byStart[from]})
	}
	return intervals
}

// DayComparison is a day that was played twice, by two states of the code.
type DayComparison struct {
	Name          string
	Before, After float64 // worth
}

// CompareDays returns the days of the same name in two sets.
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

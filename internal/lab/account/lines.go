package account

import (
	"bufio"
	"encoding/json"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/events"
)

// maxLineBytes limits the length of a log line; a longer one is an error.
const maxLineBytes = 1 << 20

// logLine holds the fields of a log line that are evaluated.
type logLine struct {
	Time             time.Time `json:"time"`
	Msg              string    `json:"msg"`
	Reason           string    `json:"reason"`
	Cause            string    `json:"cause"`
	Result           string    `json:"result"`
	Status           int       `json:"status"`
	Late             bool      `json:"late"`
	Request          string    `json:"request"`
	Route            string    `json:"route"`
	RecomputedTokens int       `json:"reread"`
	RecomputeCause   string    `json:"reread_why"`
}

// perRequestNames matches addresses and instance names, which would keep equal causes from being grouped.
var perRequestNames = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+|\bi-[0-9a-f]+\b`)

// LogSummary is what was extracted from a log.
type LogSummary struct {
	Events         []Event
	Recomputes     []Recompute
	MalformedLines int // lines with a "{" that aren't valid JSON objects
}

// ReadLines reads a day's log. Each line is a JSON object as the processes write it. In a log collected from several
// processes, the time in seconds and the process name precede the object. Lines without an object are skipped.
func ReadLines(r io.Reader) (summary LogSummary, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var first time.Time
	for scanner.Scan() {
		prefix, object, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var line logLine
		if json.Unmarshal([]byte("{"+object), &line) != nil {
			summary.MalformedLines++
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		at := line.Time.Sub(first)
		if seconds, ok := leadingSeconds(prefix); ok {
			at = seconds
		}
		if line.RecomputedTokens > 0 && line.Msg == events.RequestAnswered {
			summary.Recomputes = append(summary.Recomputes, Recompute{At: at, Route: line.Route, Cause: line.RecomputeCause, Tokens: line.RecomputedTokens})
		}
		if event, lost := line.event(); lost {
			event.At, event.Line = at, scanner.Text()
			summary.Events = append(summary.Events, event)
		}
	}
	return summary, eris.Wrap(scanner.Err(), "read log")
}

// leadingSeconds parses the time that precedes the JSON object in a collected log.
func leadingSeconds(prefix string) (time.Duration, bool) {
	fields := strings.Fields(prefix)
	if len(fields) == 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(fields[0], 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

// event returns the loss that the line records, if any.
func (l *logLine) event() (Event, bool) {
	switch {
	case l.Msg == events.RequestRejected:
		return Event{Outcome: Rejected, Mechanism: l.Reason}, true
	case l.Msg == events.RequestAnswered && l.Status >= 500:
		return Event{Outcome: Failed, Mechanism: "status " + strconv.Itoa(l.Status)}, true
	case l.Msg == events.RequestAnswered && l.Late:
		return Event{Outcome: Late, Mechanism: "answered after the objective"}, true
	case l.Msg == events.AttemptFailed:
		return Event{Outcome: AttemptFailed, Mechanism: l.Result + ", " + perRequestNames.ReplaceAllString(l.Cause, "*")}, true
	}
	return Event{}, false
}

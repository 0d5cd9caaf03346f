package operator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/events"
)

const (
	// precedingWindow is how far before the first line about a request events of the processes and back ends involved
	// are included.
	precedingWindow = 10 * time.Second
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
)

// logLine is a parsed line of a process's log.
type logLine struct {
	Time     time.Time
	Node     string
	Event    string
	Request  string
	Instance string
	fields   map[string]any
}

// processEvents are events of a process as a whole.
var processEvents = []string{
	events.GatewayStarted, events.GatewayStopping, events.GatewayStopped, events.ControlDisconnected, events.ControlReconnected,
	events.LogLinesDropped,
}

// controlGroupEvents are events of the control group, which affect all processes.
var controlGroupEvents = []string{events.LeadershipWon, events.LeadershipLost, events.ReplicaStarted}

// columnFields are the fields that format prints without their names, or not at all.
var columnFields = []string{"level", "time", "msg", "node", events.FieldRequest, events.FieldInstance}

// ExplainLogs prints what the logs of several processes contain about a request or an instance of a back end, in order
// of time. Each line of a file holds a JSON object. Text before its first brace is ignored; other lines are skipped.
func ExplainLogs(out io.Writer, files []string, id string) error {
	var lines []logLine
	for _, file := range files {
		read, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	timeline := selectTimeline(lines, id)
	if len(timeline) == 0 {
		return eris.Errorf("no line in %s mentions %q", strings.Join(files, ", "), id)
	}
	for _, line := range timeline {
		fmt.Fprintln(out, line.format())
	}
	return nil
}

func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrapf(err, "open log %s", path)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, found := parseLine(scanner.Text()); found {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "read log %s", path)
}

func parseLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{fields: map[string]any{}}
	if json.Unmarshal([]byte(text[start:]), &line.fields) != nil {
		return logLine{}, false
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.stringField("time"))
	if err != nil {
		return logLine{}, false
	}
	line.Time, line.Node, line.Event = timestamp, line.stringField("node"), line.stringField("msg")
	line.Request, line.Instance = line.stringField(events.FieldRequest), line.stringField(events.FieldInstance)
	return line, true
}

// stringField returns the value of a field, or "" if it is missing or not a string.
func (l logLine) stringField(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// format returns the line as text: time, process, event, request, instance, then the other fields sorted by name.
func (l logLine) format() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s  %s  %s", l.Time.UTC().Format("15:04:05.000"), l.Node, l.Event)
	for _, subject := range []string{l.Request, l.Instance} {
		if subject != "" {
			out.WriteString("  " + subject)
		}
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(columnFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		value, _ := json.Marshal(l.fields[name]) // cannot fail: the value was decoded from JSON
		fmt.Fprintf(&out, "  %s=%s", name, value)
	}
	return out.String()
}

// selectTimeline returns the lines with the ID of a request or instance and, from precedingWindow before the first of
// them to the last, the events of the control group and of the instances and processes involved, sorted by time.
func selectTimeline(lines []logLine, id string) []logLine {
	var matching []logLine
	for _, line := range lines {
		if line.Request == id || line.Instance == id {
			matching = append(matching, line)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	timeline := matching
	first, last := matching[0].Time, matching[0].Time
	instances, processes := map[string]bool{}, map[string]bool{}
	for _, line := range matching {
		instances[line.Instance], processes[line.Node] = true, true
		if line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	for _, line := range lines {
		outside := line.Time.Before(first.Add(-precedingWindow)) || line.Time.After(last)
		if outside || line.Request != "" || line.Instance == id {
			continue
		}
		if slices.Contains(controlGroupEvents, line.Event) || (line.Instance != "" && instances[line.Instance]) || (processes[line.Node] && slices.Contains(processEvents, line.Event)) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return timeline
}

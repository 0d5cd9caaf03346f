package account

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// sampleLog is a log collected from two processes, with a truncated line and a line without an object.
const sampleLog = `  -0.5000 g1 {"level":"info","time":"2026-01-01T00:00:00Z","msg":"gateway started"}
   1.2500 g1 {"level":"info","time":"2026-01-01T00:00:01.75Z","msg":"request refused","request":"a","status":503,"reason":"no-backend"}
   1.9000 g2 {"level":"info","time":"2026-01-01T00:00:02.4Z","msg":"attempt failed","request":"b","result":"unreached","cause":"dial tcp 10.1.0.2:80: i/o timeout"}
   3.0000 g2 {"level":"info","time":"2026-01-01T00:00:03.5Z","msg":"attempt failed","request":"c","result":"unreached","cause":"dial tcp 10.1.0.9:81: i/o timeout"}
   3.1000 g2 {"level":"info","time":"2026-01-01T00:00:03.6Z","msg":"request answered","request":"c","status":200,"late":true}
   3.2000 g2 {"level":"info","time":"2026-01-01T00:00:03.7Z","msg":"request answered","request":"d","status":500}
   3.3000 g2 {"level":"info","time":"2026-01-01T00:00:03.8Z","msg":"request answered","request":"e","status":200}
   3.3500 g2 {"level":"info","time":"2026-01-01T00:00:03.85Z","msg":"request answered","request":"f","status":200,"route":"long","reread":3000,"reread_why":"lost"}
   3.3600 g2 {"level":"info","time":"2026-01-01T00:00:03.86Z","msg":"request answered","request":"g","status":200,"route":"long","reread":1000,"reread_why":"dearer"}
   3.3700 g2 {"level":"info","time":"2026-01-01T00:00:03.87Z","msg":"request answered","request":"h","status":200,"route":"long","reread":5000,"reread_why":"first"}
   3.4000 g2 {"level":"info","time":"cut of
no object at all
`

// TestReadLinesExtractsLossesAndRecomputes checks that requests served in time are left out, that addresses are removed
// from causes and that malformed lines are counted.
func TestReadLinesExtractsLossesAndRecomputes(t *testing.T) {
	summary, err := ReadLines(strings.NewReader(sampleLog))
	if err != nil || summary.MalformedLines != 1 {
		t.Fatalf("got %d malformed lines, want 1; error %v", summary.MalformedLines, err)
	}
	days := []Day{{Name: "d", Worth: 0.5, LogSummary: summary, RecomputedTokens: 8000, Losses: []Loss{{"part a", 0.2}, {"price of b", 0.3}}}}
	var out bytes.Buffer
	Print(&out, days, 2*time.Second)
	PrintComparisons(&out, CompareDays([]Day{{Name: "d", Worth: 0.25}, {Name: "gone", Worth: 1}}, days))
	goldie.New(t).Assert(t, "tables", out.Bytes())
}

// TestTimesOfSingleProcessLogAreRelativeToFirstLine covers logs whose lines have no preceding time.
func TestTimesOfSingleProcessLogAreRelativeToFirstLine(t *testing.T) {
	singleProcessLog := ""
	for line := range strings.SplitSeq(sampleLog, "\n") {
		if at := strings.Index(line, "{"); at >= 0 {
			singleProcessLog += line[at:] + "\n"
		}
	}
	summary, err := ReadLines(strings.NewReader(singleProcessLog))
	if events := summary.Events; err != nil || len(events) == 0 || events[0].At != 1750*time.Millisecond {
		t.Fatalf("events %+v, error %v", summary.Events, err)
	}
}

// TestPlotWritesFile includes a day without events.
func TestPlotWritesFile(t *testing.T) {
	summary, _ := ReadLines(strings.NewReader(sampleLog))
	for name, days := range map[string][]Day{"some.svg": {{LogSummary: summary}}, "none.svg": {{}}} {
		file := filepath.Join(t.TempDir(), name)
		if err := Plot(file, days, time.Second); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Fatalf("%s: %v", name, err)
		}
	}
}

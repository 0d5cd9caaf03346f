package operator

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestExplainLogsMatchesGoldenFiles walks from a request's id to its cause by the logs alone: cut off by an engine that died; refused while its
// gateway had lost control; refused although engines were free, since their weights were being replaced. The lines are of
// played days, shortened.
func TestExplainLogsMatchesGoldenFiles(t *testing.T) {
	logs, err := filepath.Glob("testdata/logs/*.log")
	if err != nil || len(logs) == 0 {
		t.Fatalf("%v: no logs", err)
	}
	for name, id := range map[string]string{
		"story-cut": "af794e4eaf4f0d1b", "story-untrusted": "43df76cf59848489", "story-loading": "e8969d03acfe35a1", "story-instance": "i-6d7e051a79",
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := ExplainLogs(&out, logs, id); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

func TestExplainLogsReportsUnknownIDAndMissingFile(t *testing.T) {
	var out bytes.Buffer
	if err := ExplainLogs(&out, []string{"testdata/logs/cut-day.log"}, "nowhere"); err == nil || out.Len() > 0 {
		t.Fatalf("%v, %q", err, out.String())
	}
	if err := ExplainLogs(&out, []string{filepath.Join(t.TempDir(), "missing")}, "x"); err == nil || !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("missing file: %v", err)
	}
}

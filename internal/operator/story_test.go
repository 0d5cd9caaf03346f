package operator

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestExplainLogsMatchesGoldenFiles: the logs alone show why a request failed: its engine crashed; its gateway had no
// contact to control; the weights of idle engines were being replaced.
func TestExplainLogsMatchesGoldenFiles(t *testing.T) {
	logs, err := filepath.Glob("testdata/logs/*.log")
	if err != nil || len(logs) == 0 {
		t.Fatalf("%v: no logs found", err)
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
		t.Fatalf("unknown ID: error %v, output %q; want an error and no output", err, out.String())
	}
	if err := ExplainLogs(&out, []string{filepath.Join(t.TempDir(), "missing")}, "x"); err == nil || !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("missing file: error %v, want fs.ErrNotExist", err)
	}
}

package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestStories walks from a request's id to its cause by the logs alone: cut off by an engine that died; refused while its
// gateway had lost control; refused although engines were free, since their weights were being replaced. The lines are of
// played days, shortened.
func TestStories(t *testing.T) {
	logs, err := filepath.Glob("testdata/logs/*.log")
	if err != nil || len(logs) == 0 {
		t.Fatalf("%v: no logs", err)
	}
	for name, request := range map[string]string{
		"story-cut": "1d0c5a", "story-untrusted": "77ab01", "story-loading": "c3d9e2", "story-instance": "i-47",
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := ExplainLogs(&out, logs, request); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

func TestUnknownRequestIsSaid(t *testing.T) {
	var out bytes.Buffer
	if err := ExplainLogs(&out, []string{"testdata/logs/gateway-1.log"}, "nowhere"); err == nil || out.Len() > 0 {
		t.Fatalf("%v, %q", err, out.String())
	}
	if err := ExplainLogs(&out, []string{filepath.Join(t.TempDir(), "missing")}, "x"); err == nil || !os.IsNotExist(unwrap(err)) {
		t.Fatalf("missing file: %v", err)
	}
}

package mechanism

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deploymentNames matches names of deployments and of their services, routes and kinds of requests.
var deploymentNames = regexp.MustCompile(`(?i)ayni|\blima\b|kigali|nilewash|alumni|linen|donor|grad-portal|prompt-vault|prompt-keep|llm-pool|` +
	`dossier|quick-query|transcript|reunion|manifest|housekeeping|stop-confirm|bag-count|pledge|thanks-draft|receipt`)

// TestSourcesNameNoDeployment guards against code that is specific to one deployment. The lab folder is exempt: it
// simulates example deployments.
func TestSourcesNameNoDeployment(t *testing.T) {
	root := filepath.Join("..", "..")
	read := 0
	for _, folder := range []string{"internal", "platform", filepath.Join("cmd", "kitetiller")} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && entry.Name() == "lab":
				return filepath.SkipDir
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			read++
			for number, line := range strings.Split(string(source), "\n") {
				if found := deploymentNames.FindString(line); found != "" {
					t.Errorf("%s:%d contains %q: %s", path, number+1, found, strings.TrimSpace(line))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if read < 100 {
		t.Fatalf("read only %d source files", read)
	}
	if !deploymentNames.MatchString(`case "pledge-check":`) {
		t.Fatal("deploymentNames does not match a known deployment name")
	}
}

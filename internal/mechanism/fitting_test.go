package mechanism

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deploymentNames are names of the users' deployments, services, routes and kinds of requests. Wire names of the platform are not
// among them.
var deploymentNames = regexp.MustCompile(`(?i)ayni|\blima\b|kigali|nilewash|alumni|linen|donor|grad-portal|prompt-vault|prompt-keep|llm-pool|` +
	`dossier|quick-query|transcript|reunion|manifest|housekeeping|stop-confirm|bag-count|pledge|thanks-draft|receipt`)

// TestSourcesNameNoDeployment: no source of the product names a user's deployment, service, route or kind of request. The
// laboratory may: it plays deployments that the project wrote itself.
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
					t.Errorf("%s:%d names %q: %s", path, number+1, found, strings.TrimSpace(line))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if read < 100 {
		t.Fatalf("only %d sources were read", read)
	}
	if !deploymentNames.MatchString(`case "pledge-check":`) {
		t.Fatal("the check can find nothing")
	}
}

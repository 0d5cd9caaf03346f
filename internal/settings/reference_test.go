package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	referenceFile    = "../../docs/CONFIGURATION.md"
	tableStartMarker = "<!-- settings: generated from the types -->\n"
	tableEndMarker   = "<!-- end of settings -->"
)

// settingsTable returns the Markdown table of all settings.
func settingsTable() string {
	var text strings.Builder
	text.WriteString("| setting | type | unit | default | allowed | levels | effect |\n|---|---|---|---|---|---|---|\n")
	for _, d := range Definitions() {
		allowed := strings.ReplaceAll(d.Range, "|", "or")
		if allowed == "" {
			allowed = "any"
		}
		defaultText := d.Default
		if defaultText == "" {
			defaultText = "(empty)"
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s | %s | %s |\n", d.Name, d.Type, d.Unit, defaultText, allowed, strings.Join(d.Levels, ", "), d.Help)
	}
	return text.String()
}

// TestConfigurationPageMatchesDefinitions compares the table in docs/CONFIGURATION.md with the field tags of Values.
// Run it with UPDATE_DOCS=1 to regenerate the table.
func TestConfigurationPageMatchesDefinitions(t *testing.T) {
	path := filepath.FromSlash(referenceFile)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), tableStartMarker)
	_, after, closed := strings.Cut(rest, tableEndMarker)
	if !found || !closed {
		t.Fatalf("%s: no markers around the settings table", referenceFile)
	}
	want := before + tableStartMarker + settingsTable() + tableEndMarker + after
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if want != string(data) {
		t.Fatalf("%s: the settings table is outdated; run UPDATE_DOCS=1 go test ./internal/settings", referenceFile)
	}
}

package events

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestEveryEventIsDocumented checks that docs/LOGS.md has a table row for each event and for each shared field.
func TestEveryEventIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	ast.Inspect(file, func(node ast.Node) bool {
		literal, isLiteral := node.(*ast.BasicLit)
		if !isLiteral || literal.Kind != token.STRING {
			return true
		}
		name, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		found++
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("docs/LOGS.md does not list %q", name)
		}
		return true
	})
	if found < 30 {
		t.Fatalf("found only %d names", found)
	}
}

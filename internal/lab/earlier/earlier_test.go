package earlier

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// newRepository creates a repository with two commits of a program that prints its commit's label. The work tree
// doesn't build.
func newRepository(t *testing.T) (folder string) {
	t.Helper()
	folder = t.TempDir()
	git := func(arguments ...string) {
		t.Helper()
		command := exec.Command("git", append([]string{"-c", "user.name=t", "-c", "user.email=t@example.org"}, arguments...)...)
		command.Dir = folder
		if output, err := command.CombinedOutput(); err != nil {
			t.Fatalf("git %v: %v\n%s", arguments, err, output)
		}
	}
	write := func(name, text string) {
		t.Helper()
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	git("init", "--quiet", "--initial-branch=main")
	write("go.mod", "module example\n\ngo 1.26\n")
	for _, label := range []string{"first", "second"} {
		write("cmd/tell/main.go", "package main\n\nfunc main() { println(\""+label+"\") }\n")
		git("add", ".")
		git("commit", "--quiet", "-m", label)
	}
	write("cmd/tell/main.go", "not a program any more")
	return folder
}

// TestBuildUsesTheCommitAndNotTheWorkTree builds each commit twice; the second build reuses the first one's program.
func TestBuildUsesTheCommitAndNotTheWorkTree(t *testing.T) {
	repository, programs := newRepository(t), t.TempDir()
	for commit, want := range map[string]string{"HEAD~1": "first\n", "HEAD": "second\n"} {
		for range 2 {
			program, err := Build(t.Context(), repository, commit, "cmd/tell", programs)
			if err != nil {
				t.Fatal(err)
			}
			if output, err := exec.Command(program).CombinedOutput(); err != nil || string(output) != want {
				t.Fatalf("program of %s printed %q, error %v", commit, output, err)
			}
		}
	}
}

// TestBuildErrors covers a commit that doesn't exist, invalid commit names and a package that doesn't exist. A failed
// build must leave no files.
func TestBuildErrors(t *testing.T) {
	repository, programs := newRepository(t), t.TempDir()
	if _, err := Build(t.Context(), repository, "0123456789abcdef", "cmd/tell", programs); !errors.Is(err, ErrCommitNotFound) {
		t.Fatalf("build of unknown commit: error %v, want ErrCommitNotFound", err)
	}
	for _, arguments := range [][2]string{{"", "cmd/tell"}, {"--help", "cmd/tell"}, {"HEAD", "cmd/none"}} {
		if _, err := Build(t.Context(), repository, arguments[0], arguments[1], programs); err == nil || errors.Is(err, ErrCommitNotFound) {
			t.Fatalf("build of %v: got error %v, want another one than ErrCommitNotFound", arguments, err)
		}
	}
	if left, err := filepath.Glob(filepath.Join(programs, "*")); err != nil || len(left) > 0 {
		t.Fatalf("files left after failed builds: %v, error %v", left, err)
	}
}

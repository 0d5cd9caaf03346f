// Package earlier builds a program from an earlier commit of this repository, to run it next to the current one. It
// changes neither the work tree nor the history.
package earlier

import (
	"archive/zip"
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrCommitNotFound is returned, wrapped, when the repository doesn't contain the commit, as in a shallow clone.
var ErrCommitNotFound = eris.New("commit not found in the history of this checkout")

const (
	folderMode  = 0o755
	programMode = 0o755
)

// Build builds the main package pkg at a commit into a directory and returns the path of the program. A program that
// was built before from the same commit is reused.
func Build(ctx context.Context, repository, commit, pkg, folder string) (program string, err error) {
	full, err := resolve(ctx, repository, commit)
	if err != nil {
		return "", err
	}
	program, err = filepath.Abs(filepath.Join(folder, filepath.Base(pkg)+"-"+full))
	if err != nil {
		return "", eris.Wrap(err, "resolve program path")
	}
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	source, err := os.MkdirTemp("", "kitetiller-earlier-")
	if err != nil {
		return "", eris.Wrap(err, "create directory")
	}
	defer os.RemoveAll(source)
	archive, err := runCommand(ctx, repository, "git", "archive", "--format=zip", full)
	if err != nil {
		return "", eris.Wrapf(err, "export files of commit %s", commit)
	}
	if err := unpack(archive, source); err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", eris.Wrap(err, "create directory")
	}
	built := filepath.Join(source, "program")
	if _, err := runCommand(ctx, source, "go", "build", "-o", built, "./"+pkg); err != nil {
		return "", eris.Wrapf(err, "build %s at %s", pkg, commit)
	}
	return program, installAtomically(built, program)
}

// resolve returns the full hash of a commit.
func resolve(ctx context.Context, repository, commit string) (string, error) {
	if commit == "" || strings.HasPrefix(commit, "-") {
		return "", eris.Errorf("invalid commit %q", commit)
	}
	name, err := runCommand(ctx, repository, "git", "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return "", eris.Wrapf(ErrCommitNotFound, "%s (a shallow clone contains only the newest commits)", commit)
	}
	return strings.TrimSpace(string(name)), nil
}

// runCommand runs a program and returns its standard output. The error includes its standard error.
func runCommand(ctx context.Context, folder, name string, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, name, arguments...)
	command.Dir = folder
	var stderr bytes.Buffer
	command.Stderr = &stderr
	out, err := command.Output()
	return out, eris.Wrapf(err, "%s %s: %s", name, strings.Join(arguments, " "), strings.TrimSpace(stderr.String()))
}

// unpack extracts a zip archive into a directory.
func unpack(archive []byte, folder string) error {
	reader, err := zip.NewReader(bytes.NewReader(archive), int64(len(archive)))
	if err != nil {
		return eris.Wrap(err, "open archive")
	}
	return eris.Wrap(os.CopyFS(folder, reader), "unpack archive")
}

// installAtomically copies a program to its final path by rename, so that concurrent builds never run a partial file.
func installAtomically(built, program string) error {
	data, err := os.ReadFile(built)
	if err != nil {
		return eris.Wrap(err, "read built program")
	}
	temporary, err := os.CreateTemp(filepath.Dir(program), ".program-")
	if err != nil {
		return eris.Wrap(err, "install program")
	}
	defer os.Remove(temporary.Name())
	if _, err := temporary.Write(data); err != nil {
		return eris.Wrap(err, "install program")
	}
	if err := temporary.Close(); err != nil {
		return eris.Wrap(err, "install program")
	}
	if err := os.Chmod(temporary.Name(), programMode); err != nil {
		return eris.Wrap(err, "install program")
	}
	return eris.Wrap(os.Rename(temporary.Name(), program), "install program")
}

// Package earlier builds the program of an earlier commit of this repository, to run it beside that of the work tree. Nothing in the work tree or
// in its history changes.
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

// ErrCommitNotFound says that a repository doesn't hold a commit: its history may have been cut off where it was cloned. A caller can tell it with
// errors.Is.
var ErrCommitNotFound = eris.New("this checkout's history doesn't hold the commit")

const (
	folderMode  = 0o755
	programMode = 0o755
)

// Build builds a package's program at a commit into a folder, and returns its path. A build that is there already is used again: a commit doesn't
// change.
func Build(ctx context.Context, repository, commit, pkg, folder string) (program string, err error) {
	full, err := resolve(ctx, repository, commit)
	if err != nil {
		return "", err
	}
	program, err = filepath.Abs(filepath.Join(folder, filepath.Base(pkg)+"-"+full))
	if err != nil {
		return "", eris.Wrap(err, "name the program")
	}
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	source, err := os.MkdirTemp("", "kitetiller-earlier-")
	if err != nil {
		return "", eris.Wrap(err, "make a folder")
	}
	defer os.RemoveAll(source)
	archive, err := runCommand(ctx, repository, "git", "archive", "--format=zip", full)
	if err != nil {
		return "", eris.Wrapf(err, "read the files of %s", commit)
	}
	if err := unpack(archive, source); err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", eris.Wrap(err, "make a folder")
	}
	built := filepath.Join(source, "program")
	if _, err := runCommand(ctx, source, "go", "build", "-o", built, "./"+pkg); err != nil {
		return "", eris.Wrapf(err, "build %s at %s", pkg, commit)
	}
	return program, installAtomically(built, program)
}

// resolve returns the whole name of a commit.
func resolve(ctx context.Context, repository, commit string) (string, error) {
	if commit == "" || strings.HasPrefix(commit, "-") {
		return "", eris.Errorf("%q names no commit", commit)
	}
	name, err := runCommand(ctx, repository, "git", "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return "", eris.Wrapf(ErrCommitNotFound, "%s (a shallow clone holds the newest ones only)", commit)
	}
	return strings.TrimSpace(string(name)), nil
}

// runCommand runs a program and returns what it wrote, or an error with what it complained of.
func runCommand(ctx context.Context, folder, name string, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, name, arguments...)
	command.Dir = folder
	var stderr bytes.Buffer
	command.Stderr = &stderr
	out, err := command.Output()
	return out, eris.Wrapf(err, "%s %s: %s", name, strings.Join(arguments, " "), strings.TrimSpace(stderr.String()))
}

// unpack writes the files of an archive into a folder.
func unpack(archive []byte, folder string) error {
	reader, err := zip.NewReader(bytes.NewReader(archive), int64(len(archive)))
	if err != nil {
		return eris.Wrap(err, "read the archive")
	}
	return eris.Wrap(os.CopyFS(folder, reader), "unpack the archive")
}

// installAtomically moves a program to its place as a whole, so that nobody meets a part of one.
func installAtomically(built, program string) error {
	data, err := os.ReadFile(built)
	if err != nil {
		return eris.Wrap(err, "read the program")
	}
	temporary, err := os.CreateTemp(filepath.Dir(program), ".program-")
	if err != nil {
		return eris.Wrap(err, "write the program")
	}
	defer os.Remove(temporary.Name())
	if _, err := temporary.Write(data); err != nil {
		return eris.Wrap(err, "write the program")
	}
	if err := temporary.Close(); err != nil {
		return eris.Wrap(err, "write the program")
	}
	if err := os.Chmod(temporary.Name(), programMode); err != nil {
		return eris.Wrap(err, "write the program")
	}
	return eris.Wrap(os.Rename(temporary.Name(), program), "write the program")
}

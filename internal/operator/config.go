package operator

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/control"
	"kitetiller/internal/settings"
)

// ChangeOptions belong to the commands that change the tree.
type ChangeOptions struct {
	Base        int64  // version the change is based on; -1 takes the current one
	OperationID string // empty draws one
	Author      string
	Wait        bool // until the change is in force everywhere
}

// inForceTimeout is how long --wait waits.
const inForceTimeout = 30 * time.Second

// Get prints the settings of one node, or the effective ones and where they come from.
func (c *Command) Get(path string, effective bool) error {
	read, err := c.readSettings(false)
	if err != nil {
		return err
	}
	if effective {
		origins := read.Tree.Explain(settings.Path(path).Elements()...)
		return c.emit(origins, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SETTING\tVALUE\tSET AT")
			for _, origin := range origins {
				fmt.Fprintf(w, "%s\t%s\t%s\n", origin.Setting, origin.Value, origin.Path)
			}
		})
	}
	return c.printTree(read, path)
}

func (c *Command) printTree(read *control.ReadReply, root string) error {
	type line struct {
		Path    settings.Path   `json:"path"`
		Setting string          `json:"setting"`
		Value   json.RawMessage `json:"value"`
	}
	var lines []line
	for _, path := range read.Tree.Paths() {
		if root != "/" && path != settings.Path(root) && !strings.HasPrefix(string(path), root+"/") {
			continue
		}
		for _, definition := range settings.Definitions() {
			if value, set := read.Tree.Nodes[path].Get(definition.Name); set {
				lines = append(lines, line{path, definition.Name, value})
			}
		}
	}
	return c.emit(lines, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d, in force %d\n", read.Version, read.InForce)
		fmt.Fprintln(w, "PATH\tSETTING\tVALUE")
		for _, item := range lines {
			fmt.Fprintf(w, "%s\t%s\t%s\n", item.Path, item.Setting, item.Value)
		}
	})
}

func (c *Command) readSettings(history bool) (*control.ReadReply, error) {
	response, err := c.send(control.Request{Read: &control.Read{History: history}})
	if err != nil {
		return nil, err
	}
	return response.Read, nil
}

// Set sets one setting; an empty value inherits it again.
func (c *Command) Set(path, name, value string, options ChangeOptions) error {
	raw := json.RawMessage("null")
	if value != "" {
		raw = jsonValue(value)
	}
	return c.change([]settings.Edit{{Path: settings.Path(path), Setting: name, Value: raw}}, options)
}

// jsonValue takes a value as JSON if it is, otherwise as a string.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text) // a string always can
	return quoted
}

// desiredAndCurrent reads a file's tree and the current one.
func (c *Command) desiredAndCurrent(path string) (settings.Tree, *control.ReadReply, error) {
	desired, err := ReadTree(path)
	if err != nil {
		return desired, nil, err
	}
	read, err := c.readSettings(false)
	return desired, read, err
}

// Edit makes the tree equal to a file, in one atomic change.
func (c *Command) Edit(path string, options ChangeOptions) error {
	desired, read, err := c.desiredAndCurrent(path)
	if err != nil {
		return err
	}
	edits := settings.DiffEdits(read.Tree, desired)
	if len(edits) == 0 {
		c.printf("no difference: version %d already equals %s\n", read.Version, path)
		return nil
	}
	if options.Base < 0 {
		options.Base = int64(read.Version)
	}
	return c.change(edits, options)
}

// Diff prints what Edit would change.
func (c *Command) Diff(path string) error {
	desired, read, err := c.desiredAndCurrent(path)
	if err != nil {
		return err
	}
	differences := settings.Diff(read.Tree, desired)
	return c.emit(differences, func(w *tabwriter.Writer) { writeDifferences(w, differences) })
}

func writeDifferences(w io.Writer, differences []settings.Difference) {
	fmt.Fprintln(w, "PATH\tSETTING\tBEFORE\tAFTER")
	for _, item := range differences {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", item.Path, orDash(item.Setting), orDash(string(item.Before)), orDash(string(item.After)))
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// change sends one change and reports its outcome.
func (c *Command) change(edits []settings.Edit, options ChangeOptions) error {
	change, err := c.newChange(edits, options)
	if err != nil {
		return err
	}
	response, err := c.send(control.Request{Change: change})
	if err != nil {
		return eris.Wrapf(err, "operation %s", change.OperationID)
	}
	outcome := response.Change
	switch outcome.Kind {
	case settings.OutcomeAccepted:
		c.printf("accepted: version %d\n", outcome.Version)
		if options.Wait {
			return c.waitInForce(outcome.Version)
		}
		return nil
	case settings.OutcomeConflict:
		writer := tabwriter.NewWriter(c.options.Out, 2, 4, 2, ' ', 0)
		writeDifferences(writer, outcome.ChangesSinceBase)
		_ = writer.Flush()
		return eris.Errorf("conflict: the change was based on version %d, the tree is at %d; look at what changed and try again", change.Base, outcome.Version)
	case settings.OutcomeOperationIDReused:
		return eris.Errorf("operation id %s was used for another change", change.OperationID)
	}
	for _, problem := range outcome.Problems {
		c.printf("%s\n", problem)
	}
	return eris.Errorf("invalid: %d problems, nothing was changed", len(outcome.Problems))
}

func (c *Command) newChange(edits []settings.Edit, options ChangeOptions) (*settings.Change, error) {
	if options.Base < 0 {
		read, err := c.readSettings(false)
		if err != nil {
			return nil, err
		}
		options.Base = int64(read.Version)
	}
	if options.OperationID == "" {
		random := make([]byte, 8)
		_, _ = rand.Read(random) // never fails
		options.OperationID = hex.EncodeToString(random)
	}
	return &settings.Change{Base: uint64(options.Base), OperationID: options.OperationID, Author: options.Author, Edits: edits}, nil
}

func (c *Command) waitInForce(version uint64) error {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) {
		read, err := c.readSettings(false)
		if err == nil && read.InForce >= version {
			c.printf("in force everywhere: version %d\n", version)
			return nil
		}
		time.Sleep(retryInterval)
	}
	return eris.Errorf("version %d is accepted but not yet in force everywhere after %s; see kitetiller status", version, inForceTimeout)
}

// History prints the newest accepted changes.
func (c *Command) History() error {
	read, err := c.readSettings(true)
	if err != nil {
		return err
	}
	return c.emit(read.History, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tOPERATION\tEDITS")
		for _, entry := range read.History {
			at := time.UnixMilli(entry.UnixMS).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", entry.Version, at, orDash(entry.Author), entry.OperationID, summarizeEdits(entry.Edits))
		}
	})
}

// maxShownEdits is how many edits of a change the history shows.
const maxShownEdits = 3

func summarizeEdits(edits []settings.Edit) string {
	var parts []string
	for i, edit := range edits {
		if i == maxShownEdits {
			parts = append(parts, fmt.Sprintf("and %d more", len(edits)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s %s=%s", edit.Path, orDash(edit.Setting), orDash(string(edit.Value))))
	}
	return strings.Join(parts, "; ")
}

// ReadTree reads and checks a settings file.
func ReadTree(path string) (settings.Tree, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Tree{}, eris.Wrapf(err, "read %s", path)
	}
	tree, problems := settings.ParseFile(data)
	if len(problems) > 0 {
		lines := make([]string, len(problems))
		for i, problem := range problems {
			lines[i] = "  " + problem.String()
		}
		return tree, eris.Errorf("%s has %d faults:\n%s", path, len(problems), strings.Join(lines, "\n"))
	}
	return tree, nil
}

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

// ChangeOptions are common to the commands that change the settings tree.
type ChangeOptions struct {
	Base        int64  // version that the change is based on; -1 for the current one
	OperationID string // idempotency key of the change; a random one if empty
	Author      string
	Wait        bool // wait until the change is in force everywhere
}

// inForceTimeout bounds how long --wait waits.
const inForceTimeout = 30 * time.Second

// Get prints the settings that are set at a path and below it, or the effective settings of the path and their origins.
func (c *Command) Get(path string, effective bool) error {
	reply, err := c.readSettings(false)
	if err != nil {
		return err
	}
	if effective {
		origins := reply.Tree.Explain(settings.Path(path).Elements()...)
		return c.emit(origins, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SETTING\tVALUE\tSET AT")
			for _, origin := range origins {
				fmt.Fprintf(w, "%s\t%s\t%s\n", origin.Setting, origin.Value, origin.Path)
			}
		})
	}
	return c.printTree(reply, path)
}

func (c *Command) printTree(reply *control.ReadReply, root string) error {
	type line struct {
		Path    settings.Path   `json:"path"`
		Setting string          `json:"setting"`
		Value   json.RawMessage `json:"value"`
	}
	var lines []line
	for _, path := range reply.Tree.Paths() {
		if root != "/" && path != settings.Path(root) && !strings.HasPrefix(string(path), root+"/") {
			continue
		}
		for _, definition := range settings.Definitions() {
			if value, set := reply.Tree.Nodes[path].Get(definition.Name); set {
				lines = append(lines, line{path, definition.Name, value})
			}
		}
	}
	return c.emit(lines, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "version %d, in force %d\n", reply.Version, reply.InForce)
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

// Set sets one setting; an empty value removes it, so that it is inherited again.
func (c *Command) Set(path, name, value string, options ChangeOptions) error {
	raw := json.RawMessage("null")
	if value != "" {
		raw = jsonValue(value)
	}
	return c.change([]settings.Edit{{Path: settings.Path(path), Setting: name, Value: raw}}, options)
}

// jsonValue returns text itself if it is valid JSON, otherwise text as a JSON string.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text) // cannot fail for a string
	return quoted
}

// desiredAndCurrent reads the tree of a file and the current tree.
func (c *Command) desiredAndCurrent(path string) (settings.Tree, *control.ReadReply, error) {
	desired, err := ReadTree(path)
	if err != nil {
		return desired, nil, err
	}
	reply, err := c.readSettings(false)
	return desired, reply, err
}

// Edit makes the tree equal to that of a file, in one atomic change.
func (c *Command) Edit(path string, options ChangeOptions) error {
	desired, reply, err := c.desiredAndCurrent(path)
	if err != nil {
		return err
	}
	edits := settings.DiffEdits(reply.Tree, desired)
	if len(edits) == 0 {
		c.printf("no difference: version %d already equals %s\n", reply.Version, path)
		return nil
	}
	if options.Base < 0 {
		options.Base = int64(reply.Version)
	}
	return c.change(edits, options)
}

// Diff prints what Edit would change.
func (c *Command) Diff(path string) error {
	desired, reply, err := c.desiredAndCurrent(path)
	if err != nil {
		return err
	}
	differences := settings.Diff(reply.Tree, desired)
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

// change submits one change and prints its outcome.
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
		return eris.Errorf("operation ID %s was already used for another change", change.OperationID)
	}
	for _, problem := range outcome.Problems {
		c.printf("%s\n", problem)
	}
	return eris.Errorf("invalid: %d problems, nothing was changed", len(outcome.Problems))
}

// newChange fills in the base version and the operation ID if the options leave them open.
func (c *Command) newChange(edits []settings.Edit, options ChangeOptions) (*settings.Change, error) {
	if options.Base < 0 {
		reply, err := c.readSettings(false)
		if err != nil {
			return nil, err
		}
		options.Base = int64(reply.Version)
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
		reply, err := c.readSettings(false)
		if err == nil && reply.InForce >= version {
			c.printf("in force everywhere: version %d\n", version)
			return nil
		}
		time.Sleep(retryInterval)
	}
	return eris.Errorf("version %d is accepted but not yet in force everywhere after %s; see kitetiller status", version, inForceTimeout)
}

// History prints the most recent accepted changes.
func (c *Command) History() error {
	reply, err := c.readSettings(true)
	if err != nil {
		return err
	}
	return c.emit(reply.History, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tOPERATION\tEDITS")
		for _, entry := range reply.History {
			at := time.UnixMilli(entry.UnixMS).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", entry.Version, at, orDash(entry.Author), entry.OperationID, summarizeEdits(entry.Edits))
		}
	})
}

// maxShownEdits is the number of edits that History prints of each change.
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

// ReadTree reads and validates a file with a settings tree.
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
		return tree, eris.Errorf("settings file %s has %d problems:\n%s", path, len(problems), strings.Join(lines, "\n"))
	}
	return tree, nil
}

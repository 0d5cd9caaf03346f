// Package operator implements the commands of the kitetiller program with which operators inspect and change a running
// system.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/control"
	"kitetiller/internal/transport"
)

const (
	commandTimeout = 10 * time.Second
	retryInterval  = 100 * time.Millisecond
	outputJSON     = "json"
	outputTable    = "table"
)

// Options are common to all commands.
type Options struct {
	Control    string // admin addresses of control replicas, separated by commas
	Routers    string // addresses of routers, separated by commas
	AdminToken string
	Output     string
	Out        io.Writer
}

// Command runs one operator command.
type Command struct {
	options Options
	client  *transport.Client
}

// New validates the options and returns a command that uses them.
func New(options Options) (*Command, error) {
	if options.Output != outputJSON && options.Output != outputTable {
		return nil, eris.Errorf("unknown --output %s; use %s or %s", options.Output, outputTable, outputJSON)
	}
	if options.AdminToken == "" {
		return nil, eris.New("no admin token; give --admin-token or set KITETILLER_ADMIN_TOKEN")
	}
	return &Command{options: options, client: transport.NewClient(options.AdminToken, nil)}, nil
}

// splitList splits a list at commas and spaces.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

// send sends a request to the control replicas in turn until one answers with ResponseOK or the command times out.
func (c *Command) send(request control.Request) (control.Response, error) {
	addresses := splitList(c.options.Control)
	if len(addresses) == 0 {
		return control.Response{}, eris.New("no control address; give --control or set KITETILLER_CONTROL")
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, address := range addresses {
			response, err := c.sendTo(ctx, address, request)
			if err == nil && response.Kind == control.ResponseOK {
				return response, nil
			}
			if err == nil && response.Kind == control.ResponseTooLarge {
				return response, eris.Errorf("nothing was changed: %s", response.Detail)
			}
			if lastErr = err; err == nil {
				lastErr = eris.Errorf("%s responded with %s %s", address, response.Kind, response.Detail)
			}
		}
		time.Sleep(retryInterval)
	}
	return control.Response{}, eris.Wrap(lastErr, "no control replica completed the request; a change may or may not have been applied, run the command again with the same --operation-id")
}

func (c *Command) sendTo(ctx context.Context, address string, request control.Request) (control.Response, error) {
	var response control.Response
	err := c.client.Post(ctx, address, control.PathAdmin, request, &response)
	return response, err
}

// emit prints a value as JSON, or as a table written by writeTable.
func (c *Command) emit(value any, writeTable func(w *tabwriter.Writer)) error {
	if c.options.Output == outputJSON {
		encoder := json.NewEncoder(c.options.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(c.options.Out, 2, 4, 2, ' ', 0)
	writeTable(writer)
	return writer.Flush()
}

func (c *Command) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.options.Out, format, arguments...)
}

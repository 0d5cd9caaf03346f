package operator

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/quarantine"
)

// ListQuarantined prints the requests under which back ends crashed, and whether each is quarantined, as the leader
// sees them.
func (c *Command) ListQuarantined() error {
	for _, reply := range c.collectStatus().Control {
		if !reply.LeaseHeld {
			continue
		}
		return c.emit(reply.Suspects, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "FINGERPRINT\tHELD BACK\tBACK ENDS THAT ENDED")
			for _, entry := range reply.Suspects {
				fmt.Fprintf(w, "%s\t%t\t%s\n", entry.Request, len(entry.Incarnations) >= quarantine.QuarantineThreshold, strings.Join(entry.Incarnations, " "))
			}
		})
	}
	return eris.New("no control replica is the leader; see kitetiller status")
}

// Release releases requests from quarantine, given a list of their fingerprints.
func (c *Command) Release(list string) error {
	var requests []quarantine.Fingerprint
	for _, text := range splitList(list) {
		var fingerprint quarantine.Fingerprint
		if err := fingerprint.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		requests = append(requests, fingerprint)
	}
	if len(requests) == 0 {
		return eris.New("no fingerprint given; kitetiller held lists them")
	}
	change := quarantine.Change{Releases: []quarantine.Release{{Requests: requests, Reason: quarantine.ReasonOperator}}}
	if _, err := c.send(control.Request{Catalog: &catalog.Command{Quarantine: &change}}); err != nil {
		return err
	}
	c.printf("released: %d; each may end three more back ends before it is held back again\n", len(requests))
	return nil
}

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

// ListQuarantined prints the requests and parts of prompts under which back ends crashed, and whether each is quarantined,
// as the leader sees them.
func (c *Command) ListQuarantined() error {
	for _, reply := range c.collectStatus().Control {
		if !reply.LeaseHeld {
			continue
		}
		return c.emit(reply.Suspects, func(w *tabwriter.Writer) {
			held := map[quarantine.Fingerprint]bool{}
			for _, entry := range quarantine.QuarantinedEntries(reply.Suspects) {
				held[entry.Request] = true
			}
			fmt.Fprintln(w, "FINGERPRINT\tKIND\tHELD BACK\tBACK ENDS THAT ENDED")
			for _, entry := range reply.Suspects {
				kind := "request"
				if entry.Request.IsPart() {
					kind = "part"
				}
				fmt.Fprintf(w, "%s\t%s\t%t\t%s\n", entry.Request, kind, held[entry.Request], strings.Join(entry.Incarnations, " "))
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
	c.printf("released: %d; each may end some more back ends before it is held back again\n", len(requests))
	return nil
}

package operator

import (
	"context"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/router"
)

// probeTimeout bounds a request to one process.
const probeTimeout = 2 * time.Second

// SystemStatus is the output of the status command.
type SystemStatus struct {
	Control     []control.StatusReply `json:"control"`
	Routers     []router.StatusReply  `json:"routers"`
	Unreachable []string              `json:"silent"` // addresses that did not answer
}

// Status prints the status of every control replica and router, as each reports it.
func (c *Command) Status() error {
	status := c.collectStatus()
	return c.emit(status, func(w *tabwriter.Writer) {
		writeControl(w, status)
		writeRouters(w, status)
		for _, address := range status.Unreachable {
			fmt.Fprintf(w, "%s\tdoes not answer\n", address)
		}
	})
}

func (c *Command) collectStatus() SystemStatus {
	var status SystemStatus
	for _, address := range splitList(c.options.Control) {
		response, err := c.probeControl(address)
		if err != nil || response.Status == nil {
			status.Unreachable = append(status.Unreachable, address)
			continue
		}
		status.Control = append(status.Control, *response.Status)
	}
	for _, address := range splitList(c.options.Routers) {
		var reply router.StatusReply
		if err := c.probe(address, "/admin/v1/status", &reply); err != nil {
			status.Unreachable = append(status.Unreachable, address)
			continue
		}
		status.Routers = append(status.Routers, reply)
	}
	return status
}

func (c *Command) probeControl(address string) (control.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return c.sendTo(ctx, address, control.Request{Status: &control.StatusRequest{}})
}

func (c *Command) probe(address, path string, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return c.client.Get(ctx, address, path, reply)
}

func writeControl(w *tabwriter.Writer, status SystemStatus) {
	fmt.Fprintln(w, "CONTROL\tROLE\tTERM\tLEADER\tLEASE\tAPPLIED\tVERSION\tIN FORCE\tCLAIMS")
	for _, reply := range status.Control {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%t\t%d\t%d\t%d\t%d\n", reply.Name, reply.Role, reply.Term, orDash(reply.Leader),
			reply.LeaseHeld, reply.Applied, reply.Version, reply.InForce, reply.Claims)
	}
	writeLimits(w, status)
	writeSoftware(w, status)
	for _, reply := range status.Control {
		for _, engine := range reply.Engines {
			if engine.Weights != engine.Wanted {
				fmt.Fprintf(w, "engine %s\tweights %s\twanted %s\tloading %t\n", engine.Name, engine.Weights, engine.Wanted, engine.Loading)
			}
		}
	}
}

// writeSoftware prints how many back ends have each software version, for services with several.
func writeSoftware(w *tabwriter.Writer, status SystemStatus) {
	for _, reply := range status.Control {
		versions := map[string]int{}
		for _, count := range reply.Software {
			versions[count.Service]++
		}
		header := false
		for _, count := range reply.Software {
			if versions[count.Service] < 2 {
				continue
			}
			if !header {
				fmt.Fprintln(w, "SERVICE\tSOFTWARE\tBACK ENDS\tREADY")
				header = true
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", count.Service, orDash(count.Version), count.BackEnds, count.Ready)
		}
	}
}

// writeLimits prints the limits that all gateways share, including those that back ends advertise, as the leader sees
// them.
func writeLimits(w *tabwriter.Writer, status SystemStatus) {
	for _, reply := range status.Control {
		if reply.LeaseHeld && len(reply.AdvertisedLimits) > 0 {
			fmt.Fprintln(w, "LIMIT NAMED BY\tA SECOND\tLEFT\tLENT\tREFUSED")
			for _, state := range reply.AdvertisedLimits {
				fmt.Fprintf(w, "%s\t%.2f\t%.1f\t%.0f\t%.0f\n", state.Name, state.Limit.Rate, state.Level, state.Granted, state.Refused)
			}
		}
		if !reply.LeaseHeld || len(reply.Limits) == 0 {
			continue
		}
		fmt.Fprintln(w, "LIMIT\tRATE\tBURST\tLEFT\tLENT\tREFUSED\tOVER\tKEPT BACK")
		for _, state := range reply.Limits {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%t\t%.2f\n", state.Name, state.Limit.Rate, state.Limit.Burst, state.Level, state.Granted, state.Refused,
				state.OverLimit, state.Withheld)
		}
	}
}

func writeRouters(w *tabwriter.Writer, status SystemStatus) {
	fmt.Fprintln(w, "ROUTER\tZONE\tVERSION\tLEASE\tDRAINING\tACTIVE\tBELIEFS\tBACK ENDS READY")
	for _, reply := range status.Routers {
		ready := 0
		for _, backend := range reply.Backends {
			if backend.State == core.BackendReady.String() {
				ready++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%t\t%d\t%d\t%d of %d\n", reply.Name, reply.Zone, reply.Version, reply.LeaseValid,
			reply.Draining, reply.Active, reply.IndexedBlocks, ready, len(reply.Backends))
	}
	for _, reply := range status.Routers {
		for _, backend := range reply.Backends {
			if backend.State != core.BackendReady.String() {
				fmt.Fprintf(w, "%s sees\t%s\t%s\n", reply.Name, backend.Name, backend.State)
			}
		}
	}
}

// Members prints the control replicas as the leader sees them.
func (c *Command) Members() error {
	status := c.collectStatus()
	for _, reply := range status.Control {
		if !reply.LeaseHeld {
			continue
		}
		return c.emit(reply.Members, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "NAME\tID\tADDRESS\tVOTER\tLEVEL\tMATCH\tSILENT")
			for _, member := range reply.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\t%s\n", member.Name, member.ID, member.Address, !member.Learner,
					member.Level, member.Match, member.Silent.Round(time.Millisecond))
			}
		})
	}
	return eris.New("no control replica is the leader; see kitetiller status")
}

// Explain prints the decisions about a request that the routers still store.
func (c *Command) Explain(requestID string) error {
	var found []core.Decision
	for _, address := range splitList(c.options.Routers) {
		var decisions []core.Decision
		if err := c.probe(address, "/admin/v1/explain?request="+url.QueryEscape(requestID), &decisions); err != nil {
			return eris.Wrapf(err, "query %s", address)
		}
		found = append(found, decisions...)
	}
	if len(found) == 0 {
		return eris.Errorf("no router has decisions about request %s; each stores only its most recent ones", requestID)
	}
	return c.emit(found, func(w *tabwriter.Writer) {
		for _, decision := range found {
			writeDecision(w, decision)
		}
	})
}

func writeDecision(w *tabwriter.Writer, decision core.Decision) {
	fmt.Fprintf(w, "request %s\ttenant %s\tservice %s\tlane %s\ttry %d\tqueued %s\tprompt %d tokens\n", decision.Request,
		decision.Tenant, decision.Service, decision.Lane, decision.Try, decision.Queued.Round(time.Microsecond), decision.PromptTokens)
	fmt.Fprintf(w, "outcome %s\trun %s\tchosen %s of %d\tsettings %d\n", orDash(string(decision.Outcome)),
		orDash(string(decision.Run)), orDash(decision.Chosen), decision.Considered, decision.SettingsVersion)
	if len(decision.Shortlist) == 0 {
		return
	}
	fmt.Fprintln(w, "  CANDIDATE\tZONE\tCACHED\tTO COMPUTE\tCOPY\tWAIT\tFIRST TOKEN\tCOST")
	for _, candidate := range decision.Shortlist {
		fmt.Fprintf(w, "  %s\t%s\t%d\t%d\t%d\t%s\t%s\t%.4f\n", candidate.Name, candidate.Zone, candidate.Cached, candidate.Uncached,
			candidate.ImportBlocks, candidate.Wait.Round(time.Microsecond), candidate.Predicted.Round(time.Microsecond), candidate.Cost)
	}
}

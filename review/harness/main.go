// Command harness plays the scripted cases of the review: it starts the system's processes with the commands of the deploy
// file on loopback addresses, and stand-ins of workers, clients and the operator that follow the users' pages. Its exit code
// is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is a case. trouble is false for the run without the disruption.
type scenario func(c *cluster, r *record, trouble bool) error

var scenarios = map[string]struct {
	bounds bounds
	play   scenario
}{
	"holders": {bounds{requireFence: false}, playHolders},
	"wall":    {bounds{requireFence: true}, playWall},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD-FILE")
		return exitFailed
	}
	chosen, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitFailed
	}
	code, err := play(chosen.bounds, chosen.play, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

func play(limits bounds, played scenario, recordPath string) (int, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return exitFailed, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitFailed, err
	}
	defer os.RemoveAll(folder)
	c, err := newCluster(folder, limits)
	if err != nil {
		return exitFailed, err
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		c.stopAll()
		os.Exit(exitFailed)
	}()
	defer c.stopAll()
	if err := c.startAll(); err != nil {
		return exitFailed, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("started; disruption: %t", trouble)
	if err := played(c, r, trouble); err != nil {
		r.note("could not run: %v", err)
		return exitFailed, err
	}
	if r.wasBroken() {
		return exitBroken, nil
	}
	r.note("the rule held")
	return exitHeld, nil
}

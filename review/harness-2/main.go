// Command harness-2 plays one case of the second review against processes that are started as the deploy file says.
//
//	harness-2 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it
// does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"pooled": playPooled,
	"wall":   playWall,
	"leave":  playLeave,
	"keys":   playKeys,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 pooled|wall|leave|keys RECORD")
		return 2
	}
	r := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
	case broken:
		r.add("result: the rule was BROKEN")
	default:
		r.add("result: the rule held")
	}
	if writeErr := r.write(os.Args[2]); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	}
	return 0
}

// withCluster starts a deployment, plays a case on it and ends all its processes, also when it is interrupted.
func withCluster(r *record, play func(c *cluster) (broken bool, err error)) (broken bool, err error) {
	c, err := startCluster(r)
	if c == nil {
		return false, err
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		if _, ok := <-interrupted; ok {
			c.stop()
			os.Exit(2)
		}
	}()
	defer c.stop()
	if err != nil {
		return false, err
	}
	return play(c)
}

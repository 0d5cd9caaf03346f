package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"kitetiller/internal/lab/soak"
)

const (
	// slowLink is how long bytes are on their way from one machine to the workers. It is below the second after which the
	// sender of an order gives up.
	slowLink = 900 * time.Millisecond
	// restartDelay is after how long the platform restarts a process that was killed.
	restartDelay = time.Second
	// calmTime is how long the system runs without disruption before the first order.
	calmTime = 6 * time.Second
	playTime = 20 * time.Second
)

// playHolders makes the link from the machine of the leader to the workers slow, for good, and kills the leader while its
// first order is on its way. The next leader then has a newer version of the weights to order.
func playHolders(c *cluster, r *record, trouble bool) error {
	workers := c.newWorkers(r, 3, groupWorkerBehind)
	slow := c.control[0] // the first seed, which leads from the start
	killed := make(chan struct{})
	var once sync.Once
	for i, w := range workers {
		l := &link{
			listen: w.address, target: c.address(groupWorkerBehind, i, portWorker),
			owner: func(near net.Conn) string { return soak.Owner(c.control, near) },
			delay: func(from string) time.Duration {
				if !trouble || from != slow.Name {
					return 0
				}
				return slowLink
			},
			onOrder: func(from string) {
				r.note("%s sends an order to %s", from, w.id)
				if !trouble || from != slow.Name {
					return
				}
				once.Do(func() {
					slow.Stop(syscall.SIGKILL)
					r.note("%s is killed", slow.Name)
					time.AfterFunc(restartDelay, func() { c.restart(r, slow) })
					close(killed)
				})
			},
		}
		if err := l.start(); err != nil {
			return err
		}
		if err := w.start(); err != nil {
			return err
		}
	}
	o := newOperator(c, r)
	const key = "ctnfzs989anu6wsjnban"
	if _, err := o.putConfiguration(3, []tenant{{Name: "sese880", Keys: []string{key}, Priority: 1}}); err != nil {
		return err
	}
	if err := c.awaitService(r, key); err != nil {
		return err
	}
	time.Sleep(calmTime)
	if _, err := o.putVersion(2); err != nil {
		return err
	}
	if trouble {
		select {
		case <-killed:
		case <-time.After(playTime):
			return fmt.Errorf("%s sent no order", slow.Name)
		}
	} else {
		time.Sleep(2 * time.Second)
	}
	if _, err := o.putVersion(3); err != nil {
		return err
	}
	for deadline := time.Now().Add(playTime); time.Now().Before(deadline) && !allLoaded(workers, 3); {
		time.Sleep(retryPause)
	}
	if !allLoaded(workers, 3) {
		return fmt.Errorf("version 3 is not in place everywhere")
	}
	for _, w := range workers {
		judgeHolders(r, w)
	}
	return nil
}

func allLoaded(workers []*worker, version int) bool {
	for _, w := range workers {
		if w.loadedVersion() < version {
			return false
		}
	}
	return true
}

// restart starts a process that was killed.
func (c *cluster) restart(r *record, p *soak.Process) {
	r.note("%s is started again", p.Name)
	if err := c.start(p); err != nil {
		r.note("%s could not be started: %v", p.Name, err)
	}
}

// judgeHolders checks the orders to one worker: no two holders with one fencing token, no lower token after a higher one,
// and no two holders within the time of a lease.
func judgeHolders(r *record, w *worker) {
	orders := w.takenOrders()
	for i := 1; i < len(orders); i++ {
		before, after := orders[i-1], orders[i]
		if before.Holder == after.Holder {
			continue
		}
		gap := after.at.Sub(before.at)
		r.note("%s: from holder %s (token %d) to %s (token %d) in %v", w.id, before.Holder, before.Fence, after.Holder, after.Fence, gap.Round(time.Millisecond))
		switch {
		case before.Fence == after.Fence:
			r.breaks("ONE: %s and %s order %s with one fencing token", before.Holder, after.Holder, w.id)
		case before.Fence > after.Fence:
			r.breaks("ONE: %s orders %s with fencing token %d after %d", after.Holder, w.id, after.Fence, before.Fence)
		case gap < leaseTime:
			r.breaks("ONE: %s and %s take turns at %s within %v (lease_ms is %v)", before.Holder, after.Holder, w.id, gap.Round(time.Millisecond), leaseTime)
		}
	}
}

package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The other end of a connection to a machine without power hears nothing, not even an end, until the machine has power
// again and something is sent to it.
func TestConnectionsToMachinesWithoutPowerHang(t *testing.T) {
	p, near, far := openProxiedConnection(t)
	send(t, near, far)
	p.CutPower("b")
	_ = far.Close() // the process is killed
	_ = near.SetReadDeadline(time.Now().Add(10 * powerPollInterval))
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read from a machine without power: %v, want no answer", err)
	}
	_ = near.SetReadDeadline(time.Time{})
	if _, err := io.WriteString(near, "x"); err != nil {
		t.Fatal(err)
	}
	p.RestorePower("b")
	for {
		if _, err := io.WriteString(near, "x"); err != nil {
			break
		}
		_ = near.SetReadDeadline(time.Now().Add(powerPollInterval))
		if _, err := near.Read(make([]byte, 1)); errors.Is(err, syscall.ECONNRESET) {
			break
		}
	}
}

// No more data folders are lost at once than tolerated: one counts until some time after its process is back, and that
// time doesn't pass during a fault that delays the repair, and begins again after it.
func TestLostFoldersAreBounded(t *testing.T) {
	const catchUp = 50 * time.Millisecond
	var processes []*Process
	for i := range 5 {
		processes = append(processes, &Process{Name: fmt.Sprint("control-", i), DataDir: "data"})
	}
	disks := NewDisks(2, catchUp)
	first := disks.take(processes, 1)
	if again := disks.take(processes, 5); len(first) != 1 || len(again) != 1 || again[0] == first[0] {
		t.Fatalf("lost %v and %v, want one and another one", first, again)
	}
	disks.recordReturn(first)
	disks.holdRepairs()
	time.Sleep(catchUp)
	if more := disks.take(processes, 1); len(more) != 0 {
		t.Fatalf("lost %v while a fault delays the repair of an earlier loss", more)
	}
	disks.resumeRepairs()
	if more := disks.take(processes, 1); len(more) != 0 {
		t.Fatalf("lost %v before an earlier loss was made up for", more)
	}
	time.Sleep(catchUp)
	if more := disks.take(processes, 2); len(more) != 1 {
		t.Fatalf("lost %v, want one more while one process is down", more)
	}
}

func TestOutagePlansAreDeterministic(t *testing.T) {
	shape := Shape{Control: 8, Tolerated: 2, RecoverMS: 15_000}
	first, second := GenerateOutages(5, 12, shape), GenerateOutages(5, 12, shape)
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("plans differ:\n%+v\n%+v", first, second)
	}
	if last := first.Faults[len(first.Faults)-1]; last.Kind != PowerOff || first.Length() < last.End()+shape.Recover()+minRestoredTime {
		t.Fatalf("plan of %v ends with %+v, want a loss of power and time to recover", first.Length(), last)
	}
}

// Service must be back some time after all processes have returned, in each zone and at each gateway.
func TestWatcherChecksRestorations(t *testing.T) {
	const back, recover, until = 10 * time.Second, 5 * time.Second, 25 * time.Second
	run := func(served func(at time.Duration, gateway int) bool) (Restoration, []Violation) {
		w := NewWatcher(time.Second, time.Second)
		w.RecoverTime = recover
		w.RecordStop(PowerOff, back-time.Second, back, until)
		w.RecordLeader(back + time.Second)
		for at := back; at < until; at += 100 * time.Millisecond {
			for gateway := range 4 {
				w.RecordOutcome(Outcome{SentAt: at, Gateway: fmt.Sprint("gateway-", gateway), Zone: fmt.Sprint("zone-", gateway%2), Served: served(at, gateway), Reason: "refused"})
			}
		}
		return w.Restorations(recover)[0], w.Close()
	}
	result, violations := run(func(at time.Duration, _ int) bool { return at >= back+3*time.Second })
	if result.Leader != time.Second || result.First != 3*time.Second || result.Half < 2*time.Second || result.Most < result.Half || result.Most > 3*time.Second || len(violations) > 0 {
		t.Fatalf("%v, violations %v; want a leader after 1 s, first served after 3 s, and none", result, violations)
	}
	for name, served := range map[string]func(time.Duration, int) bool{
		"served":    func(at time.Duration, _ int) bool { return at >= until-time.Second },
		"in zone-1": func(_ time.Duration, gateway int) bool { return gateway%2 == 0 },
		"gateway-3": func(_ time.Duration, gateway int) bool { return gateway != 3 },
	} {
		_, violations := run(served)
		found := false
		for _, v := range violations {
			found = found || v.Guarantee == ServiceRecovers && strings.Contains(v.Detail, name)
		}
		if !found {
			t.Errorf("%s: violations %v, want one of %s", name, violations, ServiceRecovers)
		}
	}
}

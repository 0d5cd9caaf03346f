package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"
)

// Equal seeds generate equal plans, a written plan is read back unchanged, and invalid plans are rejected.
func TestGenerateIsDeterministic(t *testing.T) {
	plan := Generate(7, time.Minute)
	if !reflect.DeepEqual(plan, Generate(7, time.Minute)) || reflect.DeepEqual(plan.Faults, Generate(8, time.Minute).Faults) {
		t.Fatal("equal seeds must generate equal plans, and different seeds different ones")
	}
	path := filepath.Join(t.TempDir(), "plan.json")
	if err := plan.Write(path); err != nil {
		t.Fatal(err)
	}
	if read, err := Read(path); err != nil || !reflect.DeepEqual(read, plan) {
		t.Fatalf("read back plan %v, error %v", read, err)
	}
	for _, invalid := range []string{``, `{}`, `{"length_ms":5,"faults":[{"kind":"unheard-of"}]}`, `{"length_ms":5,"faults":[{"kind":"kill-all","for_ms":-1}]}`,
		`{"length_ms":5,"shape":{"direct":true},"faults":[{"kind":"cut-workers"}]}`} {
		if err := os.WriteFile(path, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil {
			t.Errorf("invalid plan %q was accepted", invalid)
		}
	}
}

// Starts alternate between the builds of a process that has two; a process with one build always uses it.
func TestStartAlternatesBuilds(t *testing.T) {
	dir := t.TempDir()
	build := func(name string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
			t.Fatal(err)
		}
		return path
	}
	older, newer := build("older"), build("newer")
	mixed := &Process{Name: "mixed", Args: []string{older}, AlternateBuild: newer, Log: filepath.Join(dir, "mixed.log")}
	plain := &Process{Name: "plain", Args: []string{older}, Log: filepath.Join(dir, "plain.log")}
	for _, want := range []string{older, newer, older} {
		if mixed.nextBuild() != want || plain.nextBuild() != older {
			t.Fatalf("next builds are %s and %s, want %s and %s", mixed.nextBuild(), plain.nextBuild(), want, older)
		}
		for _, p := range []*Process{mixed, plain} {
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			p.Stop(syscall.SIGKILL)
		}
	}
}

// Each sequence of observations yields exactly the expected violation, or none.
func TestWatcherReportsViolations(t *testing.T) {
	limit := TenantLimit{Units: func(window time.Duration) float64 { return 100 * window.Seconds() }}
	for _, c := range []struct {
		want   Guarantee
		record func(*Watcher)
	}{
		{"", func(w *Watcher) {
			w.RecordExecution(0, "a", "t", 50)
			w.RecordExecution(time.Second, "a", "t", 60)
			w.RecordSuccess("a", true, false)
		}},
		{WithinLimit, func(w *Watcher) { w.RecordExecution(0, "a", "t", 50); w.RecordExecution(time.Second-1, "a", "t", 60) }},
		{AtMostOnce, func(w *Watcher) { w.RecordExecution(0, "once", "u", 1); w.RecordExecution(1, "once", "u", 1) }},
		{NotRunHonored, func(w *Watcher) { w.RecordExecution(0, "once", "u", 1); w.RecordNotRun("once", "refused") }},
		{NotRunHonored, func(w *Watcher) { w.RecordNotRun("once", "refused"); w.RecordExecution(0, "once", "u", 1) }},
		{CorrectResponse, func(w *Watcher) { w.RecordSuccess("a", false, false) }},
		{CorrectResponse, func(w *Watcher) { w.RecordExecution(0, "nobody's", "u", 1) }},
		{ServiceRecovers, func(w *Watcher) {
			w.ExpectRecovery(true)
			w.RecordSuccess("a", true, true)
			w.RecordFailure("502", true)
		}},
		{ServiceRecovers, func(w *Watcher) { w.ExpectRecovery(true) }},
		{ForgedHeartbeatsIgnored, func(w *Watcher) { w.RecordViolation(ForgedHeartbeatsIgnored, "a request reached it") }},
		{NoUnexpectedExit, func(w *Watcher) { w.RecordViolation(NoUnexpectedExit, "it ended") }},
		{"", func(w *Watcher) { recordBackoffArrivals(w, 2, time.Minute) }},
		{BackoffRespected, func(w *Watcher) { recordBackoffArrivals(w, 3, time.Minute) }},
		{"", func(w *Watcher) { recordBackoffArrivals(w, 9, time.Second) }},
		{DrainRespected, func(w *Watcher) { recordDrainArrival(w, 4*time.Second, "b") }},
		{"", func(w *Watcher) { recordDrainArrival(w, 3*time.Second+drainPropagationDelay, "b") }},
		{"", func(w *Watcher) { recordDrainArrival(w, 4*time.Second, "the next life of b") }},
		{"", func(w *Watcher) { recordLimitArrivals(w, 13, 5*time.Second, sendingGateway) }},
		{AdvertisedLimitRespected, func(w *Watcher) { recordLimitArrivals(w, 14, 5*time.Second, sendingGateway) }},
		{"", func(w *Watcher) { recordLimitArrivals(w, 30, 5*time.Second, Sender{Name: "g", Incarnation: 2}) }}, // unaware of the limit
		{"", func(w *Watcher) { recordLimitArrivals(w, 30, 3*time.Second, sendingGateway) }},                    // within the grace period
		{"", func(w *Watcher) { recordLimitArrivals(w, 30, 30*time.Second, sendingGateway) }},                   // the limit has expired
		{"", func(w *Watcher) {
			w.RecordBurstWindow(0, 2*time.Second)
			recordLimitArrivals(w, 30, 5*time.Second, sendingGateway)
		}},
		{"", func(w *Watcher) { recordFatalArrivals(w, 6) }},
		{QuarantineEnforced, func(w *Watcher) { recordFatalArrivals(w, 7) }},
		{"", func(w *Watcher) { w.RecordDisturbance(time.Minute, time.Minute); recordFatalArrivals(w, 9) }},
	} {
		w := NewWatcher(time.Second, 0)
		w.RecordLimit("t", limit)
		w.RecordRequest("a", false)
		w.RecordRequest("once", true)
		c.record(w)
		violations := w.Close()
		if c.want == "" && len(violations) > 0 || c.want != "" && (len(violations) != 1 || violations[0].Guarantee != c.want) {
			t.Errorf("want violation of %q, got %v", c.want, violations)
		}
	}
}

// recordFatalArrivals records arrivals of a fatal request: the first three at once, the others a minute later.
func recordFatalArrivals(w *Watcher, count int) {
	for n := range count {
		at := time.Duration(n)
		if n >= quarantineThreshold {
			at += time.Minute
		}
		w.RecordFatalArrival(at, "deadly 1")
	}
}

// Quarantine is decided only after enough callers were told that a request is quarantined, or after it reached too many
// workers.
func TestQuarantineDecided(t *testing.T) {
	for _, c := range []struct {
		arrivals, quarantined int
		decided               bool
	}{{0, 0, false}, {quarantineThreshold, maxExtraArrivals, false}, {quarantineThreshold, maxExtraArrivals + 1, true}, {quarantineThreshold + maxExtraArrivals, 0, false}, {quarantineThreshold + maxExtraArrivals + 1, 0, true}} {
		w := NewWatcher(time.Second, 0)
		recordFatalArrivals(w, c.arrivals)
		for range c.quarantined {
			w.RecordQuarantined("deadly 1")
		}
		if w.QuarantineDecided("deadly 1") != c.decided || w.QuarantineDecided("another") {
			t.Errorf("%d arrivals, %d quarantine responses: decided = %v", c.arrivals, c.quarantined, !c.decided)
		}
	}
}

// A lowered limit does not apply to windows that began before it took effect.
func TestLowerLimitAppliesToWholeWindows(t *testing.T) {
	constant := func(units float64) func(time.Duration) float64 { return func(time.Duration) float64 { return units } }
	for _, c := range []struct {
		at         time.Duration
		violations int
	}{{4 * time.Second, 0}, {7 * time.Second, 1}} {
		w := NewWatcher(time.Second, time.Second)
		w.RecordLimit("t", TenantLimit{Units: constant(100)})
		w.RecordLimit("t", TenantLimit{From: 4 * time.Second, Units: constant(10)})
		w.RecordRequest("a", false)
		w.RecordExecution(c.at, "a", "t", 50)
		if violations := w.Close(); len(violations) != c.violations {
			t.Errorf("execution at %v: violations %v", c.at, violations)
		}
	}
}

// openProxiedConnection returns a proxy and both ends of a connection through it from "a" to "b".
func openProxiedConnection(t *testing.T) (p *Proxy, near, far net.Conn) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	p = NewProxy(func(net.Conn) string { return "a" })
	t.Cleanup(p.Close)
	if err := p.Forward(address, "b", target.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = net.Dial("tcp", address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	if far, err = target.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	return p, near, far
}

func send(t *testing.T, from, to net.Conn) {
	t.Helper()
	if _, err := io.WriteString(from, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(to, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// A connection that its opener has closed while the link was blocked reaches the target as little as on a real network, where its packets
// are lost. Targets would get all that was given up in a partition at once otherwise.
func TestConnectionsGivenUpWhileBlockedAreNotForwarded(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	accepted := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			accepted <- struct{}{}
		}
	}()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	p := NewProxy(func(net.Conn) string { return "a" })
	defer p.Close()
	if err := p.Forward(address, "b", target.Addr().String()); err != nil {
		t.Fatal(err)
	}
	p.Block(Link{"a", "b"})
	givenUp, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(givenUp, "x")
	_ = givenUp.Close()
	waiting, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	time.Sleep(50 * time.Millisecond)
	p.Unblock(Link{"a", "b"})
	<-accepted
	select {
	case <-accepted:
		t.Error("the connection that was given up reached the target")
	case <-time.After(200 * time.Millisecond):
	}
}

// A blocked link holds data back while the other direction works, and delivers it after it is unblocked.
func TestProxyBlocksOneDirection(t *testing.T) {
	p, near, far := openProxiedConnection(t)
	send(t, near, far)
	p.Block(Link{"a", "b"})
	send(t, far, near)
	if _, err := io.WriteString(near, "y"); err != nil {
		t.Fatal(err)
	}
	_ = far.SetReadDeadline(time.Now().Add(5 * powerPollInterval))
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Fatal("data passed a blocked link")
	}
	_ = far.SetReadDeadline(time.Time{})
	p.Unblock(Link{"a", "b"})
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// Reset closes both ends of a connection with a TCP reset, not with EOF.
func TestProxyResetsBothEnds(t *testing.T) {
	p, near, far := openProxiedConnection(t)
	send(t, near, far)
	p.Reset("b", "a")
	for _, end := range []net.Conn{near, far} {
		if _, err := end.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Fatalf("read on a reset connection: %v, want a connection reset error", err)
		}
	}
}

// openConnection returns both ends of a loopback connection within this process: the dialer's and the accepted one.
func openConnection(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if dialed, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed, accepted
}

// Guards against listing all sockets of the machine for each connection, which slows down the processes under test.
func TestOwnerCostIndependentOfSocketCount(t *testing.T) {
	const others, runs = 200, 3
	for range others {
		openConnection(t)
	}
	_, accepted := openConnection(t)
	if allocs := testing.AllocsPerRun(runs, func() { Owner(nil, accepted) }); allocs >= others {
		t.Fatalf("%.0f allocations to find the owner of one connection among %d others", allocs, others)
	}
}

// The two ends of a connection have different inodes, each open in its own process only, and none after both are
// closed.
func TestSocketInodeIdentifiesEachEnd(t *testing.T) {
	p := &Process{Name: "child", Args: []string{"/bin/sleep", "30"}, Log: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Stop(9)
	dialed, accepted := openConnection(t)
	if name := Owner([]*Process{p}, accepted); name != "" {
		t.Fatalf("owner of a connection of the test process is %q, want none", name)
	}
	inode := socketInode(endpointOf(accepted.RemoteAddr()), endpointOf(accepted.LocalAddr()))
	socket := fmt.Sprintf("socket:[%d]", inode)
	own, others := map[string]string{}, map[string]string{}
	addSockets(own, os.Getpid(), "test")
	addSockets(others, p.PID(), "child")
	if inode == 0 || own[socket] != "test" || others[socket] != "" {
		t.Fatalf("%s is not found, or not open in the test process only", socket)
	}
	if other := socketInode(endpointOf(dialed.RemoteAddr()), endpointOf(dialed.LocalAddr())); other == 0 || other == inode {
		t.Fatalf("inode of the other end is %d, want one that is set and different", other)
	}
	_ = dialed.Close()
	_ = accepted.Close()
	if inode := socketInode(endpointOf(accepted.RemoteAddr()), endpointOf(accepted.LocalAddr())); inode != 0 {
		t.Fatalf("closed connection has inode %d, want 0", inode)
	}
}

// A connection whose opener has closed it costs no look at the descriptors of all processes, and belongs to none of them. Such looks
// made all new connections wait for each other for seconds while half of a fleet opened ones that it gave up.
func TestClosedConnectionsCostNoLook(t *testing.T) {
	owners := NewOwners(nil)
	dialed, accepted := openConnection(t)
	if name := owners.Owner(accepted); name != "" || owners.begun != 1 {
		t.Fatalf("owner %q after %d looks, want none after 1", name, owners.begun)
	}
	_ = dialed.(*net.TCPConn).SetLinger(0)
	_ = dialed.Close()
	if name := owners.Owner(accepted); name != ClosedOwner || owners.begun != 1 {
		t.Errorf("owner %q after %d looks, want %q after 1", name, owners.begun, ClosedOwner)
	}
}

// Owner returns the process that dialed, among several.
func TestOwnerReturnsDialingProcess(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dial := fmt.Sprintf("exec 3<>/dev/tcp/127.0.0.1/%d; exec sleep 30", listener.Addr().(*net.TCPAddr).Port)
	other := &Process{Name: "other", Args: []string{"/bin/sleep", "30"}, Log: filepath.Join(t.TempDir(), "log")}
	dialer := &Process{Name: "dialer", Args: []string{"/bin/bash", "-c", dial}, Log: filepath.Join(t.TempDir(), "log")}
	for _, p := range []*Process{other, dialer} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		defer p.Stop(9)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if name := Owner([]*Process{other, dialer}, accepted); name != "dialer" {
		t.Fatalf("owner is %q, want dialer", name)
	}
}

// Gateways without links must serve two thirds as often as the others, from some time after the start of the partition.
func TestWatcherComparesPartitionedGateways(t *testing.T) {
	record := func(servedOfCut int, from time.Duration) []Violation {
		w := NewWatcher(time.Second, time.Second)
		w.RecordPartition(0, 10*time.Second, []string{"cut"})
		for number := range 60 {
			for _, gateway := range []string{"cut", "other"} {
				id := fmt.Sprint(gateway, number)
				w.RecordRequest(id, false)
				w.RecordSent(from+time.Duration(number)*time.Millisecond, id, Sender{Name: gateway})
				if gateway == "other" || number < servedOfCut {
					w.RecordSuccess(id, true, false)
				}
			}
		}
		return w.Close()
	}
	if got := record(39, 5*time.Second); len(got) != 1 || got[0].Guarantee != PartitionedGatewaysServe {
		t.Errorf("39 of 60 served: %v", got)
	}
	if got := record(40, 5*time.Second); len(got) > 0 {
		t.Errorf("40 of 60 served: %v", got)
	}
	if got := record(0, time.Second); len(got) > 0 {
		t.Errorf("right after the start: %v", got)
	}
}

// After five crashes under a part, three more requests with it may reach workers, and half as many of the requests that
// share its other parts as before must be served.
func TestWatcherChecksFatalParts(t *testing.T) {
	record := func(lateArrivals, servedAfter int, prepare ...func(*Watcher)) []Violation {
		w := NewWatcher(time.Second, time.Second)
		for _, apply := range prepare {
			apply(w)
		}
		for number := range 40 {
			w.RecordBystander(time.Duration(number)*time.Millisecond, "dead", Served)
		}
		w.RecordFatalPartSent(time.Second, "dead")
		for range partThreshold {
			w.RecordFatalPartArrival(2*time.Second, "dead")
		}
		for range lateArrivals {
			w.RecordFatalPartArrival(2*time.Second+quarantinePropagationDelay+1, "dead")
		}
		for number := range 40 {
			outcome := "503"
			if number < servedAfter {
				outcome = Served
			}
			w.RecordBystander(2*time.Second+bystanderDelay, "dead", outcome)
		}
		return w.Close()
	}
	if got := record(maxExtraPartArrivals, 20); len(got) > 0 {
		t.Errorf("3 late arrivals, 20 of 40 served: %v", got)
	}
	if got := record(maxExtraPartArrivals+1, 20); len(got) != 1 || got[0].Guarantee != QuarantineEnforced {
		t.Errorf("4 late arrivals: %v", got)
	}
	limited := func(w *Watcher) { w.RecordServiceLimit(2*time.Second, 3*bystanderDelay) }
	if got := record(0, 0, limited); len(got) > 0 {
		t.Errorf("workers reject all by themselves: %v", got)
	}
	if got := record(maxExtraPartArrivals+1, 0, limited); len(got) != 1 {
		t.Errorf("4 late arrivals while workers reject by themselves: %v", got)
	}
	if got := record(0, 19); len(got) != 1 || got[0].Guarantee != BystandersServed {
		t.Errorf("19 of 40 served: %v", got)
	}
}

// No stream may hold events of two versions, and those taken up at gateways in touch must go on half as often as new ones
// begin.
func TestWatcherChecksSoftwareVersions(t *testing.T) {
	record := func(continued int, outOfTouch bool, answers ...[]string) []Violation {
		w := NewWatcher(time.Second, time.Second)
		if outOfTouch {
			w.RecordOutOfTouch(0, time.Second, []string{"g"})
		}
		for number := range minTakeUps {
			w.RecordStreamStart(time.Second, Sender{Name: "g"}, true)
			w.RecordTakeUp(time.Second, Sender{Name: "g"}, number < continued)
		}
		w.RecordStreamVersions("s", answers)
		return w.Close()
	}
	one := []string{"v1"}
	unchecked := NewWatcher(time.Second, time.Second)
	unchecked.LeaveTakeUpsUnchecked()
	for range minTakeUps {
		unchecked.RecordStreamStart(time.Second, Sender{Name: "g"}, true)
		unchecked.RecordTakeUp(time.Second, Sender{Name: "g"}, false)
	}
	unchecked.RecordStreamVersions("s", [][]string{{"v1"}, {"v2"}})
	for _, c := range []struct {
		name       string
		violations []Violation
		want       []Guarantee
	}{
		{"half go on", record(minTakeUps/2, false, one, one), nil},
		{"fewer go on", record(minTakeUps/2-1, false, one), []Guarantee{TakenUpStreamsContinue}},
		{"none goes on beside an older build, and one is mixed", unchecked.Close(), []Guarantee{OneVersionPerStream}},
		{"fewer go on, out of touch", record(0, true, one), nil},
		{"two versions over two answers", record(minTakeUps, false, one, []string{"v2"}), []Guarantee{OneVersionPerStream}},
		{"two versions in one answer", record(minTakeUps, false, []string{"v1", "v2"}), []Guarantee{OneVersionPerAnswer, OneVersionPerStream}},
	} {
		var got []Guarantee
		for _, violation := range c.violations {
			got = append(got, violation.Guarantee)
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, c.violations, c.want)
		}
	}
}

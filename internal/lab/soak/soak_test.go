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

// TestGenerateIsDeterministic: the same seed draws the same plan, which is read back as it was written.
func TestGenerateIsDeterministic(t *testing.T) {
	plan := Generate(7, time.Minute)
	if !reflect.DeepEqual(plan, Generate(7, time.Minute)) || reflect.DeepEqual(plan.Faults, Generate(8, time.Minute).Faults) {
		t.Fatal("plans do not follow their seeds")
	}
	path := filepath.Join(t.TempDir(), "plan.json")
	if err := plan.Write(path); err != nil {
		t.Fatal(err)
	}
	if read, err := Read(path); err != nil || !reflect.DeepEqual(read, plan) {
		t.Fatalf("%v, %v", read, err)
	}
	for _, bad := range []string{``, `{}`, `{"length_ms":5,"faults":[{"kind":"unheard-of"}]}`, `{"length_ms":5,"faults":[{"kind":"kill-all","for_ms":-1}]}`} {
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil {
			t.Errorf("%q is taken as a plan", bad)
		}
	}
}

// TestStartAlternatesBuilds: a process that has another build changes it with each start; one that has none keeps its own.
func TestStartAlternatesBuilds(t *testing.T) {
	folder := t.TempDir()
	build := func(name string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
			t.Fatal(err)
		}
		return path
	}
	older, newer := build("older"), build("newer")
	mixed := &Process{Name: "mixed", Args: []string{older}, AlternateBuild: newer, Log: filepath.Join(folder, "mixed.log")}
	plain := &Process{Name: "plain", Args: []string{older}, Log: filepath.Join(folder, "plain.log")}
	for _, wanted := range []string{older, newer, older} {
		if mixed.nextBuild() != wanted || plain.nextBuild() != older {
			t.Fatalf("%s and %s are next, wanted %s and %s", mixed.nextBuild(), plain.nextBuild(), wanted, older)
		}
		for _, p := range []*Process{mixed, plain} {
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			p.Stop(syscall.SIGKILL)
		}
	}
}

// TestWatcherReportsViolations, each from the observation that decides it.
func TestWatcherReportsViolations(t *testing.T) {
	limit := TenantLimit{Units: func(window time.Duration) float64 { return 100 * window.Seconds() }}
	for _, c := range []struct {
		wanted Guarantee
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
		{"", func(w *Watcher) { recordLimitArrivals(w, 30, 5*time.Second, Sender{Name: "g", Process: 2}) }}, // that one hasn't heard of it
		{"", func(w *Watcher) { recordLimitArrivals(w, 30, 3*time.Second, sendingGateway) }},                // too soon after the first naming
		{"", func(w *Watcher) { recordLimitArrivals(w, 30, 30*time.Second, sendingGateway) }},               // the limit is over
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
		broken := w.Close()
		if c.wanted == "" && len(broken) > 0 || c.wanted != "" && (len(broken) != 1 || broken[0].Guarantee != c.wanted) {
			t.Errorf("wanted %q broken, found %v", c.wanted, broken)
		}
	}
}

// recordFatalArrivals lets one request come so often, the first three at once, the rest a minute later.
func recordFatalArrivals(w *Watcher, count int) {
	for n := range count {
		at := time.Duration(n)
		if n >= quarantineThreshold {
			at += time.Minute
		}
		w.RecordFatalArrival(at, "deadly 1")
	}
}

// TestQuarantineDecided: a fatal request can be judged once its callers were told often enough that it is held back, or once it came
// to more workers than it may; not by what a few saw.
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
			t.Errorf("%d arrivals, %d times held back: settled %v", c.arrivals, c.quarantined, !c.decided)
		}
	}
}

// TestLowerLimitAppliesToWholeWindows: a window that began before the older limit ended may still hold what that allowed.
func TestLowerLimitAppliesToWholeWindows(t *testing.T) {
	constant := func(units float64) func(time.Duration) float64 { return func(time.Duration) float64 { return units } }
	for _, c := range []struct {
		at     time.Duration
		broken int
	}{{4 * time.Second, 0}, {7 * time.Second, 1}} {
		w := NewWatcher(time.Second, time.Second)
		w.RecordLimit("t", TenantLimit{Units: constant(100)})
		w.RecordLimit("t", TenantLimit{From: 4 * time.Second, Units: constant(10)})
		w.RecordRequest("a", false)
		w.RecordExecution(c.at, "a", "t", 50)
		if broken := w.Close(); len(broken) != c.broken {
			t.Errorf("at %v: %v", c.at, broken)
		}
	}
}

// openProxiedConnection returns a connection through a proxy from "a" to "b", its far end, and the proxy.
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

// TestProxyBlocksOneDirection: what travels on a silent link is held, the other way goes on, and all arrives once it is healed.
func TestProxyBlocksOneDirection(t *testing.T) {
	p, near, far := openProxiedConnection(t)
	send(t, near, far)
	p.Block(Link{"a", "b"})
	send(t, far, near)
	if _, err := io.WriteString(near, "y"); err != nil {
		t.Fatal(err)
	}
	_ = far.SetReadDeadline(time.Now().Add(5 * blockedPollInterval))
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Fatal("it passed a silent link")
	}
	_ = far.SetReadDeadline(time.Time{})
	p.Unblock(Link{"a", "b"})
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestProxyResetsBothEnds both ends.
func TestProxyResetsBothEnds(t *testing.T) {
	p, near, far := openProxiedConnection(t)
	send(t, near, far)
	p.Reset("b", "a")
	for _, end := range []net.Conn{near, far} {
		if _, err := end.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Fatalf("an end was not reset: %v", err)
		}
	}
}

// openConnection returns both ends of a connection that we opened: the opener's, and that which a listener accepted.
func openConnection(t *testing.T) (opener, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if opener, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opener.Close() })
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return opener, accepted
}

// TestOwnerCostIndependentOfSocketCount: what it costs to find who opened a connection does not grow with the machine's sockets. A proxy
// that reads them all for each connection starves the processes under test beside whatever holds many.
func TestOwnerCostIndependentOfSocketCount(t *testing.T) {
	const others, runs = 200, 3
	for range others {
		openConnection(t)
	}
	_, near := openConnection(t)
	if allocs := testing.AllocsPerRun(runs, func() { Owner(nil, near) }); allocs >= others {
		t.Fatalf("%.0f allocations to find the owner of one connection beside %d others", allocs, others)
	}
}

// TestSocketInodeIdentifiesEachEnd: told by the kernel, for each end its own opener.
func TestSocketInodeIdentifiesEachEnd(t *testing.T) {
	p := &Process{Name: "child", Args: []string{"/bin/sleep", "30"}, Log: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Stop(9)
	opener, near := openConnection(t)
	if name := Owner([]*Process{p}, near); name != "" {
		t.Fatalf("a connection of ours is %q's", name)
	}
	inode := socketInode(endpointOf(near.RemoteAddr()), endpointOf(near.LocalAddr()))
	socket := fmt.Sprintf("socket:[%d]", inode)
	if inode == 0 || !hasSocketOpen(os.Getpid(), socket) || hasSocketOpen(p.PID(), socket) {
		t.Fatalf("a connection of ours is not found: %s", socket)
	}
	if other := socketInode(endpointOf(opener.RemoteAddr()), endpointOf(opener.LocalAddr())); other == 0 || other == inode {
		t.Fatalf("both ends are socket %d", other)
	}
	_ = opener.Close()
	_ = near.Close()
	if inode := socketInode(endpointOf(near.RemoteAddr()), endpointOf(near.LocalAddr())); inode != 0 {
		t.Fatalf("a connection that has ended is socket %d", inode)
	}
}

// TestOwnerReturnsDialingProcess a connection to us, among several.
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
	near, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	if name := Owner([]*Process{other, dialer}, near); name != "dialer" {
		t.Fatalf("the connection of dialer is %q's", name)
	}
}

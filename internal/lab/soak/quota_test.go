package soak

import (
	"context"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// startBusy starts a process that uses all the processor time that it gets.
func startBusy(t *testing.T) *Process {
	t.Helper()
	p := &Process{Name: "busy", Args: []string{"/bin/sh", "-c", "while :; do :; done"}, Log: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Stop(syscall.SIGKILL) })
	return p
}

func TestProcessesKeepToTheirShares(t *testing.T) {
	p := startBusy(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*quotaPeriod)
	defer cancel()
	start := time.Now()
	RunQuotas(ctx, map[*Process]float64{p: 0.1})
	used, elapsed := p.ProcessorTime(), time.Since(start)
	if used == 0 || used > elapsed/2 {
		t.Fatalf("the process used %v of %v, its share is a tenth", used, elapsed)
	}
}

// TestHoldsOfAProcessOverlap guards against a process that goes on while a fault pauses it because its share allows it again.
func TestHoldsOfAProcessOverlap(t *testing.T) {
	p := startBusy(t)
	p.Hold()
	p.Hold()
	p.Release()
	time.Sleep(quotaPeriod) // signals arrive
	before := p.ProcessorTime()
	time.Sleep(quotaPeriod)
	if used := p.ProcessorTime() - before; used > 0 {
		t.Fatalf("the process used %v while it was held", used)
	}
	p.Release()
	for p.ProcessorTime() == before {
		time.Sleep(time.Millisecond)
	}
}

package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Now must follow CLOCK_BOOTTIME, which includes suspension, and not CLOCK_MONOTONIC.
func TestNowIncludesSuspension(t *testing.T) {
	bootTimeNow := func() time.Duration {
		var at unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
			t.Fatal(err)
		}
		return time.Duration(at.Nano())
	}
	before := bootTimeNow()
	now := processStart + Now()
	if after := bootTimeNow(); now < before || now > after {
		t.Fatalf("process start + Now() = %v, want between %v and %v", now, before, after)
	}
}

// A new source must start at zero and advance with its base.
func TestNewSourceStartsAtZero(t *testing.T) {
	at := 7 * time.Second
	source := NewSource(func() time.Duration { return at })
	if source() != 0 {
		t.Fatalf("new source starts at %v, want 0", source())
	}
	if at += 3 * time.Second; source() != 3*time.Second {
		t.Fatalf("source returns %v after 3 s, want 3s", source())
	}
	if system := NewSource(nil); system() < 0 || system() > time.Minute {
		t.Fatalf("source of the system clock starts at %v, want about 0", system())
	}
}

func BenchmarkNow(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Now()
	}
}

func BenchmarkMonotonic(b *testing.B) {
	start := time.Now()
	for b.Loop() {
		_ = time.Since(start)
	}
}

package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestNowIncludesSuspension: it is the kernel's clock that counts the time a machine was suspended, not the steady one.
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
		t.Fatalf("%v is not between %v and %v", now, before, after)
	}
}

// TestNewSourceStartsAtZero: and run as the one that they were made from.
func TestNewSourceStartsAtZero(t *testing.T) {
	at := 7 * time.Second
	source := NewSource(func() time.Duration { return at })
	if source() != 0 {
		t.Fatalf("it begins at %v", source())
	}
	if at += 3 * time.Second; source() != 3*time.Second {
		t.Fatalf("%v after 3 s", source())
	}
	if system := NewSource(nil); system() < 0 || system() > time.Minute {
		t.Fatalf("the machine's begins at %v", system())
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

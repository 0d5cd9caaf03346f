// Package clock measures elapsed time including the time during which the machine was suspended. Go's monotonic clock
// and timers stop during suspension. Leases and deadlines that other processes rely on must therefore be checked
// against this clock immediately before acting on them, not by a timer.
package clock

/*
#include <time.h>

static long long boot_time(void) {
	struct timespec at;
	if (clock_gettime(CLOCK_BOOTTIME, &at) != 0) {
		return -1;
	}
	return at.tv_sec * 1000000000LL + at.tv_nsec;
}
*/
import "C"

import "time"

// Source returns the time since a fixed moment. It is monotonic.
type Source func() time.Duration

var processStart = bootTime()

// Now returns the time since the process started. The C library reads the clock without a system call.
func Now() time.Duration { return bootTime() - processStart }

func bootTime() time.Duration {
	at := time.Duration(C.boot_time())
	if at < 0 {
		panic("clock: CLOCK_BOOTTIME is not available")
	}
	return at
}

// NewSource returns a source that starts at zero and advances with base, or with Now if base is nil.
func NewSource(base Source) Source {
	if base == nil {
		base = Now
	}
	start := base()
	return func() time.Duration { return base() - start }
}

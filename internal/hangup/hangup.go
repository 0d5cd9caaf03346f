// Package hangup keeps a program that imports it from being ended by SIGHUP before it can handle the signal. A platform may send
// SIGHUP to a process right after its start, and the Go runtime alone takes some milliseconds to start.
package hangup

/*
#include <signal.h>

// The C library calls it before the Go runtime starts, which then leaves the signal ignored until the program asks for it.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }

static void end_on_hangup(void) { signal(SIGHUP, SIG_DFL); }
*/
import "C"

// Default restores the usual effect of SIGHUP, for programs that end with their terminal. It must not be called after
// signal.Notify for SIGHUP.
func Default() { C.end_on_hangup() }

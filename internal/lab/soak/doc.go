// Package soak plays faults against real processes, from outside them, and checks promises by what callers and back ends see.
//
// A Proxy carries every connection between the processes under test and can delay, silence, cut one way or reset those of any
// pair. Processes are started, paused, killed and started again by their ids. A Plan says what goes wrong when; it is drawn
// from a seed, written to a file and read from one. Promises watch what was asked, run and answered. What the processes speak is
// the caller's matter.
package soak

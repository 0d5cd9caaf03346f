// Package soak injects faults into real processes from the outside and checks guarantees by what callers and back ends
// observe.
//
// A Proxy carries all connections between the processes under test; for each pair it can delay, block one direction of,
// or reset them. Processes are started, paused, killed and restarted by PID. A Plan is a schedule of faults, generated
// from a seed or read from a file. A Watcher records requests, executions and responses and reports violations. The
// package is independent of the protocol that the processes speak.
package soak

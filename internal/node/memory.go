package node

import "runtime/debug"

// memoryFraction is the part of a process's memory limit that the Go runtime may use. The rest is for what it does not
// count, such as the program itself, C libraries and unread bytes in sockets.
const memoryFraction = 0.75

// LimitMemory makes the garbage collector work harder when the process approaches its memory limit, given in megabytes; 0
// is no limit. It does not bound what is in use.
func LimitMemory(megabytes float64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * megabytes * (1 << 20)))
	}
}

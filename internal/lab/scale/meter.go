// Package scale measures the cost of each role by the number of nodes, engines, blocks, tenants, changes and requests.
// Real routers and control replicas run in this process together with emulated routers and engines that speak the same
// protocols. Profile labels attribute processor time to roles.
package scale

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"runtime/pprof"
	"sync/atomic"
	"time"

	"github.com/google/pprof/profile"
	"github.com/rotisserie/eris"
)

// Roles to which processor time is attributed.
const (
	roleControl  = "control"
	roleRouter   = "router"
	roleEmulated = "hollow" // emulated routers and engines, and callers
)

const roleLabel = "role"

// runWithRole attributes the processor time of run, and of goroutines that it starts, to a role.
func runWithRole(role string, run func()) {
	pprof.Do(context.Background(), pprof.Labels(roleLabel, role), func(context.Context) { run() })
}

// Usage is the processor time of a phase.
type Usage struct {
	Wall  time.Duration
	Cores map[string]float64 // processor time by role, divided by wall time; unlabelled work is distributed proportionally
}

// measure runs a workload for at least duration and returns its processor time by role.
func measure(duration time.Duration, workload func()) (Usage, error) {
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return Usage{}, eris.Wrap(err, "start CPU profile")
	}
	started := time.Now()
	workload()
	time.Sleep(time.Until(started.Add(duration)))
	wall := time.Since(started)
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&raw)
	if err != nil {
		return Usage{}, eris.Wrap(err, "parse CPU profile")
	}
	return Usage{Wall: wall, Cores: byRole(parsed, wall)}, nil
}

// byRole sums samples by role and distributes those without a role proportionally.
func byRole(parsed *profile.Profile, wall time.Duration) map[string]float64 {
	cores := map[string]float64{}
	labelled, unlabelled := 0.0, 0.0
	for _, sample := range parsed.Sample {
		seconds := time.Duration(sample.Value[len(sample.Value)-1]).Seconds()
		if role := sample.Label[roleLabel]; len(role) > 0 {
			cores[role[0]] += seconds
			labelled += seconds
			continue
		}
		unlabelled += seconds
	}
	for role := range cores {
		cores[role] *= (1 + unlabelled/max(labelled, 1e-9)) / wall.Seconds()
	}
	return cores
}

// heapInUse returns the bytes of allocated heap objects after garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// trafficCounter counts bytes received and sent.
type trafficCounter struct {
	in, out atomic.Int64
}

func (c *trafficCounter) total() float64 { return float64(c.in.Load() + c.out.Load()) }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counter *trafficCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.out.Add(int64(n))
	return n, err
}

// dial opens a counted connection.
func (c *trafficCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{connection, c}, nil
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{connection, l.counter}, nil
}

// listen opens a counted listener on a free loopback port.
func (c *trafficCounter) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen on loopback")
	}
	return countedListener{listener, c}, nil
}

// freeAddress returns an unused loopback address.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	return listener.Addr().String(), listener.Close()
}

// Package scale measures what each role costs against the number of nodes, engines, blocks, tenants, changes and
// requests. Real routers and control replicas run in this process beside hollow ones that speak the real internal
// protocol; processor time is told apart by role with profile labels.
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

// Roles by which processor time is told apart.
const (
	roleControl  = "control"
	roleRouter   = "router"
	roleEmulated = "hollow" // everything that only stands for others
)

const roleLabel = "role"

// runWithRole runs something with its processor time counted for a role; goroutines that it starts are counted too.
func runWithRole(role string, run func()) {
	pprof.Do(context.Background(), pprof.Labels(roleLabel, role), func(context.Context) { run() })
}

// Usage is what a phase cost.
type Usage struct {
	Wall  time.Duration
	Cores map[string]float64 // processor time by role over wall time; shared work of the runtime is spread by share
}

// measure runs a phase of a length and returns the processor time by role.
func measure(duration time.Duration, workload func()) (Usage, error) {
	var raw bytes.Buffer
	if err := pprof.StartCPUProfile(&raw); err != nil {
		return Usage{}, eris.Wrap(err, "start profile")
	}
	started := time.Now()
	workload()
	time.Sleep(time.Until(started.Add(duration)))
	wall := time.Since(started)
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&raw)
	if err != nil {
		return Usage{}, eris.Wrap(err, "read profile")
	}
	return Usage{Wall: wall, Cores: byRole(parsed, wall)}, nil
}

// byRole sums samples by label and spreads those without one.
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

// heapInUse returns the bytes in use after a collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// trafficCounter counts the bytes and connections that pass.
type trafficCounter struct {
	in, out atomic.Int64
}

func (c *trafficCounter) total() float64 { return float64(c.in.Load() + c.out.Load()) }

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	counter *trafficCounter
}

// Read reads and counts.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.out.Add(int64(n))
	return n, err
}

// dial makes connections that are counted.
func (c *trafficCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{connection, c}, nil
}

// countedListener counts what passes through accepted connections.
type countedListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept accepts a connection that is counted.
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

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	return listener.Addr().String(), listener.Close()
}

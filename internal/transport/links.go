package transport

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// LinkFile describes an emulated network between zones, for tests on one machine: the zone of each address, the latency
// between zones, and the zones that are partitioned from all others. The file is read again when it changes.
type LinkFile struct {
	Zones       map[string]string `json:"zones"` // zone by address
	LatencyMS   float64           `json:"latency_ms"`
	Partitioned []string          `json:"cut"`
}

const linkFilePollInterval = 100 * time.Millisecond

// LinkFilter applies the latency and partitions of a LinkFile to a process's connections. A nil LinkFilter does
// nothing.
type LinkFilter struct {
	zone string
	path string

	mutex    sync.RWMutex
	file     LinkFile
	modified time.Time
}

// WatchLinkFile reads the file and checks it for changes until ctx ends. It returns nil when path is empty.
func WatchLinkFile(ctx context.Context, path, zone string) *LinkFilter {
	if path == "" {
		return nil
	}
	links := &LinkFilter{zone: zone, path: path}
	links.reload()
	go links.watch(ctx)
	return links
}

func (l *LinkFilter) watch(ctx context.Context) {
	Every(ctx, linkFilePollInterval, l.reload)
}

func (l *LinkFilter) reload() {
	info, err := os.Stat(l.path)
	if err != nil || info.ModTime().Equal(l.modified) {
		return
	}
	data, err := os.ReadFile(l.path)
	if err != nil {
		return
	}
	var file LinkFile
	if json.Unmarshal(data, &file) != nil {
		return // partially written; retried at the next poll
	}
	l.mutex.Lock()
	l.file, l.modified = file, info.ModTime()
	l.mutex.Unlock()
}

// linkState returns whether an address is partitioned from this process, and the latency to it.
func (l *LinkFilter) linkState(address string) (partitioned bool, latency time.Duration) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	peerZone := l.file.Zones[address]
	if peerZone == "" || peerZone == l.zone {
		return false, 0
	}
	partitioned = slices.Contains(l.file.Partitioned, peerZone) || slices.Contains(l.file.Partitioned, l.zone)
	return partitioned, time.Duration(l.file.LatencyMS * float64(time.Millisecond))
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapDial returns a dial function whose connections have the latency of their link and transfer nothing while it is
// partitioned.
func (l *LinkFilter) wrapDial(dial dialFunc) dialFunc {
	if l == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := l.wait(ctx, address); err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		closeCtx, cancel := context.WithCancel(context.Background())
		return &linkConn{Conn: conn, links: l, address: address, closeCtx: closeCtx, cancel: cancel}, nil
	}
}

// wait blocks while the link is partitioned, like a network that drops packets, then for the latency.
func (l *LinkFilter) wait(ctx context.Context, address string) error {
	for {
		partitioned, latency := l.linkState(address)
		delay := latency
		if partitioned {
			delay = linkFilePollInterval
		}
		if delay > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(delay):
			}
		}
		if !partitioned {
			return nil
		}
	}
}

// linkConn is a connection over an emulated link. Latency is added to writes only.
type linkConn struct {
	net.Conn
	links    *LinkFilter
	address  string
	closeCtx context.Context // canceled by Close
	cancel   context.CancelFunc
}

// Write waits for the partition to end and for the latency, then writes.
func (c *linkConn) Write(data []byte) (int, error) {
	if err := c.links.wait(c.closeCtx, c.address); err != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Read reads, and withholds the data until the link is not partitioned.
func (c *linkConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	for {
		partitioned, _ := c.links.linkState(c.address)
		if !partitioned {
			return n, err
		}
		select {
		case <-c.closeCtx.Done():
			return 0, net.ErrClosed
		case <-time.After(linkFilePollInterval):
		}
	}
}

// Close closes the connection and unblocks pending reads and writes.
func (c *linkConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

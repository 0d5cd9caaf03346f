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

// LinkFile describes the network between zones, for tests on one machine: which addresses lie in which zone,
// how long a message takes between zones, and which zones are cut off. It is read again when it changes.
type LinkFile struct {
	Zones       map[string]string `json:"zones"` // zone by address
	LatencyMS   float64           `json:"latency_ms"`
	Partitioned []string          `json:"cut"`
}

const linkFilePollInterval = 100 * time.Millisecond

// LinkFilter filters a process's connections by a LinkFile. A nil LinkFilter passes everything.
type LinkFilter struct {
	zone string
	path string

	mutex    sync.RWMutex
	file     LinkFile
	modified time.Time
}

// WatchLinkFile reads the file now and then every linkFilePoll until ctx ends.
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
		return // half written; the next poll reads it whole
	}
	l.mutex.Lock()
	l.file, l.modified = file, info.ModTime()
	l.mutex.Unlock()
}

// linkState tells whether an address is cut off and how far it is.
func (l *LinkFilter) linkState(address string) (partitioned bool, latency time.Duration) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	zone := l.file.Zones[address]
	if zone == "" || zone == l.zone {
		return false, 0
	}
	partitioned = slices.Contains(l.file.Partitioned, zone) || slices.Contains(l.file.Partitioned, l.zone)
	return partitioned, time.Duration(l.file.LatencyMS * float64(time.Millisecond))
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapDial makes connections that go silent while their link is cut.
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

// wait blocks while the link is cut, as a network that drops packets does, then for the latency.
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

// linkConn is a connection over a filtered link. Latency is added to what is written.
type linkConn struct {
	net.Conn
	links    *LinkFilter
	address  string
	closeCtx context.Context // ends with Close
	cancel   context.CancelFunc
}

// Write waits for the link, then writes.
func (c *linkConn) Write(data []byte) (int, error) {
	if err := c.links.wait(c.closeCtx, c.address); err != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Read reads, and holds back what came while the link is cut.
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

// Close closes the connection and frees whoever waits for the link.
func (c *linkConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

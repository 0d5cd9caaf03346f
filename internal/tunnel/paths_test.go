package tunnel

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kitetiller/internal/reachability"
)

// pathClient is a process with Paths, whose direct connections can be cut off.
type pathClient struct {
	*testClient
	paths    *Paths
	backends []string
	cut      atomic.Bool // direct connections are established, but carry nothing
	delay    atomic.Int64
	direct   atomic.Int64 // connections
}

func newPathClient(t *testing.T, peers ...*testPeer) *pathClient {
	t.Helper()
	c := &pathClient{testClient: newTestClient(peers...)}
	for range 4 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Duration(c.delay.Load()))
			_, _ = io.WriteString(w, "{}")
		}))
		t.Cleanup(server.Close)
		c.backends = append(c.backends, strings.TrimPrefix(server.URL, "http://"))
	}
	c.config.Direct = c.dial
	c.config.Verify = func(ctx context.Context, conn net.Conn, address string) error {
		return Ask(ctx, conn, address, "/state")
	}
	c.config.Disconnected = func() bool { return c.paths.IsDisconnected() }
	c.paths = NewPaths(PathsConfig{
		Dialer: c.Dialer, Now: c.config.Now, BackEnds: func() int { return len(c.backends) },
		AskDirectly: func(ctx context.Context, address string) error {
			askedAt := c.config.Now()
			err := Probe(ctx, c.dial, address, "/state")
			if err == nil {
				c.paths.RecordAnswer(address, askedAt, true)
			}
			return err
		},
		Pick: func(count int) (picked []string) {
			for _, i := range rand.Perm(len(c.backends))[:count] {
				picked = append(picked, c.backends[i])
			}
			return picked
		},
		Patience:   func(string) time.Duration { return 100 * time.Millisecond },
		OnLost:     func(state reachability.State, _ time.Duration) { c.note(state.String()) },
		OnRestored: func() { c.note("connected") },
	})
	t.Cleanup(c.paths.Close)
	return c
}

func (c *pathClient) dial(ctx context.Context, address string) (net.Conn, error) {
	c.direct.Add(1)
	if !c.cut.Load() {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	return near, nil
}

// A process whose connections are established but carry nothing finds out by one back end that its paths to all are lost, although
// half of its peers are cut off as well and don't know, and goes directly again once it can.
func TestSilentConnectionsAreTakenForLostPaths(t *testing.T) {
	cutOff := []*testPeer{newTestPeer(t), newTestPeer(t)}
	for _, peer := range cutOff {
		peer.silent.Store(true)
	}
	client := newPathClient(t, cutOff[0], newTestPeer(t), cutOff[1], newTestPeer(t))
	client.cut.Store(true)
	waitFor(t, func() bool {
		client.paths.Suspect(client.backends[0], client.config.Now()-100*time.Millisecond)
		return client.paths.IsDisconnected()
	})
	for _, address := range client.backends {
		if !client.MayBypass(address, false) {
			t.Fatalf("peers aren't asked for %s", address)
		}
		dialed, err := client.Dial(t.Context(), address, false)
		if err != nil || dialed.Peer == "" {
			t.Fatalf("dialed %+v, %v", dialed, err)
		}
		if err := Ask(t.Context(), dialed, address, "/"); err != nil {
			t.Error(err)
		}
		_ = dialed.Close()
	}
	client.cut.Store(false)
	waitFor(t, func() bool { return client.paths.State() == reachability.Connected })
	if client.LostCount() > 0 {
		t.Errorf("%d paths stay lost", client.LostCount())
	}
}

// Back ends that reply late to everybody aren't taken for lost paths, and aren't asked over and over.
func TestLateBackEndsAreNoLostPaths(t *testing.T) {
	peer := newTestPeer(t)
	other := newPathClient(t)
	peer.paths = other.paths
	client := newPathClient(t, peer)
	for _, c := range []*pathClient{client, other} {
		c.delay.Store(int64(300 * time.Millisecond))
		if err := c.paths.config.AskDirectly(t.Context(), c.backends[1]); err != nil {
			t.Fatal(err)
		}
	}
	const tries = 40
	for range tries {
		client.paths.Suspect(client.backends[0], client.config.Now()-100*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
	if state := client.paths.State(); state != reachability.Connected || client.LostCount() > 0 {
		t.Errorf("state %v, %d paths lost", state, client.LostCount())
	}
	if connections := client.direct.Load() + other.direct.Load(); connections > tries/2 {
		t.Errorf("%d direct connections", connections)
	}
}

// A process proves for a peer that back ends answer it, by what it sent itself or by a question, and can't once it is cut off.
func TestProofFollowsAnswers(t *testing.T) {
	client := newPathClient(t, newTestPeer(t))
	client.paths.config.AskAny = func(ctx context.Context) error { return client.paths.config.AskDirectly(ctx, client.backends[1]) }
	if outcome := client.paths.Prove(t.Context(), 0); outcome != Proven {
		t.Fatalf("got %q, want %q", outcome, Proven)
	}
	client.cut.Store(true)
	if outcome := client.paths.Prove(t.Context(), time.Minute); outcome != Proven {
		t.Errorf("got %q of what was answered before, want %q", outcome, Proven)
	}
	if outcome := client.paths.Prove(t.Context(), 0); outcome != Unproven {
		t.Errorf("got %q, want %q", outcome, Unproven)
	}
	waitFor(t, func() bool {
		client.paths.Suspect(client.backends[0], client.config.Now()-100*time.Millisecond)
		return client.paths.Prove(t.Context(), 0) == Disconnected
	})
}

// A process of which seven of eight peers are cut off is led by them to the one that has paths, even if it wasn't told of it.
func TestDisconnectedPeersNameOthers(t *testing.T) {
	sound := newTestPeer(t)
	var peers []*testPeer
	for range 7 {
		peer := newTestPeer(t)
		peer.disconnected.Store(true)
		peers = append(peers, peer)
	}
	peers[3].alternative = sound.address
	client := newPathClient(t, peers...)
	client.cut.Store(true)
	dialed, err := client.Bypass(t.Context(), client.backends[0])
	if err != nil || dialed.Peer != sound.address {
		t.Fatalf("dialed %q, %v, want %q", dialed.Peer, err, sound.address)
	}
	_ = dialed.Close()
}

// A tunnel carries several requests, and is idle after each, until the back end or the peer ends it.
func TestTunnelIsUsedAgain(t *testing.T) {
	client := newPathClient(t, newTestPeer(t))
	client.config.DialPeer = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 3*bufferSize))
	}))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	dialed, err := client.Bypass(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	tunneled := dialed.Conn.(*Conn)
	for range 50 {
		if !tunneled.IsIdle() {
			t.Fatal("not idle after a whole answer")
		}
		if err := Ask(t.Context(), tunneled, address, "/"); err != nil {
			t.Fatal(err)
		}
	}
	if err := Ask(t.Context(), tunneled, address, "/last"); !errors.Is(err, ErrConnectionEnds) {
		t.Fatalf("got %v, want ErrConnectionEnds", err)
	}
	waitFor(t, func() bool { return !tunneled.IsIdle() })
}

// Peers of all zones are asked from the first, as a whole zone may be cut off.
func TestPeersOfAllZonesAreAsked(t *testing.T) {
	records := newPeerRecords()
	groups := [][]string{{"own-1", "own-2", "own-3", "own-4"}, {"other-1", "other-2", "other-3", "other-4"}}
	others := 0
	const draws = 400
	for range draws {
		for _, peer := range records.Candidates(0, "a", groups)[:maxPeersAsked] {
			if strings.HasPrefix(peer, "other") {
				others++
			}
		}
	}
	if share := float64(others) / (draws * maxPeersAsked); share < 0.4 || share > 0.6 {
		t.Errorf("%.2f of the peers asked are of other zones, want half", share)
	}
	records.RecordAnswer(0, "own-2")
	records.RecordAnswer(0, "other-3")
	if first := records.Candidates(1, "a", groups)[:2]; first[0] != "own-2" || first[1] != "other-3" {
		t.Errorf("%v are asked first, want those that have paths, the near one before", first)
	}
}

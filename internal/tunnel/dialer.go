package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// directHeadStart is how long a direct connection may take before a peer is asked as well, and peerHeadStart how long
	// a peer may take before the next one is asked. They are multiples of the round trip to another zone.
	directHeadStart = 75 * time.Millisecond
	peerHeadStart   = 100 * time.Millisecond
	// probeTimeout bounds a probe of a lost path, and maxProbes how many run at once: each takes a connection of a back end that
	// may only be slow.
	probeTimeout = 3 * time.Second
	maxProbes    = 2
)

// Config connects a Dialer to its process.
type Config struct {
	Token string
	// Direct connects to a back end.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Probe checks whether a back end answers on a direct connection.
	Probe func(ctx context.Context, address string) error
	// Verify asks a back end a question on a connection that carries nothing else, and waits for the whole reply, or returns
	// ErrConnectionEnds if that ended the connection. It is called where a reply through a peer is to show that a direct path is lost.
	// nil: a connection shows it.
	Verify func(ctx context.Context, conn net.Conn, address string) error
	// Patience returns how long the reply to such a question may take before another peer is asked as well. nil: peerHeadStart.
	Patience func(address string) time.Duration
	// Disconnected reports whether the direct paths to all back ends are lost. nil: they never are.
	Disconnected func() bool
	// Peers returns the addresses at which other processes open tunnels, in groups, nearest first.
	Peers func() [][]string
	// DialPeer connects to a peer.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	Now      func() time.Duration
	// OnLost is called when a path is lost, of which a direct connection was tried from a time on, and OnRestored when it is restored.
	OnLost     func(address, peer string, cause Cause, triedAt time.Duration)
	OnRestored func(address string, lostFor time.Duration)
	// Observe is called with the result of each request to a peer.
	Observe func(peer string, outcome Outcome)
}

// Dialer connects to back ends, directly or through peers. It is safe for concurrent use.
type Dialer struct {
	config Config

	mu     sync.Mutex
	table  *Table // guarded by mu
	probes int    // that run; guarded by mu
}

// NewDialer returns a dialer without lost paths.
func NewDialer(config Config) *Dialer { return &Dialer{config: config, table: NewTable()} }

// Dialed is an established connection.
type Dialed struct {
	net.Conn
	Peer string // that carries the tunnel, or "" for a direct connection
}

// RefusedError is returned if a back end refuses connections from this process and from the peers that were asked.
type RefusedError struct{ cause error }

// Error returns the error of the direct connection or of the peers.
func (e *RefusedError) Error() string { return e.cause.Error() }

// Unwrap returns the same error.
func (e *RefusedError) Unwrap() error { return e.cause }

// IsRefused reports whether an error of Dial proves that nothing listens at the address. A direct connection alone
// proves it only if there are no peers, since a partition may refuse connections as well.
func IsRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// IsLost reports whether the direct path to an address is lost.
func (d *Dialer) IsLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsLost(address)
}

// MayBypass reports whether peers are to be asked for an address whose direct path is lost or suspected to be. They are not while
// none of them could help.
func (d *Dialer) MayBypass(address string, suspected bool) bool {
	suspected = suspected || d.IsDisconnected()
	d.mu.Lock()
	defer d.mu.Unlock()
	return (suspected || d.table.IsLost(address)) && !d.table.Failed(d.config.Now(), address)
}

// IsDisconnected reports whether the direct paths to all back ends are lost.
func (d *Dialer) IsDisconnected() bool {
	return d.config.Disconnected != nil && d.config.Disconnected()
}

// RestoreAll makes no path count as lost any more.
func (d *Dialer) RestoreAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RestoreAll()
}

// RecordAnswer records that a back end answered through a peer.
func (d *Dialer) RecordAnswer(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordAnswer(d.config.Now(), peer)
}

// RecordSilent records that a back end that a peer had connected to didn't answer through it.
func (d *Dialer) RecordSilent(peer, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordSilent(d.config.Now(), peer, address)
}

// ProvenPeers returns up to a number of peers through which back ends answered lately.
func (d *Dialer) ProvenPeers(most int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Proven(d.config.Now(), most)
}

// LostCount returns the number of lost paths.
func (d *Dialer) LostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Len()
}

// Sweep removes state of addresses that are no longer known.
func (d *Dialer) Sweep(known func(address string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Sweep(d.config.Now(), known)
}

// Dial connects to an address. suspected means that the process received nothing on its direct connections lately, so
// that peers are asked first.
func (d *Dialer) Dial(ctx context.Context, address string, suspected bool) (Dialed, error) {
	if d.MayBypass(address, suspected) {
		if dialed, err := d.Bypass(ctx, address); err == nil || IsRefused(err) {
			return dialed, err
		}
	}
	return d.DialDirect(ctx, address)
}

// Bypass connects through a peer. It returns a RefusedError if the direct path is lost and the address refuses the connections of
// peers.
func (d *Dialer) Bypass(ctx context.Context, address string) (Dialed, error) {
	triedAt := d.config.Now()
	disconnected, lost := d.IsDisconnected(), d.IsLost(address)
	if lost && !disconnected {
		d.probeIfDue(address)
	}
	dialed, err := d.dialPeers(ctx, address, peerDial{headStart: peerHeadStart, verifies: !lost && !disconnected})
	switch {
	case err == nil && !lost && !disconnected: // else a probe may have succeeded meanwhile
		d.recordLost(address, dialed.Peer, CauseSilent, triedAt)
	case err != nil && (lost || disconnected) && allRefused(err):
		return Dialed{}, &RefusedError{syscall.ECONNREFUSED}
	case err != nil && ctx.Err() == nil:
		d.recordFailed(address)
	}
	return dialed, err
}

// Refuses reports whether nothing listens at an address.
func (d *Dialer) Refuses(ctx context.Context, address string) bool {
	triedAt := d.config.Now()
	refusal := d.refusesDirectly(ctx, address)
	if refusal == nil {
		return false
	}
	dialed, err := d.confirmRefusal(ctx, address, triedAt, refusal)
	if dialed.Conn != nil {
		_ = dialed.Close()
	}
	return IsRefused(err)
}

// RefusesDirectly reports whether an address refuses connections from this process. To one that had a direct connection there
// until now, it means the same as Refuses, whatever peers would say.
func (d *Dialer) RefusesDirectly(ctx context.Context, address string) bool {
	return d.refusesDirectly(ctx, address) != nil
}

// refusesDirectly returns the refusal of a direct connection, or nil.
func (d *Dialer) refusesDirectly(ctx context.Context, address string) error {
	conn, err := d.config.Direct(ctx, address)
	if err == nil {
		_ = conn.Close()
		return nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	return err
}

// dialResult is the result of one way to connect.
type dialResult struct {
	dialed Dialed
	err    error
}

// DialDirect connects directly, and through a peer if that fails or takes longer than directHeadStart.
func (d *Dialer) DialDirect(ctx context.Context, address string) (Dialed, error) {
	triedAt := d.config.Now()
	direct := make(chan dialResult, 1)
	go func() {
		// Its result counts even if a peer connects first and the request is over soon.
		conn, err := d.config.Direct(context.WithoutCancel(ctx), address)
		direct <- dialResult{Dialed{Conn: conn}, err}
	}()
	select {
	case result := <-direct:
		return d.afterDirect(ctx, address, triedAt, result)
	case <-ctx.Done():
		go closeLate(direct)
		return Dialed{}, ctx.Err()
	case <-time.After(directHeadStart):
	}
	if !d.beginHedge(address) {
		return d.afterDirect(ctx, address, triedAt, await(ctx, direct))
	}
	defer d.endHedge(address)
	return d.hedge(ctx, address, triedAt, direct)
}

// hedge connects through a peer while a direct connection is pending, and returns the connection that is established
// first.
func (d *Dialer) hedge(ctx context.Context, address string, triedAt time.Duration, direct <-chan dialResult) (Dialed, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := make(chan dialResult, 1)
	go func() {
		dialed, err := d.dialPeers(ctx, address, peerDial{headStart: peerHeadStart})
		peers <- dialResult{dialed, err}
	}()
	select {
	case result := <-direct:
		if result.err == nil {
			go closeLate(peers)
			return result.dialed, nil
		}
		other := await(ctx, peers)
		if other.err != nil {
			return Dialed{}, result.err
		}
		d.recordLost(address, other.dialed.Peer, CauseDial, triedAt)
		return other.dialed, nil
	case result := <-peers:
		if result.err != nil {
			late := await(ctx, direct)
			return late.dialed, late.err
		}
		go d.judgeDirect(direct, address, result.dialed.Peer, triedAt)
		return result.dialed, nil
	case <-ctx.Done():
		go closeLate(direct)
		go closeLate(peers)
		return Dialed{}, ctx.Err()
	}
}

// await returns the next result, or closes it when it comes if ctx is done before.
func await(ctx context.Context, results <-chan dialResult) dialResult {
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		go closeLate(results)
		return dialResult{err: ctx.Err()}
	}
}

func (d *Dialer) beginHedge(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.BeginHedge(address)
}

func (d *Dialer) endHedge(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.EndHedge(address)
}

// judgeDirect records a path as lost if the direct connection fails after a peer has connected.
func (d *Dialer) judgeDirect(direct <-chan dialResult, address, peer string, triedAt time.Duration) {
	result := <-direct
	if result.err != nil {
		d.recordLost(address, peer, CauseDial, triedAt)
		return
	}
	_ = result.dialed.Close()
}

func closeLate(results <-chan dialResult) {
	if result := <-results; result.err == nil {
		_ = result.dialed.Close()
	}
}

// afterDirect returns a direct connection or, if that failed, one through a peer.
func (d *Dialer) afterDirect(ctx context.Context, address string, triedAt time.Duration, result dialResult) (Dialed, error) {
	if result.err == nil || ctx.Err() != nil {
		return result.dialed, result.err
	}
	if errors.Is(result.err, syscall.ECONNREFUSED) {
		return d.confirmRefusal(ctx, address, triedAt, result.err)
	}
	dialed, err := d.dialPeers(ctx, address, peerDial{headStart: peerHeadStart})
	if err != nil {
		return Dialed{}, result.err
	}
	d.recordLost(address, dialed.Peer, CauseDial, triedAt)
	return dialed, nil
}

// confirmRefusal asks peers for an address that refuses direct connections. It returns a RefusedError if all that were
// asked report the same, or if there are none.
func (d *Dialer) confirmRefusal(ctx context.Context, address string, triedAt time.Duration, refusal error) (Dialed, error) {
	dialed, err := d.dialPeers(ctx, address, peerDial{})
	switch {
	case err == nil:
		d.recordLost(address, dialed.Peer, CauseDial, triedAt)
		return dialed, nil
	case errors.Is(err, errNoPeers), allRefused(err):
		return Dialed{}, &RefusedError{refusal}
	}
	return Dialed{}, refusal
}

func (d *Dialer) recordLost(address, peer string, cause Cause, triedAt time.Duration) {
	d.mu.Lock()
	isNew := d.table.RecordLost(d.config.Now(), address)
	d.mu.Unlock()
	if isNew {
		d.config.OnLost(address, peer, cause, triedAt)
	}
}

// recordFailed records that no peer opened a tunnel to an address, unless some were not asked yet.
func (d *Dialer) recordFailed(address string) {
	if remaining, _ := d.candidates(address); len(remaining) > 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordFailed(d.config.Now(), address)
}

// probeIfDue starts a probe of a lost path if one is due.
func (d *Dialer) probeIfDue(address string) {
	d.mu.Lock()
	due := d.probes < maxProbes && d.table.BeginProbe(d.config.Now(), address)
	if due {
		d.probes++
	}
	d.mu.Unlock()
	if due {
		go d.probe(address)
	}
}

func (d *Dialer) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := d.config.Probe(ctx, address)
	d.mu.Lock()
	d.probes--
	lostFor := d.table.EndProbe(d.config.Now(), address, err == nil)
	d.mu.Unlock()
	if lostFor > 0 {
		d.config.OnRestored(address, lostFor)
	}
}

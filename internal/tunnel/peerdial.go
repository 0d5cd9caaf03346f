package tunnel

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxPeersAsked bounds the peers asked for one connection, besides those that lack a path themselves.
	maxPeersAsked = 3
	// maxPeersDialed bounds them together with those.
	maxPeersDialed = 24
	// openTimeout bounds the time until a peer has opened a tunnel.
	openTimeout = 450 * time.Millisecond
)

// errNoPeers is returned if no peer is known that may be asked.
var errNoPeers = eris.New("no peers")

// peersError is returned if none of the peers asked opened a tunnel.
type peersError struct {
	allRefused bool // each peer found that the address refuses connections
	last       error
}

// Error returns the last peer's error.
func (e *peersError) Error() string { return e.last.Error() }

// allRefused reports whether an error of dialPeers means that the address refuses connections from each peer.
func allRefused(err error) bool {
	var failure *peersError
	return errors.As(err, &failure) && failure.allRefused
}

// peerDial says how peers are asked for an address.
type peerDial struct {
	headStart time.Duration // of a peer before the next one
	verifies  bool          // the back end must answer, also through a peer that is proven
}

// dialPeers asks peers one after the other, each one headStart after the one before or when that failed, and returns the
// first tunnel that is opened. Peers that lack a path themselves say so at once and don't count as asked.
func (d *Dialer) dialPeers(ctx context.Context, address string, how peerDial) (Dialed, error) {
	candidates, known := d.candidates(address)
	if !known {
		return Dialed{}, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	results := make(chan dialResult, maxPeersDialed)
	failure := &peersError{allRefused: len(candidates) > 0, last: errNoPeers}
	if d.config.Patience != nil && how.headStart > 0 {
		how.headStart = max(how.headStart, d.config.Patience(address))
	}
	running, asked, next := 0, 0, 0
	for {
		var nextDue <-chan time.Time
		if next < len(candidates) && asked < maxPeersAsked && next < maxPeersDialed {
			peer := candidates[next]
			go func() {
				dialed, err := d.openTunnel(ctx, peer, address, how.verifies)
				results <- dialResult{dialed, err}
			}()
			next, asked, running = next+1, asked+1, running+1
			nextDue = time.After(how.headStart)
		}
		if running == 0 {
			break
		}
		select {
		case result := <-results:
			running--
			if result.err == nil {
				cancel()
				go closeRemaining(results, running)
				return result.dialed, nil
			}
			failure.add(result.err)
			if lacksPath(result.err) {
				asked--
				candidates = d.addReferred(candidates, address)
			}
		case <-nextDue:
		}
	}
	cancel()
	return Dialed{}, failure
}

// addReferred adds the peers that others have named to the candidates for an address.
func (d *Dialer) addReferred(candidates []string, address string) []string {
	more, _ := d.candidates(address)
	for _, peer := range more {
		if !slices.Contains(candidates, peer) {
			candidates = append(candidates, peer)
		}
	}
	return candidates
}

// add adds the error of a peer.
func (e *peersError) add(err error) {
	var outcome *OutcomeError
	e.allRefused = e.allRefused && errors.As(err, &outcome) && outcome.Outcome == Refused
	e.last = err
}

// lacksPath reports whether an error is that of a peer without a path of its own.
func lacksPath(err error) bool {
	var outcome *OutcomeError
	return errors.As(err, &outcome) && (outcome.Outcome == PathLost || outcome.Outcome == Disconnected || outcome.Outcome == Unproven)
}

func closeRemaining(results <-chan dialResult, running int) {
	for range running {
		closeLate(results)
	}
}

// candidates returns the peers to ask for an address, and whether any peer is known.
func (d *Dialer) candidates(address string) (chosen []string, known bool) {
	groups := d.config.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	known = slices.ContainsFunc(groups, func(group []string) bool { return len(group) > 0 })
	return d.table.Candidates(d.config.Now(), address, groups), known
}

// openTunnel asks one peer to open a tunnel, and makes sure that the back end answers through it if that is wanted.
func (d *Dialer) openTunnel(ctx context.Context, peer, address string, verifies bool) (Dialed, error) {
	dialed, err := d.openUnverified(ctx, peer, address)
	if err != nil || d.config.Verify == nil || !verifies {
		return dialed, err
	}
	stop := context.AfterFunc(ctx, func() { _ = dialed.Close() })
	err = d.config.Verify(ctx, dialed.Conn, address)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	switch {
	case err == nil:
		d.RecordAnswer(peer)
		return dialed, nil
	case errors.Is(err, ErrConnectionEnds):
		_ = dialed.Close()
		d.RecordAnswer(peer)
		return d.openUnverified(ctx, peer, address)
	}
	_ = dialed.Close()
	if !errors.Is(ctx.Err(), context.Canceled) {
		d.config.Observe(peer, Silent)
		d.RecordSilent(peer, address)
	}
	return Dialed{}, &OutcomeError{Outcome: Silent}
}

// IsProven reports whether a back end answered through a peer lately.
func (d *Dialer) IsProven(peer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsProven(d.config.Now(), peer)
}

// openUnverified asks one peer to open a tunnel. In place of a lost path one that isn't proven has to prove that back ends answer it, as
// a peer that is cut off connects as well if something between accepts connections.
func (d *Dialer) openUnverified(ctx context.Context, peer, address string) (Dialed, error) {
	conn, err := d.config.DialPeer(ctx, peer)
	if err != nil {
		d.recordRefusal(ctx, peer, address, err)
		return Dialed{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	deadline, _ := ctx.Deadline()
	isLost := d.IsDisconnected() || d.IsLost(address)
	opened, err := open(conn, openRequest{token: d.config.Token, address: address, isLost: isLost, needsProof: isLost && !d.IsProven(peer)}, deadline)
	if !stop() && err == nil {
		err = context.Cause(ctx) // the connection is being closed
	}
	if err != nil {
		_ = conn.Close()
		d.recordRefusal(ctx, peer, address, err)
		return Dialed{}, err
	}
	d.config.Observe(peer, Opened)
	return Dialed{Conn: opened, Peer: peer}, nil
}

// recordRefusal records that a peer did not open a tunnel, unless the request was canceled.
func (d *Dialer) recordRefusal(ctx context.Context, peer, address string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	outcome := Unreachable
	var reported *OutcomeError
	if errors.As(err, &reported) {
		outcome = reported.Outcome
	}
	d.config.Observe(peer, outcome)
	if outcome == Refused {
		return // the back end may be back at any moment
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome {
	case Disconnected:
		d.table.RecordDisconnected(d.config.Now(), peer, reported.Alternatives)
	case Unproven:
		d.table.RecordRefusal(d.config.Now(), peer, anyAddress)
	default:
		d.table.RecordRefusal(d.config.Now(), peer, address)
	}
}

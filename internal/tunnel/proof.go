package tunnel

import (
	"context"
	"time"
)

// maxProofPeers is how many peers are asked at once whether back ends answer them.
const maxProofPeers = 8

// anyAddress stands for all addresses in what is recorded of peers.
const anyAddress = ""

// AskProof asks some peers at once whether back ends answer them what was sent within a time, and reports whether they do for any.
func (d *Dialer) AskProof(ctx context.Context, within time.Duration) bool {
	candidates, _ := d.candidates(anyAddress)
	candidates = candidates[:min(len(candidates), maxProofPeers)]
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	proofs := make(chan bool, len(candidates))
	for _, peer := range candidates {
		go func() { proofs <- d.askProof(ctx, peer, within) }()
	}
	for range candidates {
		if <-proofs {
			return true
		}
	}
	return false
}

// askProof asks one peer whether back ends answer it.
func (d *Dialer) askProof(ctx context.Context, peer string, within time.Duration) bool {
	conn, err := d.config.DialPeer(ctx, peer)
	if err != nil {
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	outcome, err := askProof(conn, d.config.Token, within)
	if err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome.Outcome {
	case Disconnected:
		d.table.RecordDisconnected(d.config.Now(), peer, outcome.Alternatives)
	case Unproven:
		d.table.RecordRefusal(d.config.Now(), peer, anyAddress) // others are asked first next time
	case Proven:
		d.table.RecordAnswer(d.config.Now(), peer)
	}
	return outcome.Outcome == Proven
}

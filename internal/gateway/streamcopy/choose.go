// Package streamcopy decides which engine keeps the copy of a stream's run, whether a stream that broke off may continue
// there, and whether the events of the continuation follow those that the caller has. Its functions are pure: the
// gateway gathers what they decide on, and does the sending.
package streamcopy

import "time"

const (
	// sampleSize is how many engines are considered for a copy. The sample differs from run to run, so that gateways
	// with equal knowledge spread their copies. If none of the sample qualifies, up to maxScan more are considered; a
	// scan of some 3,000 would take longer than the placement of the request.
	sampleSize = 16
	maxScan    = 128
	// maxMemoryShare is the share of an engine's memory up to which copies are sent there. The rest is left to cached
	// prompts, and to copies of other gateways, which are not known.
	maxMemoryShare = 0.7
	// maxTransfer is the longest transfer of a run's prompt to the engine that keeps the copy. Most streams last 0.3 to
	// 1 s; a copy that is complete only near their end costs its transfer and saves little.
	maxTransfer = 150 * time.Millisecond
	// maxCrossZoneFactor is how many times longer than within a zone the transfer to another zone may take.
	maxCrossZoneFactor = 2
)

// Run is a run of which a copy is wanted.
type Run struct {
	Seed              uint64        // differs from run to run
	Zone              string        // of its engine
	Version           uint64        // of the weights that it runs on; 0 if unknown
	Software          string        // version of its engine's software; "" if unknown
	Tokens            int           // of memory that the run needs at most
	OutputTokens      int           // that are left, at most; 0 if unknown
	EventTokens       int           // that one event carries; 0 if unknown
	Transfer          time.Duration // of the prompt to an engine of the same zone
	CrossZoneTransfer time.Duration // to one of another zone
}

// WantsCopy reports whether a copy can be of use to the run. A stream of a single event is complete before a copy of it
// could be used, and without the versions nobody could tell whether the copy's engine has the same weights and software.
func (r Run) WantsCopy() bool {
	return r.Version > 0 && r.Software != "" && r.OutputTokens > max(1, r.EventTokens)
}

// Engine is what is known of an engine that might keep a copy.
type Engine struct {
	Hash         uint64 // of its address
	Zone         string
	Usable       bool   // it may be sent requests, answers, and does not run the request itself
	Version      uint64 // of its weights; 0 if unknown
	Software     string // version of its software; "" if unknown
	Running      int    // requests
	Slots        int    // 0 if unknown
	UsedTokens   int    // memory of the running requests
	MemoryTokens int    // 0 if unknown
	JustStarted  bool   // an engine that has crashed often does so again
	Copies       int    // that it keeps for this gateway
	CopyTokens   int    // memory of these
}

// qualifies reports whether an engine may keep the run's copy: it could continue the run at once.
func (e *Engine) qualifies(r *Run) bool {
	switch {
	case !e.Usable, e.Version != r.Version, e.Software != r.Software:
		return false
	case e.Slots > 0 && e.Running+e.Copies >= e.Slots:
		return false
	case e.MemoryTokens > 0 && float64(e.UsedTokens+e.CopyTokens+r.Tokens) > maxMemoryShare*float64(e.MemoryTokens):
		return false
	}
	return r.transferTo(e.Zone) <= maxTransfer
}

func (r *Run) transferTo(zone string) time.Duration {
	if zone == r.Zone {
		return r.Transfer
	}
	return r.CrossZoneTransfer
}

// rank orders qualifying engines; the lowest is chosen.
type rank struct {
	justStarted bool
	otherZone   bool // not in the preferred zones
	copies      int
	weight      uint64 // differs from run to run
}

func (a rank) less(b rank) bool {
	switch {
	case a.justStarted != b.justStarted:
		return b.justStarted
	case a.otherZone != b.otherZone:
		return b.otherZone
	case a.copies != b.copies:
		return a.copies < b.copies
	}
	return a.weight < b.weight
}

func (r *Run) rank(e *Engine) rank {
	leaveZone := r.CrossZoneTransfer <= maxCrossZoneFactor*r.Transfer
	return rank{justStarted: e.JustStarted, otherZone: (e.Zone != r.Zone) != leaveZone, copies: e.Copies, weight: mix(r.Seed ^ e.Hash)}
}

// Choose returns the index of the engine that keeps the run's copy, of count engines, or -1 if none is found. Engines that
// have just started come last. An engine in another zone is preferred where the transfer there takes at most twice as
// long, else one in the same zone; then one with few copies. Among equals the choice depends on the seed only.
func Choose(run Run, count int, engine func(i int) Engine) int {
	if !run.WantsCopy() {
		return -1
	}
	best, bestRank := -1, rank{}
	consider := func(i int) {
		e := engine(i)
		if !e.qualifies(&run) {
			return
		}
		if candidate := run.rank(&e); best < 0 || candidate.less(bestRank) {
			best, bestRank = i, candidate
		}
	}
	if count > sampleSize {
		for n := range uint64(sampleSize) {
			consider(int(mix(run.Seed+n) % uint64(count)))
		}
		if best >= 0 {
			return best
		}
	}
	for n := range min(count, maxScan) {
		if count > maxScan {
			n = int(mix(run.Seed+uint64(sampleSize+n)) % uint64(count))
		}
		consider(n)
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

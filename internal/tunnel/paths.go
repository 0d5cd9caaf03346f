package tunnel

import (
	"context"
	"sync"
	"time"

	"kitetiller/internal/reachability"
)

const (
	// comparedBackEnds is how many back ends a comparison asks at once.
	comparedBackEnds = 2
	// restoreInterval is how often a back end is asked directly while paths are lost, and restoreTimeout bounds each question.
	restoreInterval = time.Second
	restoreTimeout  = 3 * time.Second
	// maxRestoreQuestions is how many are asked one after the other once one has replied.
	maxRestoreQuestions = 4
	// comparisonTimeout bounds a direct question of a comparison.
	comparisonTimeout = 15 * time.Second
)

// PathsConfig connects Paths to its process.
type PathsConfig struct {
	Dialer *Dialer
	Now    func() time.Duration
	// AskDirectly asks a back end a question that takes it no time on a direct connection, and returns once it has replied. It reports
	// the reply to RecordAnswer. If mayReuse is set, the connection may be one that is open.
	AskDirectly func(ctx context.Context, address string, mayReuse bool) error
	// Pick returns up to a number of back ends that can be asked, first among them if it can.
	Pick func(first string, count int) []string
	// Patience returns how long a direct reply of a back end may take before peers are asked as well.
	Patience func(address string) time.Duration
	// IsCongested reports whether a back end's service is short of capacity, so that comparisons take as little of it as they can.
	IsCongested func(address string) bool
	// BackEnds returns the number of back ends that can be asked.
	BackEnds func() int
	// OnLost and OnRestored are called when the paths to all back ends are lost or restored.
	OnLost     func(state reachability.State, unansweredFor time.Duration)
	OnRestored func()
}

// Paths finds out whether a process has lost its direct paths to all back ends, by comparing what it hears of them with what peers
// hear. It is safe for concurrent use.
type Paths struct {
	config PathsConfig
	ctx    context.Context
	stop   context.CancelFunc

	mu      sync.Mutex
	tracker *reachability.Tracker // guarded by mu
}

// NewPaths returns the Paths of a process that has lost none. Close ends what runs in the background.
func NewPaths(config PathsConfig) *Paths {
	p := &Paths{config: config, tracker: reachability.New()}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Close ends comparisons and the attempts to restore paths.
func (p *Paths) Close() { p.stop() }

// State returns which direct paths the process has.
func (p *Paths) State() reachability.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.State()
}

// IsDisconnected reports whether nothing that is sent directly is answered.
func (p *Paths) IsDisconnected() bool { return p.State() == reachability.Disconnected }

// IsProven reports whether a back end answered directly lately.
func (p *Paths) IsProven() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsProven(p.config.Now())
}

// IsProvenSince reports whether a back end answered something that was sent directly at a time or later.
func (p *Paths) IsProvenSince(sentAt time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsProvenSince(sentAt)
}

// RecordAnswer records that a back end began to answer something that was sent to it at sentAt on a direct connection, and whether it
// was the first answer on that.
func (p *Paths) RecordAnswer(address string, sentAt time.Duration, isNew bool) {
	backEnds := 0
	if p.State() != reachability.Connected {
		backEnds = p.config.BackEnds()
	}
	p.record(func(_ time.Duration, t *reachability.Tracker) {
		t.RecordAnswer(reachability.Answered{Address: address, SentAt: sentAt, New: isNew}, backEnds)
	})
}

// RecordUnreached records that a back end answers peers, but nothing that was sent to it at sentAt or later on a new direct connection.
func (p *Paths) RecordUnreached(address string, sentAt time.Duration) {
	backEnds := p.config.BackEnds()
	if backEnds == 0 {
		return // nobody could be asked whether the paths work again
	}
	p.record(func(now time.Duration, t *reachability.Tracker) { t.RecordUnreached(now, address, sentAt, backEnds) })
}

// record calls a function with the tracker, and acts on what that changes.
func (p *Paths) record(f func(now time.Duration, t *reachability.Tracker)) {
	now := p.config.Now()
	p.mu.Lock()
	before := p.tracker.State()
	f(now, p.tracker)
	after := p.tracker.State()
	unansweredFor := p.tracker.UnansweredFor(now)
	p.mu.Unlock()
	switch {
	case before == after:
		return
	case after == reachability.Connected:
		p.config.Dialer.RestoreAll()
		p.config.OnRestored()
		return
	case before == reachability.Connected:
		go p.restore()
	}
	p.config.OnLost(after, unansweredFor)
}

// restore asks back ends directly until the paths are restored: one each restoreInterval, and others as soon as one replies.
func (p *Paths) restore() {
	ticker := time.NewTicker(restoreInterval)
	defer ticker.Stop()
	for p.State() != reachability.Connected {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		if p.config.BackEnds() == 0 {
			p.record(func(_ time.Duration, t *reachability.Tracker) { t.Reset() })
			return
		}
		go p.askUntilRestored()
	}
}

// askUntilRestored asks back ends directly, one after the other, until one doesn't reply or the paths are restored.
func (p *Paths) askUntilRestored() {
	ctx, cancel := context.WithTimeout(p.ctx, restoreTimeout)
	defer cancel()
	for _, address := range p.config.Pick("", maxRestoreQuestions) {
		if p.State() == reachability.Connected || p.config.AskDirectly(ctx, address, false) != nil {
			return
		}
	}
}

// Suspect compares the path to a back end, which has left something without an answer, with those of peers. If asksFirst is set, it is
// asked directly before that, since what it left without an answer may take it long.
func (p *Paths) Suspect(address string, asksFirst bool) {
	p.mu.Lock()
	begins := p.tracker.State() != reachability.Disconnected && p.tracker.BeginComparison(p.config.Now())
	p.mu.Unlock()
	if !begins {
		return
	}
	go func() {
		result := p.compare(address, asksFirst)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tracker.EndComparison(p.config.Now(), result)
	}()
}

// compare asks a back end, and mostly a second one, directly and through peers, and records what that shows.
func (p *Paths) compare(first string, asksFirst bool) reachability.Result {
	if asksFirst && p.answersInTime(first) {
		return reachability.Reached
	}
	count := comparedBackEnds
	if p.config.IsCongested(first) {
		count = 1
	}
	picked := p.config.Pick(first, count)
	results := make(chan reachability.Result, len(picked))
	for _, address := range picked {
		go func() { results <- p.compareAt(address) }()
	}
	best := reachability.Unknown
	for range picked {
		best = max(best, <-results)
	}
	return best
}

// ask asks a back end directly. The question goes on if nobody waits for the reply any more.
func (p *Paths) ask(address string, mayReuse bool) <-chan error {
	replied := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, comparisonTimeout)
		defer cancel()
		replied <- p.config.AskDirectly(ctx, address, mayReuse)
	}()
	return replied
}

// answersInTime reports whether a back end replies directly within the patience for it.
func (p *Paths) answersInTime(address string) bool {
	select {
	case err := <-p.ask(address, true):
		return err == nil
	case <-time.After(p.config.Patience(address)):
		return false
	}
}

// compareAt asks one back end directly and through peers.
func (p *Paths) compareAt(address string) reachability.Result {
	askedAt := p.config.Now()
	direct := p.ask(address, false)
	peer, err := p.config.Dialer.AskPeers(p.ctx, address)
	if err != nil {
		return reachability.Unknown
	}
	// The direct reply may take as long as the peer's, and the usual time besides.
	patience := p.config.Patience(address)
	select {
	case err := <-direct:
		if err == nil && p.config.Now()-askedAt <= patience {
			return reachability.Reached
		}
		if err == nil {
			return reachability.Unknown // it is late for everybody
		}
	case <-time.After(patience + p.config.Now() - askedAt):
	}
	p.config.Dialer.RecordLost(address, peer, askedAt)
	p.RecordUnreached(address, askedAt)
	return reachability.Unreached
}

// Sweep removes expired results of comparisons.
func (p *Paths) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Sweep(p.config.Now())
}

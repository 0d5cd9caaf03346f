package tunnel

import (
	"context"
	"sync"
	"time"

	"kitetiller/internal/reachability"
)

const (
	// restoreInterval is how often a back end is asked directly while paths are lost, and restoreTimeout bounds each question.
	restoreInterval = time.Second
	restoreTimeout  = 3 * time.Second
	// maxRestoreQuestions is how many are asked one after the other once one has replied.
	maxRestoreQuestions = 4
	// questionTimeout bounds a direct question whose reply nobody waits for any more.
	questionTimeout = 15 * time.Second
	// proofRounds is how often peers are asked for a proof, proofRoundInterval after the last answer each, and maxSecondPatience
	// bounds how much of the time that the first question had a second one gets.
	proofRounds        = 8
	proofRoundInterval = 150 * time.Millisecond
	maxSecondPatience  = 1500 * time.Millisecond
	// minProofInterval is the least time between questions that are asked because peers want to know whether back ends answer.
	// proofTimeout is how long a peer waits for that at most, and proofPolls how often it is looked for.
	minProofInterval = 2 * time.Second
	proofTimeout     = 200 * time.Millisecond
	proofPolls       = 20
)

// PathsConfig connects Paths to its process.
type PathsConfig struct {
	Dialer *Dialer
	Now    func() time.Duration
	// AskDirectly asks a back end a question that takes it no time on a new direct connection, and returns once it has replied. It
	// reports the reply to RecordAnswer.
	AskDirectly func(ctx context.Context, address string) error
	// AskAny does the same for any back end to which a direct connection is open and idle. It fails if there is none. nil: there never is.
	AskAny func(ctx context.Context) error
	// Pick returns up to a number of back ends that can be asked, in random order.
	Pick func(count int) []string
	// Patience returns how long a direct reply of a back end may take before peers are asked as well.
	Patience func(address string) time.Duration
	// BackEnds returns the number of back ends that can be asked.
	BackEnds func() int
	// OnLost and OnRestored are called when the paths to all back ends are lost or restored.
	OnLost     func(state reachability.State, unansweredFor time.Duration)
	OnRestored func()
}

// Paths finds out whether a process has lost its direct paths to all back ends, by comparing what it hears of them with what peers
// hear. Back ends get few questions for that: most peers know without asking. It is safe for concurrent use.
type Paths struct {
	config PathsConfig
	ctx    context.Context
	stop   context.CancelFunc

	mu      sync.Mutex
	tracker *reachability.Tracker // guarded by mu
	// nextProof is when a back end may be asked again because a peer wants to know whether any answers. It is guarded by mu.
	nextProof time.Duration
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

// IsStale reports whether direct answers have arrived, but none lately.
func (p *Paths) IsStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsStale(p.config.Now())
}

// HasHeardSince reports whether any direct answer has arrived since a time.
func (p *Paths) HasHeardSince(at time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.HasHeardSince(at)
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
	p.record(func(now time.Duration, t *reachability.Tracker) {
		t.RecordAnswer(now, reachability.Answered{Address: address, SentAt: sentAt, New: isNew}, backEnds)
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
	for _, address := range p.config.Pick(maxRestoreQuestions) {
		if p.State() == reachability.Connected || p.config.AskDirectly(ctx, address) != nil {
			return
		}
	}
}

// Suspect finds out whether the process has lost its paths, since a question that was sent directly to a back end at sentAt, on a new
// connection, got no prompt reply.
func (p *Paths) Suspect(address string, sentAt time.Duration) {
	p.begin(sentAt, func() reachability.Result { return p.compare(address, sentAt) })
}

// SuspectSilence is Suspect for a request without an answer, which may take the back end long. So another one is asked a question
// first, if that takes no new connection.
func (p *Paths) SuspectSilence(address string, sentAt time.Duration) {
	p.begin(sentAt, func() reachability.Result {
		if p.answersInTime(address, p.config.AskAny) {
			return reachability.Reached
		}
		return p.compare(address, sentAt)
	})
}

// begin runs a comparison in the background, unless an answer has arrived since something was sent, one runs, none is due yet, or the
// paths are known to be lost.
func (p *Paths) begin(sentAt time.Duration, compare func() reachability.Result) {
	p.mu.Lock()
	begins := p.tracker.State() != reachability.Disconnected && !p.tracker.HasHeardSince(sentAt) && p.tracker.BeginComparison(p.config.Now())
	p.mu.Unlock()
	if !begins {
		return
	}
	go func() {
		result := compare()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tracker.EndComparison(p.config.Now(), result)
	}()
}

// compare asks peers whether back ends answer them, and if so a second back end directly.
func (p *Paths) compare(first string, sentAt time.Duration) reachability.Result {
	if !p.awaitProof(sentAt) {
		return reachability.FalseAlarm
	}
	second, secondAt := p.other(first), p.config.Now()
	// The second question gets as much time as the first one had, and the patience for a new connection besides.
	patience := min(secondAt-sentAt, maxSecondPatience) + p.config.Patience(second)
	if second != "" && p.answersWithin(patience, p.question(second)) || p.HasHeardSince(sentAt) {
		return reachability.FalseAlarm
	}
	p.RecordUnreached(first, sentAt)
	if second != "" {
		p.RecordUnreached(second, secondAt)
	}
	return reachability.Unreached
}

// awaitProof asks peers whether back ends answer them what was sent since a time, until one is answered or this process is. Where back
// ends take long to reply, what peers have sent is answered after that time only.
func (p *Paths) awaitProof(since time.Duration) bool {
	for range proofRounds {
		if p.HasHeardSince(since) {
			return false
		}
		if p.config.Dialer.AskProof(p.ctx, p.config.Now()-since) {
			return true
		}
		select {
		case <-p.ctx.Done():
			return false
		case <-time.After(proofRoundInterval):
		}
	}
	return false
}

// other returns a back end that can be asked, other than the given one, or "".
func (p *Paths) other(first string) string {
	for _, address := range p.config.Pick(2) {
		if address != first {
			return address
		}
	}
	return ""
}

// question returns a function that asks a back end on a new connection.
func (p *Paths) question(address string) func(ctx context.Context) error {
	return func(ctx context.Context) error { return p.config.AskDirectly(ctx, address) }
}

// answersInTime reports whether a question is answered within the patience for a back end. A nil question isn't.
func (p *Paths) answersInTime(address string, ask func(ctx context.Context) error) bool {
	return ask != nil && p.answersWithin(p.config.Patience(address), ask)
}

// answersWithin reports whether a question is answered within a time. The question goes on after that.
func (p *Paths) answersWithin(patience time.Duration, ask func(ctx context.Context) error) bool {
	replied := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, questionTimeout)
		defer cancel()
		replied <- ask(ctx)
	}()
	select {
	case err := <-replied:
		return err == nil
	case <-time.After(patience):
		return false
	}
}

// Prove reports for a peer whether back ends answer this process: something that was sent directly within the given time was answered,
// or a question is that is asked now on an idle connection. It asks few.
func (p *Paths) Prove(ctx context.Context, within time.Duration) Outcome {
	now := p.config.Now()
	p.mu.Lock()
	state, isProven := p.tracker.State(), p.tracker.IsProvenSince(now-within)
	asks := !isProven && p.config.AskAny != nil && now >= p.nextProof
	if asks {
		p.nextProof = now + minProofInterval
	}
	p.mu.Unlock()
	switch {
	case state == reachability.Disconnected:
		return Disconnected
	case isProven:
		return Proven
	}
	if asks {
		go p.prove()
	}
	for range proofPolls {
		select {
		case <-ctx.Done():
			return Unproven
		case <-time.After(proofTimeout / proofPolls):
		}
		if p.IsProvenSince(now - within) {
			return Proven
		}
	}
	return Unproven
}

// prove asks a back end on an idle connection, so that the reply shows whether any answers.
func (p *Paths) prove() {
	ctx, cancel := context.WithTimeout(p.ctx, questionTimeout)
	defer cancel()
	_ = p.config.AskAny(ctx)
}

// Sweep removes expired results of comparisons.
func (p *Paths) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Sweep(p.config.Now())
}

package gateway

import (
	"time"

	"kitetiller/internal/clock"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/quota"
)

// Settings is what a gateway needs to start.
type Settings struct {
	Name         string
	Zone         string
	Listen       string   // address for callers
	ReadyAddress string   // address of the readiness check, or ""
	PeerAddress  string   // address for other gateways, or ""
	PeerListen   string   // address to listen on for them, where it is another one
	Control      []string // internal addresses of control replicas
	Token        string   // shared secret of the system's own processes

	ViewTTL              time.Duration // how long keys count that no control replica has confirmed
	MaxViewWait          time.Duration // longest time that a request waits for control that is expected in a moment
	OldWeightsStartLimit time.Duration // how long after newer weights were named a request may still begin on older ones
	ShutdownTimeout      time.Duration // longest planned stop
	RetryRatio           float64       // repeats as a share of the requests for a service, over the whole fleet
	Quota                quota.Policy  // of limits over the whole fleet, repeats beyond the ratio among them

	Mechanisms mechanism.Set // parts of the decision that are on
	Clock      clock.Source  // nil is the machine's
}

const (
	// startMargin is kept between the time when a request should begin on old weights and the limit for that, beside
	// beginFactor of the time that is predicted until it begins.
	startMargin     = 900 * time.Millisecond
	startTimeFactor = 1.5
	// cancelMargin before that limit a request that waits is taken back. It covers a timer that fires late, since a process that has
	// used up its share of a processor stands still for the rest of a period of 100 ms, and the way of the close to the back end.
	cancelMargin = 150 * time.Millisecond
	// watchHold is how long control may hold a question for news; it bounds the age of a confirmed view.
	watchHold = 400 * time.Millisecond
	// drainingWatchHold is that while requests run on a back end that is being turned away from.
	drainingWatchHold = 80 * time.Millisecond
	// watchTimeout is how long a question may stay unanswered.
	watchTimeout = 650 * time.Millisecond
	// failuresPerStep failures in a row double the patience with an answer, longestPatience times at most.
	failuresPerStep  = 3
	maxTimeoutFactor = 3
	// fullReplyTimeout is how long the first answer after a search may take at the least: with document and roster it is some 200 KB of JSON, which
	// a fifth of a core reads in 100 ms, and many gateways ask at once.
	fullReplyTimeout = time.Second
	// peerDialTimeout is how long a connection to control or to another gateway may take to come up.
	peerDialTimeout = 150 * time.Millisecond
	// watchRetryDelay is the pause after a question failed.
	watchRetryDelay = 60 * time.Millisecond
	// idleTimeout is how long callers may keep a connection idle.
	idleTimeout = 75 * time.Second
	// headerTimeout is how long a caller may take for a header.
	headerTimeout = 10 * time.Second
	// bodyTimeout is how long a caller may take for a body.
	bodyTimeout = 15 * time.Second
	// discardTimeout is how long the rest of a body is read that there is no room for: a few MB on any link but the slowest.
	discardTimeout = time.Second
	// defaultBodyLimit bounds bodies while no document says otherwise.
	defaultBodyLimit = 4 << 20
	// drainPeriod is how long a stopping gateway goes on taking requests, until whoever sends them has noticed.
	drainPeriod = 2700 * time.Millisecond
	// rejectPeriod is how long it then refuses requests, before it closes the connections.
	rejectPeriod = 500 * time.Millisecond
	// shutdownMargin is what is left of the grace for the process's own end.
	shutdownMargin = 150 * time.Millisecond
	// writeTimeout is how long one write to a caller may take.
	writeTimeout = 5 * time.Second
)

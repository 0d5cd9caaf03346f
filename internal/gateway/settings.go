package gateway

import (
	"time"

	"kitetiller/internal/clock"
	"kitetiller/internal/mechanism"
	"kitetiller/internal/quota"
)

// Settings configures a gateway.
type Settings struct {
	Name         string
	Zone         string
	Listen       string // listen address for callers
	ReadyAddress string // listen address of the readiness check; empty disables it
	PeerAddress  string // address at which other gateways reach this one; empty if they don't
	PeerListen   string // listen address for other gateways, if not PeerAddress
	// TunnelAddress is where other gateways ask this one to open tunnels to back ends, or "", and TunnelListen the listen
	// address for that, if it differs.
	TunnelAddress string
	TunnelListen  string
	Control       []string // internal addresses of control replicas
	Token         string   // secret shared by gateways and control replicas

	ViewTTL              time.Duration // how long API keys are accepted without a confirmation by control
	MaxViewWait          time.Duration // maximum time that a request waits for control to confirm the view
	OldWeightsStartLimit time.Duration // how long after publication of newer weights a request may start on older ones
	ShutdownTimeout      time.Duration // maximum duration of a planned stop
	MinStreamAge         time.Duration // least age that a stream may reach over all its caller's requests; 0 for defaultMinStreamAge
	RetryRatio           float64       // maximum fleet-wide ratio of retries to requests of a service
	Quota                quota.Policy  // policy of fleet-wide limits, including retries beyond RetryRatio

	Mechanisms mechanism.Set // enabled mechanisms
	Clock      clock.Source  // nil means the system clock
}

const (
	// A request is sent to a back end with old weights only if startTimeFactor times the predicted wait ends at least
	// startMargin before the start deadline.
	startMargin     = 900 * time.Millisecond
	startTimeFactor = 1.5
	// cancelMargin is how long before the start deadline an attempt that has not started is canceled. It covers CPU
	// throttling, which can delay a timer by up to 100 ms, and the time until the back end sees the connection close.
	cancelMargin = 150 * time.Millisecond
	// watchHold is how long control may hold a watch request without changes; it bounds the age of a confirmed view.
	watchHold = 400 * time.Millisecond
	// drainingWatchHold replaces watchHold while requests run on a back end that is drained to replace its weights.
	drainingWatchHold = 80 * time.Millisecond
	// watchTimeout is the timeout of a watch request, including the time that control holds it.
	watchTimeout = 650 * time.Millisecond
	// After each failuresPerStep consecutive failures the response timeout doubles, at most maxTimeoutDoublings times.
	failuresPerStep     = 3
	maxTimeoutDoublings = 3
	// fullReplyTimeout is the minimum response timeout for the first reply after a search for a control replica. That
	// reply carries the whole document and roster, some 200 KB of JSON that a fifth of a core decodes in 100 ms, and many
	// gateways may request it at the same time.
	fullReplyTimeout = time.Second
	// peerDialTimeout is the dial timeout for control and other gateways.
	peerDialTimeout = 150 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch request.
	watchRetryDelay = 60 * time.Millisecond
	// idleTimeout closes idle connections of callers.
	idleTimeout = 75 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 15 * time.Second
	// discardTimeout bounds the reading of the rest of a body that is rejected because the buffers are full. It is enough
	// for a few MB on all but the slowest links.
	discardTimeout = time.Second
	// defaultBodyLimit is the maximum size of a request body if the document sets none.
	defaultBodyLimit = 4 << 20
	// writeTimeout bounds one write to a caller.
	writeTimeout = 5 * time.Second
)

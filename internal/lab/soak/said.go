package soak

import "time"

const (
	// maxBackoffRequests is how many requests a process may still send to a back end during a backoff that it is known
	// to have received.
	maxBackoffRequests = 2
	// drainPropagationDelay is the time after a process learns that a back end is draining during which its requests
	// are not counted.
	drainPropagationDelay = 500 * time.Millisecond
)

// Sender is one incarnation of a process that forwards requests.
type Sender struct {
	Name        string
	Incarnation int // number that differs between incarnations
}

// sentRequest is when a caller sent a request, and to which process.
type sentRequest struct {
	sender Sender
	at     time.Duration
}

// signal is what one incarnation of a back end stated about itself in one response.
type signal struct {
	incarnation  string
	backoffUntil time.Duration // end of the requested backoff
	draining     bool
	limit        *advertisedLimit // advertised rate limit, or nil
	confirmedAt  time.Duration    // when the process was first known to have received the response; 0 if it isn't yet
	received     int              // requests sent after confirmedAt that arrived during the backoff
}

// signalLog holds what back ends stated about themselves and which processes received it. Only requests that a caller
// sent after the receiving process was known to have read the response are checked, so scheduling delays on a slow
// machine cause no violations.
type signalLog struct {
	sent        map[string]sentRequest      // by request ID
	byReceiver  map[Sender][]*signal        // by the process that received the response
	unconfirmed map[string][]*signal        // by request ID: signals that the process is not yet known to have received
	limits      map[string]*advertisedLimit // by incarnation; the newest only
}

func newSignalLog() signalLog {
	return signalLog{sent: map[string]sentRequest{}, byReceiver: map[Sender][]*signal{}, unconfirmed: map[string][]*signal{}, limits: map[string]*advertisedLimit{}}
}

// RecordSent records that a caller is about to send a request to a process.
func (w *Watcher) RecordSent(at time.Duration, id string, sender Sender) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signals.sent[id] = sentRequest{sender, at}
	w.recordTry(at, id, sender)
}

// RecordBackoff records that an incarnation of a back end asked for a backoff in its response to a request.
func (w *Watcher) RecordBackoff(at time.Duration, id, incarnation string, backoff time.Duration) {
	w.addSignal(id, &signal{incarnation: incarnation, backoffUntil: at + backoff})
}

// RecordDraining records that an incarnation of a back end announced in its response to a request that it is draining.
func (w *Watcher) RecordDraining(id, incarnation string) {
	w.addSignal(id, &signal{incarnation: incarnation, draining: true})
}

// addSignal records a signal in a response to a request. It ignores requests that RecordSent did not record.
func (w *Watcher) addSignal(id string, s *signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request, known := w.signals.sent[id]
	if !known {
		return
	}
	if s.limit == nil {
		w.signals.byReceiver[request.sender] = append(w.signals.byReceiver[request.sender], s)
	}
	w.signals.unconfirmed[id] = append(w.signals.unconfirmed[id], s)
}

// RecordResponseHead records that a caller received the response head of a request. The process it was sent to has then
// read all back-end responses to earlier attempts.
func (w *Watcher) RecordResponseHead(at time.Duration, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirm(at, id, "")
}

// confirm marks the signals in responses to a request as received by the process, except those of one incarnation. The
// caller holds mu.
func (w *Watcher) confirm(at time.Duration, id, exceptIncarnation string) {
	var remaining []*signal
	for _, s := range w.signals.unconfirmed[id] {
		if s.incarnation == exceptIncarnation {
			remaining = append(remaining, s)
			continue
		}
		s.confirmedAt = at
		if s.limit == nil {
			continue
		}
		if sender := w.signals.sent[id].sender; s.limit.observedAt[sender] == 0 {
			s.limit.observedAt[sender] = at
		}
	}
	if remaining == nil {
		delete(w.signals.unconfirmed, id)
		return
	}
	w.signals.unconfirmed[id] = remaining
}

// RecordArrival records that a request reached an incarnation of a back end and checks it against the signals that the
// process had received. Responses of other incarnations to the same request must have been read before.
func (w *Watcher) RecordArrival(at time.Duration, id, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkDeregistered(at, id, incarnation)
	request, known := w.signals.sent[id]
	if !known {
		return
	}
	w.confirm(at, id, incarnation)
	w.checkAdvertisedLimit(at, request, incarnation)
	for _, s := range w.signals.byReceiver[request.sender] {
		if s.incarnation != incarnation || s.confirmedAt == 0 || request.at <= s.confirmedAt {
			continue
		}
		if at < s.backoffUntil {
			if s.received++; s.received == maxBackoffRequests+1 {
				w.addViolation(BackoffRespected, "%s received more than %d requests from %s during a backoff that ends in %v", incarnation, maxBackoffRequests, request.sender.Name, s.backoffUntil-at)
			}
		}
		if s.draining && request.at > s.confirmedAt+drainPropagationDelay {
			w.addViolation(DrainRespected, "%s received a request from %s that was sent %v after the process had learned that the back end is draining", incarnation, request.sender.Name, request.at-s.confirmedAt)
		}
	}
}

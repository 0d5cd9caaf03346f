package soak

import "time"

const (
	// maxBackoffRequests is how many requests may still reach a back end in its rest from a process that was seen to have heard of it.
	maxBackoffRequests = 2
	// drainPropagationDelay is how long after it was seen to have heard that a back end leaves a process may still take requests that go there.
	drainPropagationDelay = 500 * time.Millisecond
)

// Sender is one life of a process that passes requests on.
type Sender struct {
	Name    string
	Process int // its number; another life has another one
}

// sentRequest is a request that a caller sentRequest to a process.
type sentRequest struct {
	by Sender
	at time.Duration
}

// signal is what one life of a back end said of itself in one answer.
type signal struct {
	incarnation  string
	backoffUntil time.Duration // end of the rest that it asked for
	draining     bool
	limit        *advertisedLimit // in which it names a limit, or nil
	confirmedAt  time.Duration    // when it was seen that the process had heard of it; 0 not yet
	received     int              // requests that came in the rest although they were sent after that
}

// signalLog is what back ends signalLog of themselves, and to whom. Times are those of the soak; what a slow machine does to the time between an answer
// and whoever reads it changes no verdict, since only what a caller sent after the process had shown that it knows counts.
type signalLog struct {
	sent        map[string]sentRequest      // by request
	byReceiver  map[Sender][]*signal        // by who heard them
	unconfirmed map[string][]*signal        // by request: words in its answers that the process hasn't shown yet to have heard
	limits      map[string]*advertisedLimit // by life, the newest
}

func newSignalLog() signalLog {
	return signalLog{sent: map[string]sentRequest{}, byReceiver: map[Sender][]*signal{}, unconfirmed: map[string][]*signal{}, limits: map[string]*advertisedLimit{}}
}

// RecordSent notes that a caller is about to send a request to a process.
func (w *Watcher) RecordSent(at time.Duration, id string, by Sender) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signals.sent[id] = sentRequest{by, at}
}

// RecordBackoff notes that a life of a back end answered a request with the wish for rest.
func (w *Watcher) RecordBackoff(at time.Duration, id, incarnation string, backoff time.Duration) {
	w.addSignal(id, &signal{incarnation: incarnation, backoffUntil: at + backoff})
}

// RecordDraining notes that a life of a back end said in its answer to a request that it leaves.
func (w *Watcher) RecordDraining(id, incarnation string) {
	w.addSignal(id, &signal{incarnation: incarnation, draining: true})
}

func (w *Watcher) addSignal(id string, s *signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request, known := w.signals.sent[id]
	if !known {
		return
	}
	if s.limit == nil {
		w.signals.byReceiver[request.by] = append(w.signals.byReceiver[request.by], s)
	}
	w.signals.unconfirmed[id] = append(w.signals.unconfirmed[id], s)
}

// RecordResponseHead notes that a caller has the head of its answer, so that the process has read all answers that it got to the request before.
func (w *Watcher) RecordResponseHead(at time.Duration, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirm(at, id, "")
}

// confirm ends the time in which a process may not know what it was told in answers to a request by other lives than one. The caller holds mu.
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
		if by := w.signals.sent[id].by; s.limit.observedAt[by] == 0 {
			s.limit.observedAt[by] = at
		}
	}
	if remaining == nil {
		delete(w.signals.unconfirmed, id)
		return
	}
	w.signals.unconfirmed[id] = remaining
}

// RecordArrival notes that a request came to a life of a back end.
func (w *Watcher) RecordArrival(at time.Duration, id, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request, known := w.signals.sent[id]
	if !known {
		return
	}
	w.confirm(at, id, incarnation)
	w.checkAdvertisedLimit(at, request, incarnation)
	for _, s := range w.signals.byReceiver[request.by] {
		if s.incarnation != incarnation || s.confirmedAt == 0 || request.at <= s.confirmedAt {
			continue
		}
		if at < s.backoffUntil {
			if s.received++; s.received == maxBackoffRequests+1 {
				w.addViolation(BackoffRespected, "%s got more than %d requests from %s in a rest that ends %v later", incarnation, maxBackoffRequests, request.by.Name, s.backoffUntil-at)
			}
		}
		if s.draining && request.at > s.confirmedAt+drainPropagationDelay {
			w.addViolation(DrainRespected, "%s got a request from %s that a caller had sent %v after that one had heard that it leaves", incarnation, request.by.Name, request.at-s.confirmedAt)
		}
	}
}

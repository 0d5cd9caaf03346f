package sim

import (
	"time"

	"kitetiller/internal/core"
	"kitetiller/internal/ledger"
)

const smallService = "portal"

// serviceNode is a simulated service back end whose requests must not run twice.
type serviceNode struct {
	*process
	incarnation uint64
	running     int
}

func (s *serviceNode) boot() {
	s.start()
	s.incarnation++
	s.running = 0
}

// serve runs a request. During a service fault it may close the connection without running it, or lose the response.
func (s *serviceNode) serve(ex *exchange, attempt core.AttemptID, answer func(core.EventAttempt)) {
	faulty := s.w.now() < s.w.pending.servicesUntil
	if faulty && s.w.chance(0.25) {
		s.w.logf("%s reads %s and closes the connection", s.name, ex.job.name)
		answer(core.EventAttempt{Kind: core.AttemptBroken})
		return
	}
	s.w.oracle.serviceRan(s, ex)
	s.running++
	s.after(s.w.between(5*time.Millisecond, 40*time.Millisecond), func() {
		s.running--
		if faulty && s.w.chance(0.4) {
			s.w.logf("%s loses the answer to %s", s.name, ex.job.name)
			answer(core.EventAttempt{Kind: core.AttemptBroken})
			return
		}
		answer(core.EventAttempt{Kind: core.AttemptDone, Echo: attempt, Answer: &ledger.Response{Status: 200, Body: []byte(ex.job.responseBody())}})
	})
}

func (s *serviceNode) report() *core.BackendReport {
	return &core.BackendReport{Incarnation: s.incarnation, Load: core.Load{Running: s.running}}
}

// service returns a service back end by name, or nil.
func (w *world) service(name string) *serviceNode {
	for _, s := range w.services {
		if s.name == name {
			return s
		}
	}
	return nil
}

package sim

import (
	"time"

	"kitetiller/internal/control"
)

const (
	controlTimeout    = 700 * time.Millisecond
	controlRetryDelay = 50 * time.Millisecond
)

// controlClient simulates control.Client: it finds the leader of the control group and sends requests to it.
type controlClient struct {
	w           *world
	from        *process
	leader      string
	nextReplica int
}

func newControlClient(w *world, from *process) *controlClient {
	return &controlClient{w: w, from: from, nextReplica: w.random.IntN(16)}
}

func (a *controlClient) pickReplica() *controlNode {
	for _, n := range a.w.controls {
		if n.name == a.leader {
			return n
		}
	}
	a.nextReplica++
	return a.w.controls[a.nextReplica%len(a.w.controls)]
}

// askOnce sends the request once to one replica: the believed leader, or the next one in turn.
func (a *controlClient) askOnce(request control.Request, timeout time.Duration, done func(control.Response, bool)) {
	target := a.pickReplica()
	answered := a.w.recordCall(a.from.name, request)
	a.w.call(a.from, target.process, timeout, func(respond func(func())) {
		target.handle(request, func(response control.Response) {
			respond(func() {
				answered(response)
				a.updateLeader(target, response)
				done(response, true)
			})
		})
	}, func(bool) {
		a.leader = ""
		done(control.Response{}, false)
	})
}

func (a *controlClient) updateLeader(target *controlNode, response control.Response) {
	switch {
	case response.Kind == control.ResponseOK:
		a.leader = target.name
	case response.Leader != target.name:
		a.leader = response.Leader
	default:
		a.leader = ""
	}
}

// askUntil retries the request until a leader has processed it or the deadline until has passed.
func (a *controlClient) askUntil(request control.Request, until time.Duration, done func(control.Response, bool)) {
	a.askOnce(request, controlTimeout, func(response control.Response, answered bool) {
		if answered && response.Kind == control.ResponseOK {
			done(response, true)
			return
		}
		if a.w.now() >= until {
			done(control.Response{}, false)
			return
		}
		a.from.after(controlRetryDelay, func() { a.askUntil(request, until, done) })
	})
}

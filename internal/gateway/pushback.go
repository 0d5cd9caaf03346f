package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/pushback"
)

// toldByAnswer tells in the log that a back end itself said that it leaves; else control did.
const toldByAnswer = "answer"

// hear takes up what an answer says of its back end, before anything else is made of the answer: it holds whatever becomes of the request.
func (a *attempt) hear(status int, verdict Verdict) {
	a.asked = verdict.Said.Rest
	if verdict.Said.Nothing() && verdict.Unread == "" {
		return
	}
	g := a.exchange.gateway
	now := g.now()
	bar, leaves := g.table.hear(now, a.row, verdict.Said)
	if leaves {
		g.log.note(events.InstanceLeaving, zap.String(events.FieldInstance, a.row.entry.ID), zap.String(events.FieldRequest, a.exchange.call.ID),
			zap.String("told_by", toldByAnswer))
	}
	if verdict.Said.Rest <= 0 && verdict.Unread == "" {
		return
	}
	held, due := g.restLines.Due(now, a.row.entry.ID)
	if !due {
		return
	}
	g.log.note(events.InstanceRests, zap.String(events.FieldInstance, a.row.entry.ID), zap.String(events.FieldRequest, a.exchange.call.ID),
		zap.Int("answer", status), zap.Duration(events.FieldRest, verdict.Said.Rest), zap.Duration(events.FieldRestLeft, max(0, bar.Until-now)),
		zap.String(events.FieldUnread, verdict.Unread), zap.Int("held", held))
}

// hear notes what a back end says of itself, and returns what now keeps requests from it and whether it is news that it leaves.
func (t *table) hear(now time.Duration, row *endpoint, said pushback.Said) (bar pushback.Bar, leaves bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.pushed.At(now, row.life)
	bar = t.pushed.Note(now, time.Now(), row.life, said, rand.Float64())
	return bar, bar.Leaving && !before.Leaving
}

// restLeft returns how long a back end still wants rest.
func (t *table) restLeft(now time.Duration, row *endpoint) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(0, t.pushed.At(now, row.life).Until-now)
}

// resting returns how many back ends want rest now, by service; a service without one is missing.
func (t *table) resting(now time.Duration) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := map[string]int{}
	for _, row := range t.rows {
		if t.pushed.At(now, row.life).Rests(now) {
			counts[row.entry.Service]++
		}
	}
	return counts
}

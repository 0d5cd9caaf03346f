package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/events"
	"kitetiller/internal/pushback"
)

// said is what a back end said of itself to another gateway, as far as it is news here.
type said struct {
	instance string
	news     pushback.Said
}

// hearUnlimited takes up an answer without a limit, to a request that was sent at a time.
func (g *Gateway) hearUnlimited(row *endpoint, sent time.Duration) {
	now := g.now()
	g.table.mutex.Lock()
	over := g.table.pushed.Unlimited(now, sent, row.life)
	g.table.mutex.Unlock()
	if over {
		news := pushback.Limit{Over: true}
		g.spread.own(send{Gateway: g.nick, Instance: row.entry.ID, Said: pushback.Said{Limit: news}})
		g.noteLimit(now, row.entry.ID, news, toldByAnswer, "")
	}
}

// noteLimit logs that a back end names another limit than before, none any more, or one that can't be read.
func (g *Gateway) noteLimit(now time.Duration, instance string, news pushback.Limit, toldBy, unread string) {
	fields := []zap.Field{zap.String(events.FieldInstance, instance), zap.String("told_by", toldBy)}
	switch {
	case news.Named:
		g.log.note(events.InstanceLimits, append(fields, zap.Float64(events.FieldLimit, news.Rate))...)
	case news.Over:
		g.log.note(events.InstanceUnlimited, fields...)
	}
	if unread == "" {
		return
	}
	if held, due := g.limitLines.Due(now, instance); due {
		g.log.note(events.InstanceLimits, append(fields, zap.String(events.FieldUnread, unread), zap.Int("held", held))...)
	}
}

// strangeMost is how many different words of back ends that nothing reads are logged: their names come from outside.
const strangeMost = 32

// strangeWords are the words of back ends that nothing reads. It is safe for concurrent use.
type strangeWords struct {
	mu    sync.Mutex
	names []string // at most strangeMost; guarded by mu
}

// first reports whether a word is to be logged: once, while there is room.
func (s *strangeWords) first(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.names) >= strangeMost || slices.Contains(s.names, name) {
		return false
	}
	s.names = append(s.names, name)
	return true
}

// noteStrange counts words of a back end that nothing reads, and logs each name once.
func (g *Gateway) noteStrange(row *endpoint, names []string) {
	for _, name := range names {
		g.metrics.strange.Inc()
		if g.strange.first(name) {
			g.log.note(events.WordUnknown, zap.String("word", name), zap.String(events.FieldInstance, row.entry.ID))
		}
	}
}

// limited returns how many back ends name a limit, and the sum of these, by service; a service without one is missing.
func (t *table) limited() (counts map[string]int, sums map[string]float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts, sums = map[string]int{}, map[string]float64{}
	for _, row := range t.rows {
		if limit := t.pushed.Limit(row.life); limit.Named {
			counts[row.entry.Service]++
			sums[row.entry.Service] += limit.Rate
		}
	}
	return counts, sums
}

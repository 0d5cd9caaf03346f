package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// An order is given to a back end under its name, and its next life takes it as well. The mark that another leader gave one stood under the
// life: a back end that started again had none, and a new leader ordered it within the pause between two holders.

// TestNextIncarnationKeepsOrderPause: also on a replica that knows of the order from a snapshot alone.
func TestNextIncarnationKeepsOrderPause(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.OrderWait = 5 * time.Second })
	first, second := incarnationID("e", 1000), incarnationID("e", 2000)
	s.sendHeartbeat(first, "a1", 1, 1)
	s.ask(Request{Catalog: &catalog.Command{WeightsCommandTargets: []string{first}}})
	for name, mark := range s.replica.orderMarks {
		mark.term-- // as whoever leads next sees it
		s.replica.orderMarks[name] = mark
	}
	orderedAt := s.now
	s.sendHeartbeat(second, "a1", 1, 1)
	if s.replica.handoverPauseOver(orderedAt+s.replica.config.OrderWait, second) {
		t.Fatal("the next life may be ordered within the pause")
	}
	clear(s.replica.orderMarks)
	snapshot := s.replica.Machine().Snapshot()
	if err := s.replica.Machine().Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if _, elsewhere := s.replica.lastForeignOrder(second); !elsewhere {
		t.Fatal("after a snapshot nobody knows that its last life was ordered")
	}
}

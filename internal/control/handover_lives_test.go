package control

import (
	"testing"
	"time"

	"kitetiller/internal/catalog"
)

// TestNextIncarnationKeepsOrderPause guards against marks kept per incarnation: an order names the back end only, so
// the next incarnation may accept it. It includes a replica that knows of the order only from a snapshot.
func TestNextIncarnationKeepsOrderPause(t *testing.T) {
	s := openWithEngines(t)
	s.changeConfig(func(config *Config) { config.WeightsOrderDelay = 5 * time.Second })
	first, second := incarnationID("e", 1000), incarnationID("e", 2000)
	s.sendHeartbeat(first, "a1", 1, 1)
	s.ask(Request{Catalog: &catalog.Command{WeightsOrderTargets: []string{first}}})
	for name, mark := range s.replica.orderMarks {
		mark.term-- // as seen by the next leader
		s.replica.orderMarks[name] = mark
	}
	orderedAt := s.now
	s.sendHeartbeat(second, "a1", 1, 1)
	if s.replica.handoverPauseOver(orderedAt+s.replica.config.WeightsOrderDelay, second) {
		t.Fatal("the next incarnation may be ordered within the pause")
	}
	clear(s.replica.orderMarks)
	snapshot := s.replica.Machine().Snapshot()
	if err := s.replica.Machine().Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if _, elsewhere := s.replica.lastForeignOrder(second); !elsewhere {
		t.Fatal("the order to the previous incarnation is unknown after a snapshot")
	}
}

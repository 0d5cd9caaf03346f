package transport

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestAnnouncerSendsQueuedItemsToEveryPeer checks that a full queue reaches each peer in order, as one batch.
func TestAnnouncerSendsQueuedItemsToEveryPeer(t *testing.T) {
	const queueSize = 50
	received := make(chan []int, queueSize)
	var peers []string
	for range 2 {
		address := freeAddress(t)
		server, err := Listen(address, "", func(request Request, respond Respond) {
			var batch []int
			if json.Unmarshal(request.Body, &batch) != nil || request.Path != "/told" {
				t.Errorf("%s: %s", request.Path, request.Body)
			}
			received <- batch
			respond(http.StatusOK, struct{}{})
		}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close(context.Background()) })
		peers = append(peers, address)
	}
	settings := AnnouncerSettings{Path: "/told", QueueSize: queueSize, MaxBatch: queueSize, BatchDelay: 5 * time.Millisecond, Timeout: 5 * time.Second}
	announcer := NewAnnouncer(NewClient("", nil), settings, func(batch []Timestamped[int]) any {
		var numbers []int
		for _, announced := range batch {
			numbers = append(numbers, announced.Item)
		}
		return numbers
	})
	announcer.SetPeers(peers)
	for number := range queueSize + 10 { // Run has not started: items beyond the queue size are dropped
		announcer.Announce(number)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go announcer.Run(ctx)
	for range peers {
		batch := <-received
		if len(batch) != queueSize || batch[0] != 0 || batch[queueSize-1] != queueSize-1 {
			t.Fatalf("received %v", batch)
		}
	}
}

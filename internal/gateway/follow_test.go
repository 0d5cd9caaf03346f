package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/catalog"
	"kitetiller/internal/control"
	"kitetiller/internal/node"
	"kitetiller/internal/transport"
)

// startReplicas starts control replicas that answer watch requests. They return a document except for brief requests,
// and count such replies.
func startReplicas(t *testing.T, count int) (addresses []string, fullReplies *atomic.Int64) {
	t.Helper()
	fullReplies = &atomic.Int64{}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.Addr().String())
		_ = l.Close()
	}
	for i, address := range addresses {
		server, err := transport.Listen(address, "", func(asked transport.Request, respond transport.Respond) {
			var request control.Request
			if json.Unmarshal(asked.Body, &request) != nil || request.Watch == nil {
				respond(http.StatusOK, control.Response{Kind: control.ResponseNotLeader})
				return
			}
			reply := &control.WatchReply{Revision: 1, Replicas: addresses, NearbyReplicas: addresses[i : i+1]}
			if !request.Watch.ProbeOnly {
				fullReplies.Add(1)
				reply.Document = &catalog.Document{Revision: 1}
			}
			respond(http.StatusOK, control.Response{Kind: control.ResponseOK, Leader: addresses[0], Watch: reply})
		}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close(context.Background()) })
	}
	return addresses, fullReplies
}

// TestOneFullWatchReply guards against several replicas sending the document and roster while a gateway looks for one
// that answers, which a small machine could not parse within the timeout.
func TestOneFullWatchReply(t *testing.T) {
	addresses, fullReplies := startReplicas(t, 3)
	g := New(Settings{Name: "g", Zone: "z", Control: addresses, ViewTTL: time.Hour}, nil, node.NopLog())
	reply := g.watchOnce(context.Background(), control.RosterVersion{}, 10*time.Second, true)
	if reply == nil || reply.Document == nil {
		t.Fatalf("reply %+v, want one with a document", reply)
	}
	if got := fullReplies.Load(); got != 1 {
		t.Fatalf("%d full replies, want 1", got)
	}
}

package gateway

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"kitetiller/internal/control"
	"kitetiller/internal/node"
	"kitetiller/internal/transport"
)

// TestGatewayFindsTheGroupThatIsAnnounced guards against a gateway that never finds control after a restart, since the machines of
// all configured replicas are gone.
func TestGatewayFindsTheGroupThatIsAnnounced(t *testing.T) {
	address := freeAddress(t)
	replica, err := transport.Listen(address, "", func(_ transport.Request, respond transport.Respond) {
		respond(http.StatusOK, control.Response{Kind: control.ResponseOK, Watch: &control.WatchReply{}})
	}, node.NopLog().Logger)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = replica.Close(t.Context()) }()
	g := New(Settings{Name: "g1", Control: []string{"127.0.0.1:1"}}, plainDialect{}, node.NopLog())
	if g.findControl(t.Context(), control.Watch{}, time.Minute) {
		t.Fatal("found control where nothing listens")
	}
	hello, err := json.Marshal(control.Hello{Members: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	status := 0
	g.handlePeer(transport.Request{Path: control.PathHello, Body: hello}, func(code int, _ any) { status = code })
	if status != http.StatusOK || !g.findControl(t.Context(), control.Watch{}, time.Minute) {
		t.Fatalf("status %d; control was not found where it was announced", status)
	}
}

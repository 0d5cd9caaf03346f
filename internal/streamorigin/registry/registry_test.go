package registry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/streamorigin"
	"kitetiller/internal/transport"
)

const service = "s"

// node is a process with a registry.
type node struct {
	*Registry
	address string
	stop    func()
}

// startNodes starts processes in two zones that know each other. sole is the version for which they vouch, or "".
func startNodes(t testing.TB, count int, sole string) []*node {
	t.Helper()
	var nodes []*node
	zones := []streamorigin.Zone{{Name: "z0"}, {Name: "z1"}}
	started := time.Now()
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{address: listener.Addr().String()}
		_ = listener.Close()
		n.Registry = New(Config{
			Client: transport.NewClient("", nil), Address: n.address, Zone: zones[i%2].Name, Now: func() time.Duration { return time.Since(started) },
			Vouch: func(string) (streamorigin.Vouch, bool) {
				return streamorigin.Vouch{Software: streamorigin.Known(sole), Age: 1500 * time.Microsecond}, sole != ""
			},
		})
		server, err := transport.Listen(n.address, "", func(request transport.Request, respond transport.Respond) {
			if !n.Handle(request, respond) {
				respond(http.StatusNotFound, nil)
			}
		}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go n.Run(ctx)
		n.stop = func() {
			cancel()
			_ = server.Close(context.Background())
		}
		t.Cleanup(func() { n.stop() })
		zones[i%2].Addresses = append(zones[i%2].Addresses, n.address)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.SetPeers(zones)
	}
	return nodes
}

func recordOf(id, software string) streamorigin.Record {
	key, _ := streamorigin.NewKey(service, "t", id)
	return streamorigin.Record{Key: key, Service: service, Software: streamorigin.Known(software), TTL: time.Minute}
}

func (n *node) find(key streamorigin.Key) Found {
	return n.Find(context.Background(), streamorigin.FindRequest{Key: key, Service: service})
}

// Every process finds a record that was sent, after the one that sent it has ended.
func TestRecordIsFoundAfterItsProcessHasEnded(t *testing.T) {
	nodes := startNodes(t, 6, "")
	record := recordOf("r1", "v1")
	nodes[0].Add(record, true)
	keepers := streamorigin.Keepers(record.Key, []streamorigin.Zone{{Name: "z0", Addresses: addresses(nodes, 0)}, {Name: "z1", Addresses: addresses(nodes, 1)}}, "z0", nodes[0].address)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		kept := 0
		for _, n := range nodes[1:] {
			if n.Stats().Records > 0 {
				kept++
			}
		}
		if kept == len(keepers) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d keep the record", kept, len(keepers))
		}
	}
	nodes[0].stop()
	for i, n := range nodes[1:] {
		found, decided := n.FindOwn(record.Key)
		if !decided {
			found = n.find(record.Key)
		}
		if found.Software.Name() != "v1" {
			t.Errorf("process %d: %+v", i+1, found)
		}
	}
}

func addresses(nodes []*node, zone int) []string {
	var list []string
	for i, n := range nodes {
		if i%2 == zone {
			list = append(list, n.address)
		}
	}
	return list
}

// A stream that nobody recorded is unknown, and the reply says whether all that were asked have answered, and which version
// they vouch for.
func TestUnknownStreamIsNotFound(t *testing.T) {
	nodes := startNodes(t, 4, "v7")
	key := recordOf("never", "v1").Key
	found := nodes[0].find(key)
	if found.Software.IsKnown() || found.Source != SourceNone || len(found.Vouched) == 0 || slices.ContainsFunc(found.Vouched, func(v streamorigin.Vouch) bool {
		return v != streamorigin.Vouch{Software: streamorigin.Known("v7"), Age: 2 * time.Millisecond} // ages are rounded up
	}) {
		t.Fatalf("%+v", found)
	}
	for _, n := range nodes[1:] {
		n.stop()
	}
	if found := nodes[0].find(key); found.Software.IsKnown() || found.Source != SourceUnanswered {
		t.Fatalf("with nobody left: %+v", found)
	}
}

// Records that contradict each other decide nothing.
func TestContradictoryRecordsAreNotFound(t *testing.T) {
	nodes := startNodes(t, 2, "")
	nodes[1].Add(recordOf("twice", "v1"), false)
	nodes[1].Add(recordOf("twice", "v2"), false)
	key := recordOf("twice", "").Key
	if found := nodes[0].find(key); found.Software.IsKnown() {
		t.Fatalf("%+v", found)
	}
	if found, decided := nodes[1].FindOwn(key); !decided || found.Software.IsKnown() {
		t.Fatalf("%+v, decided %t", found, decided)
	}
}

// Records of streams that began before others needed them are sent later.
func TestOwnRecordsAreSentLater(t *testing.T) {
	nodes := startNodes(t, 2, "")
	for number := range 40 {
		nodes[0].Add(recordOf(fmt.Sprint(number), "v1"), false)
	}
	nodes[0].ReplicateOwn(service)
	for deadline := time.Now().Add(10 * time.Second); nodes[1].Stats().Records < 40; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", nodes[1].Stats())
		}
	}
}

// Bytes that are no message are rejected and change nothing.
func TestUnreadableMessagesAreRejected(t *testing.T) {
	nodes := startNodes(t, 1, "")
	for _, path := range []string{streamorigin.PathKeep, streamorigin.PathFind} {
		for _, body := range []string{"", "{", `[{"k":"x"}]`, `{"k":-1}`, `[{"k":"1","s":5}]`} {
			status := 0
			nodes[0].Handle(transport.Request{Path: path, Body: []byte(body)}, func(s int, _ any) { status = s })
			if status != http.StatusBadRequest {
				t.Errorf("%s %q: status %d", path, body, status)
			}
		}
	}
	if nodes[0].Stats().Records > 0 {
		t.Fatal("a record was kept")
	}
}

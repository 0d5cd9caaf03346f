package transport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

type message struct {
	Text string `json:"text"`
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startServer(t *testing.T, handler Handler) string {
	t.Helper()
	address := freeAddress(t)
	server, err := Listen(address, "token", handler, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = server.Close(ctx)
	})
	return address
}

func echo(request Request, respond Respond) {
	body := append([]byte(nil), request.Body...)
	go respond(http.StatusOK, message{Text: request.Path + " " + string(body)})
}

func TestManyRequestsAtOnceGetTheirOwnAnswers(t *testing.T) {
	address := startServer(t, echo)
	client := NewClient("token", nil)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			text := strings.Repeat("x", i*17)
			var reply message
			if err := client.Post(context.Background(), address, "/echo", message{Text: text}, &reply); err != nil {
				t.Errorf("call %d: %v", i, err)
			}
			if want := `/echo {"text":"` + text + `"}`; reply.Text != want {
				t.Errorf("call %d got %d bytes, want %d", i, len(reply.Text), len(want))
			}
		})
	}
	calls.Wait()
}

func TestWrongTokenIsRefused(t *testing.T) {
	address := startServer(t, echo)
	err := NewClient("other", nil).Post(context.Background(), address, "/echo", message{}, nil)
	var status *StatusError
	if !errors.As(err, &status) {
		t.Fatalf("error %v, want a status", err)
	}
}

func TestMalformedRequestDisturbsNobodyElse(t *testing.T) {
	address := startServer(t, echo)
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := connection.Write([]byte("nonsense\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	var reply message
	if err := NewClient("token", nil).Post(context.Background(), address, "/echo", message{Text: "a"}, &reply); err != nil {
		t.Fatal(err)
	}
}

// FuzzParseRequest: no bytes may crash the parser; what it takes must be as long as it says.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		request, length, err := parse(data)
		if err == nil && (request == nil || length > len(data)) {
			t.Fatalf("request of %d bytes taken from %d", length, len(data))
		}
		if err != nil && errors.Is(err, errIncomplete) && length <= len(data) {
			t.Fatalf("%d bytes wanted, %d are there: %q", length, len(data), bytes.TrimSpace(data))
		}
	})
}

// TestListenAgainAtOnce: a restarted process must get its address back although old connections linger.
func TestListenAgainAtOnce(t *testing.T) {
	address := freeAddress(t)
	for round := range 3 {
		server, err := Listen(address, "token", echo, zap.NewNop())
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		var reply message
		if err := NewClient("token", nil).Post(context.Background(), address, "/echo", message{}, &reply); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if err := server.Close(context.Background()); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
	}
}

package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

func TestConcurrentRequestsGetMatchingResponses(t *testing.T) {
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

func TestWrongTokenIsRejected(t *testing.T) {
	address := startServer(t, echo)
	err := NewClient("other", nil).Post(context.Background(), address, "/echo", message{}, nil)
	var status *StatusError
	if !errors.As(err, &status) {
		t.Fatalf("error %v, want a StatusError", err)
	}
}

// TestUnauthorizedBodyIsNotDecompressed checks that a malformed compressed body closes the connection of an authorized
// client, while a client with a wrong token gets 401.
func TestUnauthorizedBodyIsNotDecompressed(t *testing.T) {
	address := startServer(t, echo)
	for token, want := range map[string]string{"other": "HTTP/1.1 401", "token": ""} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		text := "POST /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token + "\r\nContent-Encoding: gzip\r\nContent-Length: 8\r\n\r\nnonsense"
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		statusLine := make([]byte, len("HTTP/1.1 401"))
		n, _ := io.ReadFull(conn, statusLine)
		if string(statusLine[:n]) != want {
			t.Fatalf("token %q: response starts with %q, want %q", token, statusLine[:n], want)
		}
	}
}

func TestMalformedRequestLeavesOtherConnectionsUnaffected(t *testing.T) {
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

// TestLongBodiesSurviveCompression checks bodies that are compressed in both directions.
func TestLongBodiesSurviveCompression(t *testing.T) {
	address := startServer(t, echo)
	var reply message
	text := strings.Repeat("a long prompt ", 4000)
	if err := NewClient("token", nil).Post(context.Background(), address, "/echo", message{Text: text}, &reply); err != nil || !strings.Contains(reply.Text, text) {
		t.Fatalf("got %d bytes, error %v", len(reply.Text), err)
	}
}

// TestUnreadResponseBytesAreBounded checks that unread responses of stalled clients do not exceed maxUnread, and that
// requests succeed again once these clients have disconnected.
func TestUnreadResponseBytesAreBounded(t *testing.T) {
	const responseSize, maxUnread = 1 << 20, 6 << 20
	responseBody := make([]byte, responseSize)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(responseBody)
	var server *Server
	address := freeAddress(t)
	server, err := Listen(address, "", func(_ Request, respond Respond) { go respond(http.StatusOK, responseBody) }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	server.maxUnread = maxUnread
	defer func() { _ = server.Close(context.Background()) }()
	var stalled []net.Conn
	for range 3 * maxUnread / responseSize {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		stalled = append(stalled, c)
		if _, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		statusLine := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(c, statusLine); err != nil {
			t.Fatal(err)
		}
	}
	if unread := server.unreadBytes.Load(); unread == 0 || unread > maxUnread {
		t.Fatalf("%d unread bytes, want 1 to %d", unread, maxUnread)
	}
	for _, c := range stalled {
		_ = c.Close()
	}
	var reply []byte
	for range 200 {
		if err = NewClient("", nil).Get(context.Background(), address, "/x", &reply); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil || len(reply) != responseSize {
		t.Fatalf("got %d bytes after the stalled clients disconnected: %v", len(reply), err)
	}
}

// FuzzParseRequest checks that no input makes parseRequest panic and that the returned length fits the result.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		request, length, err := parseRequest(data)
		if err == nil && (request == nil || length > len(data)) {
			t.Fatalf("parsed a request of %d bytes from %d bytes of input", length, len(data))
		}
		if err != nil && errors.Is(err, errIncomplete) && length <= len(data) {
			t.Fatalf("incomplete request: %d bytes needed, %d bytes given: %q", length, len(data), bytes.TrimSpace(data))
		}
	})
}

// TestListenOnSameAddressAfterClose checks that a restarted process can bind its address while old connections linger.
func TestListenOnSameAddressAfterClose(t *testing.T) {
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

// TestLateRepliesKeepTheirConnections guards against a new connection for each reply that comes after its caller has stopped
// waiting, which keeps a peer that is slow because of load from ever replying in time.
func TestLateRepliesKeepTheirConnections(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(request Request, respond Respond) {
		go func() {
			<-release
			respond(http.StatusOK, message{})
		}()
	})
	var dialed atomic.Int64
	client := NewClientWithDialer("token", func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if err := client.Post(ctx, address, "/late", message{}, nil); !errors.Is(err, context.Canceled) {
		t.Fatalf("request whose caller stopped waiting: %v, want its context's error", err)
	}
	close(release)
	for client.late.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if err := client.Post(t.Context(), address, "/next", message{}, nil); err != nil {
		t.Fatal(err)
	}
	if count := dialed.Load(); count != 1 {
		t.Fatalf("%d connections for two requests one after the other, want 1", count)
	}
}

// TestLateRepliesAreBounded checks that a client doesn't await any number of late replies.
func TestLateRepliesAreBounded(t *testing.T) {
	address := startServer(t, func(Request, Respond) {}) // never replies
	client := NewClient("token", nil)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range 2 * maxLateReplies {
		calls.Go(func() { _ = client.Post(ctx, address, "/never", message{}, nil) })
	}
	time.AfterFunc(50*time.Millisecond, cancel)
	calls.Wait()
	if late := client.late.Load(); late > maxLateReplies {
		t.Fatalf("%d requests go on, want %d at the most", late, maxLateReplies)
	}
}

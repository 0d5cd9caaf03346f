package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveBytes answers each connection with the given bytes and closes it.
func serveBytes(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 4096))
			_, _ = io.WriteString(connection, answer)
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// TestHeadCutByAnotherResponseIsAnError guards against a reply whose body is that of another response behind its head.
func TestHeadCutByAnotherResponseIsAnError(t *testing.T) {
	const second = "HTTP/1.1 500 Failed\r\nContent-Length: 12\r\n\r\n{\"number\":7}"
	for name, answer := range map[string]string{
		"in the reason":   "HTTP/1.1 200 O" + second,
		"in a value":      "HTTP/1.1 200 OK\r\nX-Trace: 3e" + second,
		"before a value":  "HTTP/1.1 200 OK\r\nX-Trace:" + second,
		"behind a value":  "HTTP/1.1 200 OK\r\nX-Trace: 3e\r" + second,
		"two types":       "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"number\":7}",
		"in a field name": "HTTP/1.1 200 OK\r\nX-Tr" + second,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var reply struct{ Number int }
			if err := NewClient("", nil).Get(ctx, serveBytes(t, answer), "/", &reply); err == nil {
				t.Fatalf("got reply %+v, want an error", reply)
			}
		})
	}
}

func TestCheckHeadTakesListsAndProtocolNames(t *testing.T) {
	response := &http.Response{Status: "200 OK", StatusCode: http.StatusOK, Header: http.Header{"Via": {"HTTP/1.1 a", "HTTP/1.1 b"}, "Vary": {"A", "B"}, "Content-Type": {"text/plain", "text/plain"}}}
	if err := CheckHead(response); err != nil {
		t.Fatal(err)
	}
	response.Header["X-Id"] = []string{"1", "2"}
	if err := CheckHead(response, "X-Id"); !errors.Is(err, ErrContradiction) {
		t.Fatalf("got %v, want ErrContradiction", err)
	}
}

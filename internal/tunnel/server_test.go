package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// Requests that must not be served are refused with their outcome.
func TestServerRefuses(t *testing.T) {
	address := testBackend(t, echoLine)
	for _, test := range []struct {
		name    string
		prepare func(*testPeer)
		token   string
		address string
		want    Outcome
	}{
		{"unknown address", func(*testPeer) {}, testToken, "", Unknown},
		{"lost path", func(p *testPeer) { p.lost.Store(true) }, testToken, address, PathLost},
		{"no path at all", func(p *testPeer) { p.disconnected.Store(true) }, testToken, address, Disconnected},
		{"refused", func(p *testPeer) { p.refuses.Store(true) }, testToken, address, Refused},
		{"stopping", func(p *testPeer) { p.stopping.Store(true) }, testToken, address, Stopping},
		{"full", func(p *testPeer) { p.server.carried.Store(maxCarried) }, testToken, address, Full},
		{"wrong token", func(*testPeer) {}, "other", address, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer := newTestPeer(t)
			test.prepare(peer)
			conn, err := net.Dial("tcp", peer.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = open(conn, openRequest{token: test.token, address: test.address}, time.Now().Add(5*time.Second))
			var refused *OutcomeError
			if !errors.As(err, &refused) || refused.Outcome != test.want {
				t.Fatalf("got %v, want outcome %q", err, test.want)
			}
		})
	}
}

// The question whether back ends answer a peer is answered on the wire, also by a peer that is cut off.
func TestProofOnTheWire(t *testing.T) {
	for _, want := range []Outcome{Proven, Disconnected} {
		peer := newTestPeer(t)
		peer.disconnected.Store(want == Disconnected)
		peer.alternative = "10.0.0.9:1"
		conn, err := net.Dial("tcp", peer.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		got, err := askProof(conn, testToken, time.Second)
		if err != nil || got.Outcome != want || (len(got.Alternatives) > 0) != (want == Disconnected) {
			t.Errorf("got %+v, %v, want %q", got, err, want)
		}
	}
}

// Without a token, all requests are accepted, as between the other processes of a fleet.
func TestServerWithoutToken(t *testing.T) {
	address := testBackend(t, echoLine)
	peer := newTestPeer(t)
	peer.server.config.Token = ""
	conn, err := net.Dial("tcp", peer.address)
	if err != nil {
		t.Fatal(err)
	}
	opened, err := open(conn, openRequest{address: address}, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := roundTrip(opened); got != "hello\n" || err != nil {
		t.Fatalf("received %q, %v", got, err)
	}
}

// The messages that open a tunnel, as builds side by side exchange them.
func TestMessagesOnTheWire(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	opened := make(chan error, 1)
	go func() {
		_, err := open(client, openRequest{token: testToken, address: "10.0.0.1:80"}, time.Now().Add(5*time.Second))
		opened <- err
	}()
	reader := bufio.NewReader(server)
	var request strings.Builder
	for !strings.HasSuffix(request.String(), "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		request.WriteString(line)
	}
	const want = "GET /internal/v1/tunnel?address=10.0.0.1%3A80 HTTP/1.1\r\nHost: pipe\r\nUser-Agent: Go-http-client/1.1\r\n" +
		"Authorization: Bearer secret\r\nConnection: Upgrade\r\nUpgrade: kitetiller-tunnel\r\n\r\n"
	if request.String() != want {
		t.Errorf("request:\n%s\nwant:\n%s", request.String(), want)
	}
	_, _ = io.WriteString(server, "HTTP/1.1 503 Service Unavailable\r\nTunnel-Outcome: refused\r\nContent-Length: 0\r\n\r\n")
	var refused *OutcomeError
	if err := <-opened; !errors.As(err, &refused) || refused.Outcome != Refused {
		t.Errorf("got %v", err)
	}
	peer := newTestPeer(t)
	response, err := http.Get("http://" + peer.address + Path)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d without a token, want 404", response.StatusCode)
	}
	conn, err := net.Dial("tcp", peer.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.Replace(want, "10.0.0.1%3A80", testBackend(t, echoLine), 1)+"hello\n")
	received, err := io.ReadAll(conn)
	received = regexp.MustCompile(`Date: .*\r\n`).ReplaceAll(received, nil)
	const wantReply = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nTunnel-Outcome: opened\r\nUpgrade: kitetiller-tunnel\r\n\r\n6\r\nhello\n\r\n0\r\n\r\n"
	if string(received) != wantReply || err != nil {
		t.Errorf("received %q, %v, want %q", received, err, wantReply)
	}
}

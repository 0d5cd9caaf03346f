package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	host      = "kazi7.example"
	clientKey = "ctnfzs989anu6wsjnban"
)

// connection is a client's kept connection to a gateway.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// dial connects to a gateway. receiveBuffer is the size of the socket's receive buffer, or 0 for the usual one.
func dial(address string, receiveBuffer int) (*connection, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(descriptor uintptr) {
				failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
			if err != nil {
				return err
			}
			return failed
		}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, 4096)}, nil
}

// send sends a request. extra are further header lines.
func (c *connection) send(method, path, id string, deadline time.Duration, extra ...string) error {
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds()),
	}
	lines = append(lines, extra...)
	if method == http.MethodPost {
		lines = append(lines, "Content-Length: 0")
	}
	_, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n")
	return err
}

// readHead reads the head of the answer.
func (c *connection) readHead(method string) (*http.Response, error) {
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// exchange sends a request on a new connection and reads the whole answer.
func exchange(address, method, path, id string, deadline time.Duration, extra ...string) (status int, body []byte, err error) {
	c, err := dial(address, 0)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if err := c.send(method, path, id, deadline, extra...); err != nil {
		return 0, nil, err
	}
	response, err := c.readHead(method)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// keyHeader returns the header line with an API key.
func keyHeader(key string) string { return "Api-Key: " + key }

// awaitServed repeats a request until it is served once.
func awaitServed(r *record, address, method, path, id string, extra ...string) error {
	for number := range 100 {
		status, _, err := exchange(address, method, path, fmt.Sprintf("%s-%d", id, number), 3*time.Second, extra...)
		if err == nil && status == http.StatusOK {
			r.add("client: %s of %s is served by %s", id, path, address)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not served", path)
}

// plainService returns the entry of a service without engines.
func plainService() map[string]any {
	return map[string]any{"name": service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}
}

// route returns the entry of a route.
func route(name, prefix, kind, service string, attempts int, targetMS float64) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 12000, "target_ms": targetMS, "priority": 1, "service": service,
		"max_attempts": attempts, "anonymous": false, "sticky": kind == "streaming", "can_resume": false, "gap_aim_ms": 500,
	}
}

// tenant returns the entry of a tenant.
func tenant(name, key string, noSharing bool) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "no_sharing": noSharing}
}

// configuration returns a configuration.
func configuration(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

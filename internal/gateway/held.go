package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBufferedBytes bounds what the gateway holds in its own memory for all callers and back ends that take it slowly: with the buffers of the sockets
	// of 200 such requests it comes to some 38 MB, a third of a small machine's memory.
	maxBufferedBytes = 12 << 20
	// socketBufferBytes bounds what the kernel keeps of a request on its way to the caller, and on its way from the back end, in bytes; it takes twice
	// that. Left to itself it kept over a megabyte for a stream whose caller takes nothing. At 6 ms there and back 10 MB/s fit through.
	socketBufferBytes = 32 << 10
	// bufferStep is how much of a body is made room for at first, of an event without being counted, and passed on at once of an answer, in bytes.
	bufferStep = 16 << 10
)

// errBufferLimit says that so much is held already that there is no room for more.
var errBufferLimit = errors.New("too much is held for slow callers")

// bufferBudget counts what is bufferBudget for callers and back ends, in bytes. It is safe for concurrent use.
type bufferBudget struct{ used atomic.Int64 }

// reserve makes room for so many bytes, or reports that there is none.
func (h *bufferBudget) reserve(n int) bool {
	if h.used.Add(int64(n)) <= maxBufferedBytes {
		return true
	}
	h.used.Add(int64(-n))
	return false
}

// release ends what take began.
func (h *bufferBudget) release(n int) { h.used.Add(int64(-n)) }

// readBody reads a body of known length, or of any where that is below 0, and returns what came and how much room was taken for it, also beside an
// error. Room follows what has come: a caller that tells of much and sends nothing takes none from others.
func (h *bufferBudget) readBody(from io.Reader, length int64) (body []byte, reserved int, err error) {
	for {
		if len(body) == cap(body) {
			newRoom := max(bufferStep, 2*cap(body))
			if length >= 0 {
				newRoom = min(newRoom, int(length)+1) // one more, so that the end is seen
			}
			if !h.reserve(newRoom - reserved) {
				return body, reserved, errBufferLimit
			}
			reserved = newRoom
			body = append(make([]byte, 0, newRoom), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && length >= 0 && int64(len(body)) < length:
			return body, reserved, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return body, reserved, err
		}
	}
}

// write passes bytes on to the caller, a part after the other. Each may take writeTimeout: a caller that takes nothing is cut off then, and one
// that takes little isn't.
func (x *exchange) write(body []byte) error {
	controller := http.NewResponseController(x.writer)
	for len(body) > 0 {
		part := body[:min(len(body), bufferStep)]
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := x.writer.Write(part); err != nil {
			return err
		}
		body = body[len(part):]
	}
	return nil
}

// relayBody passes an answer on as it comes, no faster than the caller takes it.
func (x *exchange) relayBody(from io.Reader) error {
	part := make([]byte, bufferStep)
	for {
		n, err := from.Read(part)
		if failed := x.write(part[:n]); failed != nil {
			return failed
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// listenCallers opens the listener for callers.
func listenCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setSocketOption(raw, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes) // accepted connections have it too
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// setSocketOption sets an option of a socket.
func setSocketOption(raw syscall.RawConn, level, option, value int) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) { failed = unix.SetsockoptInt(int(descriptor), level, option, value) })
	return errors.Join(err, failed)
}

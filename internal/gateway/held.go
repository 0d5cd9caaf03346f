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
	// maxBufferedBytes bounds the memory used to buffer data for slow callers and back ends. With the socket buffers of
	// 200 such requests, this amounts to some 38 MB, a third of the memory of a small machine.
	maxBufferedBytes = 12 << 20
	// socketBufferBytes is the size of the kernel's buffers for sending to callers and receiving from back ends; the
	// kernel doubles it. With autotuning, a stream whose caller reads nothing would use over 1 MB. At a round trip of 6
	// ms, this size allows 10 MB/s.
	socketBufferBytes = 32 << 10
	// bufferStep is the initial buffer size for a body, the size up to which an event is not counted, and the maximum
	// write size when a response is relayed, in bytes.
	bufferStep = 16 << 10
)

// errBufferLimit is returned when maxBufferedBytes is reached.
var errBufferLimit = errors.New("buffer limit reached: too much data buffered for slow callers and back ends")

// bufferBudget counts buffered bytes. It is safe for concurrent use.
type bufferBudget struct {
	used   atomic.Int64
	limit  int64
	parent *bufferBudget // counts them as well; nil for the total
}

// Reserve reserves n bytes, or returns false if they would exceed a limit.
func (h *bufferBudget) Reserve(n int) bool {
	if h.used.Add(int64(n)) <= h.limit && (h.parent == nil || h.parent.Reserve(n)) {
		return true
	}
	h.used.Add(int64(-n))
	return false
}

// Release returns n reserved bytes.
func (h *bufferBudget) Release(n int) {
	h.used.Add(int64(-n))
	if h.parent != nil {
		h.parent.Release(n)
	}
}

// heldBytes counts what is buffered for all callers and back ends. Back ends' responses take a part of it at most, so that faulty
// ones don't keep requests from being accepted.
type heldBytes struct {
	total     bufferBudget
	responses bufferBudget // bodies and events of responses
	heads     bufferBudget // long heads of responses
}

func newHeldBytes() *heldBytes {
	h := &heldBytes{total: bufferBudget{limit: maxBufferedBytes}}
	h.responses = bufferBudget{limit: maxBufferedBytes / 2, parent: &h.total}
	h.heads = bufferBudget{limit: maxBufferedBytes / 4, parent: &h.total}
	return h
}

// readBody reads a body of the given length, or until EOF if the length is negative. It returns the bytes read and the
// number of bytes reserved for them, also with an error. The reservation grows with the data received, so that a caller
// which announces a large body and sends nothing does not take memory from others.
func (h *bufferBudget) readBody(from io.Reader, length int64) (body []byte, reserved int, err error) {
	for {
		if len(body) == cap(body) {
			newCapacity := max(bufferStep, 2*cap(body))
			if length >= 0 {
				newCapacity = min(newCapacity, int(length)+1) // one byte more, so that EOF is read
			}
			if !h.Reserve(newCapacity - reserved) {
				return body, reserved, errBufferLimit
			}
			reserved = newCapacity
			body = append(make([]byte, 0, newCapacity), body...)
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

// write writes to the caller in chunks, each with a deadline of writeTimeout, so that a caller that reads slowly is not
// cut off, but one that reads nothing is.
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

// relayBody copies a response to the caller as it arrives.
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
		return setSocketOption(raw, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes) // inherited by accepted connections
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// setSocketOption sets an integer socket option.
func setSocketOption(raw syscall.RawConn, level, option, value int) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) { failed = unix.SetsockoptInt(int(descriptor), level, option, value) })
	return errors.Join(err, failed)
}

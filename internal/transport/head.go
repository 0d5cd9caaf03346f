package transport

import (
	"io"

	"github.com/rotisserie/eris"
)

// MaxHeadBytes is the maximum size of the head of a response: its status line and header lines, and those of the informational
// responses before it.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLong is returned when the head of a response is longer than MaxHeadBytes.
var ErrHeadTooLong = eris.New("the head of the response is too long")

// HeadReader reads from a connection, and fails when a head is longer than MaxHeadBytes. http.ReadResponse has no limit of its
// own.
type HeadReader struct {
	from    io.Reader
	left    int  // bytes that may still be read while limited
	limited bool // a head is being read
}

// NewHeadReader returns a reader without a limit in force.
func NewHeadReader(from io.Reader) *HeadReader { return &HeadReader{from: from} }

// BeginHead limits what is read until EndHead.
func (r *HeadReader) BeginHead() { r.left, r.limited = MaxHeadBytes, true }

// EndHead ends the limit.
func (r *HeadReader) EndHead() { r.limited = false }

// Read reads from the connection.
func (r *HeadReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.from.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	count, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= count
	return count, err
}

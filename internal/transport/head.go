package transport

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes is the maximum size of the head of a response: its status line and header lines, and those of the
	// informational responses before it.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines is the maximum number of its lines. A parsed head takes some hundred bytes a line, whatever its length.
	MaxHeadLines = 256
	// MaxTransportHeadBytes is the maximum size of the head of a response that an http.Transport reads, which has no limit on its
	// lines.
	MaxTransportHeadBytes = 16 << 10
	// headStep is the size up to which the account of heads is not asked for a head, and by which it is asked for more.
	headStep = 4 << 10
	// headCost is how many bytes a byte of a head takes while the response is in use, as read and as parsed.
	headCost = 2
)

var (
	// ErrHeadTooLong is returned when the head of a response is longer than MaxHeadBytes or MaxHeadLines.
	ErrHeadTooLong = eris.New("the head of the response is too long")
	// ErrHeadsFull is returned when the heads held at once take all bytes of their account.
	ErrHeadsFull = eris.New("the heads of responses in use take too much memory")
)

// Account bounds the bytes that are held at once.
type Account interface {
	// Reserve takes bytes from the account, or returns false if too few are left.
	Reserve(bytes int) bool
	// Release returns bytes.
	Release(bytes int)
}

// HeadReader reads from a connection, and fails when a head is longer than MaxHeadBytes or MaxHeadLines, or is none by RFC 9112.
// http.ReadResponse has no limit of its own, and takes more.
type HeadReader struct {
	from      io.Reader
	account   Account // nil if heads are few
	read      int     // bytes of the present head
	lines     int     // line ends of the present head
	accounted int     // bytes of the head that are reserved, without headCost
	limited   bool    // a head is being read
	switches  bool    // the request asked for a switch of protocols
	syntax    headSyntax
	malformed error // why the present head is none, or nil
}

// NewHeadReader returns a reader without a limit in force.
func NewHeadReader(from io.Reader) *HeadReader { return NewAccountedHeadReader(from, nil) }

// NewAccountedHeadReader is NewHeadReader for many connections, whose long heads are taken from an account.
func NewAccountedHeadReader(from io.Reader, account Account) *HeadReader {
	return &HeadReader{from: from, account: account}
}

// BeginHead limits what is read until EndHead. Nothing that was read before may be left.
func (r *HeadReader) BeginHead() {
	r.ReleaseHead()
	r.read, r.lines, r.limited, r.malformed = 0, 0, true, nil
	r.syntax = headSyntax{switches: r.switches}
}

// ExpectSwitch makes a switch of protocols a head that ends. It is called before BeginHead.
func (r *HeadReader) ExpectSwitch() { r.switches = true }

// HasBegun reports whether any byte of the present head was read.
func (r *HeadReader) HasBegun() bool { return r.read > 0 }

// Explain returns why the head that was read is none, if that is known, or else the given error of reading it.
func (r *HeadReader) Explain(err error) error {
	if err != nil && r.malformed != nil {
		return r.malformed
	}
	return err
}

// EndHead ends the limit. The head stays in the account.
func (r *HeadReader) EndHead() { r.limited = false }

// ReleaseHead returns the bytes of the latest head to the account, once the response is no longer in use.
func (r *HeadReader) ReleaseHead() {
	if r.accounted > 0 {
		r.account.Release(headCost * r.accounted)
		r.accounted = 0
	}
}

// Read reads from the connection.
func (r *HeadReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.from.Read(p)
	}
	if r.malformed != nil {
		return 0, r.malformed // bufio forgets an error that it met while it looked ahead
	}
	if r.read >= MaxHeadBytes || r.lines > MaxHeadLines {
		return 0, ErrHeadTooLong
	}
	if !r.reserve() {
		return 0, ErrHeadsFull
	}
	count, err := r.from.Read(p[:min(len(p), MaxHeadBytes-r.read)])
	r.read += count
	r.lines += bytes.Count(p[:count], []byte{'\n'})
	if r.malformed = r.syntax.check(p[:count]); r.malformed != nil {
		return 0, r.malformed
	}
	return count, err
}

// reserve takes the next bytes of a long head from the account.
func (r *HeadReader) reserve() bool {
	if r.account == nil || r.read < headStep+r.accounted {
		return true
	}
	if !r.account.Reserve(headCost * headStep) {
		return false
	}
	r.accounted += headStep
	return true
}

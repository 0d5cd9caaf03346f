package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func newReader(text []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(text), readBufferSize)
}

// TestReadBody tests that bodies of known or unknown length, complete or truncated, are read unchanged, and that
// reservations follow the data received, stay within the limit and can be released in full.
func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := bufferBudget{limit: maxBufferedBytes}
		others := rapid.IntRange(0, maxBufferedBytes).Draw(t, "others")
		h.Reserve(others)
		sent := bytes.Repeat([]byte("x"), rapid.IntRange(0, 3*bufferStep).Draw(t, "sent"))
		length := int64(rapid.SampledFrom([]int{-1, len(sent), len(sent) + 1, maxBufferedBytes}).Draw(t, "told"))
		var from io.Reader = bytes.NewReader(sent)
		if rapid.Bool().Draw(t, "halves") {
			from = iotest.HalfReader(from)
		}
		body, reserved, err := h.readBody(from, length)
		switch {
		case errors.Is(err, errBufferLimit):
			if others+2*len(sent)+bufferStep < maxBufferedBytes {
				t.Fatalf("rejected with %d bytes reserved for others and a body of %d", others, len(sent))
			}
		case length > int64(len(sent)):
			if err != io.ErrUnexpectedEOF {
				t.Fatalf("truncated body, got %d of %d bytes: error %v", len(sent), length, err)
			}
		case err != nil || !bytes.Equal(body, sent):
			t.Fatalf("got %d of %d bytes, error %v", len(body), len(sent), err)
		}
		if reserved > max(bufferStep, 2*len(sent)) || int(h.used.Load()) != others+reserved || h.used.Load() > maxBufferedBytes {
			t.Fatalf("reserved %d bytes for a body of %d, %d in total with %d for others", reserved, len(sent), h.used.Load(), others)
		}
		if h.Release(reserved); int(h.used.Load()) != others {
			t.Fatalf("%d bytes reserved after release, want %d", h.used.Load(), others)
		}
	})
}

// TestLongEvents tests that an event above bufferStep reserves memory until the next one, and fails if the limit is
// reached.
func TestLongEvents(t *testing.T) {
	long := append(append([]byte("id: 1\ndata: "), bytes.Repeat([]byte("x"), 3*bufferStep)...), "\n\nid: 2\ndata: y\n\n"...)
	h := bufferBudget{limit: maxBufferedBytes}
	read := &eventReader{reader: newReader(long), buffered: &h}
	if event, err := read.next(); err != nil || len(event) < 3*bufferStep || h.used.Load() < 3*bufferStep {
		t.Fatalf("event of %d bytes, error %v, %d bytes reserved", len(event), err, h.used.Load())
	}
	if event, err := read.next(); err != nil || read.id != "2" || len(event) > bufferStep || h.used.Load() != 0 {
		t.Fatalf("event of %d bytes, error %v, %d bytes reserved", len(event), err, h.used.Load())
	}
	h.Reserve(maxBufferedBytes - bufferStep)
	full := &eventReader{reader: newReader(long), buffered: &h}
	if _, err := full.next(); !errors.Is(err, errBufferLimit) {
		t.Fatalf("error %v, want errBufferLimit", err)
	}
	if full.close(); h.used.Load() != maxBufferedBytes-bufferStep {
		t.Fatalf("%d bytes reserved after close", h.used.Load())
	}
}

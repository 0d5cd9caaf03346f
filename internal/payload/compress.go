// Package payload encodes long messages for transport. It compresses them, and it encodes and compresses parts that
// many messages share only once.
package payload

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/rotisserie/eris"
)

const (
	// MinCompressBytes is the minimum length of a body that is compressed. Rosters, registrations and snapshots are
	// longer, and shrink some ten times, so that a whole roster passes a link of 10 Mbit/s in tens of milliseconds. Most
	// other messages are shorter.
	MinCompressBytes = 8 << 10
	// Gzip is the name of the gzip content coding.
	Gzip = "gzip"
)

var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic("payload: invalid compression level: " + err.Error())
	}
	return w
}}

// Compress returns a body, compressed if it is long enough, and its encoding: Gzip, or "" if it isn't compressed.
func Compress(body []byte) ([]byte, string) {
	if len(body) < MinCompressBytes {
		return body, ""
	}
	return gzipMember(body), Gzip
}

// gzipMember compresses data as one member of a gzip stream. Concatenated members decompress as one stream.
func gzipMember(data []byte) []byte {
	var compressed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&compressed)
	_, err := w.Write(data)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("payload: compression into memory failed: " + err.Error())
	}
	return compressed.Bytes()
}

// Decompress reads a body in the given encoding. A body that decompresses to more than maxBytes is an error.
func Decompress(body io.Reader, encoding string, maxBytes int) ([]byte, error) {
	switch encoding {
	case "":
	case Gzip:
		r, err := gzip.NewReader(body)
		if err != nil {
			return nil, eris.Wrap(err, "read compressed body")
		}
		defer r.Close()
		body = r
	default:
		return nil, eris.Errorf("unsupported encoding %q", encoding)
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if len(data) > maxBytes {
		return nil, eris.Errorf("body exceeds %d bytes", maxBytes)
	}
	return data, nil
}

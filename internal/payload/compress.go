// Package payload is how long messages travel: compressed, and with parts that many messages share encoded and compressed once.
package payload

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/rotisserie/eris"
)

const (
	// MinCompressBytes is the length of a body from which it travels compressed. Messages of a calm fleet are shorter; rosters,
	// registrations and snapshots are JSON that repeats itself and shrinks some ten times, which is what lets a whole roster pass a link
	// of 10 Mbit/s in tens of milliseconds.
	MinCompressBytes = 8 << 10
	// Gzip names the encoding.
	Gzip = "gzip"
)

var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic("payload: the level of compression is not known: " + err.Error())
	}
	return w
}}

// Compress returns a body as it travels, and its encoding, "" where it is sent as it is.
func Compress(body []byte) ([]byte, string) {
	if len(body) < MinCompressBytes {
		return body, ""
	}
	return gzipMember(body), Gzip
}

// gzipMember returns data as one member of a compressed stream; members may follow each other.
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
		panic("payload: memory cannot be written: " + err.Error())
	}
	return compressed.Bytes()
}

// Decompress returns a body that came in an encoding; one of more than most bytes is refused.
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
		return nil, eris.Errorf("encoding %q is not known", encoding)
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if len(data) > maxBytes {
		return nil, eris.Errorf("a body of more than %d bytes is not accepted", maxBytes)
	}
	return data, nil
}

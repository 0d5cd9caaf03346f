package transport

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/rotisserie/eris"
)

const (
	// compressFrom is the length of a body from which it travels compressed. Messages of a calm fleet are shorter; rosters,
	// registrations and snapshots are JSON that repeats itself and shrinks some ten times, which is what lets a whole roster pass a link
	// of 10 Mbit/s in tens of milliseconds.
	compressFrom   = 8 << 10
	encodingHeader = "Content-Encoding"
	acceptHeader   = "Accept-Encoding"
	encodingGzip   = "gzip"
)

var compressors = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic("transport: the level of compression is not known: " + err.Error())
	}
	return w
}}

// compressed returns a body as it travels, and its encoding, "" where it is sent as it is.
func compressed(body []byte) ([]byte, string) {
	if len(body) < compressFrom {
		return body, ""
	}
	var packed bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(body); err != nil {
		return body, ""
	}
	if err := w.Close(); err != nil {
		return body, ""
	}
	return packed.Bytes(), encodingGzip
}

// expanded returns a body that came in an encoding; one that is longer than a message may be is refused.
func expanded(body io.Reader, encoding string) ([]byte, error) {
	switch encoding {
	case "":
	case encodingGzip:
		r, err := gzip.NewReader(body)
		if err != nil {
			return nil, eris.Wrap(err, "read compressed body")
		}
		defer r.Close()
		body = r
	default:
		return nil, eris.Errorf("encoding %q is not known", encoding)
	}
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if len(data) > maxMessageBytes {
		return nil, eris.Errorf("a body of more than %d bytes is not accepted", maxMessageBytes)
	}
	return data, nil
}

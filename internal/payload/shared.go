package payload

import (
	"bytes"
	"encoding/json"
	"sync"
)

// SharedJSON is JSON that is a part of many messages. It is encoded when it is made, and compressed when it first travels so.
type SharedJSON struct {
	encoded  []byte
	gzipOnce sync.Once
	gzipped  []byte
}

// NewSharedJSON encodes a value.
func NewSharedJSON(value any) (*SharedJSON, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return &SharedJSON{encoded: encoded}, nil
}

// MarshalJSON returns the JSON as it was made.
func (s *SharedJSON) MarshalJSON() ([]byte, error) { return s.encoded, nil }

func (s *SharedJSON) compressed() []byte {
	s.gzipOnce.Do(func() { s.gzipped = gzipMember(s.encoded) })
	return s.gzipped
}

// Part is a piece of a message: bytes of its own, or JSON that it shares with others.
type Part struct {
	Raw    []byte
	Shared *SharedJSON // instead of Own; or nil
}

// Composite is a message that is made of parts. Together they are its JSON.
type Composite interface {
	Parts() ([]Part, error)
}

// Assemble returns the bytes of a message made of parts, as it travels, and its encoding. Compressing costs what the own parts are.
func Assemble(parts []Part, acceptsGzip bool) (body []byte, encoding string) {
	length := 0
	for _, p := range parts {
		length += len(p.uncompressed())
	}
	compresses := acceptsGzip && length >= MinCompressBytes
	var assembled bytes.Buffer
	for _, p := range parts {
		switch {
		case !compresses:
			assembled.Write(p.uncompressed())
		case p.Shared != nil:
			assembled.Write(p.Shared.compressed())
		default:
			assembled.Write(gzipMember(p.Raw))
		}
	}
	if compresses {
		encoding = Gzip
	}
	return assembled.Bytes(), encoding
}

func (p Part) uncompressed() []byte {
	if p.Shared != nil {
		return p.Shared.encoded
	}
	return p.Raw
}

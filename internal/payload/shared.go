package payload

import (
	"bytes"
	"encoding/json"
	"sync"
)

// SharedJSON is JSON that is part of many messages. It is encoded on creation and compressed on first use.
type SharedJSON struct {
	encoded  []byte
	gzipOnce sync.Once
	gzipped  []byte
}

// NewSharedJSON encodes a value as JSON.
func NewSharedJSON(value any) (*SharedJSON, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return &SharedJSON{encoded: encoded}, nil
}

// MarshalJSON returns the JSON that was encoded on creation.
func (s *SharedJSON) MarshalJSON() ([]byte, error) { return s.encoded, nil }

func (s *SharedJSON) compressed() []byte {
	s.gzipOnce.Do(func() { s.gzipped = gzipMember(s.encoded) })
	return s.gzipped
}

// Part is a piece of a message: bytes of this message only, or JSON that it shares with others.
type Part struct {
	Raw    []byte
	Shared *SharedJSON // used instead of Raw if not nil
}

// Composite is a message whose JSON is the concatenation of its parts.
type Composite interface {
	Parts() ([]Part, error)
}

// Assemble concatenates the parts of a message and returns the body and its encoding: Gzip, or "" if it isn't
// compressed. Only parts that aren't shared are compressed on each call.
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

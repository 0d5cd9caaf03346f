package quarantine

import (
	"encoding/base64"
	"encoding/binary"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/zeebo/blake3"
)

const (
	// fingerprintBytes keeps the probability of a collision over the lifetime of a fleet below 10^-20.
	fingerprintBytes = 16
	// SeedBytes is the length of the secret key of fingerprints.
	SeedBytes = 32
)

// Fingerprint identifies a request by what does not change when it is sent again, or a part of a prompt. Without the seed
// it reveals nothing about either.
type Fingerprint [fingerprintBytes]byte

// textEncoding encodes fingerprints in messages and logs.
var textEncoding = base64.RawURLEncoding

// String returns the fingerprint in its text form.
func (f Fingerprint) String() string { return textEncoding.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != textEncoding.EncodedLen(fingerprintBytes) {
		return eris.Errorf("invalid fingerprint %q: want %d letters, digits, - or _", text, textEncoding.EncodedLen(fingerprintBytes))
	}
	_, err := textEncoding.Decode(f[:], text)
	return eris.Wrapf(err, "invalid fingerprint %q", text)
}

// Request holds the parts of a request that do not change when it is sent again.
type Request struct {
	Method, Host string
	Path         string // including the query
	Caller       string // tenant; "" if callers are not identified
	Body         []byte
}

// Hasher computes fingerprints with one seed. It is safe for concurrent use.
type Hasher struct {
	idle sync.Pool // of *blake3.Hasher, which takes about 10 KB each
}

// NewHasher returns a hasher with the given seed.
func NewHasher(seed []byte) (*Hasher, error) {
	base, err := blake3.NewKeyed(seed)
	if err != nil {
		return nil, eris.Wrapf(err, "fingerprint seed must have %d bytes, got %d", SeedBytes, len(seed))
	}
	return &Hasher{idle: sync.Pool{New: func() any { return base.Clone() }}}, nil
}

// Fingerprint returns the fingerprint of a request.
func (h *Hasher) Fingerprint(r Request) Fingerprint {
	hasher := h.idle.Get().(*blake3.Hasher)
	defer h.idle.Put(hasher)
	hasher.Reset()
	for _, field := range [...]string{r.Method, r.Host, r.Path, r.Caller} {
		var length [8]byte // prefix, so that fields cannot run into each other
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.WriteString(field)
	}
	_, _ = hasher.Write(r.Body)
	return sum(hasher)
}

// sum returns the fingerprint of what was written to a hasher.
func sum(hasher *blake3.Hasher) (f Fingerprint) {
	var full [32]byte
	copy(f[:], hasher.Sum(full[:0]))
	return f
}

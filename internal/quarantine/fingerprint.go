package quarantine

import (
	"encoding/base64"
	"encoding/binary"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/zeebo/blake3"
)

const (
	// fingerprintBytes makes two requests of a fleet's life collide with a chance below 10^-20.
	fingerprintBytes = 16
	// SeedBytes is the length of the secret that fingerprints are made under.
	SeedBytes = 32
)

// Fingerprint names a request by what stays when it comes again. It tells nothing of the request to whoever lacks the seed.
type Fingerprint [fingerprintBytes]byte

// textForm is how fingerprints are written in messages and logs.
var textForm = base64.RawURLEncoding

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string { return textForm.EncodeToString(f[:]) }

// MarshalText writes the fingerprint as logs show it.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads a fingerprint as logs show it.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != textForm.EncodedLen(fingerprintBytes) {
		return eris.Errorf("%q is no fingerprint: %d letters, digits, - or _", text, textForm.EncodedLen(fingerprintBytes))
	}
	_, err := textForm.Decode(f[:], text)
	return eris.Wrapf(err, "%q is no fingerprint", text)
}

// Request is what stays of a request when it comes again.
type Request struct {
	Method, Host string
	Path         string // with its query
	Caller       string // tenant, or "" where nobody has to say who calls
	Body         []byte
}

// Hasher makes fingerprints under one seed. It is safe for concurrent use.
type Hasher struct {
	idle sync.Pool // of *blake3.Hasher: one takes some 10 KB
}

// NewHasher returns the hasher of a seed.
func NewHasher(seed []byte) (*Hasher, error) {
	base, err := blake3.NewKeyed(seed)
	if err != nil {
		return nil, eris.Wrapf(err, "a seed has %d bytes, not %d", SeedBytes, len(seed))
	}
	return &Hasher{idle: sync.Pool{New: func() any { return base.Clone() }}}, nil
}

// Fingerprint returns a request's fingerprint.
func (h *Hasher) Fingerprint(r Request) Fingerprint {
	hasher := h.idle.Get().(*blake3.Hasher)
	defer h.idle.Put(hasher)
	hasher.Reset()
	for _, field := range [...]string{r.Method, r.Host, r.Path, r.Caller} {
		var length [8]byte // so that no two requests make the same bytes
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.WriteString(field)
	}
	_, _ = hasher.Write(r.Body)
	var full [32]byte
	var made Fingerprint
	copy(made[:], hasher.Sum(full[:0]))
	return made
}

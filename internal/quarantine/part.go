package quarantine

import (
	"encoding/binary"

	"github.com/zeebo/blake3"
)

// partMark ends the fingerprints of parts and tells them from those of requests: one of 2^32 requests ends with it by
// chance.
const partMark = "part"

// partDomain precedes the ID of a part in the hash. No request begins with it, as it exceeds any length of a field.
const partDomain = ^uint64(0)

// Part returns the fingerprint of a part of a prompt, which is the same in all requests that share it.
func (h *Hasher) Part(id string) Fingerprint {
	hasher := h.idle.Get().(*blake3.Hasher)
	defer h.idle.Put(hasher)
	hasher.Reset()
	var domain [8]byte
	binary.LittleEndian.PutUint64(domain[:], partDomain)
	_, _ = hasher.Write(domain[:])
	_, _ = hasher.WriteString(id)
	fingerprint := sum(hasher)
	copy(fingerprint[fingerprintBytes-len(partMark):], partMark)
	return fingerprint
}

// IsPart reports whether a fingerprint is that of a part of a prompt rather than of a request.
func (f Fingerprint) IsPart() bool { return string(f[fingerprintBytes-len(partMark):]) == partMark }

// QuarantineThreshold returns the number of crashes from which a fingerprint is quarantined.
func (f Fingerprint) QuarantineThreshold() int {
	if f.IsPart() {
		return PartQuarantineThreshold
	}
	return QuarantineThreshold
}

// suspectThreshold returns the number of crashes from which a fingerprint is listed to processes.
func (f Fingerprint) suspectThreshold() int {
	if f.IsPart() {
		return PartSuspectThreshold
	}
	return SuspectThreshold
}

// Subject is a request with what it shares with others, as far as crashes count against it.
type Subject struct {
	Request Fingerprint
	Parts   []Fingerprint // that other requests may share
}

// fingerprints returns the fingerprints of the request and of its parts.
func (s Subject) fingerprints() []Fingerprint {
	return append([]Fingerprint{s.Request}, s.Parts...)
}

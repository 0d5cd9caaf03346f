// Package prefix knows which engine is believed to hold which cached prompt prefix: block chain hashes, the
// index of beliefs, and the rates of hot prefixes.
package prefix

import (
	"encoding/hex"

	"github.com/zeebo/blake3"

	"kitetiller/internal/guard"
)

// HashBytes is the width of a block hash. 128 bits keep accidental collisions among 10^9 blocks below 10^-20;
// the secret key keeps a tenant from making one on purpose.
const HashBytes = 16

// BytesPerToken is the length of text that counts as one token. Routers do not run a model's tokenizer; a
// block is a fixed length of text, and engine adapters map it to their own blocks.
const BytesPerToken = 4

// Hash names a block together with everything before it, its tenant and the weights version.
type Hash [HashBytes]byte

// String returns the hash in hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText writes the hash in hex.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads a hash in hex.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != 2*HashBytes {
		return hex.ErrLength
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Hasher makes block chains under one secret key. It is safe for concurrent use.
type Hasher struct {
	base        *blake3.Hasher
	blockTokens int
	guards      guard.Set
}

// KeyBytes is the length of the secret key.
const KeyBytes = 32

// NewHasher returns a hasher for blocks of blockTokens tokens.
func NewHasher(key [KeyBytes]byte, blockTokens int, guards guard.Set) *Hasher {
	base, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic("prefix: key length is wrong: " + err.Error())
	}
	return &Hasher{base: base, blockTokens: blockTokens, guards: guards}
}

// BlockTokens returns the tokens of a block.
func (h *Hasher) BlockTokens() int { return h.blockTokens }

// EstimateTokens returns how many tokens a prompt counts.
func EstimateTokens(promptBytes int) int { return (promptBytes + BytesPerToken - 1) / BytesPerToken }

// Chain returns the hash of each whole block of the prompt. The chain starts from the tenant and the weights
// version, so that chains of two tenants or two versions share no hash.
func (h *Hasher) Chain(tenant, weights string, prompt []byte) []Hash {
	blockBytes := h.blockTokens * BytesPerToken
	chain := make([]Hash, 0, len(prompt)/blockBytes)
	hasher := h.base.Clone()
	previous := h.seed(hasher, tenant, weights)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		hasher.Reset()
		_, _ = hasher.Write(previous[:])
		_, _ = hasher.Write(prompt[start : start+blockBytes])
		previous = sum(hasher)
		chain = append(chain, previous)
	}
	return chain
}

func (h *Hasher) seed(hasher *blake3.Hasher, tenant, weights string) Hash {
	hasher.Reset()
	if h.guards.On(guard.TenantInHash) {
		_, _ = hasher.Write([]byte(tenant))
	}
	_, _ = hasher.Write([]byte{0})
	if h.guards.On(guard.WeightsInHash) {
		_, _ = hasher.Write([]byte(weights))
	}
	return sum(hasher)
}

func sum(hasher *blake3.Hasher) Hash {
	var full [32]byte
	var hash Hash
	copy(hash[:], hasher.Sum(full[:0]))
	return hash
}

// Package prefix tracks which engine is assumed to have cached which prompt prefix: hashes of block chains, an index
// from blocks to engines, and the request rates of prefixes.
package prefix

import (
	"encoding/hex"

	"github.com/zeebo/blake3"

	"kitetiller/internal/guard"
)

// HashBytes is the size of a block hash. With 128 bits, the probability of an accidental collision among 10^9 blocks is
// below 10^-20; the secret key prevents deliberate ones.
const HashBytes = 16

// BytesPerToken is the text length that is counted as one token. Routers don't run the tokenizers of models; their
// blocks have a fixed text length, which engine adapters map to blocks of the engine.
const BytesPerToken = 4

// Hash identifies a block together with all preceding blocks, the tenant and the weights version.
type Hash [HashBytes]byte

// String encodes the hash in hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in hex.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes a hash from hex.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != 2*HashBytes {
		return hex.ErrLength
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Hasher computes block chains with a secret key. It is safe for concurrent use.
type Hasher struct {
	base        *blake3.Hasher
	blockTokens int
	guards      guard.Set
}

// KeyBytes is the size of the secret key.
const KeyBytes = 32

// NewHasher returns a hasher for blocks of blockTokens tokens.
func NewHasher(key [KeyBytes]byte, blockTokens int, guards guard.Set) *Hasher {
	base, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic("prefix: invalid hash key: " + err.Error())
	}
	return &Hasher{base: base, blockTokens: blockTokens, guards: guards}
}

// BlockTokens returns the number of tokens per block.
func (h *Hasher) BlockTokens() int { return h.blockTokens }

// EstimateTokens returns the estimated number of tokens of a prompt.
func EstimateTokens(promptBytes int) int { return (promptBytes + BytesPerToken - 1) / BytesPerToken }

// Chain returns the hash of each complete block of the prompt. It is seeded with the tenant and the weights version, so
// that the chains of different tenants or versions share no hash.
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

package core

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ringHash returns the position of an engine's point on the ring.
func ringHash(name string, point int) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	var suffix [2]byte
	binary.LittleEndian.PutUint16(suffix[:], uint16(point))
	_, _ = digest.Write(suffix[:])
	return digest.Sum64()
}

// ringKeyBlocks is the number of leading blocks that determine the ring key. Requests that share them go to the same
// engine while the prefix index knows nothing of them.
const ringKeyBlocks = 4

// ringKey returns the position of a request on the ring.
func ringKey(r *request) uint64 {
	if len(r.Chains) == 0 || len(r.Chains[0].Blocks) == 0 {
		return xxhash.Sum64String(r.Name)
	}
	blocks := r.Chains[0].Blocks
	root := blocks[min(ringKeyBlocks, len(blocks))-1]
	return binary.LittleEndian.Uint64(root[:8])
}

package bench

import (
	"container/list"

	"kitetiller/internal/prefix"
)

const vaultName = "vault"

// vault is a shared store of KV cache blocks with LRU eviction.
type vault struct {
	maxBlocks int
	order     *list.List
	entries   map[prefix.Hash]*list.Element
}

func newVault(maxBlocks int) *vault {
	return &vault{maxBlocks: maxBlocks, order: list.New(), entries: map[prefix.Hash]*list.Element{}}
}

// cachedPrefix returns how many leading blocks of a chain are stored, and marks them as used.
func (v *vault) cachedPrefix(chain []prefix.Hash) int {
	for i, hash := range chain {
		entry := v.entries[hash]
		if entry == nil {
			return i
		}
		v.order.MoveToBack(entry)
	}
	return len(chain)
}

func (v *vault) store(chain []prefix.Hash) {
	for _, hash := range chain {
		if entry := v.entries[hash]; entry != nil {
			v.order.MoveToBack(entry)
			continue
		}
		v.entries[hash] = v.order.PushBack(hash)
	}
	for len(v.entries) > v.maxBlocks {
		oldest := v.order.Front()
		delete(v.entries, v.order.Remove(oldest).(prefix.Hash))
	}
}

// storeInVault stores the blocks that the router selected when it dispatched the request.
func (r *run) storeInVault(s *attempt) {
	blocks := s.request.vaultBlocks
	if len(blocks) == 0 {
		return
	}
	r.vault.store(blocks)
	s.router.recordStored(blocks)
}

package ledger

// expiryItem names a key and when it is due. An item whose time differs from the record's is stale.
type expiryItem struct {
	key Key
	at  int64 // Unix milliseconds
}

// expiryHeap orders items by time; it implements heap.Interface.
type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an item; use heap.Push.
func (h *expiryHeap) Push(item any) { *h = append(*h, item.(expiryItem)) }

// Pop removes the last item; use heap.Pop.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

package ledger

// expiryItem is a scheduled expiry of a key. It is outdated if its time differs from ExpiresMS of the record.
type expiryItem struct {
	key Key
	at  int64 // Unix milliseconds
}

// expiryHeap orders items by time. It implements heap.Interface.
type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an item; call heap.Push instead.
func (h *expiryHeap) Push(item any) { *h = append(*h, item.(expiryItem)) }

// Pop removes the last item; call heap.Pop instead.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

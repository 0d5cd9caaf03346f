package gateway

import "sync"

// notifier wakes everybody who waits for the next ring. It is safe for concurrent use.
type notifier struct {
	mu   sync.Mutex
	next chan struct{} // closed by the next ring; guarded by mu
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// Next returns a channel that the next ring closes.
func (b *notifier) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// Notify wakes those who wait.
func (b *notifier) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}

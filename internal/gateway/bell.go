package gateway

import "sync"

// notifier wakes all waiters at each notification. It is safe for concurrent use.
type notifier struct {
	mu   sync.Mutex
	next chan struct{} // closed by the next notification; guarded by mu
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// Next returns a channel that is closed by the next call of Notify.
func (b *notifier) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// Notify wakes all waiters.
func (b *notifier) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}

package gateway

import "sync"

// notifier wakes all waiters at each notification. It is safe for concurrent use.
type notifier struct {
	mu   sync.Mutex
	next chan struct{} // closed by the next notification; guarded by mu
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// Next returns a channel that is closed by the next call of Notify.
func (n *notifier) Next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// Notify wakes all waiters.
func (n *notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}

package server

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a call that waits for a slot.
type waiter struct {
	priority int
	order    uint64
	ready    chan struct{}
	index    int
}

// waiters is a heap, ordered by descending priority and then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}
func (w *waiters) Pop() any {
	last := len(*w) - 1
	item := (*w)[last]
	*w = (*w)[:last]
	item.index = -1
	return item
}

// Slots limits how many calls run at once and queues the others by priority.
type Slots struct {
	mu      sync.Mutex
	limit   int
	running int
	order   uint64
	queue   waiters
}

// NewSlots returns slots for limit calls at once.
func NewSlots(limit int) *Slots { return &Slots{limit: limit} }

// Acquire waits for a slot. After a success the caller must call Release.
func (s *Slots) Acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return nil
	}
	s.order++
	w := &waiter{priority: priority, order: s.order, ready: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.abandon(w, ctx.Err())
	}
}

// abandon removes a waiter from the queue, or releases the slot that it was
// given in the meantime.
func (s *Slots) abandon(w *waiter, cause error) error {
	s.mu.Lock()
	queued := w.index >= 0
	if queued {
		heap.Remove(&s.queue, w.index)
	}
	s.mu.Unlock()
	if !queued {
		s.Release()
	}
	return cause
}

// Release passes the slot to the first waiter, or frees it if no call waits.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		close(heap.Pop(&s.queue).(*waiter).ready)
		return
	}
	s.running--
}

// Counts returns how many calls run and how many wait.
func (s *Slots) Counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.queue.Len()
}

package admission

import (
	"container/heap"
	"time"
)

// maxQueuedPerSlot bounds the queue length. With a longer queue, requests would wait longer than callers accept.
const maxQueuedPerSlot = 4

// waiter is a queued request.
type waiter struct {
	deadline time.Time // zero for none
	sequence uint64    // order of arrival, breaks ties between equal deadlines
	index    int       // position in the heap, -1 if not queued
	grant    chan grant
}

// grant is the result for a waiter: either a permit or a refusal.
type grant struct {
	permit  *Permit
	refusal *Refusal
}

// before reports whether w is served before other. Requests without a deadline come last.
func (w *waiter) before(other *waiter) bool {
	switch {
	case w.deadline.Equal(other.deadline):
		return w.sequence < other.sequence
	case w.deadline.IsZero() || other.deadline.IsZero():
		return !w.deadline.IsZero()
	default:
		return w.deadline.Before(other.deadline)
	}
}

// queue is a heap of waiters, earliest deadline first.
type queue []*waiter

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// last returns the waiter that would be served last. The queue must not be empty.
func (q queue) last() *waiter {
	last := q[0]
	for _, w := range q[1:] {
		if last.before(w) {
			last = w
		}
	}
	return last
}

// countAhead returns the number of waiters that are served before w.
func (q queue) countAhead(w *waiter) int {
	n := 0
	for _, other := range q {
		if other.before(w) {
			n++
		}
	}
	return n
}

// remove removes w from the queue and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

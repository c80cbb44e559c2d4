package admission

import (
	"container/heap"
	"context"
	"time"
)

// enqueue adds a waiter. A full queue drops the work that would be served last.
func (l *Limiter) enqueue(deadline, now time.Time) (*waiter, *Refusal) {
	if l.config.QueueTimeout <= 0 {
		return nil, &Refusal{Reason: ReasonQueueFull}
	}
	l.sequence++
	w := &waiter{deadline: deadline, sequence: l.sequence, index: -1, grant: make(chan grant, 1)}
	if refusal := l.checkDeadline(deadline, now, l.expectedNeed(w)); refusal != nil {
		return nil, refusal
	}
	if len(l.waiting) >= queuedPerSlot*l.config.Slots {
		last := l.waiting.last()
		if !w.before(last) {
			return nil, &Refusal{Reason: ReasonQueueFull}
		}
		l.waiting.remove(last)
		last.grant <- grant{refusal: &Refusal{Reason: ReasonQueueFull}}
	}
	heap.Push(&l.waiting, w)
	return w, nil
}

// expectedNeed estimates the wait and the service time of a new waiter.
func (l *Limiter) expectedNeed(w *waiter) time.Duration {
	service := l.expectedService()
	rounds := l.waiting.ahead(w) / l.limit.current
	return service * time.Duration(rounds+1)
}

// wait blocks until w is granted, the queue time passes or the context ends.
func (l *Limiter) wait(ctx context.Context, w *waiter, since time.Time) (*Permit, error) {
	longest := l.queueTime()
	reason := ReasonQueueTime
	if left := w.deadline.Sub(since); !w.deadline.IsZero() && left < longest {
		longest = left
		reason = ReasonDeadline
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g.unpack()
	case <-timer.C:
	case <-ctx.Done():
		reason = ReasonCanceled
	}
	return l.leave(w, reason)
}

func (l *Limiter) queueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.QueueTimeout
}

// leave takes w out of the queue. When a permit was granted at the same moment, it wins.
func (l *Limiter) leave(w *waiter, reason Reason) (*Permit, error) {
	l.mu.Lock()
	queued := l.waiting.remove(w)
	l.mu.Unlock()
	if queued {
		return nil, &Refusal{Reason: reason}
	}
	g := <-w.grant
	if g.permit != nil && reason == ReasonCanceled {
		g.permit.Done(Canceled)
		return nil, &Refusal{Reason: reason}
	}
	return g.unpack()
}

func (g grant) unpack() (*Permit, error) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	return g.permit, nil
}

// dispatch grants free slots to the waiters with the earliest deadlines. The caller holds the lock.
func (l *Limiter) dispatch(now time.Time) {
	for len(l.waiting) > 0 && l.hasSlot(now) {
		w := heap.Pop(&l.waiting).(*waiter)
		if refusal := l.checkDeadline(w.deadline, now, l.expectedService()); refusal != nil {
			w.grant <- grant{refusal: refusal}
			continue
		}
		w.grant <- grant{permit: l.admit(now)}
	}
}

package admission

import (
	"container/heap"
	"context"
	"time"
)

// enqueue adds a waiter. If the queue is full, the request that would be served last is refused. The caller
// must hold l.mu.
func (l *Limiter) enqueue(deadline, now time.Time) (*waiter, *Refusal) {
	if l.config.QueueTimeout <= 0 {
		return nil, &Refusal{Reason: ReasonQueueFull}
	}
	l.sequence++
	w := &waiter{deadline: deadline, sequence: l.sequence, index: -1, grant: make(chan grant, 1)}
	if refusal := l.checkDeadline(deadline, now, l.expectedTimeInSystem(w)); refusal != nil {
		return nil, refusal
	}
	if len(l.waiting) >= maxQueuedPerSlot*l.config.Slots {
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

// expectedTimeInSystem returns the expected sum of queueing time and service time of a new waiter.
func (l *Limiter) expectedTimeInSystem(w *waiter) time.Duration {
	serviceTime := l.expectedServiceTime()
	rounds := l.waiting.countAhead(w) / l.limit.current
	return serviceTime * time.Duration(rounds+1)
}

// wait blocks until w receives its grant, the queue timeout or the deadline of w passes, or ctx is done.
func (l *Limiter) wait(ctx context.Context, w *waiter, since time.Time) (*Permit, error) {
	longest := l.queueTimeout()
	reason := ReasonQueueTimeout
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
	return l.cancelWait(w, reason)
}

func (l *Limiter) queueTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.QueueTimeout
}

// cancelWait removes w from the queue and returns a refusal. If w received its grant in the meantime, it
// returns that grant instead, except that a canceled request gives its permit back.
func (l *Limiter) cancelWait(w *waiter, reason Reason) (*Permit, error) {
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

// dispatch grants free slots to the waiters with the earliest deadlines, and refuses waiters that can no longer
// meet their deadlines. The caller must hold l.mu.
func (l *Limiter) dispatch(now time.Time) {
	for len(l.waiting) > 0 && l.hasSlot(now) {
		w := heap.Pop(&l.waiting).(*waiter)
		if refusal := l.checkDeadline(w.deadline, now, l.expectedServiceTime()); refusal != nil {
			w.grant <- grant{refusal: refusal}
			continue
		}
		w.grant <- grant{permit: l.admit(now)}
	}
}

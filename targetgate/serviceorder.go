package targetgate

import "time"

// deferredShare is the share of the starts that goes to deferred requests while others wait that can be answered in
// time. Most of the capacity has to answer the latter, and the former must not wait until their deadline.
const deferredShare = 0.125

// due returns when the caller should have the response.
func (w *waiter) due() time.Duration {
	if w.class.objective == 0 {
		return w.deadline
	}
	return w.firstSent() + w.class.objective
}

// dueBefore is the order of requests that can be answered in time.
func dueBefore(w, other *waiter) bool { return w.due() < other.due() }

// isRetry reports whether the caller has sent the request before, on another flow: it has less time left than callers
// have for their first attempt.
func (w *waiter) isRetry() bool {
	return w.budget != nil && w.budget.age(w.deadline-w.arrived) > budgetTolerance
}

// isDeferred reports whether a request leaves most of the capacity to others: it cannot be answered in time, or it is
// a retry.
func (w *waiter) isDeferred(now, serviceTime time.Duration) bool {
	return w.isLate(now, serviceTime) || w.isRetry()
}

// candidates holds the indexes of the entries that may be served next, or -1, and the number of deferred entries.
type candidates struct {
	first       int // of those that are not deferred
	deferred    int // best of the deferred ones
	mostUrgent  int // deferred one whose caller gives up first
	deferredLen int
}

// next returns the index of the entry to serve next while overload is shed. Requests that can be answered in time come
// first, by priority and then in the order in which they are due. Deferred ones get deferredShare of the starts, or all
// while one of them would otherwise miss its deadline.
func (a *admission) next(q *waitQueue, slots int, serviceTime, now time.Duration) int {
	c := a.findCandidates(q.items, serviceTime, now)
	switch {
	case c.deferred < 0:
		a.deferredCredit = 0
		return c.first
	case c.isUrgent(q.items, slots, serviceTime, now):
		return c.mostUrgent
	case c.first < 0:
		return c.deferred
	}
	a.deferredCredit += a.policy.deferredShare
	if a.deferredCredit < 1 {
		return c.first
	}
	a.deferredCredit--
	return c.deferred
}

func (a *admission) findCandidates(items []waiter, serviceTime, now time.Duration) candidates {
	c := candidates{first: -1, deferred: -1, mostUrgent: -1}
	for i := range items {
		w := &items[i]
		if !a.policy.isDeferred(w, now, serviceTime) {
			if c.first < 0 || a.firstBefore(w, &items[c.first]) {
				c.first = i
			}
			continue
		}
		c.deferredLen++
		if c.deferred < 0 || deferredBefore(w, &items[c.deferred], now, serviceTime) {
			c.deferred = i
		}
		if c.mostUrgent < 0 || w.deadline < items[c.mostUrgent].deadline {
			c.mostUrgent = i
		}
	}
	return c
}

func (a *admission) firstBefore(w, other *waiter) bool {
	if w.class.priority != other.class.priority {
		return w.class.priority < other.class.priority
	}
	return a.policy.before(w, other)
}

// deferredBefore is the order of deferred requests: retries that can be in time, then by the time at which the caller
// gives up.
func deferredBefore(w, other *waiter, now, serviceTime time.Duration) bool {
	late, otherLate := w.isLate(now, serviceTime), other.isLate(now, serviceTime)
	if late != otherLate {
		return otherLate
	}
	return w.deadline < other.deadline
}

// isUrgent reports whether the deferred request whose caller gives up first is served in time for it only if the
// target serves the deferred requests now.
func (c *candidates) isUrgent(items []waiter, slots int, serviceTime, now time.Duration) bool {
	needed := serviceTime * time.Duration(c.deferredLen+slots) / time.Duration(slots)
	return items[c.mostUrgent].deadline-now <= needed
}

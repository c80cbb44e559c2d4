package targetgate

import (
	"cmp"
	"time"
)

// deferredShare is the share of the starts that goes to deferred requests while others wait that can be answered in
// time. Most of the capacity has to answer the latter, and the former must not wait until their deadline.
const deferredShare = 1.0 / 32

// urgentShare is the same while a deferred request would otherwise miss its deadline.
const urgentShare = 0.5

// due returns when the caller should have the response.
func (w *waiter) due() time.Duration {
	if w.class.objective == 0 {
		return w.deadline
	}
	return w.firstSent() + w.class.objective
}

// dueBefore is the order of requests that can be answered in time.
func dueBefore(w, other *waiter) bool { return w.due() < other.due() }

// earlierAttempts returns for how long the caller had tried on other flows before it wrote the request. It has less time
// left than callers have for their first attempt.
func (w *waiter) earlierAttempts() time.Duration {
	if w.budget == nil {
		return 0
	}
	return w.budget.age(w.deadline - w.arrived)
}

// isRetry reports whether the caller has sent the request before, on another flow.
func (w *waiter) isRetry() bool { return w.earlierAttempts() > budgetTolerance }

// isDeferred reports whether a request leaves most of the capacity to others: it cannot be answered in time, or it is a
// retry.
func (p *shedPolicy) isDeferred(w *waiter, now, serviceTime time.Duration) bool {
	earlier := w.earlierAttempts()
	late := w.class.objective > 0 && now-w.arrived+earlier+serviceTime > w.class.objective
	return (late && !p.lateAlike) || (earlier > budgetTolerance && !p.retriesAlike)
}

// candidates holds the indexes of the entries that may be served next, or -1, and numbers of entries.
type candidates struct {
	first       int // of those of the highest priority that are not deferred, the one that is due first
	deferred    int // best of the deferred ones
	mostUrgent  int // deferred one whose caller gives up first
	deferredLen int
	hopeless    int // one that would be answered after its caller has given up
}

// next returns the index of the entry to serve next while overload is shed. Requests that can be answered in time come
// first, by priority and then in the order in which they are due. Deferred ones get deferredShare of the starts, or
// urgentShare while one of them would otherwise miss its deadline.
func (a *admission) next(items []waiter, slots int, serviceTime, now time.Duration) int {
	c := a.findCandidates(items, serviceTime, now)
	switch {
	case c.deferred < 0 && c.first < 0:
		return c.hopeless
	case c.deferred < 0:
		a.deferredCredit = 0
		return c.first
	case c.first < 0:
		return c.deferred
	}
	share, best := a.policy.deferredShare, c.deferred
	if items[c.mostUrgent].class.priority <= items[c.first].class.priority && c.isUrgent(items, slots, serviceTime, now) {
		share, best = a.policy.urgentShare, c.mostUrgent
	}
	a.deferredCredit += share
	if a.deferredCredit < 1 {
		return c.first
	}
	a.deferredCredit--
	return best
}

func (a *admission) findCandidates(items []waiter, serviceTime, now time.Duration) candidates {
	c := candidates{first: -1, deferred: -1, mostUrgent: -1, hopeless: -1}
	for i := range items {
		switch w := &items[i]; {
		case w.deadline-now < serviceTime:
			if c.hopeless < 0 || a.firstBefore(w, &items[c.hopeless]) {
				c.hopeless = i
			}
		case a.policy.isDeferred(w, now, serviceTime):
			c.addDeferred(items, i, serviceTime, now)
		case c.first < 0 || a.firstBefore(w, &items[c.first]):
			c.first = i
		}
	}
	return c
}

// first returns the index of the entry of the highest priority that is due first.
func (a *admission) first(items []waiter) int {
	first := 0
	for i := range items {
		if a.firstBefore(&items[i], &items[first]) {
			first = i
		}
	}
	return first
}

func (a *admission) firstBefore(w, other *waiter) bool {
	if w.class.priority != other.class.priority {
		return w.class.priority < other.class.priority
	}
	return a.policy.before(w, other)
}

func (c *candidates) addDeferred(items []waiter, i int, serviceTime, now time.Duration) {
	w := &items[i]
	c.deferredLen++
	if c.deferred < 0 || deferredBefore(w, &items[c.deferred], now, serviceTime) {
		c.deferred = i
	}
	if c.mostUrgent < 0 || cmp.Or(cmp.Compare(w.class.priority, items[c.mostUrgent].class.priority), cmp.Compare(w.deadline, items[c.mostUrgent].deadline)) < 0 {
		c.mostUrgent = i
	}
}

// deferredBefore is the order of deferred requests: by priority, retries that can be in time first, then by the time at
// which the caller gives up.
func deferredBefore(w, other *waiter, now, serviceTime time.Duration) bool {
	if w.class.priority != other.class.priority {
		return w.class.priority < other.class.priority
	}
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
	return items[c.mostUrgent].deadline-now <= needed+serviceTime
}

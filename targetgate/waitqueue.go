package targetgate

import (
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// class holds the properties of a route that determine the order of its queue entries.
type class struct {
	priority  uint8         // 0 is the highest
	objective time.Duration // time within which a response counts as in time; 0: none
}

// waiter is a queue entry for a new flow or a request. Its times are monotonic.
type waiter struct {
	key      flow.Key
	class    class
	arrived  time.Duration  // first SYN of a new flow and its first request, arrival of other requests
	deadline time.Duration  // when its caller gives up
	budget   *typicalBudget // gives the age of a request; nil: for new flows, and requests whose budget is unknown
	coldRate float64        // of the offer of a new flow, per second
}

// firstSent returns when the caller first sent the request, as far as that is known. For a retry, that is before
// it arrived.
func (w *waiter) firstSent() time.Duration {
	if w.budget == nil {
		return w.arrived
	}
	return w.arrived - w.budget.age(w.deadline-w.arrived)
}

// waitQueue is a queue of flows or requests for one target.
type waitQueue struct {
	items []waiter
}

// put adds an entry. It replaces an entry of the same flow.
func (q *waitQueue) put(next *waiter) {
	for i := range q.items {
		if q.items[i].key == next.key {
			q.items[i] = *next
			return
		}
	}
	q.items = append(q.items, *next)
}

// has reports whether there is an entry of the flow.
func (q *waitQueue) has(key flow.Key) bool {
	return slices.ContainsFunc(q.items, func(w waiter) bool { return w.key == key })
}

// expire removes the entries whose callers have given up, and returns their flows.
func (q *waitQueue) expire(now time.Duration) []flow.Key {
	var expired []flow.Key
	q.items = slices.DeleteFunc(q.items, func(w waiter) bool {
		if now <= w.deadline {
			return false
		}
		expired = append(expired, w.key)
		return true
	})
	return expired
}

// best returns the index of the entry to serve next. Entries that can still be answered in time come first, by
// priority and then newest first: in an overload the oldest of them would barely be in time and make the next one
// late too. The others follow by priority and then oldest first.
func (q *waitQueue) best(now, serviceTime time.Duration) int {
	best := 0
	for i := 1; i < len(q.items); i++ {
		if q.items[i].before(&q.items[best], now, serviceTime) {
			best = i
		}
	}
	return best
}

func (w *waiter) before(other *waiter, now, serviceTime time.Duration) bool {
	late, otherLate := w.isLate(now, serviceTime), other.isLate(now, serviceTime)
	switch {
	case late != otherLate:
		return otherLate
	case w.class.priority != other.class.priority:
		return w.class.priority < other.class.priority
	case late:
		return w.firstSent() < other.firstSent()
	default:
		return w.firstSent() > other.firstSent()
	}
}

// isLate reports whether the response would miss the latency objective even if the target got the request now.
func (w *waiter) isLate(now, serviceTime time.Duration) bool {
	return w.class.objective > 0 && now-w.firstSent()+serviceTime > w.class.objective
}

// countInTime returns the number of entries that can still be answered in time.
func (q *waitQueue) countInTime(now, serviceTime time.Duration) int {
	count := 0
	for i := range q.items {
		if !q.items[i].isLate(now, serviceTime) {
			count++
		}
	}
	return count
}

func (q *waitQueue) remove(i int) {
	q.items[i] = q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
}

// removeFlow removes the entry of a flow and reports whether there was one.
func (q *waitQueue) removeFlow(key flow.Key) bool {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w waiter) bool { return w.key == key })
	return len(q.items) < before
}

package targetgate

import (
	"slices"
	"time"
)

// waiter is a new flow that waits for a slot.
type waiter struct {
	offer Offer
	born  time.Duration // steady time at which its caller sent the first SYN, as far as the copy tells
}

// waitList holds the new flows that wait at one target.
type waitList struct {
	items []waiter
}

// put adds a flow. A copy of a SYN that waits already takes its place.
func (w *waitList) put(o *Offer, now time.Duration) {
	for i := range w.items {
		if w.items[i].offer.Key == o.Key {
			w.items[i].offer = *o
			return
		}
	}
	w.items = append(w.items, waiter{offer: *o, born: now - o.age()})
}

// expire drops flows whose caller has given the attempt up.
func (w *waitList) expire(now time.Duration) {
	w.items = slices.DeleteFunc(w.items, func(i waiter) bool { return now-i.born > attemptLimit })
}

// best returns the index of the flow that goes next: first those that can still be answered in time, by priority and
// then the newest, since in an overload the oldest of them would hardly make it and make the next one late too; then the
// others by priority and age.
func (w *waitList) best(now, work time.Duration) int {
	best := 0
	for i := 1; i < len(w.items); i++ {
		if w.items[i].before(&w.items[best], now, work) {
			best = i
		}
	}
	return best
}

func (i *waiter) before(other *waiter, now, work time.Duration) bool {
	late, otherLate := i.isLate(now, work), other.isLate(now, work)
	switch {
	case late != otherLate:
		return otherLate
	case i.offer.Priority != other.offer.Priority:
		return i.offer.Priority < other.offer.Priority
	case late:
		return i.born < other.born
	default:
		return i.born > other.born
	}
}

func (i *waiter) isLate(now, work time.Duration) bool {
	return i.offer.Aim > 0 && now-i.born+work > i.offer.Aim
}

func (w *waitList) remove(i int) {
	w.items[i] = w.items[len(w.items)-1]
	w.items = w.items[:len(w.items)-1]
}

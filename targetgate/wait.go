package targetgate

import (
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// class is what the route of a request says of it.
type class struct {
	priority uint8         // 0 is the highest
	aim      time.Duration // within which an answer is in time; 0: none
}

// waiter is a new flow or a request that waits for its turn.
type waiter struct {
	key      flow.Key
	class    class
	came     time.Duration // steady time at which it came, or for a new flow at which its first SYN was sent
	until    time.Duration // steady time at which its caller gives up
	usual    *usualBudget  // of a request: by which its age is known; nil: it has none
	coldRate float64       // of the offer of a new flow
}

// asked returns the steady time at which the caller first asked, as far as is known.
func (i *waiter) asked() time.Duration {
	if i.usual == nil {
		return i.came
	}
	return i.came - i.usual.age(i.until-i.came)
}

// waitList holds what waits at one target.
type waitList struct {
	items []waiter
}

// put adds a waiter. One of the same flow that waits already gives it its place.
func (w *waitList) put(next *waiter) {
	for i := range w.items {
		if w.items[i].key == next.key {
			w.items[i] = *next
			return
		}
	}
	w.items = append(w.items, *next)
}

// expire drops those whose callers have given up, and returns their flows.
func (w *waitList) expire(now time.Duration) []flow.Key {
	var dropped []flow.Key
	w.items = slices.DeleteFunc(w.items, func(i waiter) bool {
		if now <= i.until {
			return false
		}
		dropped = append(dropped, i.key)
		return true
	})
	return dropped
}

// best returns the index of the one that goes next: first those that can still be answered in time, by priority and
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
	case i.class.priority != other.class.priority:
		return i.class.priority < other.class.priority
	case late:
		return i.asked() < other.asked()
	default:
		return i.asked() > other.asked()
	}
}

func (i *waiter) isLate(now, work time.Duration) bool {
	return i.class.aim > 0 && now-i.asked()+work > i.class.aim
}

// inTime returns how many can still be answered in time.
func (w *waitList) inTime(now, work time.Duration) int {
	count := 0
	for i := range w.items {
		if !w.items[i].isLate(now, work) {
			count++
		}
	}
	return count
}

func (w *waitList) remove(i int) {
	w.items[i] = w.items[len(w.items)-1]
	w.items = w.items[:len(w.items)-1]
}

// forget removes the waiter of a flow, if there is one.
func (w *waitList) forget(key flow.Key) {
	w.items = slices.DeleteFunc(w.items, func(i waiter) bool { return i.key == key })
}

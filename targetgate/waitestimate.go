package targetgate

import (
	"slices"
	"time"
)

// maxHigherShare bounds the share of the starts that is assumed to go to higher priorities.
const maxHigherShare = 0.9

// waitEstimate holds estimates of the time until a request of a new flow gets a slot.
type waitEstimate struct {
	own      time.Duration // if it is queued with the time of its first SYN
	fresh    time.Duration // if its first SYN were sent now
	all      time.Duration // if everything that waits is served before it
	deferred int           // deferred requests that wait
}

// extend raises the estimates to a delay that applies in any case.
func (w *waitEstimate) extend(delay time.Duration) {
	w.own, w.fresh, w.all = max(w.own, delay), max(w.fresh, delay), max(w.all, delay)
}

// estimateWait estimates the wait of a new flow with a priority, whose request should be answered by due.
func (g *Gate) estimateWait(priority uint8, due, now time.Duration) waitEstimate {
	var ahead, same, lower, deferred int
	count := func(c class, otherDue time.Duration) {
		switch {
		case c.priority > priority:
			lower++
		case c.priority < priority || otherDue <= due:
			ahead++
		default:
			same++
		}
	}
	for i := range g.opening {
		count(g.opening[i].class, g.opening[i].sent+g.opening[i].class.objective)
	}
	for _, q := range [...]*waitQueue{&g.requestQueue, &g.flowQueue} {
		for i := range q.items {
			if w := &q.items[i]; g.admission.policy.isDeferred(w, now, g.serviceTime) {
				if w.class.priority <= priority {
					deferred++
				}
			} else {
				count(w.class, w.due())
			}
		}
	}
	slots := g.slotTimes(now)
	scale := 1 / (1 - g.higherShare(priority))
	delay := func(first int) time.Duration {
		return time.Duration(scale * float64(slots.delay(first+g.deferredAmong(first, deferred))))
	}
	return waitEstimate{
		own: delay(ahead), fresh: delay(ahead + same), all: slots.delay(ahead + same + lower + deferred), deferred: deferred,
	}
}

// deferredAmong returns how many of the deferred requests are served before a number of others.
func (g *Gate) deferredAmong(others, deferred int) int {
	share := g.admission.policy.deferredShare
	return min(deferred, int(float64(others)*share/(1-share))+1)
}

// higherShare returns the share of the started requests that had a higher priority.
func (g *Gate) higherShare(priority uint8) float64 {
	share := 0.0
	for _, s := range g.admission.startShares[:PriorityLevel(priority)] {
		share += s
	}
	return min(share, maxHigherShare)
}

// slotTimes holds the estimated times until the slots become free, in ascending order.
type slotTimes struct {
	free        []time.Duration
	excess      int // requests that the target has beyond its slots
	serviceTime time.Duration
}

func (g *Gate) slotTimes(now time.Duration) slotTimes {
	free := g.admission.slotFree[:0]
	for _, s := range g.inProgress {
		if !s.stuck {
			free = append(free, g.remainingTime(now-s.since))
		}
	}
	slots := g.concurrency()
	for len(free) < slots {
		free = append(free, 0)
	}
	slices.Sort(free)
	g.admission.slotFree = free
	return slotTimes{free: free[:slots], excess: len(free) - slots, serviceTime: g.serviceTime}
}

// remainingTime estimates how long a request of some age stays in progress. One that has taken much longer than the
// mean is of a longer kind, or the target has become slow.
func (g *Gate) remainingTime(age time.Duration) time.Duration {
	if age > 2*g.serviceTime {
		return age
	}
	return max(g.serviceTime-age, g.serviceTime/2)
}

// delay returns the estimated time until a request starts if others start before it.
func (t *slotTimes) delay(others int) time.Duration {
	work := time.Duration(others+t.excess) * t.serviceTime
	for i, free := range t.free {
		work += free
		delay := work / time.Duration(i+1)
		if i+1 == len(t.free) || delay <= t.free[i+1] {
			return delay
		}
	}
	return 0
}

// coldDelay returns the time until a cold target may get one more flow than those that wait.
func (g *Gate) coldDelay(rate float64, now time.Duration) time.Duration {
	if rate <= 0 {
		return 0
	}
	perSecond := max(1, int(rate))
	index := len(g.coldAccepts) + len(g.flowQueue.items) - perSecond
	if index < 0 {
		return 0
	}
	seconds := 1 + index/perSecond
	if index %= perSecond; index < len(g.coldAccepts) {
		return max(0, g.coldAccepts[index]+time.Duration(seconds)*time.Second-now)
	}
	return time.Duration(seconds-1) * time.Second
}

// ExpectedWait estimates how long a new request of the lowest priority would wait for a slot.
func (g *Gate) ExpectedWait(now time.Duration) time.Duration {
	lowest := uint8(0)
	for _, r := range g.routes {
		lowest = max(lowest, r.class.priority)
	}
	if g.Waiting() == 0 && g.hasFreeSlot() {
		return 0
	}
	estimate := g.estimateWait(lowest, now, now)
	return estimate.fresh
}

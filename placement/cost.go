package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
)

// Cost returns the estimated load of a target as a fraction of its slots, plus penalties if the target may no longer
// exist, recently refused a new flow or fails requests.
func (l *LoadTracker) Cost(t *directory.Target, now time.Duration) float64 {
	entry := l.byIP[t.Address.IP]
	if entry == nil {
		return availabilityPenalty(t, false)
	}
	return entry.cost(t, entry.work(now)/float64(t.Slots), now)
}

// routeCost returns the cost of a target for a flow of the route, and its load as a fraction of the requests that it
// handles at once, with the same penalties. Without learned capacity, both are the result of Cost.
func (l *LoadTracker) routeCost(t *directory.Target, route routeOfFlow, now time.Duration) (cost, load float64) {
	entry := l.byIP[t.Address.IP]
	if entry == nil {
		cost = availabilityPenalty(t, false)
		return cost, cost
	}
	if entry.learned == nil {
		cost = entry.cost(t, entry.work(now)/float64(t.Slots), now)
		return cost, cost
	}
	slots := float64(entry.learned.Limit(t.Slots, now))
	busy := entry.work(now) / slots
	load = entry.cost(t, busy, now)
	speed := entry.learned.Speed(now)
	if speed == 1 {
		return load, load
	}
	return load + busy/speed - busy + entry.loss(t, speed, route, now), load
}

// work estimates the requests that are in progress at the target or wait there.
func (l *load) work(now time.Duration) float64 {
	return l.meanInProgress + l.decayedRecentFlows(now) + float64(l.waiting)
}

// cost adds penalties to the share of the target's slots that is in use.
func (l *load) cost(t *directory.Target, busy float64, now time.Duration) float64 {
	cost := busy + availabilityPenalty(t, l.isUnresponsive(now))
	if l.recentlyRefused(now) {
		cost += refusalPenalty
	}
	if rate := l.decayedFailureRate(now); rate >= FailureRateThreshold {
		cost += failureRatePenalty * rate
	}
	return cost
}

// loss returns what a caller loses at a target of the speed, as a fraction of the slots. It is negative at a fast target.
func (l *load) loss(t *directory.Target, speed float64, route routeOfFlow, now time.Duration) float64 {
	loss := (1/speed - 1) / float64(t.Slots)
	if loss <= maxLossInTime {
		return loss
	}
	duration := l.learned.Duration(route.tag, now)
	if duration > 0 && duration < time.Duration(inTimeShare*float64(route.objective)) {
		return maxLossInTime
	}
	return loss
}

func availabilityPenalty(t *directory.Target, unresponsive bool) float64 {
	sum := 0.0
	if t.ExpiredAt != 0 {
		sum += expiredPenalty
	}
	if unresponsive {
		sum += unresponsivePenalty
	}
	return sum
}

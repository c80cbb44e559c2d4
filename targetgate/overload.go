package targetgate

import (
	"cmp"
	"time"
)

// overload tracks since when a target could answer no new flow of a route in time. Its zero value is "not overloaded".
type overload struct {
	since       time.Duration // 0: not overloaded
	lastRefused time.Duration
}

// update records an offer: whether the target could not answer a new flow in time, and whether the wait has become
// short again. An overload also ends if no flow is refused for the duration of an objective. That of a cold target ends
// only in this way, since its wait becomes short with each flow that its rate permits.
func (v *overload) update(refused, recovered bool, objective, now time.Duration) {
	if recovered || now-v.lastRefused > objective {
		v.since = 0
	}
	if !refused {
		return
	}
	v.lastRefused = now
	if v.since == 0 {
		v.since = now
	}
}

// duration returns how long the overload has lasted, or 0.
func (v *overload) duration(now time.Duration) time.Duration {
	if v.since == 0 {
		return 0
	}
	return now - v.since
}

// Overloaded reports whether the target refuses new flows of one of its routes because it could not answer them in
// time, and has done so for longer than the objective of the route.
func (g *Gate) Overloaded(now time.Duration) bool { return g.overloadedObjective(now) > 0 }

// overloadedObjective returns the longest objective of the routes for which the target is overloaded, or 0.
func (g *Gate) overloadedObjective(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, r := range g.routes {
		objective := cmp.Or(r.class.objective, connectTimeout)
		if now-r.overload.lastRefused <= objective && r.overload.duration(now) > objective {
			longest = max(longest, objective)
		}
	}
	return longest
}

// ReportsWait reports whether reports contain the wait: also in a recovery, when nothing is shed yet.
func (g *Gate) ReportsWait() bool { return g.loadControl.Sheds(g.service, g.slots) }

// maxRecoveryWaitShare bounds the wait that is reported in a recovery, as a share of the shortest objective. It is below
// the share from which balancers take a target as full: they refuse no flow because of it, but prefer targets with less.
const maxRecoveryWaitShare = 0.2

// ReportedWait returns the time that a new request of the lowest priority would wait for a slot, for reports to
// balancers. While the target is overloaded, it is longer than the objective: the flow would be refused, although the
// requests that have been accepted wait for less.
func (g *Gate) ReportedWait(now time.Duration) time.Duration {
	if g.recovery.active {
		return min(g.ExpectedWait(now), time.Duration(maxRecoveryWaitShare*float64(g.shortestObjective())))
	}
	if objective := g.overloadedObjective(now); objective > 0 {
		return max(g.ExpectedWait(now), objective+reportedWaitExcess)
	}
	return g.ExpectedWait(now)
}

// reportedWaitExcess is the difference by which a reported wait exceeds the objective. It is above the resolution of
// reports.
const reportedWaitExcess = 8 * time.Millisecond

// shortestObjective returns the shortest latency objective of the routes, or 0 if none has one.
func (g *Gate) shortestObjective() time.Duration {
	shortest := time.Duration(0)
	for _, r := range g.routes {
		if o := r.class.objective; o > 0 && (shortest == 0 || o < shortest) {
			shortest = o
		}
	}
	return shortest
}

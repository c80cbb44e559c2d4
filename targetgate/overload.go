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
// short again. An overload also ends if no flow is refused for the duration of an objective.
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
func (g *Gate) Overloaded(now time.Duration) bool {
	for _, r := range g.routes {
		objective := cmp.Or(r.class.objective, connectTimeout)
		if now-r.overload.lastRefused <= objective && r.overload.duration(now) > objective {
			return true
		}
	}
	return false
}

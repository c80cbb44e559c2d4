package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// Offer decides about a new flow.
func (g *Gate) Offer(o *Offer, now time.Duration) (Verdict, encap.Reason) {
	g.slots = max(1, o.Slots)
	g.noteRoute(o)
	g.Expire(now)
	if s, held := g.flows.Get(o.Key, now); held && s.phase != requestNone {
		return Accept, encap.ReasonNone // a copy of a SYN that the target has
	}
	reason := g.obstacle(o, now)
	switch {
	case reason == encap.ReasonNone:
		g.accept(o.Key, now-o.age(), now)
		return Accept, reason
	case !o.Last || reason == encap.ReasonSilent || reason == encap.ReasonRefused || !g.canWait(o, now):
		return Refuse, reason
	case reason == encap.ReasonBusy && g.coldRoom(o.ColdRate):
		g.accept(o.Key, now-o.age(), now) // its request says how long it may wait, a SYN does not
		return Accept, reason
	default:
		waits := o.waiter(now)
		g.waiting.put(&waits)
		return Wait, reason
	}
}

// waiter returns the entry of a new flow among those that wait.
func (o *Offer) waiter(now time.Duration) waiter {
	sent := now - o.age()
	return waiter{
		key:      o.Key,
		class:    class{priority: o.Priority, aim: o.LatencyObjective},
		came:     sent,
		until:    sent + attemptLimit,
		coldRate: o.ColdRate,
	}
}

// noteRoute remembers what an offer says of its route.
func (g *Gate) noteRoute(o *Offer) {
	g.routeOf(o.Key.Service).class = class{priority: o.Priority, aim: o.LatencyObjective}
}

func (g *Gate) routeOf(service flow.Endpoint) *route {
	if r := g.routes[service]; r != nil {
		return r
	}
	if len(g.routes) >= maxRoutes {
		clear(g.routes)
	}
	fresh := &route{}
	g.routes[service] = fresh
	return fresh
}

// obstacle returns why the target cannot take a flow now.
func (g *Gate) obstacle(o *Offer, now time.Duration) encap.Reason {
	switch {
	case g.down, g.Silent(now) && now-g.offered < probePeriod:
		return encap.ReasonSilent
	case now < g.closed:
		return encap.ReasonRefused
	case g.Load() >= g.limit() || g.Waiting() > 0:
		return encap.ReasonBusy
	case !g.coldRoom(o.ColdRate):
		return encap.ReasonCold
	default:
		return encap.ReasonNone
	}
}

// limit is how many requests and accepted flows the target gets at once.
func (g *Gate) limit() int { return g.slots + spareSlots + g.slots/spareShare }

// coldRoom reports whether a cold target may get one more flow in the second that ended with the last call of Expire.
func (g *Gate) coldRoom(rate float64) bool {
	return rate <= 0 || len(g.cold) < max(1, int(rate))
}

// canWait reports whether a flow that waits would be served before its caller gives up. One that can still be answered in
// time is served before those that cannot, so that only others of its kind are ahead of it.
func (g *Gate) canWait(o *Offer, now time.Duration) bool {
	next := o.waiter(now)
	all := g.Waiting()
	ahead := all
	if !next.isLate(now, g.work) {
		ahead = g.waiting.inTime(now, g.work) + g.queue.inTime(now, g.work)
	}
	return o.age()+g.workOff(ahead+1) < attemptLimit && g.workOff(all+1) < backlogLimit
}

// workOff returns the time in which the target works off so many requests beside those that it has.
func (g *Gate) workOff(requests int) time.Duration {
	requests += max(0, g.Load()-g.limit())
	return time.Duration(requests) * g.work / time.Duration(g.slots)
}

// accept gives the target a new flow whose first SYN was sent at a steady time.
func (g *Gate) accept(key flow.Key, sent, now time.Duration) {
	s := &state{phase: requestOpening, since: now, sent: sent}
	g.flows.Put(key, s, now)
	g.opening = append(g.opening, opening{key: key, state: s, at: now})
	g.cold = append(g.cold, now)
	g.ExpectReply(now)
	g.offered = now
}

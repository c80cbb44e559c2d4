package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// Offer decides whether the target gets a new flow, and returns the reason if it does not get it at once or gets
// it although all slots are in use.
func (g *Gate) Offer(o *Offer, now time.Duration) (Verdict, encap.Reason) {
	g.setSlots(max(1, o.Slots))
	g.updateRecovery(now)
	g.updateRoute(o)
	g.updateLimit(o, now)
	g.Expire(now)
	if s, found := g.flows.Get(o.Key, now); found && s.phase != requestNone {
		return Accept, encap.ReasonNone // a retransmission of a SYN that the target already has
	}
	if g.admission.enabled && g.isRepeatedOffer(o, now) {
		return Accept, encap.ReasonNone
	}
	reason := g.refusalReason(o, now)
	if g.admission.enabled {
		return g.decide(o, reason, now)
	}
	switch {
	case reason == encap.ReasonNone:
		g.accept(o, now)
		return Accept, reason
	case !o.Last || reason == encap.ReasonSilent || reason == encap.ReasonRefused || !g.canWait(o, now):
		return Refuse, reason
	case reason == encap.ReasonBusy && g.belowColdRate(o.ColdRate):
		// Its request is queued instead: unlike a SYN, a request states how long its caller will wait.
		g.accept(o, now)
		return Accept, reason
	default:
		next := o.waiter(now)
		g.flowQueue.put(&next)
		return Wait, reason
	}
}

// waiter returns the queue entry for a new flow.
func (o *Offer) waiter(now time.Duration) waiter {
	sent := now - o.age()
	return waiter{
		key:      o.Key,
		class:    class{priority: o.Priority, objective: o.LatencyObjective},
		arrived:  sent,
		deadline: sent + connectTimeout,
		coldRate: o.ColdRate,
	}
}

// updateRoute stores the priority and the latency objective of an offer for the requests of its route.
func (g *Gate) updateRoute(o *Offer) {
	g.routeFor(o.Key.Service).class = class{priority: o.Priority, objective: o.LatencyObjective}
}

// routeFor returns the route to an address of a service. It adds the route if there is none.
func (g *Gate) routeFor(service flow.Endpoint) *route {
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

// refusalReason returns why the target cannot get a new flow now, or ReasonNone.
func (g *Gate) refusalReason(o *Offer, now time.Duration) encap.Reason {
	switch {
	case g.down, g.Silent(now) && now-g.lastAccept < silentOfferInterval:
		return encap.ReasonSilent
	case now < g.backoffUntil:
		return encap.ReasonRefused
	case g.Load() >= g.maxLoad() || g.Waiting() > 0:
		return encap.ReasonBusy
	case !g.belowColdRate(o.ColdRate):
		return encap.ReasonCold
	default:
		return encap.ReasonNone
	}
}

// maxLoad returns the load at which the target gets no more new flows.
func (g *Gate) maxLoad() int { return g.concurrency() + extraFlows + g.slots/slotsPerExtraFlow }

// belowColdRate reports whether the target may get one more flow at a rate in flows per second. It counts the
// flows accepted in the second before the last call of Expire. A rate of 0 is no limit.
func (g *Gate) belowColdRate(rate float64) bool {
	return rate <= 0 || len(g.coldAccepts) < max(1, int(rate))
}

// canWait reports whether a flow would be served before its caller gives up if it were queued. Entries that can
// still be answered in time are served first, so that only they are ahead of a flow that can be, too.
func (g *Gate) canWait(o *Offer, now time.Duration) bool {
	next := o.waiter(now)
	all := g.Waiting()
	ahead := all
	if !next.isLate(now, g.serviceTime) {
		ahead = g.flowQueue.countInTime(now, g.serviceTime) + g.requestQueue.countInTime(now, g.serviceTime)
	}
	return o.age()+g.queueDelay(ahead+1) < connectTimeout && g.queueDelay(all+1) < maxQueueDelay
}

// queueDelay estimates how long the target takes to serve a number of queued requests and its load above maxLoad.
func (g *Gate) queueDelay(requests int) time.Duration {
	requests += max(0, g.Load()-g.maxLoad())
	return time.Duration(requests) * g.serviceTime / time.Duration(g.concurrency())
}

// accept records that the target gets a new flow.
func (g *Gate) accept(o *Offer, now time.Duration) {
	next := o.waiter(now)
	g.acceptWaiter(&next, now)
}

// acceptWaiter records that the target gets the new flow of a queue entry.
func (g *Gate) acceptWaiter(w *waiter, now time.Duration) {
	s := &flowState{phase: requestOpening, since: now, synSentAt: w.arrived, openedAt: w.arrived}
	if before, found := g.flows.Get(w.key, now); found {
		s.openedAt = min(s.openedAt, before.openedAt) // the target may have the flow from an earlier SYN
	}
	g.flows.Put(w.key, s, now)
	g.opening = append(g.opening, openingFlow{key: w.key, state: s, at: now, class: w.class, sent: w.arrived})
	g.coldAccepts = append(g.coldAccepts, now)
	g.ExpectReply(now)
	g.lastAccept = now
	if g.admission.enabled {
		g.admission.callers.count(w.key.Caller.IP, w.class.priority, now)
	}
}

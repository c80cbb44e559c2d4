package targetgate

import (
	"cmp"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// Action is what the agent does with a caller's packet of an open flow.
type Action uint8

// Actions on a packet.
const (
	ActionForward      Action = iota // send it to the target
	ActionStartRequest               // send it to the target; it begins a request
	ActionHold                       // hold it until NextRequest returns its flow
)

// FromCaller records a caller's packet of an open flow and decides what happens to it. If a balancer that does
// not know which target owns the flow searches for it with the packet, searcher is that balancer, otherwise the
// zero Endpoint. FromCaller reports whether the target is known to own the flow; if it is not, FromTarget returns
// the searching balancer once the target proves it.
func (g *Gate) FromCaller(
	key flow.Key, p *flow.Packet, searcher flow.Endpoint, now time.Duration,
) (confirmed bool, action Action) {
	g.recovery.lastPacketAt = now
	s, found := g.flows.Get(key, now)
	if !found {
		s = &flowState{opensElsewhere: g.flowQueue.removeFlow(key)}
		g.flows.Put(key, s, now)
	}
	s.recordCallerPacket(p, searcher.IsValid())
	confirmed = s.isConfirmed(p)
	if searcher.IsValid() && !confirmed {
		s.searcher = searcher
	}
	switch {
	case p.Reset:
		if s.phase == requestInProgress {
			g.recordOutcome(s, true, now)
		}
		g.endRequest(key, s)
	case searcher.IsValid() && !confirmed:
		// A search tries all targets: the flow counts as load only at the target that owns it.
	case s.isOpenElsewhere(p, confirmed):
		// The target returns the packet at once. In the queue it would only delay the search for the owner.
		s.phase = requestNone
	case p.DataLen > 0 && g.recordNewData(s, p):
		return confirmed, g.callerData(key, s, p, now)
	case s.phase == requestQueued && (p.DataLen > 0 || p.Fin):
		return confirmed, ActionHold
	}
	return confirmed, ActionForward
}

// isConfirmed reports whether the target is known to own the flow of a caller's packet: the target has proved it,
// or the packet acknowledges the target's SYN+ACK. The latter also covers packets that come through a balancer
// which does not know the target, because routers sent the SYN through another balancer.
func (s *flowState) isConfirmed(p *flow.Packet) bool {
	return s.confirmed || s.phase == requestQueued || s.acksSYN(p)
}

// isOpenElsewhere reports whether the packet shows that the caller has opened the flow at another target: it acknowledges
// another SYN+ACK than this target's, or arrives while the SYN still waits for this target.
func (s *flowState) isOpenElsewhere(p *flow.Packet, confirmed bool) bool {
	return !confirmed && (s.opensElsewhere || (s.synAcked && p.AckFlag))
}

// callerData decides what happens to a packet with new data of a caller. Data on a flow without a request begins
// one.
func (g *Gate) callerData(key flow.Key, s *flowState, p *flow.Packet, now time.Duration) Action {
	switch s.phase {
	case requestQueued:
		return ActionHold
	case requestInProgress:
		s.since = now
		g.sampleMore(s, now)
		return ActionForward
	}
	next := g.requestWaiter(key, s, p.Budget, now)
	if s.synSentAt != 0 {
		g.admission.recordArrival(now - s.since)
	}
	s.synSentAt = 0
	if g.canStartRequest() {
		g.admission.countStart(&next)
		g.startRequest(key, s, now)
		return ActionStartRequest
	}
	s.phase, s.since = requestQueued, now
	g.requestQueue.put(&next)
	return ActionHold
}

// canStartRequest reports whether a request that just arrived may go to the target without being queued.
func (g *Gate) canStartRequest() bool {
	return g.slots == 0 || (len(g.requestQueue.items) == 0 && g.hasFreeSlot())
}

// hasFreeSlot reports whether the target has a free slot. Stuck requests occupy none.
func (g *Gate) hasFreeSlot() bool { return len(g.inProgress)-g.stuckRequests < g.concurrency() }

func (g *Gate) startRequest(key flow.Key, s *flowState, now time.Duration) {
	s.phase, s.since = requestInProgress, now
	s.response.reset()
	g.inProgress[key] = s
	g.sampleStart(s, now)
	if g.responseDueSince == 0 {
		g.responseDueSince = now
	}
}

// requestWaiter returns the queue entry for a request. The budget is the time that the caller had left when it
// wrote the request; 0 is unknown. A caller writes the first request of a flow before it opens the flow.
func (g *Gate) requestWaiter(key flow.Key, s *flowState, budget, now time.Duration) waiter {
	r := g.routeFor(key.Service)
	written := cmp.Or(s.synSentAt, now)
	next := waiter{key: key, class: r.class, arrived: written, deadline: written + requestTimeout}
	if budget > 0 {
		r.budget.observe(budget)
		next.deadline, next.budget = written+budget, &r.budget
	}
	return next
}

// NextRequest removes the next request from its queue and returns its flow, to be sent to the target now. It
// reports false if none waits or no slot is free.
func (g *Gate) NextRequest(now time.Duration) (flow.Key, bool) {
	g.Expire(now)
	for len(g.requestQueue.items) > 0 && g.hasFreeSlot() {
		best := g.nextRequest(now)
		next := g.requestQueue.items[best]
		key := next.key
		g.requestQueue.remove(best)
		if s, found := g.flows.Get(key, now); found && s.phase == requestQueued {
			g.admission.countStart(&next)
			g.startRequest(key, s, now)
			return key, true
		}
	}
	return flow.Key{}, false
}

// expireWaiting removes the queued flows and requests whose callers have given up.
func (g *Gate) expireWaiting(now time.Duration) {
	g.flowQueue.expire(now)
	for _, key := range g.requestQueue.expire(now) {
		g.dropRequest(key, now)
	}
}

// dropRequests drops all queued requests.
func (g *Gate) dropRequests(now time.Duration) {
	for i := range g.requestQueue.items {
		g.dropRequest(g.requestQueue.items[i].key, now)
	}
	g.requestQueue.items = nil
}

// dropRequest counts a queued request as lost. It leaves the entry in the queue to its caller.
func (g *Gate) dropRequest(key flow.Key, now time.Duration) {
	if s, found := g.flows.Get(key, now); found && s.phase == requestQueued {
		s.phase = requestNone
		g.lostRequests++
	}
}

// recordNewData reports whether a caller's packet has data beyond the data that was seen before, and records its
// end.
func (g *Gate) recordNewData(s *flowState, p *flow.Packet) bool {
	end := p.Seq + uint32(p.DataLen)
	if s.callerEndSet && int32(end-s.callerEnd) <= 0 {
		return false
	}
	s.callerEnd, s.callerEndSet = end, true
	return true
}

// RecordReturn records that the target returned a packet of a flow because it does not own the flow. The return
// of a new flow starts or extends the back-off; that of a flow which the target owned before shows that the
// target has restarted.
func (g *Gate) RecordReturn(key flow.Key, now time.Duration) {
	g.recordTargetPacket(now)
	s, found := g.flows.Get(key, now)
	if !found {
		return
	}
	if s.phase == requestOpening && !s.confirmed {
		g.returnBackoff = min(max(minReturnBackoff, 2*g.returnBackoff), maxReturnBackoff)
		g.backoffUntil = now + g.returnBackoff
	}
	g.recordDisowned(key, s, now)
	g.endUnanswered(key, s)
	g.flows.Delete(key)
	if s.confirmed && s.lastPacket > g.restartedAt {
		g.recordRestart(now)
	}
}

// restartGrace is the age up to which a request in progress is assumed to have reached the target after its
// restart.
const restartGrace = 50 * time.Millisecond

// recordRestart ends the requests that the target got before it restarted.
func (g *Gate) recordRestart(now time.Duration) {
	g.restartedAt = now
	for key, s := range g.inProgress {
		if now-s.since > restartGrace {
			g.endUnanswered(key, s)
		}
	}
}

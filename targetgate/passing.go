package targetgate

import (
	"cmp"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// Action says what happens to a packet of an open flow.
type Action uint8

// Steps of a packet.
const (
	ActionForward      Action = iota // goes to the target
	ActionStartRequest               // goes to the target and begins a request
	ActionHold                       // waits until NextRequest returns its flow
)

// FromCaller notes a packet of an open flow on its way to the target. A balancer that searches the flow is told once the
// target shows that it holds it. FromCaller reports whether that is known already.
func (g *Gate) FromCaller(key flow.Key, p *flow.Packet, asker flow.Endpoint, now time.Duration) (known bool, step Action) {
	s, held := g.flows.Get(key, now)
	if !held {
		s = &state{}
		g.flows.Put(key, s, now)
	}
	known = s.isHeld(p)
	if asker.IsValid() && !known {
		s.asker = asker
	}
	switch {
	case p.Reset:
		if s.phase == requestWork {
			g.noteOutcome(s, true, now)
		}
		g.end(key, s)
	case asker.IsValid() && !known:
		// A search asks all targets: the flow is work only where the target holds it.
	case p.DataLen > 0 && g.isNew(s, p):
		return known, g.data(key, s, p, now)
	case s.phase == requestQueued && (p.DataLen > 0 || p.Fin):
		return known, ActionHold
	}
	return known, ActionForward
}

// isHeld reports whether the target holds the flow of a caller's packet: it has shown so, or the packet acknowledges its
// SYN+ACK. Routers may have handed the SYN to another balancer, which knows the target.
func (s *state) isHeld(p *flow.Packet) bool {
	answersSyn := s.offered && p.AckFlag && p.Ack-s.synSeq <= 1
	return s.known || s.phase == requestQueued || answersSyn
}

// data decides about new data of a caller.
func (g *Gate) data(key flow.Key, s *state, p *flow.Packet, now time.Duration) Action {
	switch s.phase {
	case requestQueued:
		return ActionHold
	case requestWork:
		s.since = now
		return ActionForward
	}
	next := g.request(key, s, p.Budget, now)
	s.sent = 0
	if g.hasSlot() {
		g.begin(key, s, now)
		return ActionStartRequest
	}
	s.phase, s.since = requestQueued, now
	g.queue.put(&next)
	return ActionHold
}

// hasSlot reports whether the target may work on one more request now.
func (g *Gate) hasSlot() bool {
	return g.slots == 0 || (len(g.queue.items) == 0 && g.isFree())
}

// isFree reports whether a slot is free for a request.
func (g *Gate) isFree() bool { return len(g.busy)-g.stuck < g.slots }

func (g *Gate) begin(key flow.Key, s *state, now time.Duration) {
	s.phase, s.since = requestWork, now
	s.answer.expect()
	g.busy[key] = s
	if g.owedFor == 0 {
		g.owedFor = now
	}
}

// request returns the entry of a request among those that wait. Its caller had so much time left when it wrote the request;
// zero is not known. A caller writes the first request of a flow before it opens the flow.
func (g *Gate) request(key flow.Key, s *state, budget, now time.Duration) waiter {
	r := g.routeOf(key.Service)
	written := cmp.Or(s.sent, now)
	next := waiter{key: key, class: r.class, came: written, until: written + workLimit}
	if budget > 0 {
		r.usual.note(budget)
		next.until, next.usual = written+budget, &r.usual
	}
	return next
}

// NextRequest returns the flow of a request that waited and may go to the target now.
func (g *Gate) NextRequest(now time.Duration) (flow.Key, bool) {
	g.Expire(now)
	for len(g.queue.items) > 0 && g.isFree() {
		best := g.queue.best(now, g.work)
		key := g.queue.items[best].key
		g.queue.remove(best)
		if s, held := g.flows.Get(key, now); held && s.phase == requestQueued {
			g.begin(key, s, now)
			return key, true
		}
	}
	return flow.Key{}, false
}

// expireWaiting drops the new flows and the requests whose callers have given up.
func (g *Gate) expireWaiting(now time.Duration) {
	g.waiting.expire(now)
	for _, key := range g.queue.expire(now) {
		g.dropRequest(key, now)
	}
}

// dropRequests drops all requests that wait.
func (g *Gate) dropRequests(now time.Duration) {
	for i := range g.queue.items {
		g.dropRequest(g.queue.items[i].key, now)
	}
	g.queue.items = nil
}

// dropRequest notes that a request which waited will not be run.
func (g *Gate) dropRequest(key flow.Key, now time.Duration) {
	if s, held := g.flows.Get(key, now); held && s.phase == requestQueued {
		s.phase = requestNone
		g.lost++
	}
}

// isNew reports whether the packet's data was not seen before, and remembers it.
func (g *Gate) isNew(s *state, p *flow.Packet) bool {
	end := p.Seq + uint32(p.DataLen)
	if s.seqSeen && int32(end-s.seq) <= 0 {
		return false
	}
	s.seq, s.seqSeen = end, true
	return true
}

// RecordReturn notes that the target sent a packet of a flow back: it does not hold the flow.
func (g *Gate) RecordReturn(key flow.Key, now time.Duration) {
	g.hear(now)
	s, held := g.flows.Get(key, now)
	if !held {
		return
	}
	if s.phase == requestOpening && !s.known {
		g.pause = min(max(refusedPause, 2*g.pause), refusedPauseMax)
		g.closed = now + g.pause
	}
	g.lose(key, s)
	g.flows.Delete(key)
	if s.known && s.heard > g.started {
		g.startedAnew(now)
	}
}

// freshWork is the age up to which a request is taken for one that a target got after its start.
const freshWork = 50 * time.Millisecond

// startedAnew forgets the requests that a target had before it started again: it sent back a flow that it held.
func (g *Gate) startedAnew(now time.Duration) {
	g.started = now
	for key, s := range g.busy {
		if now-s.since > freshWork {
			g.lose(key, s)
		}
	}
}

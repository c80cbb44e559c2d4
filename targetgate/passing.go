package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// FromCaller notes a packet of an open flow on its way to the target. A balancer that searches the flow is told once the
// target shows that it holds it. FromCaller reports whether that is known already, and whether a request begins.
func (g *Gate) FromCaller(key flow.Key, p *flow.Packet, asker flow.Endpoint, now time.Duration) (known, begins bool) {
	s, held := g.flows.Get(key, now)
	if !held {
		s = &state{}
		g.flows.Put(key, s, now)
	}
	if asker.IsValid() && !s.known {
		s.asker = asker
	}
	switch {
	case p.Reset:
		g.end(key, s)
	case asker.IsValid() && !s.known:
		// A search asks all targets: the flow is work only where the target holds it.
	case p.DataLen > 0 && g.isNew(s, p):
		begins = s.phase != requestWork
		s.phase, s.since = requestWork, now
		g.busy[key] = s
		if g.owedFor == 0 {
			g.owedFor = now
		}
	}
	return s.known, begins
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

// FromTarget notes a packet of the target. It returns the balancer that searches the flow, if one does, and the time of
// the request that the packet begins to answer, or 0.
func (g *Gate) FromTarget(key flow.Key, p *flow.Packet, now time.Duration) (asker flow.Endpoint, took time.Duration) {
	g.hear(now)
	s, held := g.flows.Get(key, now)
	if !held {
		s = &state{}
		g.flows.Put(key, s, now)
	}
	s.known = s.known || !p.Syn
	s.heard = now
	asker, s.asker = s.asker, flow.Endpoint{}
	if !s.known {
		s.asker, asker = asker, flow.Endpoint{}
	}
	switch {
	case p.Reset:
		g.lose(key, s)
		g.flows.Delete(key)
	case p.DataLen > 0 || p.Fin:
		took = g.answered(key, s, now)
	}
	return asker, took
}

// answered ends the work on a request with the first data of its answer. It returns the time that the request took.
func (g *Gate) answered(key flow.Key, s *state, now time.Duration) (took time.Duration) {
	if s.phase == requestWork {
		took = now - s.since
		g.work += time.Duration(workWeight * float64(took-g.work))
	}
	g.end(key, s)
	return took
}

// lose ends the work on a request that gets no answer.
func (g *Gate) lose(key flow.Key, s *state) {
	if s.phase == requestWork {
		g.lost++
	}
	g.end(key, s)
}

func (g *Gate) end(key flow.Key, s *state) {
	s.phase = requestNone
	delete(g.busy, key)
}

// Returned notes that the target sent a packet of a flow back: it does not hold the flow.
func (g *Gate) Returned(key flow.Key, now time.Duration) {
	g.hear(now)
	s, held := g.flows.Get(key, now)
	if !held {
		return
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

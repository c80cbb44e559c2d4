package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// answer is what the gate knows of the answer to a flow's request.
type answer struct {
	next    uint32 // number of the target's next new byte
	nextSet bool
	first   uint32 // number with which the answer begins
	took    time.Duration
	missing bool // the first bytes have not passed
	told    bool // the outcome of the request is counted
}

// expect notes that a request begins.
func (a *answer) expect() { a.first, a.took, a.missing, a.told = a.next, 0, true, false }

// sent takes over the end of what the target sent.
func (a *answer) sent(end uint32) {
	if !a.nextSet || int32(end-a.next) > 0 {
		a.next, a.nextSet = end, true
	}
}

// begins reports whether the packet holds the first bytes of the answer. Packets of one answer may pass in any order, the FIN
// behind it first. The number of a SYN may or may not count as a byte.
func (a *answer) begins(p *flow.Packet) bool {
	distance := int32(p.Seq - a.first)
	return a.missing && (!a.nextSet || (distance >= -1 && distance <= 1))
}

// FromTarget notes a packet of the target. It returns the balancer that searches the flow, if one does, and the time of
// the request whose answer begins in the packet, or 0.
func (g *Gate) FromTarget(key flow.Key, p *flow.Packet, now time.Duration) (asker flow.Endpoint, took time.Duration) {
	g.hear(now)
	s, held := g.flows.Get(key, now)
	if !held {
		s = &state{}
		g.flows.Put(key, s, now)
	}
	s.known = s.known || !p.Syn
	s.heard = now
	if p.Syn {
		g.pause, g.closed = 0, 0
		s.offered, s.synSeq = true, p.Seq
		s.answer.sent(p.Seq + 1)
	}
	asker, s.asker = s.asker, flow.Endpoint{}
	if !s.known {
		s.asker, asker = asker, flow.Endpoint{}
	}
	switch {
	case p.Reset:
		if s.phase == requestWork {
			g.noteOutcome(s, true, now)
		}
		g.lose(key, s)
		g.flows.Delete(key)
	case p.DataLen > 0:
		took = g.answered(key, s, p, now)
	case p.Fin && s.phase == requestWork && s.answer.begins(p):
		g.noteOutcome(s, true, now)
		g.lose(key, s)
	}
	return asker, took
}

// answered ends the work on a request with the first packet of its answer. It returns the time that the request took once the
// first bytes pass, which tell how it ended.
func (g *Gate) answered(key flow.Key, s *state, p *flow.Packet, now time.Duration) (took time.Duration) {
	if s.phase == requestWork {
		s.answer.took = now - s.since
		g.work += time.Duration(workWeight * float64(s.answer.took-g.work))
	}
	if s.phase != requestQueued { // else the data repeats the end of the answer before
		g.end(key, s)
	}
	if s.answer.begins(p) {
		took, s.answer.missing = s.answer.took, false
		g.noteOutcome(s, isFailure(p), now)
	}
	s.answer.sent(p.Seq + uint32(p.DataLen))
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
	if s.phase == requestQueued {
		g.queue.forget(key)
	}
	if s.stuck {
		s.stuck = false
		g.stuck--
	}
	s.phase = requestNone
	delete(g.busy, key)
}

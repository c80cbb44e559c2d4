package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// response is the state of the response to a flow's request.
type response struct {
	next         uint32 // sequence number of the target's next new byte
	nextSet      bool
	first        uint32 // sequence number of the first byte of the response
	duration     time.Duration
	firstPending bool // the first bytes of the response have not been seen
	counted      bool // the outcome of the request has been counted
}

// reset prepares for the response to a request that begins.
func (r *response) reset() { r.first, r.duration, r.firstPending, r.counted = r.next, 0, true, false }

// advance records the sequence number at the end of a packet from the target.
func (r *response) advance(end uint32) {
	if !r.nextSet || int32(end-r.next) > 0 {
		r.next, r.nextSet = end, true
	}
}

// isStart reports whether the packet has the first bytes of the response. The packets of a response may arrive in
// any order, and the FIN that follows it may even come first. A SYN may or may not take up a sequence number.
func (r *response) isStart(p *flow.Packet) bool {
	distance := int32(p.Seq - r.first)
	return r.firstPending && (!r.nextSet || (distance >= -1 && distance <= 1))
}

// FromTarget records a packet from the target. It returns the balancer that searches for the flow, if one does
// and the target now has proved that it owns the flow, and the duration of the request whose response begins in
// the packet, or 0.
func (g *Gate) FromTarget(
	key flow.Key, p *flow.Packet, now time.Duration,
) (searcher flow.Endpoint, duration time.Duration) {
	g.recordTargetPacket(now)
	s, found := g.flows.Get(key, now)
	if !found {
		s = &flowState{}
		g.flows.Put(key, s, now)
	}
	g.recordOwned(s, p)
	s.confirmed = s.confirmed || !p.Syn
	s.lastPacket = now
	if p.Syn {
		g.returnBackoff, g.backoffUntil = 0, 0
		s.synAcked, s.synAckSeq = true, p.Seq
		s.response.advance(p.Seq + 1)
	}
	searcher, s.searcher = s.searcher, flow.Endpoint{}
	if !s.confirmed {
		s.searcher, searcher = searcher, flow.Endpoint{}
	}
	switch {
	case p.Reset:
		if s.phase == requestInProgress {
			g.recordOutcome(s, true, now)
		}
		g.endUnanswered(key, s)
		g.flows.Delete(key)
	case p.DataLen > 0:
		duration = g.recordResponse(key, s, p, now)
	case p.Fin && s.phase == requestInProgress && s.response.isStart(p):
		g.recordOutcome(s, true, now)
		g.endUnanswered(key, s)
	}
	return searcher, duration
}

// recordResponse ends a request with the first packet of its response, whichever that is. With the packet that
// has the first bytes of the response, which show the outcome, it returns the duration of the request, otherwise
// 0.
func (g *Gate) recordResponse(key flow.Key, s *flowState, p *flow.Packet, now time.Duration) (duration time.Duration) {
	if s.phase == requestInProgress {
		s.response.duration = now - s.since
		g.recordServiceTime(s.response.duration)
	}
	if s.phase != requestQueued { // else the data repeats the end of the previous response
		g.endRequest(key, s)
	}
	if s.response.isStart(p) {
		duration, s.response.firstPending = s.response.duration, false
		g.sampleResponse(key, s, isFailure(p), now)
		g.recordOutcome(s, isFailure(p), now)
	}
	s.response.advance(p.Seq + uint32(p.DataLen))
	return duration
}

// maxServiceTimeRatio limits a sample of the service time to a multiple of the mean while overload is shed. After a target
// stood still for seconds, one answer would otherwise make every wait look longer than the objectives.
const maxServiceTimeRatio = 8

// recordServiceTime adds a sample to the mean service time.
func (g *Gate) recordServiceTime(sample time.Duration) {
	if g.admission.enabled {
		sample = min(sample, maxServiceTimeRatio*g.serviceTime)
	}
	g.serviceTime += time.Duration(serviceTimeWeight * float64(sample-g.serviceTime))
}

// endUnanswered ends the request of a flow that gets no response. It counts a request in progress as lost.
func (g *Gate) endUnanswered(key flow.Key, s *flowState) {
	if s.phase == requestInProgress {
		g.lostRequests++
	}
	g.endRequest(key, s)
}

func (g *Gate) endRequest(key flow.Key, s *flowState) {
	if s.phase == requestQueued {
		g.requestQueue.removeFlow(key)
	}
	if s.stuck {
		s.stuck = false
		g.stuckRequests--
	}
	s.phase = requestNone
	delete(g.inProgress, key)
}

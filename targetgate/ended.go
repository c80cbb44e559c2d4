package targetgate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// EndedFlow is a flow that its target has certainly lost.
type EndedFlow struct {
	Key     flow.Key
	Seq     uint32        // the caller's last acknowledgement number, the sequence number for a reset
	Waiting bool          // the caller waits for a response
	Since   time.Duration // start of the request, or of the flow's last phase
}

// endFlags records what shows whether a flow is open, and whether its target owes a response.
type endFlags uint8

const (
	flagCallerAcked    endFlags = 1 << iota // callerAck is set
	flagOpened                              // the caller acknowledged the target's SYN+ACK
	flagCallerFin                           // the caller sent a FIN
	flagTargetFin                           // the target sent a FIN
	flagCallerReset                         // the caller reset the flow
	flagAnswered                            // the target has sent data
	flagWaitingAtProof                      // a request was in progress or queued at a proof
	flagHeldAtProof                         // the target had had a request for restartGrace at a proof
)

// ReportEndedFlows makes the gate collect the flows that its target has certainly lost, for TakeEnded. flowTTL is the age
// from which targets may discard flows.
func (g *Gate) ReportEndedFlows(flowTTL time.Duration) {
	g.loss.enabled, g.loss.flowTTL = true, flowTTL
}

// TakeEnded returns the flows that have ended since the last call: those whose callers wait for a response, oldest
// first, then the others.
func (g *Gate) TakeEnded() []EndedFlow {
	ended := g.loss.ended
	g.loss.ended = nil
	return ended
}

// IsReopened reports whether the target may have a flow again that has ended: its caller has opened a new flow with
// the same endpoints.
func (g *Gate) IsReopened(key flow.Key, now time.Duration) bool {
	s, found := g.flows.Get(key, now)
	return found && (s.phase == requestOpening || s.synAcked || s.confirmed)
}

// recordOwned records a packet that the target sent of a flow. It contradicts a proof of loss if the target had the
// flow before. It has to precede the update of the flow's lastPacket.
func (g *Gate) recordOwned(s *flowState, p *flow.Packet) {
	if p.Fin {
		s.endFlags |= flagTargetFin
	}
	if p.DataLen > 0 {
		s.endFlags |= flagAnswered
	}
	if p.Syn || p.Reset {
		return // any process of the target may send these
	}
	s.endFlags &^= flagWaitingAtProof | flagHeldAtProof
	l := &g.loss
	switch {
	case l.firstAt == 0 || s.lastPacket >= l.firstAt:
	case s.lastPacket <= l.ownedUntil:
		g.loss.firstAt, g.loss.refusedAt = 0, 0
	case l.aliveSince == 0 || s.lastPacket < l.aliveSince:
		l.aliveSince = s.lastPacket
	}
}

// recordCallerPacket records what a caller's packet shows about its flow. A packet of a search may belong to a flow at
// another target that has the same endpoints.
func (s *flowState) recordCallerPacket(p *flow.Packet, searched bool) {
	if p.AckFlag && (!searched || s.acksSYN(p)) && (s.endFlags&flagCallerAcked == 0 || int32(p.Ack-s.callerAck) > 0) {
		s.callerAck = p.Ack
		s.endFlags |= flagCallerAcked
	}
	if s.acksSYN(p) {
		s.endFlags |= flagOpened
	}
	if p.Fin {
		s.endFlags |= flagCallerFin
	}
	if p.Reset {
		s.endFlags |= flagCallerReset
	}
}

// acksSYN reports whether a caller's packet acknowledges the target's SYN+ACK and nothing after it.
func (s *flowState) acksSYN(p *flow.Packet) bool {
	return s.synAcked && p.AckFlag && p.Ack-s.synAckSeq <= 1
}

// isOwned reports whether the target was proved to own the flow, and the agent knows the sequence number for a reset.
func (s *flowState) isOwned() bool {
	return s.endFlags&flagCallerAcked != 0 && (s.confirmed || s.endFlags&flagOpened != 0)
}

// isWaiting reports whether the caller waits for a response, or did at a proof.
func (s *flowState) isWaiting() bool {
	return s.phase == requestQueued || s.phase == requestInProgress || s.endFlags&flagWaitingAtProof != 0
}

// isClosed reports whether the flow ended properly: by a reset, by FINs of both sides, or by the FIN of one side after
// the other got everything that it waited for. A FIN may precede packets of a response that are lost.
func (s *flowState) isClosed() bool {
	has := func(flag endFlags) bool { return s.endFlags&flag != 0 }
	switch {
	case has(flagCallerReset):
		return true
	case has(flagCallerFin):
		return has(flagTargetFin) || !s.isWaiting()
	case has(flagTargetFin):
		return int32(s.callerAck-s.response.next) >= 0
	default:
		return false
	}
}

// endFlows ends the flows that the target owned and of which it has sent no packet after a time.
func (g *Gate) endFlows(until time.Duration) {
	g.flows.Each(func(key flow.Key, s *flowState) bool {
		if s.isOwned() && s.lastPacket <= until && !s.isClosed() {
			g.loss.ended = append(g.loss.ended, EndedFlow{
				Key: key, Seq: s.callerAck, Waiting: s.isWaiting(), Since: s.since,
			})
			g.removeEnded(key, s)
		}
		return true
	})
	sortEnded(g.loss.ended)
}

// removeEnded removes a flow. Its request counts as lost.
func (g *Gate) removeEnded(key flow.Key, s *flowState) {
	if s.phase == requestQueued {
		g.lostRequests++
	}
	g.endUnanswered(key, s)
	g.flows.Delete(key)
}

// MergeEnded returns both lists as one, in the order in which the callers are to be told.
func MergeEnded(a, b []EndedFlow) []EndedFlow {
	merged := append(a, b...)
	sortEnded(merged)
	return merged
}

func sortEnded(list []EndedFlow) { slices.SortStableFunc(list, EndedFlow.compare) }

// compare orders flows by the start of their requests, and those without a request last.
func (e EndedFlow) compare(other EndedFlow) int {
	switch {
	case e.Waiting == other.Waiting:
		return cmp.Compare(e.Since, other.Since)
	case e.Waiting:
		return -1
	default:
		return 1
	}
}

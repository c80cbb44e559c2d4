package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

const (
	// confirmAfter is the minimum time between two proofs that a target has lost its flows. A target that runs
	// contradicts the first proof in the meantime by any packet of a flow that it still has.
	confirmAfter = 100 * time.Millisecond
	// maxProofAge is the age of the target's last packet of a flow up to which the return of another packet of the
	// flow is a proof. Targets may discard flows that have been idle for longer. It also bounds the time between two
	// proofs.
	maxProofAge = time.Second
	// flowAgeMargin is subtracted from the age at which targets may discard flows: a target may have got an earlier copy
	// of the SYN than the agent knows of.
	flowAgeMargin = time.Second
)

// Proof is the kind of a proof that the target has lost its flows.
type Proof uint8

// Kinds of proofs.
const (
	ProofReopenedPort   Proof = iota // the target's port refused a connection and accepted a later one
	ProofReturnedPacket              // the target returned a packet of a flow that it may not discard yet
)

// String returns the kind as it appears in logs.
func (p Proof) String() string {
	return [...]string{"reopened_port", "returned_packet"}[p]
}

// LossProof is a proof that the target has lost its flows, as the gate found it.
type LossProof struct {
	Kind   Proof
	Flow   flow.Key      // of the returned packet
	Age    time.Duration // of that flow
	Quiet  time.Duration // since the target's last packet of that flow
	Second bool          // it confirmed a first proof: flows have ended
}

// lossProofs collects the proofs that the target has lost its flows. The zero value collects none.
type lossProofs struct {
	enabled   bool
	flowTTL   time.Duration // age from which the target may discard a flow
	refusedAt time.Duration // start of the first refused probe since the port last accepted one; 0: there was none

	// agesKnownFrom is when this process last resumed after its VM was suspended. Its clock does not count that time, so
	// that the ages of flows from before are unknown.
	agesKnownFrom time.Duration

	firstAt   time.Duration // when the first proof was found; 0: none
	firstKind Proof
	// ownedUntil is the latest time at which the target had a flow that it has lost since. Flows without a packet
	// of the target after that time are lost if the target has restarted.
	ownedUntil time.Duration
	// aliveSince is the earliest last packet before firstAt of a flow that the target has proved to own since then;
	// 0: none. Flows with a packet at that time or later belong to the running process.
	aliveSince time.Duration

	found []LossProof
	ended []EndedFlow
}

// RecordRefusal records that the target's port refused a connection attempt that started at a time. That is no proof: a
// target that shuts down may close its port and go on with its flows, however long it takes for its next answer. But it
// does not open the port again. RecordRefusal has to precede RecordProbe, which ends all requests.
func (g *Gate) RecordRefusal(startedAt, now time.Duration) {
	if !g.loss.enabled {
		return
	}
	g.markRequests(now)
	if g.loss.refusedAt == 0 {
		g.loss.refusedAt = startedAt
	}
}

// AwaitsReopening reports whether the target's port has refused a connection and accepted none since.
func (g *Gate) AwaitsReopening() bool { return g.loss.refusedAt != 0 }

// recordOpenPort records that the target's port accepted a connection. If it was closed before, the target has restarted
// at some time: which flows it has lost, returned packets have to show.
func (g *Gate) recordOpenPort() {
	l := &g.loss
	if l.refusedAt != 0 {
		g.suspectLoss(l.refusedAt, 0, ProofReopenedPort)
		l.found = append(l.found, LossProof{Kind: ProofReopenedPort})
	}
	l.refusedAt = 0
}

// VoidProofs discards the first proof, because packets of the target that contradict it may not have been read.
func (g *Gate) VoidProofs() { g.loss.firstAt, g.loss.refusedAt = 0, 0 }

// ForgetFlowAges makes the ages of all present flows unknown, so that the return of their packets proves nothing.
func (g *Gate) ForgetFlowAges(now time.Duration) { g.loss.agesKnownFrom = now }

// TakeProofs returns the proofs that were found since the last call.
func (g *Gate) TakeProofs() []LossProof {
	found := g.loss.found
	g.loss.found = nil
	return found
}

// recordDisowned considers whether a packet that the target returned proves that the target has restarted.
func (g *Gate) recordDisowned(key flow.Key, s *flowState, now time.Duration) {
	l := &g.loss
	if !l.enabled {
		return
	}
	g.markRequests(now) // the return may end the requests in progress
	if !g.provesLoss(s, now) {
		return
	}
	proof := LossProof{Kind: ProofReturnedPacket, Flow: key, Age: now - s.openedAt, Quiet: now - s.lastPacket}
	isFirst := l.firstAt == 0 || s.lastPacket >= l.firstAt || (l.aliveSince != 0 && s.lastPacket >= l.aliveSince)
	owed := s.owesResponse()
	switch {
	case isFirst && s.endFlags&flagHeldAtProof != 0:
		g.suspectLoss(now, s.lastPacket, ProofReturnedPacket)
	case isFirst || (!owed && l.firstKind == ProofReturnedPacket):
		return // a target may close a flow without a request by rules of its own
	default:
		l.ownedUntil = max(l.ownedUntil, s.lastPacket)
		proof.Second = now-l.firstAt >= confirmAfter
	}
	l.found = append(l.found, proof)
	if proof.Second {
		g.endFlows(l.ownedUntil)
	}
}

// suspectLoss records the first proof.
func (g *Gate) suspectLoss(at, ownedUntil time.Duration, kind Proof) {
	l := &g.loss
	l.firstAt, l.ownedUntil, l.firstKind, l.aliveSince = at, ownedUntil, kind, 0
}

// markRequests marks the flows that have a request when a proof is found.
func (g *Gate) markRequests(now time.Duration) {
	for _, s := range g.inProgress {
		if now-s.since >= restartGrace {
			s.endFlags |= flagHeldAtProof
		}
		s.endFlags |= flagWaitingAtProof
	}
	for i := range g.requestQueue.items {
		if s, found := g.flows.Get(g.requestQueue.items[i].key, now); found && s.phase == requestQueued {
			s.endFlags |= flagWaitingAtProof
		}
	}
}

// provesLoss reports whether the return of a packet of the flow is a proof that the target has lost flows: it owned
// the flow a moment ago, neither side has closed it, and it is not old enough to be discarded.
func (g *Gate) provesLoss(s *flowState, now time.Duration) bool {
	const closed = flagCallerFin | flagTargetFin | flagCallerReset
	return s.isOwned() && s.endFlags&closed == 0 && now-s.lastPacket < maxProofAge && g.mustKeep(s, now)
}

// mustKeep reports whether the target may not discard the flow because of its age. The age is unknown if the agent did
// not see how the flow was opened.
func (g *Gate) mustKeep(s *flowState, now time.Duration) bool {
	return s.openedAt > g.loss.agesKnownFrom && now-s.openedAt < g.loss.flowTTL-flowAgeMargin
}

// owesResponse reports whether the target had a reason to keep the flow: it has not answered on it yet, or has had a
// request for longer than restartGrace.
func (s *flowState) owesResponse() bool {
	return s.endFlags&flagHeldAtProof != 0 || s.endFlags&flagAnswered == 0
}

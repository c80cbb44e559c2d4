package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/targetgate"
)

// handleNewFlow offers a new flow to the gate and forwards, returns or queues its SYN as the gate decides.
func (a *Agent) handleNewFlow(out *agentOutboxes, h *encap.Header, p *flow.Packet, packet []byte, sender int, now time.Duration) {
	key := p.KeyFromCaller()
	verdict, reason := a.gate.Offer(&targetgate.Offer{
		Key:              key,
		Retransmission:   p.Retransmission,
		Last:             h.MayWait,
		Slots:            int(h.Slots),
		ColdRate:         float64(h.ColdRate) / 10,
		Priority:         h.Priority,
		LatencyObjective: time.Duration(h.ObjectiveMillis) * time.Millisecond,
		Held:             time.Duration(h.HoldMillis) * time.Millisecond,
	}, now)
	newFlowVerdicts[verdict].Inc()
	switch verdict {
	case targetgate.Accept:
		a.sendToTarget(out, packet, a.encodeToken(sender, h.Attempt))
	case targetgate.Refuse:
		a.countRefusal(h, reason)
		a.returnPacket(out, a.balancers[sender].address, h.Attempt, reason, packet, now)
	case targetgate.Wait:
		queued := queuedSYN{balancer: sender}
		copy(queued.packet[:], packet)
		a.queuedSYNs[key] = queued
		a.armTimer()
	}
	a.logFlow("flow_offered", key, "verdict", verdict.String(), "reason", reason.String(), "copy", p.Retransmission,
		"load", a.gate.Load(), "slots", a.gate.Slots(), "waiting", a.gate.Waiting(), "balancer", a.balancers[sender].address)
}

// handleOpenFlow forwards a packet of an open flow to the target. A packet of a request that has to wait is queued. A
// target whose port is closed gets the packets of its flows, too: while it shuts down, it goes on with them.
func (a *Agent) handleOpenFlow(out *agentOutboxes, h *encap.Header, p *flow.Packet, packet []byte, sender int, now time.Duration) {
	searcher := flow.Endpoint{}
	key := p.KeyFromCaller()
	if h.Search {
		searcher = a.balancers[sender].address
		a.addSearch(searchKey{flow: key, balancer: sender}, h)
		a.gate.ExpectReply(now)
	}
	p.Budget = platform.RequestBudget(platform.Payload(packet))
	known, step := a.gate.FromCaller(key, p, searcher, now)
	if h.Search {
		a.logFlow("flow_searched", key, "request", platform.RequestID(platform.Payload(packet)), "known", known,
			"attempt", h.Attempt, "balancer", searcher)
	}
	if known && h.Search {
		a.sendFound(out, searcher, key, now)
	}
	if step == targetgate.ActionHold && a.enqueueRequest(key, p, packet, sender, h.Attempt, now) {
		delete(a.searches, searchKey{flow: key, balancer: sender})
		return
	}
	if step == targetgate.ActionStartRequest {
		a.logFlow("request_forwarded", key, "request", platform.RequestID(platform.Payload(packet)), "load", a.gate.Load(),
			"balancer", a.balancers[sender].address)
	}
	a.sendToTarget(out, packet, a.encodeToken(sender, h.Attempt))
}

func (a *Agent) sendToTarget(out *agentOutboxes, packet []byte, token uint32) {
	platform.SetToken(packet, token)
	out.local.send(a.target, packet)
}

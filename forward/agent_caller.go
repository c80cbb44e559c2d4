package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/targetgate"
)

// offer decides about a new flow.
func (a *Agent) offer(out *agentBoxes, h *encap.Header, p *flow.Packet, packet []byte, sender int, now time.Duration) {
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
	newFlows[verdict].Inc()
	switch verdict {
	case targetgate.Accept:
		a.toTarget(out, packet, a.token(sender, h.Attempt))
	case targetgate.Refuse:
		a.giveBack(out, a.balancers[sender].address, h.Attempt, reason, packet, now)
	case targetgate.Wait:
		held := parked{balancer: sender}
		copy(held.packet[:], packet)
		a.parked[key] = held
		a.armTimer()
	}
	a.logFlow("flow_offered", key, "verdict", verdict.String(), "reason", reason.String(), "copy", p.Retransmission,
		"load", a.gate.Load(), "slots", a.gate.Slots(), "waiting", a.gate.Waiting(), "balancer", a.balancers[sender].address)
}

// pass hands a packet of an open flow to the target.
func (a *Agent) pass(out *agentBoxes, h *encap.Header, p *flow.Packet, packet []byte, sender int, now time.Duration) {
	asker := flow.Endpoint{}
	key := p.KeyFromCaller()
	switch {
	case a.gate.Down() && h.Search:
		a.searchOn(out, sender, h, packet, now)
		return
	case a.gate.Down():
		a.giveBack(out, a.balancers[sender].address, h.Attempt, encap.ReasonSilent, packet, now)
		return
	case h.Search:
		asker = a.balancers[sender].address
		a.rememberSearch(searchKey{flow: key, balancer: sender}, h, packet, now)
		a.gate.ExpectReply(now)
	}
	p.Budget = platform.RequestBudget(platform.Payload(packet))
	known, step := a.gate.FromCaller(key, p, asker, now)
	if h.Search {
		a.logFlow("flow_searched", key, "request", platform.RequestID(platform.Payload(packet)), "known", known,
			"attempt", h.Attempt, "balancer", asker)
	}
	if known && h.Search {
		a.found(out, asker, key, now)
	}
	if step == targetgate.ActionHold && a.keepRequest(key, p, packet, sender, h.Attempt, now) {
		delete(a.searches, searchKey{flow: key, balancer: sender})
		return
	}
	if step == targetgate.ActionStartRequest {
		a.logFlow("request_forwarded", key, "request", platform.RequestID(platform.Payload(packet)), "load", a.gate.Load(),
			"balancer", a.balancers[sender].address)
	}
	a.toTarget(out, packet, a.token(sender, h.Attempt))
}

func (a *Agent) toTarget(out *agentBoxes, packet []byte, token uint32) {
	platform.SetToken(packet, token)
	out.local.send(a.target, packet)
}

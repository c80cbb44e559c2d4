package forward

import (
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
)

// execute carries out, counts and logs a decision.
func (b *Balancer) execute(out *balancerOutboxes, d *dispatch.Decision, p *flow.Packet, packet []byte) {
	key := p.KeyFromCaller()
	switch d.Outcome {
	case dispatch.OutcomeForward:
		agent := flow.Endpoint{IP: d.Target.Address.IP, Port: b.config.Tunnel.Port()}
		out.agents.sendEncapsulated(agent, &d.Header, packet)
	case dispatch.OutcomeSearch:
		b.sendSearch(out, d.Paths, packet)
	case dispatch.OutcomeReset:
		to := flow.Endpoint{IP: key.Caller.IP, Port: b.config.Packets.Port()}
		out.callers.sendCopy(to, platform.AppendReset(nil, key, d.Seq))
		if d.Cause.IsRefusal() {
			b.config.Outcomes.Record(d.Service, false)
		}
	}
	decisions[d.Cause].Inc()
	if d.Shed {
		countShed(d.Header.Priority)
	}
	if d.Cause == dispatch.CauseUnknownFlow {
		searchesNotFound.Update(d.SearchTime.Seconds())
	}
	if d.Cause != dispatch.CauseOpen && d.Cause != dispatch.CauseSearching {
		b.logDecision(d, p, key)
	}
}

// sendSearch sends a packet along the paths of a search. An empty packet, whose data was not buffered, is not sent: the
// search ends without answers, and a later packet of the flow starts another.
func (b *Balancer) sendSearch(out *balancerOutboxes, paths []dispatch.SearchPath, packet []byte) {
	if len(packet) == 0 {
		return
	}
	for i := range paths {
		agent := flow.Endpoint{IP: paths[i].First.Address.IP, Port: b.config.Tunnel.Port()}
		out.agents.sendEncapsulated(agent, &paths[i].Header, packet)
	}
}

// logDecision logs a decision other than the forwarding of an open flow, unless the sampler's rate limit is
// exceeded.
func (b *Balancer) logDecision(d *dispatch.Decision, p *flow.Packet, key flow.Key) {
	skipped, ok := b.config.Sampler.Allow()
	if !ok {
		return
	}
	target := ""
	if d.Target != nil {
		target = d.Target.ID
	}
	b.mu.Lock()
	view := b.dispatcher.View()
	viewConfirmedAt := b.dispatcher.ConfirmedAt()
	b.mu.Unlock()
	fields := []any{
		"flow", key.String(), "cause", string(d.Cause), "outcome", d.Outcome.String(), "target", target, "service", d.Service,
		"copy", p.Retransmission, "attempt", d.Header.Attempt, "paths", len(d.Paths), "revision", view.Revision,
		"view_age", b.clock.now() - viewConfirmedAt, "skipped", skipped,
	}
	if d.Shed {
		fields = append(fields, "shed", true, "priority", d.Header.Priority)
	}
	b.config.Log.Info("flow_decision", fields...)
}

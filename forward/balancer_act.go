package forward

import (
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
)

// act carries a decision out, counts and logs it.
func (b *Balancer) act(out *outboxes, d *dispatch.Decision, p *flow.Packet, packet []byte) {
	key := p.KeyFromCaller()
	switch d.Outcome {
	case dispatch.OutcomeForward:
		agent := flow.Endpoint{IP: d.Target.Address.IP, Port: b.config.Tunnel.Port()}
		out.agents.wrap(agent, &d.Header, packet)
	case dispatch.OutcomeSearch:
		for i := range d.Paths {
			agent := flow.Endpoint{IP: d.Paths[i].First.Address.IP, Port: b.config.Tunnel.Port()}
			out.agents.wrap(agent, &d.Paths[i].Header, packet)
		}
	case dispatch.OutcomeReset:
		to := flow.Endpoint{IP: key.Caller.IP, Port: b.config.Packets.Port()}
		out.callers.sendOwned(to, platform.AppendReset(nil, key, d.Seq))
		if d.Cause.IsRefusal() {
			b.config.Outcomes.Record(d.Service, false)
		}
	}
	decisions[d.Cause].Inc()
	if d.Cause == dispatch.CauseUnknownFlow {
		searchesInVain.Update(d.SearchTime.Seconds())
	}
	if d.Cause != dispatch.CauseOpen && d.Cause != dispatch.CauseSearching {
		b.logDecision(d, p, key)
	}
}

// logDecision writes one line for each decision that is not the plain forwarding of an open flow, as far as the sampler
// allows.
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
	known := b.dispatcher.ConfirmedAt()
	b.mu.Unlock()
	b.config.Log.Info("flow_decision", "flow", key.String(), "cause", string(d.Cause), "outcome", d.Outcome.String(),
		"target", target, "service", d.Service, "copy", p.Retransmission, "attempt", d.Header.Attempt,
		"paths", len(d.Paths), "revision", view.Revision, "view_age", b.clock.now()-known, "skipped", skipped)
}

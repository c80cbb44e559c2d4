package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

const (
	// reachabilityInterval is how often a balancer checks whether it reaches agents. If not, it probes some
	// of them.
	reachabilityInterval = 100 * time.Millisecond
	// probesPerInterval is the number of agents that are probed in each interval, in round-robin order.
	probesPerInterval = 4
)

// ReachesAgents reports whether any agent responds to this balancer. A balancer that reaches none cannot
// serve callers, so routers should send their packets to other balancers.
func (b *Balancer) ReachesAgents() bool { return !b.isolated.Load() }

// watchAgents tracks whether agents are reachable, until Close is called. Agents report only to balancers
// that send them packets, so a balancer that reaches none, and may get no packets from callers, requests
// reports.
func (b *Balancer) watchAgents() {
	ticker := time.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	probes := probeRotation{out: b.newOutboxes()}
	for {
		select {
		case <-b.closed:
			return
		case <-ticker.C:
		}
		b.watchOverload()
		b.logCapacityChanges()
		if b.updateIsolated() {
			b.probeAgents(&probes)
		}
	}
}

// updateIsolated updates whether the balancer is isolated, logs changes and reports the new state.
func (b *Balancer) updateIsolated() bool {
	b.mu.Lock()
	isolated := b.dispatcher.Isolated(b.clock.now())
	targets := b.dispatcher.View().TargetCount()
	b.mu.Unlock()
	if b.isolated.Swap(isolated) == isolated {
		return isolated
	}
	if isolated {
		b.config.Log.Warn("agents_lost", "targets", targets)
		isolations.Inc()
	} else {
		b.config.Log.Info("agents_regained", "targets", targets)
	}
	return isolated
}

// probeRotation selects the agents of a view for probing in round-robin order.
type probeRotation struct {
	out       *balancerOutboxes
	view      *directory.View
	addresses [][4]byte
	next      int
}

// nextAddresses returns the addresses of the agents to probe next.
func (p *probeRotation) nextAddresses(view *directory.View) [][4]byte {
	if p.view != view {
		p.view, p.addresses = view, view.TargetIPs()
	}
	batch := make([][4]byte, min(probesPerInterval, len(p.addresses)))
	for i := range batch {
		batch[i] = p.addresses[p.next%len(p.addresses)]
		p.next++
	}
	return batch
}

// probeAgents requests reports from the next agents of the rotation.
func (b *Balancer) probeAgents(p *probeRotation) {
	b.mu.Lock()
	view := b.dispatcher.View()
	b.mu.Unlock()
	h := encap.Header{Kind: encap.KindProbe}
	for _, address := range p.nextAddresses(view) {
		p.out.agents.sendEncapsulated(flow.Endpoint{IP: address, Port: b.config.Tunnel.Port()}, &h, nil)
	}
	p.out.flush()
}

var isolations = metrics.NewCounter("cowslip_agents_lost_total")

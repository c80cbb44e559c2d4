package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

const (
	// reachCheck is how often a balancer looks whether it reaches agents, and asks some of them where it does not.
	reachCheck = 100 * time.Millisecond
	// probesPerCheck is how many agents it asks each time, in turns.
	probesPerCheck = 4
)

// ReachesAgents reports whether agents answer this balancer. One that reaches none can serve no caller, so that routers
// should hand the packets to others.
func (b *Balancer) ReachesAgents() bool { return !b.isolated.Load() }

// watchAgents keeps up whether agents answer, until Close. Without packets of callers agents send no reports, so that a
// balancer that reaches none asks for some.
func (b *Balancer) watchAgents() {
	ticker := time.NewTicker(reachCheck)
	defer ticker.Stop()
	out := b.newOutboxes()
	for turn := 0; ; turn++ {
		select {
		case <-b.closed:
			return
		case <-ticker.C:
		}
		if b.noteIsolation() {
			b.probeAgents(out, turn)
		}
	}
}

// noteIsolation takes over whether agents answer and reports whether none does.
func (b *Balancer) noteIsolation() bool {
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

// probeAgents asks the next few agents for a report.
func (b *Balancer) probeAgents(out *outboxes, turn int) {
	b.mu.Lock()
	addresses := b.dispatcher.View().Addresses()
	b.mu.Unlock()
	h := encap.Header{Kind: encap.KindProbe}
	for i := range min(probesPerCheck, len(addresses)) {
		next := addresses[(turn*probesPerCheck+i)%len(addresses)]
		out.agents.wrap(flow.Endpoint{IP: next, Port: b.config.Tunnel.Port()}, &h, nil)
	}
	out.flush()
}

var isolations = metrics.NewCounter("cowslip_agents_lost_total")

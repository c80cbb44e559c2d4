package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/directory"
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
	asked := reachProbes{out: b.newOutboxes()}
	for {
		select {
		case <-b.closed:
			return
		case <-ticker.C:
		}
		if b.noteIsolation() {
			b.probeAgents(&asked)
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

// reachProbes goes through the agents of a view in turns.
type reachProbes struct {
	out       *outboxes
	view      *directory.View
	addresses [][4]byte
	next      int
}

// take returns the next few agents of the view.
func (p *reachProbes) take(view *directory.View) [][4]byte {
	if p.view != view {
		p.view, p.addresses = view, view.TargetIPs()
	}
	taken := make([][4]byte, min(probesPerCheck, len(p.addresses)))
	for i := range taken {
		taken[i] = p.addresses[p.next%len(p.addresses)]
		p.next++
	}
	return taken
}

// probeAgents asks the next few agents for a report.
func (b *Balancer) probeAgents(p *reachProbes) {
	b.mu.Lock()
	view := b.dispatcher.View()
	b.mu.Unlock()
	h := encap.Header{Kind: encap.KindProbe}
	for _, address := range p.take(view) {
		p.out.agents.wrap(flow.Endpoint{IP: address, Port: b.config.Tunnel.Port()}, &h, nil)
	}
	p.out.flush()
}

var isolations = metrics.NewCounter("cowslip_agents_lost_total")

package agent

import (
	"context"
	"time"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// watchPeriod is how often the agent checks the state of its target. A new view is processed as soon as it
// arrives.
const watchPeriod = 100 * time.Millisecond

// watch processes changes of the view and of the target until the context ends.
func (a *Agent) watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		changed := a.config.Source.Changed()
		a.reconcile(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.wake:
		case <-ticker.C:
		}
	}
}

// reconcile updates the agent from the current view and the state of its target. Once the agent has left the
// starting phase, new limits are applied only while the view is confirmed.
func (a *Agent) reconcile(now time.Time) {
	if a.config.Source.Confirmed() || a.lifecycle.current() == phaseStarting {
		a.applyLimits()
	}
	a.leaveDomainsOut(now)
	a.limiter.SetPeerServiceTime(a.pool.ReferenceServiceTime())
	c := a.collectConditions()
	from, to, publish := a.lifecycle.update(c, now)
	if from != to {
		a.config.Log.Info("phase", "from", from, "to", to)
		a.enterPhase(from, to)
	}
	if publish {
		a.publish()
	}
}

// leaveDomainsOut ends traffic to peers in failure domains that are out. Idle connections to other peers are
// closed as well and reopened on use.
func (a *Agent) leaveDomainsOut(now time.Time) {
	var service rules.ServiceID
	if s := a.service(); s != nil {
		service = s.ID
	}
	if a.outboundHandoffs.cancelDomainsOut(a.config.Source.View(), service, now) {
		a.peers.CloseIdleConnections()
	}
}

// collectConditions returns the inputs that determine the phase and the weight.
func (a *Agent) collectConditions() conditions {
	view := a.config.Source.View()
	set := view.Rules()
	_, drained := set.Drained[a.config.Self.Name]
	snapshot := a.limiter.Snapshot()
	return conditions{
		domainOut:  isDomainOut(set, a.config.Self.FailureDomain),
		drained:    drained || isLeaving(view, a.config.Self.Name),
		hasService: a.service() != nil,
		reachable:  a.prober.reachable.Load(),
		healthy:    a.prober.healthy.Load(),
		limit:      snapshot.Limit,
		slots:      snapshot.Slots,
	}
}

func isDomainOut(set *rules.Set, name string) bool {
	domain := set.DomainByName(name)
	return domain != nil && domain.Out
}

func isLeaving(view *fleet.View, name string) bool {
	vm := view.VM(name)
	return vm != nil && vm.Leaving
}

// applyLimits applies the limits that the current rules configure.
func (a *Agent) applyLimits() {
	service := a.service()
	if service == nil {
		return
	}
	limits := limitsFromRule(service)
	if limits != a.limits {
		a.limits = limits
		a.limiter.SetLimits(limits)
	}
}

func limitsFromRule(service *rules.Service) admission.Config {
	return admission.Config{Slots: service.Slots, Connections: service.Connections, QueueTimeout: service.Queue}
}

// enterPhase applies a phase change to the callers' connections.
func (a *Agent) enterPhase(from, to phase) {
	switch to {
	case phaseDraining:
		go a.drain(a.server.current())
	case phaseDomainOut:
		go a.server.current().closeAll(CodeDomainOut, "failure domain "+a.config.Self.FailureDomain+" is out")
	case phaseServing, phaseStarting:
		if from == phaseDraining || from == phaseDomainOut {
			a.server.renewGeneration()
		}
		if from == phaseStarting {
			a.limiter.MarkCold("target came back")
		}
	}
}

// drain lets the running requests of a generation finish within the drain period.
func (a *Agent) drain(g *generation) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.DrainPeriod)
	defer cancel()
	if err := g.drain(ctx); err != nil && ctx.Err() != nil {
		a.config.Log.Warn("drain_cut", "period", a.config.DrainPeriod)
	}
	g.markDrained()
}

// publish passes the record of this agent to the feed.
func (a *Agent) publish() {
	record := fleet.MemberRecord{
		VM:          a.config.Self,
		Incarnation: a.config.Incarnation,
		Started:     uint64(a.config.Started.UnixMilli()),
		State:       a.lifecycle.state(),
		Weight:      a.lifecycle.weight(),
	}
	if service := a.service(); service != nil {
		record.Service = service.ID
	}
	a.config.Log.Info("record", "state", record.State, "weight", record.Weight)
	a.config.Source.PublishSelf(record)
}

// String returns the name of the phase for logs.
func (p phase) String() string {
	switch p {
	case phaseStarting:
		return "starting"
	case phaseServing:
		return "serving"
	case phaseDraining:
		return "draining"
	case phaseDomainOut:
		return "out"
	default:
		return "stopped"
	}
}

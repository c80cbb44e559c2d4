package agent

import (
	"context"
	"time"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// watchPeriod is how often the agent looks at its target's evidence. A new view is looked at once it arrives.
const watchPeriod = 100 * time.Millisecond

// watch follows the view and the target until the context ends.
func (a *Agent) watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		changed := a.config.Source.Changed()
		a.review(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-a.wake:
		case <-ticker.C:
		}
	}
}

// review brings the agent in line with the view. Decisions are held while the view is not confirmed.
func (a *Agent) review(now time.Time) {
	if a.config.Source.Confirmed() || a.lifecycle.current() == phaseStarting {
		a.adoptLimits()
	}
	a.leaveOuts(now)
	a.limiter.SetPeerReference(a.pool.ReferenceServiceTime())
	e := a.gather()
	from, to, publish := a.lifecycle.move(e, now)
	if from != to {
		a.config.Log.Info("phase", "from", from, "to", to)
		a.enterPhase(from, to)
	}
	if publish {
		a.publish()
	}
}

// leaveOuts ends what goes on with peers in domains that are out. Idle connections to other peers are closed as well and
// opened again on use.
func (a *Agent) leaveOuts(now time.Time) {
	var service rules.ServiceID
	if s := a.service(); s != nil {
		service = s.ID
	}
	if a.passings.adopt(a.config.Source.View(), service, now) {
		a.peers.CloseIdleConnections()
	}
}

// gather collects the evidence that the phase follows from.
func (a *Agent) gather() evidence {
	view := a.config.Source.View()
	set := view.Rules()
	_, drained := set.Drained[a.config.Self.Name]
	now := a.limiter.Snapshot()
	return evidence{
		out:        isDomainOut(set, a.config.Self.FailureDomain),
		drained:    drained || isLeaving(view, a.config.Self.Name),
		hasService: a.service() != nil,
		reachable:  a.prober.reachable.Load(),
		healthy:    a.prober.healthy.Load(),
		limit:      now.Limit,
		slots:      now.Slots,
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

// adoptLimits takes the stated limits from the rules in force.
func (a *Agent) adoptLimits() {
	service := a.service()
	if service == nil {
		return
	}
	limits := limitsOf(service)
	if limits != a.limits {
		a.limits = limits
		a.limiter.SetLimits(limits)
	}
}

func limitsOf(service *rules.Service) admission.Config {
	return admission.Config{Slots: service.Slots, Connections: service.Connections, Queue: service.Queue}
}

// enterPhase has the effects of a new phase on the callers' connections.
func (a *Agent) enterPhase(from, to phase) {
	switch to {
	case phaseDraining:
		go a.drain(a.server.current())
	case phaseOut:
		go a.server.current().expel(CodeDomainOut, "failure domain "+a.config.Self.FailureDomain+" is out")
	case phaseServing, phaseStarting:
		if from == phaseDraining || from == phaseOut {
			a.server.renew()
		}
		if from == phaseStarting {
			a.limiter.TurnCold("target came back")
		}
	}
}

// drain lets the running requests of a generation end within the drain period.
func (a *Agent) drain(g *generation) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.DrainPeriod)
	defer cancel()
	if err := g.drain(ctx); err != nil && ctx.Err() != nil {
		a.config.Log.Warn("drain_cut", "period", a.config.DrainPeriod)
	}
	g.finish()
}

// publish gives the record of this agent to the feed.
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

// String returns the phase as logs show it.
func (p phase) String() string {
	switch p {
	case phaseStarting:
		return "starting"
	case phaseServing:
		return "serving"
	case phaseDraining:
		return "draining"
	case phaseOut:
		return "out"
	default:
		return "stopped"
	}
}

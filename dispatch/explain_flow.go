package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/packetstatus"
	"github.com/cowslipward/cowslipward/placement"
)

// Explain describes what the dispatcher would do with a packet of the flow now, and why: route, service, admission, and
// the targets with their costs. It changes nothing that later decisions depend on.
func (d *Dispatcher) Explain(key flow.Key, now time.Duration) packetstatus.Explanation {
	explanation := packetstatus.Explanation{
		Domain: d.chooser.LocalDomain, Revision: d.view.Revision.Number(), StoreEra: d.view.Revision.Era(),
		ViewAgeMS: (now - d.confirmedAt).Milliseconds(),
	}
	if d.view.Config != nil {
		explanation.Version = d.view.Config.Version
	}
	route := d.view.Route(key.Service)
	if route == nil {
		return explanation
	}
	explanation.Route, explanation.Service = route.Name, route.ChooseService(key.Hash())
	explanation.HashPoint, _ = route.HashPoint(key.Hash())
	explanation.Choices = describeChoices(route)
	if e, ok := d.table.Peek(key, now); ok && e.target != nil {
		explanation.KnownTarget, explanation.Opening = e.target.ID, e.opening
	}
	class := placement.Class{Service: explanation.Service, Priority: encap.Clamp8(route.Priority), Objective: route.Objective}
	admission := d.describeAdmission(class, now)
	explanation.Admission = &admission
	chooser := d.copyChooser(route)
	choice, outcome := d.firstOffer(&chooser, class, key.Hash(), admission.Direct, now)
	explanation.Outcome = outcome
	if choice != nil {
		explanation.Choice = choice.ID
	}
	explanation.Candidates = d.describeCandidates(&chooser, key, route, now)
	return explanation
}

// copyChooser returns a chooser for flows of the route, so that the route and the buffers of d.chooser stay as they are.
func (d *Dispatcher) copyChooser(route *directory.Route) placement.Chooser {
	chooser := placement.Chooser{LocalDomain: d.chooser.LocalDomain, Loads: d.loads}
	chooser.SetRoute(route)
	return chooser
}

// firstOffer returns the target to which the first SYN of a new flow is offered, in the order of offerNext.
func (d *Dispatcher) firstOffer(c *placement.Chooser, class placement.Class, hash uint64, direct bool, now time.Duration) (*directory.Target, packetstatus.Outcome) {
	if direct {
		if t := c.ShortestWait(d.view, class, hash, nil, d.overload, now); t != nil {
			return t, packetstatus.OutcomeDirect
		}
	}
	if t := c.Choose(d.view, class.Service, hash, nil, now); t != nil {
		return t, packetstatus.OutcomeOffer
	}
	if t := c.LeastLoaded(d.view, class.Service, hash, nil, now); t != nil {
		return t, packetstatus.OutcomeWait
	}
	if now-d.confirmedAt > maxRefusalViewAge {
		return nil, packetstatus.OutcomeDrop
	}
	return nil, packetstatus.OutcomeReset
}

func describeChoices(route *directory.Route) []packetstatus.ServiceChoice {
	var list []packetstatus.ServiceChoice
	from := uint64(0)
	for _, c := range route.Choices {
		to := from + uint64(c.Weight)
		list = append(list, packetstatus.ServiceChoice{Service: c.Service, From: from, To: to})
		from = to
	}
	return list
}

// describeAdmission describes what assessOverload and isLastingShortage find out about new flows of the class.
func (d *Dispatcher) describeAdmission(class placement.Class, now time.Duration) packetstatus.Admission {
	admission := packetstatus.Admission{Priority: int(class.Priority), ObjectiveMS: class.Objective.Milliseconds()}
	for _, t := range d.view.Targets(class.Service) {
		if placement.Eligible(d.view, t) {
			admission.Eligible++
		}
	}
	admission.Unknown = d.whyNotAssessed(class, now)
	if admission.Unknown != "" {
		return admission
	}
	known := d.overload.Peek(class, now)
	admission.Said, admission.Full, admission.Direct, admission.Overloaded = known.Said, known.Full, known.IsFull, known.Overloaded
	if known.Overloaded {
		admission.ForMS = (now - known.Since).Milliseconds()
	}
	if s := d.shortages[class]; s.exists(now) {
		admission.ShortageMS = (now - s.since).Milliseconds()
		admission.Lasting = s.isLasting(class.Objective, now)
	}
	return admission
}

// whyNotAssessed describes why the dispatcher neither sheds new flows of the class nor offers them directly, whatever
// targets say. It is empty if it may do so.
func (d *Dispatcher) whyNotAssessed(class placement.Class, now time.Duration) string {
	switch {
	case !d.sheds(class.Service):
		return "load control is off for the service"
	case class.Objective <= 0:
		return "the route has no latency objective"
	case now-d.confirmedAt > maxRefusalViewAge:
		return "the view is too old"
	case d.loads.WouldBeIsolated(now):
		return "the balancer reaches no agent"
	case !d.overload.HeardRecently(now):
		return "no target said lately that it is full or overloaded"
	default:
		return ""
	}
}

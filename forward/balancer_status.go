package forward

import (
	"cmp"
	"slices"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/packetstatus"
	"github.com/cowslipward/cowslipward/placement"
)

// Status returns the state of the balancer for operators, based on this balancer's own data.
func (b *Balancer) Status() packetstatus.Balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.now()
	view := b.dispatcher.View()
	status := packetstatus.Balancer{
		Domain:     b.config.Domain,
		Revision:   view.Revision.Number(),
		StoreEra:   view.Revision.Era(),
		ViewAgeMS:  (now - b.dispatcher.ConfirmedAt()).Milliseconds(),
		Flows:      b.dispatcher.FlowCount(),
		OutDomains: view.OutDomains,
		Targets:    b.dispatcher.Targets(now),
	}
	if view.Config != nil {
		status.Version = view.Config.Version
	}
	overloaded := b.dispatcher.AppendOverloaded(nil, now)
	slices.SortFunc(overloaded, func(a, b placement.Overload) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	for _, o := range overloaded {
		status.Overloaded = append(status.Overloaded, packetstatus.Overload{
			Service: o.Service, Priority: int(o.Priority), Said: o.Said, Eligible: o.Eligible, ForMS: (now - o.Since).Milliseconds(),
		})
	}
	for _, r := range view.Refused {
		status.Refused = append(status.Refused, packetstatus.Refused{
			Kind: r.Kind.String(), Name: r.Name, Revision: r.Revision.Number(), StoreEra: r.Revision.Era(), Reason: string(r.Refusal.Reason), Detail: r.Refusal.Detail,
		})
	}
	return status
}

// Explain returns the known target of a flow, the target that a new flow would get now, and the state of all
// targets.
func (b *Balancer) Explain(key flow.Key) packetstatus.Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatcher.Explain(key, b.clock.now())
}

package forward

import (
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/packetstatus"
)

// Status describes the balancer for operators, as far as the balancer itself knows.
func (b *Balancer) Status() packetstatus.Balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.now()
	view := b.dispatcher.View()
	status := packetstatus.Balancer{
		Domain:     b.config.Domain,
		Revision:   view.Revision,
		ViewAgeMS:  (now - b.dispatcher.ConfirmedAt()).Milliseconds(),
		Flows:      b.dispatcher.FlowCount(),
		OutDomains: view.OutDomains,
		Targets:    b.dispatcher.Targets(now),
	}
	if view.Config != nil {
		status.Version = view.Config.Version
	}
	return status
}

// Explain says where a flow would go now.
func (b *Balancer) Explain(key flow.Key) packetstatus.Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dispatcher.Explain(key, b.clock.now())
}

package forward

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/dispatch"
)

var implausibleReports = metrics.NewCounter("cowslip_implausible_reports_total")

// logCapacityChanges logs the changes of the learned capacities of targets since the last call, as far as the rate limit
// of the log allows.
func (b *Balancer) logCapacityChanges() {
	if !b.config.LoadControl.LearnedCapacity {
		return
	}
	b.mu.Lock()
	changes, dropped, implausible := b.dispatcher.TakeCapacityChanges()
	b.mu.Unlock()
	implausibleReports.Add(implausible)
	for i := range changes {
		b.logCapacityChange(&changes[i], dropped)
	}
}

func (b *Balancer) logCapacityChange(c *dispatch.CapacityChange, dropped int) {
	skipped, ok := b.config.Sampler.Allow()
	if !ok {
		return
	}
	args := []any{"target", c.Target.ID, "service", c.Target.Service, "skipped", skipped, "dropped", dropped}
	if c.Implausible {
		b.config.Log.Warn("report_implausible", args...)
	}
	if c.LimitFrom != c.LimitTo {
		b.config.Log.Info("target_limit_changed", append(args, "from", c.LimitFrom, "to", c.LimitTo)...)
	}
	if c.BecameSlow {
		b.config.Log.Warn("target_slow", append(args, "speed", c.Speed, "duration", c.RouteDuration)...)
	}
	if c.BecameNormal {
		b.config.Log.Info("target_no_longer_slow", append(args, "speed", c.Speed, "duration", c.RouteDuration)...)
	}
}

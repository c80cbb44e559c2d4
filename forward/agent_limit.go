package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/encap"
)

// Gauges of the learned capacity of the target; 0 if it is unknown or not learned.
var (
	targetLimit    = metrics.NewGauge("cowslip_target_limit", nil)
	targetDuration = metrics.NewGauge("cowslip_target_answer_seconds", nil)
)

// logLimit updates the gauges of the learned capacity and logs a change of the limit. It is called once for each round
// of reports.
func (a *Agent) logLimit(now time.Duration) {
	limit, duration := a.gate.Limit(), a.gate.MeanDuration(now)
	targetLimit.Set(float64(limit))
	targetDuration.Set(duration.Seconds())
	if limit == a.loggedLimit {
		return
	}
	if a.loggedLimit != 0 || limit < a.gate.Slots() {
		a.config.Log.Info("target_limit_changed", "target", a.target.String(), "from", a.loggedLimit, "to", limit,
			"slots", a.gate.Slots(), "duration", duration)
	}
	a.loggedLimit = limit
}

// nextCapacity returns the learned capacity for the next report. If balancers get every second report, each capacity is
// in two of them.
func (a *Agent) nextCapacity(now time.Duration) encap.Capacity {
	c := a.gate.Capacity(now)
	if c == (encap.Capacity{}) {
		c, a.repeated = a.repeated, encap.Capacity{}
		return c
	}
	if len(a.balancers) > alternateReportsAbove {
		a.repeated = c
	}
	return c
}

package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/packetstatus"
	"github.com/cowslipward/cowslipward/placement"
)

// recordResponse records a response of the target and the outcome of its request when the first bytes arrive.
func (a *Agent) recordResponse(key flow.Key, status int, latency time.Duration) {
	firstResponseTime.Update(latency.Seconds())
	responses[status/100].Inc()
	objective, known := a.gate.Objective(key.Service)
	a.config.Outcomes.Record(a.config.Service, status < flow.MinServerErrorStatus && (!known || latency <= objective))
	if status >= flow.MinServerErrorStatus || latency > slowResponse {
		a.logFlow("request_answered", key, "status", status, "took", latency, "load", a.gate.Load())
	}
}

// slowResponse is the latency above which a response is logged.
const slowResponse = 500 * time.Millisecond

// updateTargetFailing logs when the share of failed requests crosses the threshold above which balancers
// avoid the target.
func (a *Agent) updateTargetFailing(now time.Duration) {
	share := a.gate.FailureRatio(now)
	switch {
	case !a.targetFailing && share >= placement.FailureRateThreshold:
		a.targetFailing = true
		a.config.Log.Warn("target_failing", "target", a.target.String(), "share", share, "load", a.gate.Load())
	case a.targetFailing && share < placement.FailureRateThreshold:
		a.targetFailing = false
		a.config.Log.Info("target_recovered", "target", a.target.String(), "share", share)
	}
}

// countLostRequests counts the requests that ended without a response.
func (a *Agent) countLostRequests() {
	for range a.gate.TakeLost() {
		a.config.Outcomes.Record(a.config.Service, false)
		lostRequests.Inc()
	}
}

// Status returns the state of the agent, its target and the target's flows for operators, based on this
// agent's own data.
func (a *Agent) Status() packetstatus.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	status := packetstatus.Agent{
		Service: a.config.Service,
		Target:  a.config.Target.String(),
		Load:    a.gate.Load(),
		Slots:   a.gate.Slots(),
		Waiting: a.gate.Waiting(),
		Failing: int(encap.Percent(a.gate.FailureRatio(now))),
		Silent:  a.gate.Silent(now),
		Down:    a.gate.Down(),
		Limit:   a.gate.Limit(),
	}
	status.DurationMS = float64(a.gate.MeanDuration(now)) / float64(time.Millisecond)
	for _, f := range a.gate.Flows(packetstatus.MaxFlows, now) {
		status.Flows = append(status.Flows, packetstatus.Flow{Flow: f.Key.String(), State: f.Phase.String(), AgeMS: f.Age.Milliseconds()})
	}
	return status
}

package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/packetstatus"
	"github.com/cowslipward/cowslipward/placement"
)

// answered counts the first bytes of an answer.
func (a *Agent) answered(key flow.Key, status int, took time.Duration) {
	answerTime.Update(took.Seconds())
	answers[status/100].Inc()
	objective, known := a.gate.Objective(key.Service)
	a.config.Outcomes.Record(a.config.Service, status < flow.MinServerErrorStatus && (!known || took <= objective))
	if status >= flow.MinServerErrorStatus || took > slowAnswer {
		a.logFlow("request_answered", key, "status", status, "took", took, "load", a.gate.Load())
	}
}

// slowAnswer is the time of a request above which its answer is logged.
const slowAnswer = 500 * time.Millisecond

// noteFailing logs when the target begins and ceases to fail so many requests that balancers avoid it.
func (a *Agent) noteFailing(now time.Duration) {
	share := a.gate.FailureRatio(now)
	switch {
	case !a.failing && share >= placement.FailureRateThreshold:
		a.failing = true
		a.config.Log.Warn("target_failing", "target", a.target.String(), "share", share, "load", a.gate.Load())
	case a.failing && share < placement.FailureRateThreshold:
		a.failing = false
		a.config.Log.Info("target_recovered", "target", a.target.String(), "share", share)
	}
}

// countLost counts the requests that ended without an answer.
func (a *Agent) countLost() {
	for range a.gate.TakeLost() {
		a.config.Outcomes.Record(a.config.Service, false)
		lostRequests.Inc()
	}
}

// Status describes the agent, its target and the flows there for operators, as far as the agent itself knows.
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
	}
	for _, f := range a.gate.Flows(packetstatus.MaxFlows, now) {
		status.Flows = append(status.Flows, packetstatus.Flow{Flow: f.Key.String(), State: f.Phase.String(), AgeMS: f.Age.Milliseconds()})
	}
	return status
}

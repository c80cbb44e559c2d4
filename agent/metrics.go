package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countOutcome counts how a request ended.
func countOutcome(o outcome) {
	name := "answered"
	switch {
	case o.truncated:
		name = "cut"
	case o.refused != nil:
		name = o.refused.outcome
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cowslip_agent_requests_total{outcome=%q}", name)).Inc()
}

// countHandoff counts how a handoff ended.
func countHandoff(kind string, o outcome, reached bool) {
	name := "answered"
	switch {
	case !reached:
		name = "unreachable"
	case o.truncated:
		name = "cut"
	case o.refused != nil:
		name = o.refused.outcome
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cowslip_agent_handoffs_total{kind=%q,outcome=%q}", kind, name)).Inc()
}

// RegisterMetrics adds the gauges of this agent to the metrics of the process. Call it for one agent per
// process.
func (a *Agent) RegisterMetrics() {
	gauge := func(name string, value func() float64) { metrics.GetOrCreateGauge("cowslip_agent_"+name, value) }
	gauge("in_progress_requests", func() float64 { return float64(a.limiter.Snapshot().InProgress) })
	gauge("queued_requests", func() float64 { return float64(a.limiter.Snapshot().Queued) })
	gauge("limit_requests", func() float64 { return float64(a.limiter.Snapshot().Limit) })
	gauge("open_connections", func() float64 { return float64(a.limiter.Snapshot().Connections) })
	gauge("stored_answers_bytes", func() float64 { return float64(a.issuer.Stats().StoredBytes) })
	gauge("used_tickets", func() float64 { return float64(a.issuer.Stats().UsedTickets) })
	gauge("target_reported_requests", func() float64 { return float64(a.prober.reported.Load()) })
	gauge("weight_permille", func() float64 { return float64(a.lifecycle.weight()) })
}

package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/targetgate"
)

const (
	// resetInterval is the interval between batches of resets, and resetsPerBatch bounds a batch: at most 2,000
	// resets a second, because the callers of all of them retry at once.
	resetInterval  = 20 * time.Millisecond
	resetsPerBatch = 40
	// watchInterval is how often the agent checks whether a probe is due while no packets arrive.
	watchInterval = 50 * time.Millisecond
	// maxWatchGap is the time between two checks above which the agent was paused.
	maxWatchGap = 2 * watchInterval
)

// endedFlows holds the flows whose callers are to be told that the target has lost them.
type endedFlows struct {
	lastWatch  time.Duration // when watchTarget last checked the target
	suspended  time.Duration // time for which the VM was suspended, as of the last check
	pending    []targetgate.EndedFlow
	lastBatch  time.Duration
	timerArmed bool
	event      endedEvent
}

// endedEvent describes the resets sent since there were none to send.
type endedEvent struct {
	since   time.Duration
	resets  int
	waiting int // resets to callers that waited for a response
	skipped int // flows that were opened again in the meantime
}

// watchTarget probes the target whenever that is due, until Close is called.
func (a *Agent) watchTarget() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.closed:
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		now := a.clock.now()
		a.checkPause(now)
		a.ended.lastWatch = now
		a.probeIfSuspect(now)
		a.mu.Unlock()
	}
}

// checkPause discards the first proof if this process was paused: the time until the second one is for packets of the
// target that contradict the first, and these may not have been read yet. If the VM was suspended, the ages of its flows
// are unknown as well. a.mu must be held.
func (a *Agent) checkPause(now time.Duration) {
	if !a.config.ResetEndedFlows {
		return
	}
	suspended := a.clock.suspended()
	if suspended-a.ended.suspended > maxWatchGap {
		a.ended.suspended = suspended
		a.gate.VoidProofs()
		a.gate.ForgetFlowAges(now)
	}
	if now-a.ended.lastWatch > maxWatchGap {
		a.gate.VoidProofs()
	}
}

// logProofs logs the proofs that the target has lost its flows. a.mu must be held.
func (a *Agent) logProofs() {
	for _, p := range a.gate.TakeProofs() {
		a.config.Log.Info("flow_loss_proof", "target", a.target.String(), "kind", p.Kind.String(), "second", p.Second,
			"flow", p.Flow.String(), "age", p.Age, "quiet", p.Quiet)
	}
}

func (a *Agent) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

// resetEndedFlows begins to reset the flows that the target is known to have lost. It drops the packets of their
// queued requests: no other target can have such a flow, so that a search would be in vain. a.mu must be held.
func (a *Agent) resetEndedFlows(now time.Duration) {
	ended := a.gate.TakeEnded()
	if len(ended) == 0 {
		return
	}
	for i := range ended {
		delete(a.queuedRequests, ended[i].Key)
	}
	r := &a.ended
	if r.event.since == 0 {
		r.event = endedEvent{since: now}
	}
	r.pending = targetgate.MergeEnded(r.pending, ended)
	a.sendResets()
}

// sendResets sends a batch of resets, or schedules it if the last batch was sent less than resetInterval ago. a.mu must
// be held.
func (a *Agent) sendResets() {
	r := &a.ended
	now := a.clock.now()
	if wait := r.lastBatch + resetInterval - now; wait > 0 {
		a.armResetTimer(wait)
		return
	}
	r.lastBatch = now
	batch := r.pending[:min(resetsPerBatch, len(r.pending))]
	for i := range batch {
		a.sendReset(&batch[i], now)
	}
	a.timerOutboxes.flush()
	r.pending = r.pending[len(batch):]
	if len(r.pending) > 0 {
		a.armResetTimer(resetInterval)
		return
	}
	r.pending = nil
	a.logEndedEvent(now)
}

func (a *Agent) sendReset(e *targetgate.EndedFlow, now time.Duration) {
	event := &a.ended.event
	if a.gate.IsReopened(e.Key, now) {
		event.skipped++
		return
	}
	to := flow.Endpoint{IP: e.Key.Caller.IP, Port: a.config.CallerPort}
	a.timerOutboxes.local.sendCopy(to, platform.AppendReset(nil, e.Key, e.Seq))
	endedFlowResets.Inc()
	event.resets++
	if e.Waiting {
		event.waiting++
	}
}

func (a *Agent) armResetTimer(wait time.Duration) {
	if a.ended.timerArmed {
		return
	}
	a.ended.timerArmed = true
	time.AfterFunc(wait, a.sendPendingResets)
}

func (a *Agent) sendPendingResets() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended.timerArmed = false
	if len(a.ended.pending) > 0 && !a.isClosed() {
		a.sendResets()
	}
}

func (a *Agent) logEndedEvent(now time.Duration) {
	e := &a.ended.event
	a.config.Log.Info("ended_flows_reset", "target", a.target.String(), "cause", endCause, "count", e.resets,
		"waiting", e.waiting, "opened_again", e.skipped, "took", now-e.since)
	*e = endedEvent{}
}

// endCause is why flows have ended, as it appears in logs and metrics.
const endCause = "target_restarted"

var endedFlowResets = metrics.NewCounter(fmt.Sprintf("cowslip_ended_flow_resets_total{cause=%q}", endCause))

package forward

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/targetgate"
)

// overloadStatus is the state of the overload of a target as it is logged.
type overloadStatus struct {
	active  bool
	since   time.Duration
	checked time.Duration
	shed    int // flows that were shed since the last overload ended
}

// countRefusal counts a refused flow. A flow is shed if no other target accepted it and it was not permitted to wait.
func (a *Agent) countRefusal(h *encap.Header, reason encap.Reason) {
	refusedFlows[reason].Inc()
	if !h.MayWait || !a.gate.Sheds() || reason == encap.ReasonSilent || reason == encap.ReasonRefused {
		return
	}
	shedFlows[targetgate.PriorityLevel(h.Priority)].Inc()
	a.overload.shed++
}

// updateOverload counts the requests that the target got and the time in overload, and logs its beginning and end.
func (a *Agent) updateOverload(now time.Duration) {
	started, retries := a.gate.TakeStarted()
	startedRequests.Add(started)
	startedRetries.Add(retries)
	o := &a.overload
	if o.active {
		targetOverloadSeconds.Add((now - o.checked).Seconds())
	}
	o.checked = now
	switch overloaded := a.gate.Overloaded(now); {
	case overloaded && !o.active:
		o.active, o.since = true, now
		a.config.Log.Warn("target_overloaded", "target", a.target.String(), "wait", a.gate.ExpectedWait(now),
			"waiting", a.gate.Waiting(), "load", a.gate.Load(), "slots", a.gate.Slots(), "shed", o.shed)
	case !overloaded && o.active:
		a.config.Log.Info("overload_ended", "target", a.target.String(), "duration", now-o.since, "waiting", a.gate.Waiting(),
			"shed", o.shed)
		o.active, o.shed = false, 0
	}
}

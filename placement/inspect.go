package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
)

// Inputs are the figures from which the cost of a target is computed. Reading them changes nothing.
type Inputs struct {
	InProgress  float64       // moving average of the reported requests in progress
	RecentSent  float64       // flows that this process placed and that the reports may not contain yet
	Waiting     int           // new flows waiting at the target, from the last report
	FailureRate float64       // fraction of recent requests that failed
	ReportedAt  time.Duration // time of the last report; 0: none
	NoFreeSlots bool          // it just refused a flow for lack of slots and is not offered another yet
}

// Inputs returns the figures for the target on the VM.
func (l *LoadTracker) Inputs(ip [4]byte, now time.Duration) Inputs {
	entry := l.byIP[ip]
	if entry == nil {
		return Inputs{}
	}
	return Inputs{
		InProgress: entry.meanInProgress, RecentSent: entry.decayedRecentFlows(now), Waiting: entry.waiting,
		FailureRate: entry.decayedFailureRate(now), ReportedAt: entry.reportedAt,
		NoFreeSlots: entry.noSlotsAt != 0 && now-entry.noSlotsAt < noSlotsBackoff,
	}
}

// CostParts returns the parts of the cost that Choose computes for a target.
func (c *Chooser) CostParts(t *directory.Target, now time.Duration) CostParts {
	var parts CostParts
	c.costParts(t, now, &parts)
	return parts
}

// IsPassedOver reports whether Choose offers no flow to the target, whatever its cost.
func (c *Chooser) IsPassedOver(view *directory.View, t *directory.Target, now time.Duration) bool {
	return !Eligible(view, t) || c.Loads.inBackoff(t.Address.IP, now)
}

// Peek returns the result of Assess without recording that it was asked for, and without changing later results.
func (o *OverloadTracker) Peek(class Class, now time.Duration) Overload {
	if class.Objective <= 0 || !o.HeardRecently(now) {
		return Overload{Class: class}
	}
	state := classState{Overload: Overload{Class: class}}
	if known := o.classes[class]; known != nil {
		state = *known
	}
	o.evaluate(&state, now)
	return state.Overload
}

// ReportedWait returns the wait of the last report of the target on the VM. It is false without a recent report.
func (o *OverloadTracker) ReportedWait(ip [4]byte, now time.Duration) (time.Duration, bool) {
	s := o.byIP[ip]
	if !s.isReportedSince(now - statementLifetime) {
		return 0, false
	}
	return s.wait, true
}

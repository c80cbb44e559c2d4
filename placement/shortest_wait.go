package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
)

const (
	// costShare weighs the cost of a target against its reported wait as a share of the objective. The wait includes the
	// speed of the target, which the cost does not; the cost includes the flows placed since the report. With a work of
	// a twentieth to a tenth of the objective, one flow per slot changes both by about the same amount.
	costShare = 0.1
	// unknownWaitShare is assumed of targets without a recent report.
	unknownWaitShare = 1.0
)

// ShortestWait returns the target to which a new flow of a full service is offered with the permission to wait,
// or nil if none is left. It considers the first few candidates in the flow's order of preference that were not tried
// and may have room, as far as is known, or the first few in any state if there are none. Considering few keeps
// processes with outdated reports from all choosing the same target.
func (c *Chooser) ShortestWait(view *directory.View, class Class, hash uint64, tried []uint64, overload *OverloadTracker, now time.Duration) *directory.Target {
	var withRoom, other shortest
	for _, t := range c.ranker.RankTop(view.Targets(class.Service), c.LocalDomain, hash) {
		if !Eligible(view, t) || isTried(tried, t) {
			continue
		}
		cost, _ := c.cost(t, now)
		wait := overload.waitShare(t, &class, now) + costShare*cost
		if c.mayHaveRoom(t, &class, overload, now) {
			withRoom.consider(t, wait)
		} else {
			other.consider(t, wait)
		}
	}
	if withRoom.target != nil {
		return withRoom.target
	}
	return other.target
}

// mayHaveRoom reports whether the target is known to answer and did not say that it is overloaded.
func (c *Chooser) mayHaveRoom(t *directory.Target, class *Class, overload *OverloadTracker, now time.Duration) bool {
	if t.ExpiredAt != 0 || c.Loads.inBackoff(t.Address.IP, now) || c.Loads.Unresponsive(t.Address.IP, now) {
		return false
	}
	s := overload.byIP[t.Address.IP]
	since := now - statementLifetime
	return s.isReportedSince(since) && s.wait <= class.Objective && !s.refused(class, since)
}

// waitShare returns the wait that the target last reported, as a multiple of the objective of the class.
func (o *OverloadTracker) waitShare(t *directory.Target, class *Class, now time.Duration) float64 {
	s := o.byIP[t.Address.IP]
	if !s.isReportedSince(now-statementLifetime) || class.Objective <= 0 {
		return unknownWaitShare
	}
	return float64(s.wait) / float64(class.Objective)
}

// shortest keeps the target with the shortest wait among the first few that it considers.
type shortest struct {
	target     *directory.Target
	wait       float64
	considered int
}

func (s *shortest) consider(t *directory.Target, wait float64) {
	if s.considered >= localCandidates+remoteCandidates {
		return
	}
	s.considered++
	if s.target == nil || wait < s.wait {
		s.target, s.wait = t, wait
	}
}

package placement

import "time"

const (
	// statementLifetime is how long a report or a refusal says something about the overload of a target. Agents report
	// every 200 to 400 ms, so that one lost report leaves a gap.
	statementLifetime = 500 * time.Millisecond
	// maxRefusalAge is how long reports without a short wait can prolong a refusal. A process with few flows for a service
	// is refused less often than twice a second by each target.
	maxRefusalAge = 2 * time.Second
	// maxRefusals limits the refusals that are kept of one target: one for each pair of priority and objective.
	maxRefusals = 3
	// fullShare is the share of the objective at and above which a reported wait shows that the target is full: its queue
	// is so long that it hardly gets a free slot before its next report.
	fullShare = 0.25
	// drainedShare is the share of the objective of a refused flow at and below which a reported wait shows that the
	// target is no longer overloaded. A target that sheds keeps its wait close to the objective.
	drainedShare = 0.5
)

// refusal is a refusal because of overload. It holds for flows of the same or a lower priority whose objective is not
// longer.
type refusal struct {
	at        time.Duration // 0: none
	saidAt    time.Duration // time of the refusal, or of the last report that shows that the target has not drained since
	priority  uint8
	objective time.Duration
}

func (r *refusal) holdsFor(c *Class) bool {
	return c.Priority >= r.priority && c.Objective <= r.objective
}

// statements is what the agent of a target said about its load.
type statements struct {
	reportedAt time.Duration // time of the last report; 0: none
	wait       time.Duration // time that a new request would wait, from the last report
	refusals   [maxRefusals]refusal
}

// refused reports whether the target refuses flows of the class because of overload, as it said at or after the time
// since.
func (s *statements) refused(c *Class, since time.Duration) bool {
	for i := range s.refusals {
		if r := &s.refusals[i]; r.at != 0 && r.saidAt >= since && r.holdsFor(c) {
			return true
		}
	}
	return false
}

// waitSince returns the wait of the last report, or zero if it arrived before the time since.
func (s *statements) waitSince(since time.Duration) time.Duration {
	if !s.isReportedSince(since) {
		return 0
	}
	return s.wait
}

// isReportedSince reports whether the last report arrived at or after the time since. s may be nil.
func (s *statements) isReportedSince(since time.Duration) bool {
	return s != nil && s.reportedAt != 0 && s.reportedAt >= since
}

func isFull(wait, objective time.Duration) bool {
	return float64(wait) >= fullShare*float64(objective)
}

// slotFor returns the place for a refusal: that of the same kind, or the oldest. The loss of another one only delays
// early refusals.
func (s *statements) slotFor(priority uint8, objective time.Duration) *refusal {
	oldest := &s.refusals[0]
	for i := range s.refusals {
		r := &s.refusals[i]
		if r.at != 0 && r.priority == priority && r.objective == objective {
			return r
		}
		if r.at < oldest.at {
			oldest = r
		}
	}
	return oldest
}

// recordWait records the wait of a report. A short one revokes refusals, and a longer one prolongs them: the target has
// had a long queue since then.
func (s *statements) recordWait(wait, now time.Duration) {
	s.reportedAt, s.wait = now, wait
	for i := range s.refusals {
		r := &s.refusals[i]
		switch {
		case float64(wait) <= drainedShare*float64(r.objective):
			*r = refusal{}
		case now-r.at <= maxRefusalAge:
			r.saidAt = now
		}
	}
}

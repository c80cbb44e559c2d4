package placement

import "time"

const (
	// isolationTimeout is how long a process that sends packets to agents may go without any report before it
	// counts as isolated. Agents report every 200 to 400 ms to each process that sends to them.
	isolationTimeout = 600 * time.Millisecond
	// minSilentAgents is how many agents must be silent for that: a single agent may have failed itself.
	minSilentAgents = 2
)

// RecordAgentContact records that a report arrived from the agent of a target in the view.
func (l *LoadTracker) RecordAgentContact(now time.Duration) { l.lastContactAt, l.isolated = now, false }

// Isolated reports whether the process can reach no agent of a target in the view: it sent packets to several
// agents and received no report from such an agent since. The process stays isolated until the next such report.
func (l *LoadTracker) Isolated(now time.Duration) bool {
	l.isolated = l.WouldBeIsolated(now)
	return l.isolated
}

// WouldBeIsolated returns the result of Isolated without recording it.
func (l *LoadTracker) WouldBeIsolated(now time.Duration) bool { return l.isolated || l.isCutOff(now) }

func (l *LoadTracker) isCutOff(now time.Duration) bool {
	if now-l.lastContactAt <= isolationTimeout {
		return false
	}
	silent := 0
	for _, entry := range l.byIP {
		if entry.unansweredSince != 0 && now-entry.unansweredSince > isolationTimeout && entry.sentAt > l.lastContactAt {
			silent++
		}
	}
	return silent >= minSilentAgents
}

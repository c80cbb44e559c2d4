package placement

import "time"

const (
	// isolationLimit is how long no agent at all may be heard of, by a process that sends to some, before the process counts
	// as cut off. Agents report each 200 to 400 ms to those that send to them.
	isolationLimit = 600 * time.Millisecond
	// isolationVMs is how many agents have to be silent for it: a single one may have failed itself.
	isolationVMs = 2
)

// RecordAgentContact notes that the agent of a target in the view was heard of.
func (l *LoadTracker) RecordAgentContact(now time.Duration) { l.heardAt, l.isolated = now, false }

// Isolated reports whether the process reaches no agent of a target in the view: it sent to several, and none has been heard
// of since. That holds until one is.
func (l *LoadTracker) Isolated(now time.Duration) bool {
	l.isolated = l.isolated || l.isCutOff(now)
	return l.isolated
}

func (l *LoadTracker) isCutOff(now time.Duration) bool {
	if now-l.heardAt <= isolationLimit {
		return false
	}
	silent := 0
	for _, held := range l.byIP {
		if held.owed != 0 && now-held.owed > isolationLimit && held.sentAt > l.heardAt {
			silent++
		}
	}
	return silent >= isolationVMs
}

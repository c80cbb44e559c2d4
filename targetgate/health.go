package targetgate

import "time"

// Silent reports whether the target leaves new flows without an answer.
func (g *Gate) Silent(now time.Duration) bool {
	return g.down || (g.owed != 0 && now-g.owed > silenceLimit)
}

// Suspect reports whether the target says so little that it may not run.
func (g *Gate) Suspect(now time.Duration) bool {
	return (g.owed != 0 && now-g.owed > suspectAfter) || (g.owedFor != 0 && now-g.owedFor > suspectWork)
}

// RecordProbe takes over what a probe showed. A target that does not run holds no flow.
func (g *Gate) RecordProbe(runs bool, now time.Duration) {
	g.down = !runs
	if runs {
		g.owed, g.owedFor = 0, 0
		return
	}
	for key, s := range g.busy {
		g.lose(key, s)
	}
	g.dropRequests(now)
	g.owedFor = 0
	g.owed = now
}

// Down reports whether a probe showed that the target does not run, and nothing was heard of it since.
func (g *Gate) Down() bool { return g.down }

// QuietFor reports whether the target was not heard of for the time.
func (g *Gate) QuietFor(limit, now time.Duration) bool { return now-g.heard > limit }

// ExpectReply notes a packet that the target answers at once.
func (g *Gate) ExpectReply(now time.Duration) {
	if g.owed == 0 {
		g.owed = now
	}
}

// hear notes a packet of the target.
func (g *Gate) hear(now time.Duration) {
	g.owed, g.owedFor, g.heard, g.down = 0, 0, now, false
}

package targetgate

import "time"

// Silent reports whether the target leaves packets unanswered that it should answer immediately, such as SYNs, or
// is down.
func (g *Gate) Silent(now time.Duration) bool {
	return g.down || (g.replyDueSince != 0 && now-g.replyDueSince > silentAfter)
}

// Suspect reports whether the target has left packets unanswered for so long that it should be probed.
func (g *Gate) Suspect(now time.Duration) bool {
	return (g.replyDueSince != 0 && now-g.replyDueSince > replySuspectAfter) ||
		(g.responseDueSince != 0 && now-g.responseDueSince > requestSuspectAfter)
}

// RecordProbe records the result of a probe. If the target's port is closed, the target gets no new flows, and its
// requests in progress count as lost. It may still answer them.
func (g *Gate) RecordProbe(running bool, now time.Duration) {
	g.down = !running
	if running {
		g.recordOpenPort()
		g.replyDueSince, g.responseDueSince = 0, 0
		return
	}
	for key, s := range g.inProgress {
		g.endUnanswered(key, s)
	}
	g.dropRequests(now)
	g.responseDueSince = 0
	g.replyDueSince = now
}

// Down reports whether a probe showed that the target's port is closed and the target has sent no packet since. Whether
// it has lost its flows is not known then.
func (g *Gate) Down() bool { return g.down }

// ExpectReply records that the target gets a packet which it should answer immediately.
func (g *Gate) ExpectReply(now time.Duration) {
	if g.replyDueSince == 0 {
		g.replyDueSince = now
	}
}

// recordTargetPacket records that the target has sent a packet, which shows that it runs.
func (g *Gate) recordTargetPacket(now time.Duration) {
	g.replyDueSince, g.responseDueSince, g.lastPacket, g.down = 0, 0, now, false
}

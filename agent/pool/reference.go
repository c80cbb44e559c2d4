package pool

import (
	"slices"
	"time"
)

// ReferenceServiceTime returns the median of the reference service times that the other agents reported for their
// targets. It ignores agents that have been silent for suspectAfter and targets that have not yet run with all their
// slots in use. It returns zero if none is left.
func (p *Pool) ReferenceServiceTime() time.Duration {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var references []uint32
	for _, q := range p.peers {
		if q.load.ReferenceMicros > 0 && now.Sub(q.lastHeartbeat) < suspectAfter {
			references = append(references, q.load.ReferenceMicros)
		}
	}
	if len(references) == 0 {
		return 0
	}
	slices.Sort(references)
	return time.Duration(references[len(references)/2]) * time.Microsecond
}

// Loads returns the last heartbeat of each agent, by VM name, without agents that have been silent for suspectAfter.
func (p *Pool) Loads() map[string]Heartbeat {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]Heartbeat, len(p.peers))
	for name, q := range p.peers {
		if !q.lastHeartbeat.IsZero() && now.Sub(q.lastHeartbeat) < suspectAfter {
			loads[name] = q.load
		}
	}
	return loads
}

package pool

import (
	"slices"
	"time"
)

// ReferenceServiceTime returns the median of the usual service times of the other targets that have borne all their slots, zero when
// there is none.
func (p *Pool) ReferenceServiceTime() time.Duration {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var references []uint32
	for _, q := range p.peers {
		if q.load.ReferenceMicros > 0 && now.Sub(q.heard) < suspectAfter {
			references = append(references, q.load.ReferenceMicros)
		}
	}
	if len(references) == 0 {
		return 0
	}
	slices.Sort(references)
	return time.Duration(references[len(references)/2]) * time.Microsecond
}

// Loads returns the last heartbeat of each agent that is heard, by VM.
func (p *Pool) Loads() map[string]Heartbeat {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]Heartbeat, len(p.peers))
	for name, q := range p.peers {
		if !q.heard.IsZero() && now.Sub(q.heard) < suspectAfter {
			loads[name] = q.load
		}
	}
	return loads
}

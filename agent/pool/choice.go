package pool

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// MeanLoad returns the mean number of requests in progress or queued per agent, over this agent, whose own number is
// given, and the other available agents. The count is the number of agents in the mean, this one included.
func (p *Pool) MeanLoad(own int) (mean float64, count int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, count := own, 1
	for _, q := range p.peers {
		if q.available(now) {
			sum += q.work()
			count++
		}
	}
	return float64(sum) / float64(count), count
}

// available reports whether the agent accepts requests according to a heartbeat that is at most maxLoadAge old.
func (q *peer) available(now time.Time) bool {
	if q.lastHeartbeat.IsZero() || now.Sub(q.lastHeartbeat) > maxLoadAge {
		return false
	}
	return q.load.State == fleet.StateServing || q.load.State == fleet.StateWarming
}

// work returns the load from the last heartbeat plus the requests handed off to the agent since.
func (q *peer) work() int { return q.load.Work() + q.handedOff }

// Pick selects an agent to hand a request off to: the less loaded of two chosen at random. Candidates are in a
// domain that is not out, eligible in the view, available and reachable, have a load below maxLoad and a free
// slot. Pick counts the request as handed off. It returns false if there is no candidate.
func (p *Pool) Pick(maxLoad int) (Peer, bool) {
	view := p.config.Source.View()
	targets, ok := p.targets(view)
	if !ok {
		return Peer{}, false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(targets, maxLoad, now)
	if len(candidates) == 0 {
		return Peer{}, false
	}
	best := candidates[rand.IntN(len(candidates))]
	other := candidates[rand.IntN(len(candidates))]
	if p.peers[other.VM.Name].work() < p.peers[best.VM.Name].work() {
		best = other
	}
	p.peers[best.VM.Name].handedOff++
	return Peer{Name: best.VM.Name, Control: best.VM.Control, Domain: best.Domain}, true
}

func (p *Pool) candidates(targets []fleet.Target, maxLoad int, now time.Time) []*fleet.Target {
	var candidates []*fleet.Target
	for i := range targets {
		target := &targets[i]
		q := p.peers[target.VM.Name]
		if q == nil || !target.Eligible() || !q.available(now) || now.Before(q.backoffUntil) {
			continue
		}
		if q.work() < maxLoad && q.work() < int(q.load.Limit) {
			candidates = append(candidates, target)
		}
	}
	return candidates
}

// MarkUnreachable excludes an agent from Pick for unreachableBackoff, after a failed connection.
func (p *Pool) MarkUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.peers[name]; q != nil {
		q.backoffUntil = time.Now().Add(unreachableBackoff)
	}
}

package pool

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// MeanLoad returns the mean work in progress over this agent, with its own work given, and the agents that were heard
// lately and serve. The count includes this agent.
func (p *Pool) MeanLoad(own int) (mean float64, count int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, count := own, 1
	for _, q := range p.peers {
		if q.serves(now) {
			sum += q.work()
			count++
		}
	}
	return float64(sum) / float64(count), count
}

// serves reports whether the agent was heard lately and takes requests.
func (q *peer) serves(now time.Time) bool {
	if q.heard.IsZero() || now.Sub(q.heard) > freshFor {
		return false
	}
	return q.load.State == fleet.StateServing || q.load.State == fleet.StateWarming
}

// work is the last known load and the requests handed over since.
func (q *peer) work() int { return q.load.Work() + q.handed }

// Pick returns the less loaded of two agents chosen at random among those that may take a request over: in a domain
// that is not out, eligible in the view, heard lately, with a free slot and with less than most work. It counts the
// request as handed over.
func (p *Pool) Pick(most int) (Peer, bool) {
	view := p.config.Source.View()
	targets, ok := p.targets(view)
	if !ok {
		return Peer{}, false
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(targets, most, now)
	if len(candidates) == 0 {
		return Peer{}, false
	}
	best := candidates[rand.IntN(len(candidates))]
	other := candidates[rand.IntN(len(candidates))]
	if p.peers[other.VM.Name].work() < p.peers[best.VM.Name].work() {
		best = other
	}
	p.peers[best.VM.Name].handed++
	return Peer{Name: best.VM.Name, Control: best.VM.Control, Domain: best.Domain}, true
}

func (p *Pool) candidates(targets []fleet.Target, most int, now time.Time) []*fleet.Target {
	var candidates []*fleet.Target
	for i := range targets {
		target := &targets[i]
		q := p.peers[target.VM.Name]
		if q == nil || !target.Eligible() || !q.serves(now) || now.Before(q.avoid) {
			continue
		}
		if q.work() < most && q.work() < int(q.load.Limit) {
			candidates = append(candidates, target)
		}
	}
	return candidates
}

// MarkUnreachable keeps requests from an agent for a second, after it could not be reached.
func (p *Pool) MarkUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.peers[name]; q != nil {
		q.avoid = time.Now().Add(avoidFor)
	}
}

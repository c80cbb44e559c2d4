package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

const (
	// coldOfferMemory is how long after the last offer that marked the target as cold its requests do not count: its
	// offers come from many balancers, and the last seconds of its warm-up may bring few of them.
	coldOfferMemory = time.Second
	// restartSlowness is how long after a restart that was detected the requests do not count, if no offer marks the
	// target as cold.
	restartSlowness = 3 * time.Second
)

// capacityLimit learns the capacity of the target. The zero value is off.
type capacityLimit struct {
	learner   *capacity.Learner // nil: off
	coldUntil time.Duration     // requests that begin before do not count
}

// requestSample is what the learner needs to know about the beginning of a request.
type requestSample struct {
	progress time.Duration // result of Learner.Progress at the beginning
	counts   bool
}

// updateLimit switches learning on or off for the slots of an offer, and records whether the target is cold.
func (g *Gate) updateLimit(o *Offer, now time.Duration) {
	if !g.loadControl.Learns(g.service, g.slots) {
		g.limit = capacityLimit{}
		return
	}
	if g.limit.learner == nil {
		g.limit.learner = capacity.NewLearner()
	}
	if o.ColdRate > 0 {
		g.limit.coldUntil = now + coldOfferMemory
	}
}

// concurrency returns the number of requests that the target may have in progress now: its slots, or fewer if it was
// learned that it handles fewer well.
func (g *Gate) concurrency() int {
	if g.limit.learner == nil {
		return g.slots
	}
	return g.limit.learner.Allowed(g.slots)
}

// unstuck returns the number of requests in progress, without those that have been in progress for stuckTimeout.
func (g *Gate) unstuck() int { return len(g.inProgress) - g.stuckRequests }

// sampleStart prepares for learning from a request that begins. The target has it from now on.
func (g *Gate) sampleStart(s *flowState, now time.Duration) {
	l := g.limit.learner
	if l == nil {
		return
	}
	s.sample.progress = l.Progress(g.unstuck(), now)
	restarted := g.restartedAt != 0 && now-g.restartedAt < restartSlowness
	s.sample.counts = now >= g.limit.coldUntil && !restarted && len(g.inProgress) <= g.slots
	l.RecordStart(g.unstuck(), g.slots)
}

// sampleMore takes account of more data of a request in progress: its duration begins anew.
func (g *Gate) sampleMore(s *flowState, now time.Duration) {
	if l := g.limit.learner; l != nil {
		s.sample.progress = l.Progress(g.unstuck(), now)
	}
}

// sampleResponse learns from a request at the first byte of its response. Requests that failed do not count, nor do
// those that had no response for stuckTimeout.
func (g *Gate) sampleResponse(key flow.Key, s *flowState, failed bool, now time.Duration) {
	l := g.limit.learner
	if l == nil {
		return
	}
	progress := l.Progress(g.unstuck(), now)
	if !s.sample.counts || failed || s.response.counted || s.response.duration <= 0 {
		return
	}
	s.sample.counts = false
	l.Record(&capacity.Request{
		RouteTag:   capacity.RouteTag(key.Service),
		Duration:   s.response.duration,
		InProgress: float64(progress-s.sample.progress) / float64(s.response.duration),
		Slots:      g.slots,
	}, now)
}

// Capacity returns what the agent reports of the learned capacity of the target. Successive calls are about its routes
// in turn. It is zero if the capacity is not learned or too little is known.
func (g *Gate) Capacity(now time.Duration) encap.Capacity {
	if g.limit.learner == nil {
		return encap.Capacity{}
	}
	return g.limit.learner.Report(g.slots, now)
}

// Limit returns the number of requests in progress that the target handles well, or 0 if it is unknown.
func (g *Gate) Limit() int {
	if g.limit.learner == nil {
		return 0
	}
	return g.limit.learner.Limit(g.slots)
}

// MeanDuration returns the longest of the mean durations of the requests of a route, or 0 if none is known.
func (g *Gate) MeanDuration(now time.Duration) time.Duration {
	if g.limit.learner == nil {
		return 0
	}
	return g.limit.learner.Duration(now)
}

package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// Phase is what a flow does at the target.
type Phase uint8

// Phases of a flow.
const (
	PhaseIdle    Phase = iota // open, without a request
	PhaseOpening              // accepted, the first request is on its way
	PhaseWorking              // the target works on a request
	PhaseWaiting              // waits for a slot
	PhaseUnsure               // its packets go to the target, which has not shown that it holds it
)

// String returns the phase as operators see it.
func (p Phase) String() string {
	return [...]string{"idle", "opening", "working", "waiting", "unsure"}[p]
}

// FlowStatus is what the gate knows of one flow.
type FlowStatus struct {
	Key   flow.Key
	Phase Phase
	Age   time.Duration // of the request, the offer or the wait; 0 in other phases
}

// Flows returns the flows that wait and those of the target as far as their packets show, up to the limit.
func (g *Gate) Flows(limit int, now time.Duration) []FlowStatus {
	var all []FlowStatus
	for i := range g.waiting.items {
		w := &g.waiting.items[i]
		all = append(all, FlowStatus{Key: w.key, Phase: PhaseWaiting, Age: now - w.came})
	}
	g.flows.Each(func(key flow.Key, s *state) bool {
		all = append(all, s.status(key, now))
		return len(all) < limit
	})
	return all[:min(limit, len(all))]
}

func (s *state) status(key flow.Key, now time.Duration) FlowStatus {
	status := FlowStatus{Key: key}
	switch {
	case s.phase == requestWork:
		status.Phase, status.Age = PhaseWorking, now-s.since
	case s.phase == requestQueued:
		status.Phase, status.Age = PhaseWaiting, now-s.since
	case s.phase == requestOpening:
		status.Phase, status.Age = PhaseOpening, now-s.since
	case !s.known:
		status.Phase = PhaseUnsure
	}
	return status
}

// TakeLost returns how many requests ended without an answer since the last call.
func (g *Gate) TakeLost() int {
	lost := g.lost
	g.lost = 0
	return lost
}

package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// Phase is the state of a flow as operators see it.
type Phase uint8

// Phases of a flow.
const (
	PhaseIdle    Phase = iota // open, without a request
	PhaseOpening              // accepted, the first request has not arrived
	PhaseWorking              // a request is in progress
	PhaseWaiting              // the flow or its request waits for a slot
	PhaseUnsure               // packets go to the target, but it has not proved that it owns the flow
)

// String returns the phase as operators see it.
func (p Phase) String() string {
	return [...]string{"idle", "opening", "working", "waiting", "unsure"}[p]
}

// FlowStatus is the status of one flow.
type FlowStatus struct {
	Key   flow.Key
	Phase Phase
	Age   time.Duration // since the request, the offer or the wait began; 0 in other phases
}

// Flows returns the flows that wait and those in the flow table, up to the limit.
func (g *Gate) Flows(limit int, now time.Duration) []FlowStatus {
	var all []FlowStatus
	for i := range g.flowQueue.items {
		w := &g.flowQueue.items[i]
		all = append(all, FlowStatus{Key: w.key, Phase: PhaseWaiting, Age: now - w.arrived})
	}
	g.flows.Each(func(key flow.Key, s *flowState) bool {
		all = append(all, s.status(key, now))
		return len(all) < limit
	})
	return all[:min(limit, len(all))]
}

func (s *flowState) status(key flow.Key, now time.Duration) FlowStatus {
	status := FlowStatus{Key: key}
	switch {
	case s.phase == requestInProgress:
		status.Phase, status.Age = PhaseWorking, now-s.since
	case s.phase == requestQueued:
		status.Phase, status.Age = PhaseWaiting, now-s.since
	case s.phase == requestOpening:
		status.Phase, status.Age = PhaseOpening, now-s.since
	case !s.confirmed:
		status.Phase = PhaseUnsure
	}
	return status
}

// TakeLost returns the number of requests that ended without a response since the last call.
func (g *Gate) TakeLost() int {
	lost := g.lostRequests
	g.lostRequests = 0
	return lost
}

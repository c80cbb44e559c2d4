package agent

import (
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// phase is a stage in the lifecycle of an agent.
type phase uint8

const (
	phaseStarting phase = iota // no rules yet, or the target is unreachable
	phaseServing
	phaseDraining  // by rule, by the VM list or by a shutdown
	phaseDomainOut // a rule takes the failure domain out of service
	phaseStopped
)

// Parameters of the weight for new flows.
const (
	// rampPeriod is how long the weight takes to reach its full value after a start, a drain or the return of
	// the failure domain.
	rampPeriod = 5 * time.Second
	// weightStep is the smallest change of the weight that is published, since each change causes control
	// traffic.
	weightStep = fleet.WeightFull / 4
	// minWeight gives a cold target the few requests that are needed to find out its capacity.
	minWeight = fleet.WeightFull / 10
	// minWeightPeriod is the minimum time between two changes of the weight alone.
	minWeightPeriod = time.Second
)

// conditions are the inputs that determine the phase and the weight.
type conditions struct {
	domainOut  bool // a rule takes the failure domain out of service
	drained    bool // by rule or by the VM list
	hasService bool
	reachable  bool // the target accepts connections
	healthy    bool // as reported by the target
	limit      int
	slots      int
}

// lifecycle owns the phase of an agent and the state and weight that it publishes.
type lifecycle struct {
	mu              sync.Mutex
	phase           phase
	stopping        bool
	rampStart       time.Time
	publishedState  fleet.State
	publishedWeight uint16
	publishedAt     time.Time
}

func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

func (l *lifecycle) state() fleet.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.publishedState
}

func (l *lifecycle) weight() uint16 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.publishedWeight
}

// beginStop makes the agent drain permanently.
func (l *lifecycle) beginStop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// markStopped sets the phase and the published state to stopped.
func (l *lifecycle) markStopped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phaseStopped
	l.publishedState, l.publishedWeight = fleet.StateStopped, 0
}

// update applies the conditions. It returns the phases before and after, and whether a new state or weight must
// be published.
func (l *lifecycle) update(c conditions, now time.Time) (from, to phase, publish bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = l.phase
	l.phase = l.nextPhase(c)
	if l.phase == phaseServing && from != phaseServing {
		l.rampStart = now
	}
	state, weight := l.stateAndWeight(c, now)
	changed := state != l.publishedState || weight != l.publishedWeight && now.Sub(l.publishedAt) >= minWeightPeriod
	if !changed {
		return from, l.phase, false
	}
	l.publishedState, l.publishedWeight, l.publishedAt = state, weight, now
	return from, l.phase, true
}

func (l *lifecycle) nextPhase(c conditions) phase {
	switch {
	case l.phase == phaseStopped:
		return phaseStopped
	case c.domainOut:
		return phaseDomainOut
	case l.stopping || c.drained:
		return phaseDraining
	case !c.hasService || !c.reachable:
		return phaseStarting
	default:
		return phaseServing
	}
}

// stateAndWeight returns the state and the weight to publish.
func (l *lifecycle) stateAndWeight(c conditions, now time.Time) (fleet.State, uint16) {
	switch l.phase {
	case phaseStarting:
		return fleet.StateStarting, 0
	case phaseDraining, phaseDomainOut:
		return fleet.StateDraining, 0
	case phaseStopped:
		return fleet.StateStopped, 0
	}
	state := fleet.StateServing
	ramp := min(1, float64(now.Sub(l.rampStart))/float64(rampPeriod))
	if ramp < 1 {
		state = fleet.StateWarming
	}
	return state, weightFor(ramp, c)
}

// weightFor returns the weight, in whole steps. The admission limit indicates the capacity of the target; an
// unhealthy report from the target at most halves the weight.
func weightFor(ramp float64, c conditions) uint16 {
	share := ramp
	if c.slots > 0 {
		share = min(share, float64(c.limit)/float64(c.slots))
	}
	if !c.healthy {
		share /= 2
	}
	steps := uint16(share * fleet.WeightFull / weightStep)
	return max(minWeight, steps*weightStep)
}

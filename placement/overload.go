package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
)

const (
	// overloadedNumerator and overloadedDenominator are the share of the eligible targets of a service that have to say
	// that they are overloaded. The others may have room that this process does not know of.
	overloadedNumerator, overloadedDenominator = 3, 4
	// A service is evaluated again after evaluationInterval plus evaluationTimePerTarget for each of its targets, so
	// that the time for evaluations depends neither on the number of packets nor on that of targets.
	evaluationInterval      = 20 * time.Millisecond
	evaluationTimePerTarget = 5 * time.Microsecond
	maxEvaluationInterval   = 60 * time.Millisecond
	// classLifetime is how long the state of a class is kept without being used.
	classLifetime = 10 * time.Second
)

// Class is a set of new flows that are treated alike by admission: those to one service with the same priority and
// latency objective. An objective of 0 means that the flows have none.
type Class struct {
	Service   string
	Priority  uint8 // 0 is the highest
	Objective time.Duration
}

// classState is the state of a class, as evaluated at evaluatedAt.
type classState struct {
	Overload
	usedAt         time.Duration // time of the last call that asked about the class
	evaluatedAt    time.Duration // 0: never
	overloadedFrom time.Duration // since when enough targets say that they are overloaded; 0: they do not
}

// Overload is how far a service is overloaded for the flows of a class, as far as this process knows.
type Overload struct {
	Class
	Eligible   int           // targets that may get new flows
	Full       int           // those that said recently that they have no free slots and a queue
	Said       int           // those that said recently that they are overloaded
	IsFull     bool          // enough of them are full, so that offers of flows that may not wait are in vain
	Overloaded bool          // enough of them said so, and for long enough
	Since      time.Duration // of Overloaded: when it was found
}

// OverloadTracker keeps what targets say about their overload, and the resulting state of services. All times are
// monotonic. It is not safe for concurrent use.
type OverloadTracker struct {
	view    *directory.View
	byIP    map[[4]byte]*statements
	classes map[Class]*classState
	// saidAt is the time of the last statement of any target that it is full or overloaded. Without a recent one, nothing
	// is evaluated.
	saidAt time.Duration
	routes routeBounds
}

// routeBounds contains what is needed of the routes of a configuration. It is computed when it is first needed after a
// change.
type routeBounds struct {
	config            *directory.Config
	lowestPriority    map[string]uint8 // of the routes to each service, that is, the highest number
	shortestObjective time.Duration    // of all routes that have one
}

// NewOverloadTracker returns a tracker that knows nothing, so that no service counts as overloaded.
func NewOverloadTracker(view *directory.View) *OverloadTracker {
	return &OverloadTracker{view: view, byIP: make(map[[4]byte]*statements), classes: make(map[Class]*classState)}
}

// SetView replaces the view and removes the targets that it does not have and the classes that are not used.
func (o *OverloadTracker) SetView(view *directory.View, now time.Duration) {
	o.view = view
	for ip := range o.byIP {
		if view.TargetByIP(ip) == nil {
			delete(o.byIP, ip)
		}
	}
	for class, state := range o.classes {
		if now-state.usedAt > classLifetime {
			delete(o.classes, class)
		}
	}
}

// statementsOf returns what the target on the VM said, or nil if the view has no target there.
func (o *OverloadTracker) statementsOf(ip [4]byte) *statements {
	if s := o.byIP[ip]; s != nil {
		return s
	}
	if o.view.TargetByIP(ip) == nil {
		return nil
	}
	created := &statements{}
	o.byIP[ip] = created
	return created
}

// RecordReport records the wait code of a report of the agent on the VM. A short wait revokes earlier refusals. Agents
// of versions without wait codes report zero, and send no refusals that it could revoke.
func (o *OverloadTracker) RecordReport(ip [4]byte, waitCode uint8, now time.Duration) {
	s := o.statementsOf(ip)
	if s == nil {
		return
	}
	s.recordWait(encap.Wait(waitCode), now)
	if s.wait > 0 && isFull(s.wait, o.routeBounds().shortestObjective) {
		o.saidAt = now
	}
}

// RecordRefusal records that the target on the VM refused a flow of the class because of overload.
func (o *OverloadTracker) RecordRefusal(ip [4]byte, class Class, now time.Duration) {
	s := o.statementsOf(ip)
	if s == nil || class.Objective <= 0 {
		return
	}
	*s.slotFor(class.Priority, class.Objective) = refusal{at: now, saidAt: now, priority: class.Priority, objective: class.Objective}
	o.saidAt = now
}

// HeardRecently reports whether any target said within statementLifetime that it is full or overloaded.
func (o *OverloadTracker) HeardRecently(now time.Duration) bool {
	return o.saidAt != 0 && now-o.saidAt <= statementLifetime
}

// Assess returns how far the service of the class is overloaded for its flows. It is overloaded if at least three
// quarters of the eligible targets refused flows because of overload within statementLifetime or, for longer than the
// objective, reported waits that exceed it.
func (o *OverloadTracker) Assess(class Class, now time.Duration) Overload {
	if class.Objective <= 0 || !o.HeardRecently(now) {
		return Overload{Class: class}
	}
	state := o.classes[class]
	if state == nil {
		state = &classState{Overload: Overload{Class: class}}
		o.classes[class] = state
	}
	state.usedAt = now
	o.evaluate(state, now)
	return state.Overload
}

// AppendOverloaded appends the state of the overloaded classes to dst, in no particular order.
func (o *OverloadTracker) AppendOverloaded(dst []Overload, now time.Duration) []Overload {
	for _, state := range o.classes {
		if now-state.usedAt > classLifetime {
			continue
		}
		if o.evaluate(state, now); state.Overloaded {
			dst = append(dst, state.Overload)
		}
	}
	return dst
}

// evaluate updates the state of a class, unless it was evaluated recently.
func (o *OverloadTracker) evaluate(state *classState, now time.Duration) {
	interval := min(evaluationInterval+time.Duration(state.Eligible)*evaluationTimePerTarget, maxEvaluationInterval)
	if state.evaluatedAt != 0 && now-state.evaluatedAt < interval {
		return
	}
	if now-state.evaluatedAt > statementLifetime {
		state.overloadedFrom = 0 // it may have ended in the meantime
	}
	refused := o.count(state, now-statementLifetime+interval)
	state.evaluatedAt = now
	state.IsFull = isMost(state.Full, state.Eligible)
	switch {
	case !isMost(state.Said, state.Eligible):
		state.overloadedFrom = 0
	case state.overloadedFrom == 0:
		state.overloadedFrom = now
	}
	// Agents refuse because of overload only after it lasted for the objective. Long waits have to last as long.
	lasting := state.overloadedFrom != 0 && now-state.overloadedFrom > state.Objective
	was := state.Overloaded
	state.Overloaded = isMost(refused, state.Eligible) || lasting
	if state.Overloaded && !was {
		state.Since = now
	}
}

func isMost(said, eligible int) bool {
	return eligible > 0 && said*overloadedDenominator >= eligible*overloadedNumerator
}

// count counts the eligible targets of a class, and those of them that said at or after the time since that they are
// full or overloaded. It returns how many refused flows because of overload.
func (o *OverloadTracker) count(state *classState, since time.Duration) (refused int) {
	state.Eligible, state.Full, state.Said = 0, 0, 0
	// Reports do not tell whose requests wait: they count only for routes of the lowest priority, because requests of a
	// higher one do not wait behind them.
	reportsCount := state.Priority >= o.routeBounds().lowestPriority[state.Service]
	for _, t := range o.view.Targets(state.Service) {
		if !Eligible(o.view, t) {
			continue
		}
		state.Eligible++
		s := o.byIP[t.Address.IP]
		if s == nil {
			continue
		}
		wait := s.waitSince(since)
		isRefusing := s.refused(&state.Class, since)
		if isRefusing {
			refused++
		}
		if isRefusing || isFull(wait, state.Objective) {
			state.Full++
		}
		if isRefusing || (reportsCount && wait > state.Objective) {
			state.Said++
		}
	}
	return refused
}

// routeBounds returns the bounds of the routes of the configuration in force.
func (o *OverloadTracker) routeBounds() *routeBounds {
	if config := o.view.Config; config != nil && config != o.routes.config {
		o.routes = newRouteBounds(config)
	}
	return &o.routes
}

func newRouteBounds(config *directory.Config) routeBounds {
	b := routeBounds{config: config, lowestPriority: make(map[string]uint8)}
	for i := range config.Routes {
		r := &config.Routes[i]
		if r.Objective > 0 && (b.shortestObjective == 0 || r.Objective < b.shortestObjective) {
			b.shortestObjective = r.Objective
		}
		for _, choice := range r.Choices {
			b.lowestPriority[choice.Service] = max(b.lowestPriority[choice.Service], encap.Clamp8(r.Priority))
		}
	}
	return b
}

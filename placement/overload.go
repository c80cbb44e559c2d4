package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
)

const (
	// statementLifetime is how long a report or a refusal says something about the overload of a target. Agents report
	// every 200 to 400 ms, so that one lost report leaves a gap.
	statementLifetime = 500 * time.Millisecond
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
	// maxRefusals limits the refusals that are kept of one target: one for each pair of priority and objective.
	maxRefusals = 3
	// drainedShare is the share of the objective of a refused flow at and below which a reported wait shows that the
	// target is no longer overloaded. A target that sheds keeps its wait close to the objective.
	drainedShare = 0.5
)

// Class is a set of new flows that are treated alike by admission: those to one service with the same priority and
// latency objective. An objective of 0 means that the flows have none.
type Class struct {
	Service   string
	Priority  uint8 // 0 is the highest
	Objective time.Duration
}

// refusal is a refusal because of overload. It holds for flows of the same or a lower priority whose objective is not
// longer.
type refusal struct {
	at        time.Duration // 0: none
	priority  uint8
	objective time.Duration
}

func (r *refusal) holdsFor(c *Class) bool {
	return c.Priority >= r.priority && c.Objective <= r.objective
}

// statements is what the agent of a target said about its load.
type statements struct {
	reportedAt time.Duration // time of the last report; 0: none
	wait       time.Duration // time that a new request would wait, from the last report
	refusals   [maxRefusals]refusal
}

// refused reports whether the target refused a flow because of overload at or after the time since, in a way that
// holds for the class.
func (s *statements) refused(c *Class, since time.Duration) bool {
	for i := range s.refusals {
		if r := &s.refusals[i]; r.at != 0 && r.at >= since && r.holdsFor(c) {
			return true
		}
	}
	return false
}

// reportsLongWait reports whether the last report, if it arrived at or after the time since, has a longer wait than
// the objective.
func (s *statements) reportsLongWait(objective, since time.Duration) bool {
	return s.reportedAt != 0 && s.reportedAt >= since && s.wait > objective
}

// slotFor returns the place for a refusal: that of the same kind, or the oldest. The loss of another one only delays
// early refusals.
func (s *statements) slotFor(priority uint8, objective time.Duration) *refusal {
	oldest := &s.refusals[0]
	for i := range s.refusals {
		r := &s.refusals[i]
		if r.at != 0 && r.priority == priority && r.objective == objective {
			return r
		}
		if r.at < oldest.at {
			oldest = r
		}
	}
	return oldest
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
	Said       int           // eligible targets that said recently that they are overloaded
	Eligible   int           // targets that may get new flows
	Overloaded bool          // enough of them said so, and for long enough
	Since      time.Duration // of Overloaded: when it was found
}

// OverloadTracker keeps what targets say about their overload, and the resulting state of services. All times are
// monotonic. It is not safe for concurrent use.
type OverloadTracker struct {
	view    *directory.View
	byIP    map[[4]byte]*statements
	classes map[Class]*classState
	// saidAt is the time of the last statement of any target that it is overloaded. Without a recent one, nothing is
	// evaluated.
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
	s.reportedAt, s.wait = now, encap.Wait(waitCode)
	for i := range s.refusals {
		if r := &s.refusals[i]; float64(s.wait) <= drainedShare*float64(r.objective) {
			*r = refusal{}
		}
	}
	if s.wait > o.routeBounds().shortestObjective {
		o.saidAt = now
	}
}

// RecordRefusal records that the target on the VM refused a flow of the class because of overload.
func (o *OverloadTracker) RecordRefusal(ip [4]byte, class Class, now time.Duration) {
	s := o.statementsOf(ip)
	if s == nil || class.Objective <= 0 {
		return
	}
	*s.slotFor(class.Priority, class.Objective) = refusal{at: now, priority: class.Priority, objective: class.Objective}
	o.saidAt = now
}

// IsOverloaded reports whether the service of the class is overloaded for its flows: at least three quarters of the
// eligible targets refused flows because of overload within statementLifetime or, for longer than the objective,
// reported waits that exceed it.
func (o *OverloadTracker) IsOverloaded(class Class, now time.Duration) bool {
	if class.Objective <= 0 || o.saidAt == 0 || now-o.saidAt > statementLifetime {
		return false
	}
	state := o.classes[class]
	if state == nil {
		state = &classState{Overload: Overload{Class: class}}
		o.classes[class] = state
	}
	state.usedAt = now
	o.evaluate(state, now)
	return state.Overloaded
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
// overloaded. It returns how many of these refused flows.
func (o *OverloadTracker) count(state *classState, since time.Duration) (refused int) {
	state.Said, state.Eligible = 0, 0
	// Reports do not tell whose requests wait: they count only for routes of the lowest priority, because requests of a
	// higher one do not wait behind them.
	reportsCount := state.Priority >= o.routeBounds().lowestPriority[state.Service]
	for _, t := range o.view.Targets(state.Service) {
		if !Eligible(o.view, t) {
			continue
		}
		state.Eligible++
		s := o.byIP[t.Address.IP]
		switch {
		case s == nil:
		case s.refused(&state.Class, since):
			refused++
			state.Said++
		case reportsCount && s.reportsLongWait(state.Objective, since):
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

package targetgate

import (
	"cmp"
	"time"

	"github.com/cowslipward/cowslipward/encap"
)

const (
	// waitShare is the share of the slack of a request, its objective less the mean service time, that a new flow may
	// wait. The rest covers service times above the mean and requests that arrive on open flows, which cannot be
	// refused.
	waitShare = 1.0 / 3
	// lateWaitShare is the same for a flow that is too old to be answered in time.
	lateWaitShare = 1.0 / 6
	// recoveredShare is the share of the permitted wait below which an overload has ended. It is well below 1 because
	// the wait varies around the permitted one while flows are refused.
	recoveredShare = 0.25
	// deferredBudgetShare is the share of its caller's time within which a deferred request is served if the target
	// spends deferredShare of its starts on them.
	deferredBudgetShare = 0.5
	// lagWeight is the weight of a new flow in the moving average of the time from its acceptance to its first request.
	lagWeight = 0.1
	// maxRequestLag bounds that time. Longer ones are those of callers that keep a flow for later.
	maxRequestLag = 200 * time.Millisecond
	// startWeight is the weight of a started request in the moving averages of the shares of the priorities.
	startWeight = 0.05
)

// PriorityLevels is the number of levels that priorities are grouped in.
const PriorityLevels = 4

// PriorityLevel returns the level of a priority. Priorities above the range count as the last level.
func PriorityLevel(priority uint8) int { return min(int(priority), PriorityLevels-1) }

// admission is the state of the admission control that sheds overload.
type admission struct {
	enabled        bool
	policy         shedPolicy
	callers        callerShares
	startShares    [PriorityLevels]float64 // of the started requests, by priority; a moving average
	deferredCredit float64                 // starts that are due to deferred requests
	coldRate       float64                 // of the last offer
	requestLag     time.Duration           // from the acceptance of a flow to its first request; a moving average
	slotFree       []time.Duration         // scratch space of slotTimes
	started        int                     // requests that the target got since the last call of TakeStarted
	retries        int                     // retries among them
}

// shedPolicy holds the parameters by which the alternatives of the design note differ.
type shedPolicy struct {
	waitShare     float64
	lateWaitShare float64
	deferredShare float64
	urgentShare   float64
	budgetShare   float64
	lateAlike     bool                        // late requests are not deferred
	retriesAlike  bool                        // retries are not deferred
	before        func(w, other *waiter) bool // order of requests of one priority that are not deferred
}

func defaultShedPolicy() shedPolicy {
	return shedPolicy{
		waitShare: waitShare, lateWaitShare: lateWaitShare, deferredShare: deferredShare,
		urgentShare: urgentShare, budgetShare: deferredBudgetShare, before: dueBefore,
	}
}

func newAdmission() *admission {
	return &admission{policy: defaultShedPolicy(), callers: newCallerShares()}
}

// nextRequest returns the index of the queued request to serve next.
func (g *Gate) nextRequest(now time.Duration) int {
	if g.admission.enabled {
		return g.admission.next(g.requestQueue.items, g.concurrency(), g.serviceTime, now)
	}
	return g.requestQueue.best(now, g.serviceTime)
}

// setSlots records the slots of the target, which determine whether it is under load control.
func (g *Gate) setSlots(slots int) {
	if slots != g.slots {
		g.slots = slots
		g.updateShedding()
	}
}

func (g *Gate) updateShedding() {
	g.admission.enabled = !g.recovery.active && g.loadControl.Sheds(g.service, g.slots)
}

// Sheds reports whether flows that could not be answered in time are refused.
func (g *Gate) Sheds() bool { return g.admission.enabled }

// decide is Offer with shedding. The reason is why the target cannot get the flow at once.
func (g *Gate) decide(o *Offer, reason encap.Reason, now time.Duration) (Verdict, encap.Reason) {
	g.admission.coldRate = o.ColdRate
	r := g.routeFor(o.Key.Service)
	switch reason {
	case encap.ReasonNone:
		if g.Load() < g.concurrency() && o.ColdRate == 0 {
			r.overload.since = 0
		}
		g.accept(o, now)
		return Accept, reason
	case encap.ReasonSilent, encap.ReasonRefused:
		return Refuse, reason
	}
	if g.flowQueue.has(o.Key) {
		return Wait, reason // it gets its turn, as was estimated for an earlier SYN
	}
	estimate := g.estimateWait(o.Priority, o.objectiveEnd(now), now)
	cold := reason == encap.ReasonCold || !g.belowColdRate(o.ColdRate)
	if cold {
		estimate.extend(g.coldDelay(o.ColdRate, now))
	}
	accepted, overloaded := g.isAcceptable(o, r, &estimate)
	recovered := o.ColdRate == 0 && estimate.fresh < g.permittedWait(o.objective(), recoveredShare)
	r.overload.update(overloaded, recovered, o.objective(), now)
	switch {
	case !accepted && r.overload.duration(now) > o.objective():
		return Refuse, encap.ReasonOverloaded
	case !accepted || !o.Last:
		return Refuse, reason
	case cold:
		next := o.waiter(now)
		g.flowQueue.put(&next)
		return Wait, reason
	default:
		g.accept(o, now) // its request waits
		return Accept, reason
	}
}

// isRepeatedOffer reports whether the SYN repeats one that the target got and that opened no flow yet: its SYN+ACK may
// have been lost or be on its way.
func (g *Gate) isRepeatedOffer(o *Offer, now time.Duration) bool {
	s, found := g.flows.Get(o.Key, now)
	return found && o.Retransmission > 0 && s.synSentAt != 0
}

// objective returns the time within which the flow's request has to be answered. Without an objective, that is the
// time for which callers wait for a connection.
func (o *Offer) objective() time.Duration { return cmp.Or(o.LatencyObjective, connectTimeout) }

func (o *Offer) objectiveEnd(now time.Duration) time.Duration { return now - o.age() + o.objective() }

// permittedWait returns a share of the longest time that a new request may wait for a slot. The share applies to the
// policy's share of the slack. The time that its first request takes to arrive is permitted in any case: while a flow
// opens, its request does not wait yet, and slots would be idle.
func (g *Gate) permittedWait(objective time.Duration, share float64) time.Duration {
	lag := g.admission.requestLag
	slack := max(0, objective-g.serviceTime-lag)
	return lag + time.Duration(share*g.admission.policy.waitShare*float64(slack))
}

// isAcceptable reports whether a flow that has to wait may do so, and whether the target is overloaded: it could not
// answer a new flow of the same caller in time either.
func (g *Gate) isAcceptable(o *Offer, r *route, w *waitEstimate) (accepted, overloaded bool) {
	objective := o.objective()
	fair := 1.0
	if r.overload.since != 0 {
		fair = g.admission.callers.fairness(o.Key.Caller.IP, o.Priority)
	}
	switch {
	case w.deferred > g.maxDeferred(r), w.fresh > g.permittedWait(objective, fair):
		return false, true
	case o.age()+g.admission.requestLag+g.serviceTime > objective: // late
		limit := g.permittedWait(objective, g.admission.policy.lateWaitShare*fair/g.admission.policy.waitShare)
		return w.all <= limit, false
	default:
		return o.age()+max(w.own, g.admission.requestLag)+g.serviceTime <= objective, false
	}
}

// maxDeferred returns the number of deferred requests up to which new flows are accepted. The target serves these in
// time for their callers, even if it spends only deferredShare of its starts on them.
func (g *Gate) maxDeferred(r *route) int {
	budget := maxQueueDelay
	if r.budget.votes >= confidentVotes {
		budget = r.budget.value
	}
	share := g.admission.policy.deferredShare * g.admission.policy.budgetShare
	return max(1, int(share*float64(budget)*float64(g.concurrency())/float64(max(g.serviceTime, time.Microsecond))))
}

// recordArrival records the time from the acceptance of a flow to its first request.
func (a *admission) recordArrival(lag time.Duration) {
	a.requestLag += time.Duration(lagWeight * float64(min(lag, maxRequestLag)-a.requestLag))
}

// openingTimeout returns how long an accepted flow counts towards the load while its first request has not arrived.
func (a *admission) openingTimeout() time.Duration {
	if !a.enabled {
		return firstRequestTimeout
	}
	return max(firstRequestTimeout, 2*a.requestLag)
}

// countStart counts a request that the target gets.
func (a *admission) countStart(w *waiter) {
	a.started++
	if w.isRetry() {
		a.retries++
	}
	level := PriorityLevel(w.class.priority)
	for i := range a.startShares {
		started := 0.0
		if i == level {
			started = 1
		}
		a.startShares[i] += startWeight * (started - a.startShares[i])
	}
}

// TakeStarted returns the number of requests that the target got since the last call, and the number of retries among
// them.
func (g *Gate) TakeStarted() (started, retries int) {
	a := g.admission
	started, retries = a.started, a.retries
	a.started, a.retries = 0, 0
	return started, retries
}

package placement

import (
	"math"
	"time"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/internal/decay"
)

const (
	// remotePenalty is added to the cost of a target in another failure domain, as a fraction of its slots, because
	// traffic between failure domains is expensive.
	remotePenalty = 0.3
	// expiredPenalty and unresponsivePenalty rank targets that may no longer exist behind all others.
	expiredPenalty      = 4.0
	unresponsivePenalty = 8.0
	// reportPeriod is the interval after which a report has its full weight in the moving average, and
	// reportWeight is that weight. The average follows slowly because requests are shorter than the interval
	// between reports: if balancers used the latest report directly, they would all overload the same target
	// until the next report.
	reportPeriod = 200 * time.Millisecond
	reportWeight = 0.1
	// recentFlowDecay is the time constant with which flows placed by this process decay in its load estimate.
	recentFlowDecay = 60 * time.Millisecond
	// silenceTimeout is how long an agent that is sent packets may go without reporting before its target counts as
	// unresponsive.
	silenceTimeout = 700 * time.Millisecond
	// noSlotsBackoff is how long a target that refused a new flow for lack of slots is not offered another.
	noSlotsBackoff = 30 * time.Millisecond
	// refusalBackoff is how long a target that refused a new flow for another reason is not offered another. Such
	// a target accepts no new flows and is therefore idle, so every new flow would be offered to it first.
	refusalBackoff = 250 * time.Millisecond
	// refusalPenalty ranks such a target last when a flow has to wait.
	refusalPenalty = 4.0
	// FailureRateThreshold is the fraction of failed requests at and above which a target is avoided.
	// failureRatePenalty is multiplied by that fraction: at a failure rate of one third, the penalty equals the
	// cost of all slots being busy, so the target gets only flows for which the others have no free slots.
	FailureRateThreshold = 0.1
	failureRatePenalty   = 3.0
)

// load is the load estimate of one target.
type load struct {
	meanInProgress  float64 // moving average of the reported requests in progress
	waiting         int     // new flows waiting at the target, from the last report
	recentSent      float64 // new flows sent recently by this process, decayed as of recentSentAt
	recentSentAt    time.Duration
	reportedAt      time.Duration
	targetSilent    bool             // the agent reported that the target does not answer
	noSlotsAt       time.Duration    // time of the last refusal for lack of slots; 0: never
	refusedAt       time.Duration    // time of the last refusal for another reason; 0: never
	failureRate     decay.Value      // fraction of recent requests that failed
	sentAt          time.Duration    // time of the last packet sent to the VM
	unansweredSince time.Duration    // time of the first packet sent since the last report; 0: none
	learned         *capacity.Target // nil: flows are placed by the slots alone
}

// LoadTracker estimates the load of targets from the reports of their agents and from the flows that this process
// placed. All times are monotonic. It is not safe for concurrent use.
type LoadTracker struct {
	byIP          map[[4]byte]*load
	lastContactAt time.Duration // time of the last report from the agent of a target in the view
	isolated      bool          // no such report has arrived since isolation was detected
}

// NewLoadTracker returns a tracker without any load data.
func NewLoadTracker() *LoadTracker { return &LoadTracker{byIP: make(map[[4]byte]*load)} }

// loadOf returns the load of the target on the VM, and creates it if necessary.
func (l *LoadTracker) loadOf(ip [4]byte) *load {
	if entry := l.byIP[ip]; entry != nil {
		return entry
	}
	created := &load{}
	l.byIP[ip] = created
	return created
}

// RecordReport updates the load of the target on the VM from a report of its agent: the requests in progress, the new
// flows waiting, and whether the target does not answer the agent.
func (l *LoadTracker) RecordReport(ip [4]byte, inProgress, waiting int, targetSilent bool, now time.Duration) {
	entry := l.loadOf(ip)
	if entry.reportedAt == 0 {
		entry.meanInProgress = float64(inProgress)
	} else {
		weight := min(1, float64(now-entry.reportedAt)/float64(reportPeriod))
		entry.meanInProgress += reportWeight * weight * (float64(inProgress) - entry.meanInProgress)
	}
	entry.waiting, entry.reportedAt = waiting, now
	entry.targetSilent, entry.unansweredSince = targetSilent, 0
}

// RecordFailureRate records the fraction of the target's recent requests that failed, from 0 to 1, as reported by its
// agent.
func (l *LoadTracker) RecordFailureRate(ip [4]byte, rate float64, now time.Duration) {
	l.loadOf(ip).failureRate.Set(rate, now)
}

// FailureRate returns the fraction of the target's recent requests that failed, from 0 to 1. The reported value
// decays with a half-life of encap.FailedShareHalfLife; without a report it is 0.
func (l *LoadTracker) FailureRate(ip [4]byte, now time.Duration) float64 {
	entry := l.byIP[ip]
	if entry == nil {
		return 0
	}
	return entry.decayedFailureRate(now)
}

func (l *load) decayedFailureRate(now time.Duration) float64 {
	return l.failureRate.At(now, encap.FailedShareHalfLife)
}

// RecentlyRefused reports whether the target on the VM recently refused a new flow for a reason other than a lack of
// slots.
func (l *LoadTracker) RecentlyRefused(ip [4]byte, now time.Duration) bool {
	entry := l.byIP[ip]
	return entry != nil && entry.recentlyRefused(now)
}

// RecordSent records that a packet was sent to the VM. newFlow is set if the packet opens a flow.
func (l *LoadTracker) RecordSent(ip [4]byte, newFlow bool, now time.Duration) {
	entry := l.loadOf(ip)
	entry.sentAt = now
	if entry.unansweredSince == 0 {
		entry.unansweredSince = now
	}
	if newFlow {
		entry.recentSent = entry.decayedRecentFlows(now) + 1
		entry.recentSentAt = now
	}
}

// decayedRecentFlows estimates, from their age, how many of the flows sent by this process are still in progress.
func (l *load) decayedRecentFlows(now time.Duration) float64 {
	return l.recentSent * math.Exp(-float64(now-l.recentSentAt)/float64(recentFlowDecay))
}

// RecordNoFreeSlots records that the target on the VM refused a new flow for lack of slots.
func (l *LoadTracker) RecordNoFreeSlots(ip [4]byte, now time.Duration) { l.loadOf(ip).noSlotsAt = now }

// RecordRefusal records that the target on the VM refused a new flow for a reason that applies to the next one as
// well: it is starting or stopping, or it belongs to another service.
func (l *LoadTracker) RecordRefusal(ip [4]byte, now time.Duration) { l.loadOf(ip).refusedAt = now }

// inBackoff reports whether the target refused a new flow so recently that it is not offered another yet.
func (l *LoadTracker) inBackoff(ip [4]byte, now time.Duration) bool {
	entry := l.byIP[ip]
	if entry == nil {
		return false
	}
	return (entry.noSlotsAt != 0 && now-entry.noSlotsAt < noSlotsBackoff) || entry.recentlyRefused(now)
}

func (l *load) recentlyRefused(now time.Duration) bool {
	return l.refusedAt != 0 && now-l.refusedAt < refusalBackoff
}

// HasRecentReport reports whether a report of the VM's agent arrived within the silence timeout.
func (l *LoadTracker) HasRecentReport(ip [4]byte, now time.Duration) bool {
	entry := l.byIP[ip]
	return entry != nil && entry.reportedAt != 0 && now-entry.reportedAt < silenceTimeout
}

// Prune removes the VMs that have no target in the view.
func (l *LoadTracker) Prune(view *directory.View) {
	for ip := range l.byIP {
		if view.TargetByIP(ip) == nil {
			delete(l.byIP, ip)
		}
	}
}

// Unresponsive reports whether the target on the VM or its agent does not answer.
func (l *LoadTracker) Unresponsive(ip [4]byte, now time.Duration) bool {
	entry := l.byIP[ip]
	return entry != nil && entry.isUnresponsive(now)
}

func (l *load) isUnresponsive(now time.Duration) bool {
	return l.targetSilent || (l.unansweredSince != 0 && now-l.unansweredSince > silenceTimeout)
}

// Eligible reports whether the target may get new flows: it is ready and its failure domain is in service.
func Eligible(view *directory.View, t *directory.Target) bool {
	return t.State == directory.TargetReady && !view.IsDomainOut(t.Domain)
}

// Chooser selects targets for new flows.
type Chooser struct {
	LocalDomain string // failure domain of the process
	Loads       *LoadTracker
	ranker      Ranker
	route       routeOfFlow
}

// Choose returns the target to which a new flow is offered next: the one with the lowest cost among the first few
// candidates in the flow's order of preference. tried holds the keys of the targets that already refused the flow.
// Choose returns nil if all eligible targets were tried or are in backoff after a refusal.
func (c *Chooser) Choose(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target {
	targets := view.Targets(service)
	if t := c.pick(view, c.ranker.RankTop(targets, c.LocalDomain, hash), tried, now); t != nil || len(targets) <= maxTopTargets {
		return t
	}
	return c.pick(view, c.ranker.Rank(targets, c.LocalDomain, hash), tried, now)
}

// pick returns the target with the lowest cost among the first few candidates, or nil if there is none. It goes on to
// further candidates while the load of that target is 1 or more: all its slots are in use, or it has penalties.
func (c *Chooser) pick(view *directory.View, order []*directory.Target, tried []uint64, now time.Duration) *directory.Target {
	var best *directory.Target
	var lowest, lowestLoad float64
	considered := 0
	for _, t := range order {
		if !Eligible(view, t) || isTried(tried, t) || c.Loads.inBackoff(t.Address.IP, now) {
			continue
		}
		cost, load := c.cost(t, now)
		if best == nil || cost < lowest {
			best, lowest, lowestLoad = t, cost, load
		}
		considered++
		if considered >= localCandidates+remoteCandidates && lowestLoad < 1 {
			break
		}
	}
	return best
}

// LeastLoaded returns the eligible target with the lowest cost, whether or not it has free slots, or nil if there is
// none. It prefers the targets that refused the flow, because they have just reported their load.
func (c *Chooser) LeastLoaded(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target {
	order := c.ranker.Rank(view.Targets(service), c.LocalDomain, hash)
	refused := func(t *directory.Target) bool { return isTried(tried, t) }
	if t := c.leastLoaded(view, order, refused, now); t != nil {
		return t
	}
	return c.leastLoaded(view, order, func(*directory.Target) bool { return true }, now)
}

func (c *Chooser) leastLoaded(view *directory.View, order []*directory.Target, include func(*directory.Target) bool, now time.Duration) *directory.Target {
	var best *directory.Target
	var lowest float64
	for _, t := range order {
		if !Eligible(view, t) || !include(t) {
			continue
		}
		if cost, _ := c.cost(t, now); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// cost returns the cost of a target for a flow of the route that was set, and its load with the same penalties.
func (c *Chooser) cost(t *directory.Target, now time.Duration) (cost, load float64) {
	var parts CostParts
	c.costParts(t, now, &parts)
	return parts.Sum(), parts.load()
}

// costParts computes the parts of the cost of a target for a flow of the route that was set.
func (c *Chooser) costParts(t *directory.Target, now time.Duration, parts *CostParts) {
	c.Loads.routeCost(t, c.route, now, parts)
	if t.Domain != c.LocalDomain {
		parts.Remote = remotePenalty
	}
}

// SearchOrder appends all targets of the services to dst, in the order in which they are searched for an open flow.
func (c *Chooser) SearchOrder(view *directory.View, services []string, hash uint64, dst []*directory.Target) []*directory.Target {
	for _, service := range services {
		dst = append(dst, c.ranker.Rank(view.Targets(service), c.LocalDomain, hash)...)
	}
	return dst
}

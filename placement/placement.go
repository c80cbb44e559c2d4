package placement

import (
	"math"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/internal/decay"
)

const (
	// remotePenalty is what a target in another failure domain must be less busy by, as a share of its slots, since
	// bytes between failure domains are dear.
	remotePenalty = 0.3
	// lapsedPenalty and silentPenalty put targets last that may be gone.
	lapsedPenalty = 4.0
	silentPenalty = 8.0
	// reportPeriod is the time between two reports that count in full, and reportWeight the weight of one in the mean.
	// The mean is slow, since requests end sooner than reports arrive: balancers that followed the last report would all
	// press the same target until the next.
	reportPeriod = 200 * time.Millisecond
	reportWeight = 0.1
	// recentLife is the time constant with which flows that the process placed fade out of its estimate.
	recentLife = 60 * time.Millisecond
	// silenceLimit is how long an agent that gets packets may say nothing before its target counts as silent.
	silenceLimit = 700 * time.Millisecond
	// fullLife is how long a target that refused a new flow for lack of slots is not offered another.
	fullLife = 30 * time.Millisecond
	// refusedLife is how long a target that takes no new flows at all is not offered another. It has no work, so that it
	// would be offered each one first.
	refusedLife = 250 * time.Millisecond
	// refusedPenalty puts such a target last where a flow has to wait.
	refusedPenalty = 4.0
	// FailureRateThreshold is the share of failed requests from on which a target is avoided, and failingPenalty what it costs per
	// share. A third of failures weighs as much as all slots at work, so that the target gets what others have no room for.
	FailureRateThreshold = 0.1
	failingPenalty       = 3.0
)

// load is what a balancer knows of the work of one target.
type load struct {
	mean       float64 // of the requests in progress, over reports
	waiting    int     // new flows that wait at the target, by the last report
	recent     float64 // new flows that this process sent lately, decayed
	recentAt   time.Duration
	reportedAt time.Duration
	silent     bool
	fullAt     time.Duration // when it refused a new flow for lack of slots; 0: never
	refusedAt  time.Duration // when it refused a new flow for another reason; 0: never
	failing    decay.Value   // share of the requests that failed lately
	sentAt     time.Duration // when the process last sent to it
	owed       time.Duration // steady time of the first packet that the agent has not been heard of since; 0: none
}

// LoadTracker estimates the work of targets from the reports of their agents and from the flows that the process placed. It
// is not safe for concurrent use.
type LoadTracker struct {
	byIP     map[[4]byte]*load
	heardAt  time.Duration // when the last agent of a listed target was heard of
	isolated bool          // none was heard of since the process was cut off
}

// NewLoadTracker returns an empty estimate.
func NewLoadTracker() *LoadTracker { return &LoadTracker{byIP: make(map[[4]byte]*load)} }

func (l *LoadTracker) of(ip [4]byte) *load {
	if held := l.byIP[ip]; held != nil {
		return held
	}
	fresh := &load{}
	l.byIP[ip] = fresh
	return fresh
}

// RecordReport takes over what an agent says of its target.
func (l *LoadTracker) RecordReport(ip [4]byte, inProgress, waiting int, silent bool, now time.Duration) {
	held := l.of(ip)
	if held.reportedAt == 0 {
		held.mean = float64(inProgress)
	} else {
		age := min(1, float64(now-held.reportedAt)/float64(reportPeriod))
		held.mean += reportWeight * age * (float64(inProgress) - held.mean)
	}
	held.waiting, held.reportedAt = waiting, now
	held.silent, held.owed = silent, 0
}

// RecordFailureRate takes over the share of a target's requests that failed lately, from 0 to 1, as its agent says.
func (l *LoadTracker) RecordFailureRate(ip [4]byte, share float64, now time.Duration) {
	l.of(ip).failing.Set(share, now)
}

// FailureRate returns the share of a target's requests that failed lately, as far as is known.
func (l *LoadTracker) FailureRate(ip [4]byte, now time.Duration) float64 {
	held := l.byIP[ip]
	if held == nil {
		return 0
	}
	return held.failedShare(now)
}

func (l *load) failedShare(now time.Duration) float64 {
	return l.failing.At(now, encap.FailedShareHalfLife)
}

// RecentlyRefused reports whether the target on the VM refused a new flow lately, not for lack of slots.
func (l *LoadTracker) RecentlyRefused(ip [4]byte, now time.Duration) bool {
	held := l.byIP[ip]
	return held != nil && held.refuses(now)
}

// RecordSent notes that a packet went to the VM, and with opens that it was a new flow.
func (l *LoadTracker) RecordSent(ip [4]byte, opens bool, now time.Duration) {
	held := l.of(ip)
	held.sentAt = now
	if held.owed == 0 {
		held.owed = now
	}
	if opens {
		held.recent = held.recentFlows(now) + 1
		held.recentAt = now
	}
}

// recentFlows returns how many of the flows that this process sent are still at work, as far as their age tells.
func (l *load) recentFlows(now time.Duration) float64 {
	return l.recent * math.Exp(-float64(now-l.recentAt)/float64(recentLife))
}

// RecordNoFreeSlots notes that the target on the VM refused a new flow for lack of slots.
func (l *LoadTracker) RecordNoFreeSlots(ip [4]byte, now time.Duration) { l.of(ip).fullAt = now }

// RecordRefusal notes that the target on the VM refused a new flow for a reason that holds for the next one too: it starts, stops,
// or belongs to another service.
func (l *LoadTracker) RecordRefusal(ip [4]byte, now time.Duration) { l.of(ip).refusedAt = now }

// isFull reports whether the target would not take a new flow at once, as far as is known.
func (l *LoadTracker) isFull(ip [4]byte, now time.Duration) bool {
	held := l.byIP[ip]
	if held == nil {
		return false
	}
	return (held.fullAt != 0 && now-held.fullAt < fullLife) || held.refuses(now)
}

// refuses reports whether the target refused a new flow lately, not for lack of slots.
func (l *load) refuses(now time.Duration) bool {
	return l.refusedAt != 0 && now-l.refusedAt < refusedLife
}

// HasRecentReport reports whether the agent of the VM was heard of within the limit of silence.
func (l *LoadTracker) HasRecentReport(ip [4]byte, now time.Duration) bool {
	held := l.byIP[ip]
	return held != nil && held.reportedAt != 0 && now-held.reportedAt < silenceLimit
}

// Prune forgets VMs that the view no longer names.
func (l *LoadTracker) Prune(view *directory.View) {
	for ip := range l.byIP {
		if view.TargetByIP(ip) == nil {
			delete(l.byIP, ip)
		}
	}
}

// Cost estimates the requests in progress at a target as a share of its slots, with penalties for targets that may
// be gone.
func (l *LoadTracker) Cost(t *directory.Target, now time.Duration) float64 {
	held := l.byIP[t.Address.IP]
	if held == nil {
		return penalty(t, false)
	}
	work := held.mean + held.recentFlows(now) + float64(held.waiting)
	cost := work/float64(t.Slots) + penalty(t, held.isSilent(now))
	if held.refuses(now) {
		cost += refusedPenalty
	}
	if share := held.failedShare(now); share >= FailureRateThreshold {
		cost += failingPenalty * share
	}
	return cost
}

// Unresponsive reports whether the target on the VM, or its agent, does not answer.
func (l *LoadTracker) Unresponsive(ip [4]byte, now time.Duration) bool {
	held := l.byIP[ip]
	return held != nil && held.isSilent(now)
}

func (l *load) isSilent(now time.Duration) bool {
	return l.silent || (l.owed != 0 && now-l.owed > silenceLimit)
}

func penalty(t *directory.Target, silent bool) float64 {
	sum := 0.0
	if t.ExpiredAt != 0 {
		sum += lapsedPenalty
	}
	if silent {
		sum += silentPenalty
	}
	return sum
}

// Eligible reports whether new flows may go to the target.
func Eligible(view *directory.View, t *directory.Target) bool {
	return t.State == directory.TargetReady && !view.IsDomainOut(t.Domain)
}

// Chooser picks targets for new flows.
type Chooser struct {
	LocalDomain string // failure domain of the process
	Loads       *LoadTracker
	order       Ranker
}

// Choose returns the target that a new flow is offered to next, or nil where all eligible ones were tried or have no
// slot: the least busy of the first few in the order of the flow.
func (c *Chooser) Choose(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target {
	targets := view.Targets(service)
	if t := c.pick(view, c.order.RankTop(targets, c.LocalDomain, hash), tried, now); t != nil || len(targets) <= topCount {
		return t
	}
	return c.pick(view, c.order.Rank(targets, c.LocalDomain, hash), tried, now)
}

// pick returns the least busy of the first few targets that may take the flow.
func (c *Chooser) pick(view *directory.View, order []*directory.Target, tried []uint64, now time.Duration) *directory.Target {
	var best *directory.Target
	var least float64
	offered := 0
	for _, t := range order {
		if !Eligible(view, t) || wasTried(tried, t) || c.Loads.isFull(t.Address.IP, now) {
			continue
		}
		cost := c.cost(t, now)
		if best == nil || cost < least {
			best, least = t, cost
		}
		offered++
		if offered >= homeChoices+remoteChoices && least < 1 {
			break
		}
	}
	return best
}

// LeastLoaded returns the eligible target with the least work, full or not. Those that refused the flow have just said how
// much they have, so that one of them is chosen where there are any.
func (c *Chooser) LeastLoaded(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target {
	order := c.order.Rank(view.Targets(service), c.LocalDomain, hash)
	asked := func(t *directory.Target) bool { return wasTried(tried, t) }
	if t := c.leastBusy(view, order, asked, now); t != nil {
		return t
	}
	return c.leastBusy(view, order, func(*directory.Target) bool { return true }, now)
}

func (c *Chooser) leastBusy(view *directory.View, order []*directory.Target, counts func(*directory.Target) bool, now time.Duration) *directory.Target {
	var best *directory.Target
	var least float64
	for _, t := range order {
		if !Eligible(view, t) || !counts(t) {
			continue
		}
		if cost := c.cost(t, now); best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

func (c *Chooser) cost(t *directory.Target, now time.Duration) float64 {
	cost := c.Loads.Cost(t, now)
	if t.Domain != c.LocalDomain {
		cost += remotePenalty
	}
	return cost
}

// SearchOrder returns all targets of the services in the order in which an open flow is searched.
func (c *Chooser) SearchOrder(view *directory.View, services []string, hash uint64, dst []*directory.Target) []*directory.Target {
	for _, service := range services {
		dst = append(dst, c.order.Rank(view.Targets(service), c.LocalDomain, hash)...)
	}
	return dst
}

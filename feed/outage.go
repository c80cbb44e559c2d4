package feed

import (
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// Timing of failure domains that are taken out of service and returned to it.
const (
	// outGrace is the time for the rule that takes a domain out to reach the processes inside it over open streams.
	// Together with the time until the rule is in force it stays below the 4 s after which nothing may be sent into the
	// domain.
	outGrace = time.Second
	// minUptimeForGrace is how long a process must have been running for outGrace to apply. A process that started or
	// resumed after a pause more recently does not know how old the rule is.
	minUptimeForGrace = 4 * time.Second
	// returnRampDuration is the time over which the weights of a returned domain rise to their full value, because its
	// targets may be cold.
	returnRampDuration = 10 * time.Second
	rampStepPeriod     = 500 * time.Millisecond
	// minRampShare is the share of the weight, in thousandths, at which a ramp starts.
	minRampShare = 100
)

// outages tracks which failure domains are out of service or have returned recently.
type outages struct {
	mu         sync.Mutex
	outSince   map[string]time.Time // when the out rule came into force, by domain name; see outRuleStart
	returnedAt map[string]time.Time // when the domain returned, by domain name; deleted after the ramp
}

func newOutages() *outages {
	return &outages{outSince: make(map[string]time.Time), returnedAt: make(map[string]time.Time)}
}

// update applies the out rules of a set that came into force at this process at the time since.
func (o *outages) update(set *rules.Set, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for i := range set.Domains {
		domain := &set.Domains[i]
		_, wasOut := o.outSince[domain.Name]
		switch {
		case domain.Out && !wasOut:
			o.outSince[domain.Name] = since
			delete(o.returnedAt, domain.Name)
		case !domain.Out && wasOut:
			delete(o.outSince, domain.Name)
			o.returnedAt[domain.Name] = now
		}
	}
	for name := range o.outSince {
		if set.DomainByName(name) == nil {
			delete(o.outSince, name)
		}
	}
}

// outRuleStart returns the time from which outGrace counts for a rule that has just been received. If this process has
// not run long enough to know the age of the rule, outGrace is already over at the returned time.
func (f *Feed) outRuleStart() time.Time {
	now := time.Now()
	if now.Sub(f.confirmation.epochStart()) < minUptimeForGrace {
		return now.Add(-outGrace)
	}
	return now
}

// isClosed reports whether the failure domain is out of service and outGrace is over.
func (o *outages) isClosed(domain string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, out := o.outSince[domain]
	return out && time.Since(since) >= outGrace
}

// weightLimits returns the weight limits of domains that returned recently, in thousandths by domain name. It returns
// nil if there are none.
func (o *outages) weightLimits() map[string]uint16 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var limits map[string]uint16
	for name, since := range o.returnedAt {
		share := rampShare(time.Since(since), returnRampDuration)
		if share >= fleet.WeightFull {
			delete(o.returnedAt, name)
			continue
		}
		if limits == nil {
			limits = make(map[string]uint16)
		}
		limits[name] = share
	}
	return limits
}

// rampShare returns the share of a weight, in thousandths, when elapsed of the total duration of a ramp has passed.
func rampShare(elapsed, total time.Duration) uint16 {
	if elapsed >= total {
		return fleet.WeightFull
	}
	return minRampShare + uint16((fleet.WeightFull-minRampShare)*elapsed/total)
}

// mayReach reports whether this process may send to the failure domain: nothing is sent into or out of a domain that is
// out of service. An empty name stands for an unknown domain.
func (f *Feed) mayReach(domain string) bool {
	own := f.cfg.Self.FailureDomain
	if domain == own {
		return true
	}
	return !f.outages.isClosed(own) && !f.outages.isClosed(domain)
}

// writeGuard returns the check that each write on a connection to a process of the failure domain must pass.
func (f *Feed) writeGuard(domain string) func() bool {
	return func() bool { return f.mayWrite(domain) }
}

// mayWrite reports whether this process may send to the failure domain now. After a pause it does not know whether
// another domain was taken out of service meanwhile, so it sends only to its own domain until the rules are confirmed.
func (f *Feed) mayWrite(domain string) bool {
	if domain == f.cfg.Self.FailureDomain {
		return true
	}
	f.pause.Check()
	return !f.confirmation.isPending() && f.viewHasConfirmedRules() && f.mayReach(domain)
}

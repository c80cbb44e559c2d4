package feed

import (
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// Times of a failure domain that leaves and returns.
const (
	// outGrace lets the rule that takes a domain out reach the processes inside over open streams. With the time until
	// the rule is in force it stays below the 4 s after which nothing may be sent into the domain.
	outGrace = time.Second
	// graceAfter is how long a process must have been running for the grace to apply. One that started or woke from a
	// pause more recently does not know how old the rule is.
	minUptimeForGrace = 4 * time.Second
	// returnRamp is the time in which the weights of a returned domain rise to their full value, since its targets may
	// have turned cold.
	returnRampDuration = 10 * time.Second
	rampStepPeriod     = 500 * time.Millisecond
	// rampFloor is the share, in thousandths, from which a ramp starts.
	minRampShare = 100
)

// outages tracks since when failure domains are out or back.
type outages struct {
	mu         sync.Mutex
	outSince   map[string]time.Time // when the rule came into force, as far as known
	returnedAt map[string]time.Time // when the domain returned; until the ramp is over
}

func newOutages() *outages {
	return &outages{outSince: make(map[string]time.Time), returnedAt: make(map[string]time.Time)}
}

// follow takes over the out rules of a set that came into force here at the time since.
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

// outSince returns since when a new out rule counts. It is before the grace where the rule may be old already.
func (f *Feed) outRuleStart() time.Time {
	now := time.Now()
	if now.Sub(f.confirmation.epochStart()) < minUptimeForGrace {
		return now.Add(-outGrace)
	}
	return now
}

// closed reports whether the failure domain is out and the grace is over.
func (o *outages) isClosed(domain string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, out := o.outSince[domain]
	return out && time.Since(since) >= outGrace
}

// ramps returns the weight limits of domains that came back, in thousandths, nil where there is none.
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

// rampShare returns the share of a weight in thousandths after some time of a ramp.
func rampShare(elapsed, total time.Duration) uint16 {
	if elapsed >= total {
		return fleet.WeightFull
	}
	return minRampShare + uint16((fleet.WeightFull-minRampShare)*elapsed/total)
}

// mayReach reports whether this process may send to the failure domain: nothing goes into a domain that is out, and
// nothing out of it. An empty name stands for an unknown domain.
func (f *Feed) mayReach(domain string) bool {
	own := f.cfg.Self.FailureDomain
	if domain == own {
		return true
	}
	return !f.outages.isClosed(own) && !f.outages.isClosed(domain)
}

// guard returns what the writes of a connection to a process of the failure domain ask.
func (f *Feed) writeGuard(domain string) func() bool {
	return func() bool { return f.mayWrite(domain) }
}

// mayWrite reports whether a packet may leave for the failure domain now. After a pause the process does not know
// whether another domain went out meanwhile; it writes to its own domain only until the rules have been confirmed.
func (f *Feed) mayWrite(domain string) bool {
	if domain == f.cfg.Self.FailureDomain {
		return true
	}
	f.pause.Check()
	return !f.confirmation.isPending() && f.viewHasConfirmedRules() && f.mayReach(domain)
}

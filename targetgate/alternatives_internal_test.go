package targetgate

import (
	"fmt"
	"testing"
	"time"
)

// balcaoKinds and ruteoKinds are the kinds of requests of two services in docs/design/overview.md.
func balcaoKinds() []kind {
	return []kind{
		{name: "stock-lookup", share: 0.778, work: 30 * ms, objective: 300 * ms, deadline: 3 * time.Second, priority: 2},
		{name: "reorder", share: 0.222, work: 39 * ms, objective: 300 * ms, deadline: 4 * time.Second, priority: 1},
	}
}

func ruteoKinds() []kind {
	return []kind{
		{name: "bin-feed", share: 0.778, work: 13 * ms, objective: 200 * ms, deadline: 1200 * ms, priority: 2, openFlows: 0.6},
		{name: "label-lookup", share: 0.222, work: 17 * ms, objective: 200 * ms, deadline: 1500 * ms, priority: 1},
	}
}

// balcaoRun returns a burst of 7 s at 10 targets, followed by half of the capacity.
func balcaoRun(factor float64, slots int, policy *shedPolicy) *overloadRun {
	return &overloadRun{
		seed: 1, kinds: balcaoKinds(), targets: 10, slots: slots, factor: factor, baseFactor: 0.5,
		burst: 7 * time.Second, end: 10 * time.Second, policy: policy, roundTrip: 2 * ms,
	}
}

// ruteoRun returns the same for targets of unequal speed, requests on open flows and some that take 7 times as long.
func ruteoRun(factor float64, policy *shedPolicy) *overloadRun {
	r := balcaoRun(factor, 2, policy)
	r.kinds, r.longShare = ruteoKinds(), 0.03
	r.speeds = func(target int, _ time.Duration) float64 {
		if target%4 == 0 {
			return 0.55
		}
		return 1.2
	}
	return r
}

// coldRun returns the same for targets of which four are cold for 4 s: they are slow and get 5 flows a second.
func coldRun(factor float64, policy *shedPolicy) *overloadRun {
	r := balcaoRun(factor, 2, policy)
	isCold := func(target int, at time.Duration) bool { return target < 4 && at < 4*time.Second }
	r.speeds = func(target int, at time.Duration) float64 {
		if isCold(target, at) {
			return 0.25
		}
		return 1
	}
	r.coldRate = func(target int, at time.Duration) float64 {
		if isCold(target, at) {
			return 5
		}
		return 0
	}
	return r
}

func policyWith(change func(*shedPolicy)) *shedPolicy {
	p := defaultShedPolicy()
	change(&p)
	return &p
}

func shedding() *shedPolicy { return policyWith(func(*shedPolicy) {}) }

func arrivedBefore(w, other *waiter) bool { return w.arrived < other.arrived }

func dueAfter(w, other *waiter) bool { return w.due() > other.due() }

// alternatives are the policies that docs/design/admission.md compares.
var alternatives = []struct {
	name   string
	policy *shedPolicy
}{
	{"off", nil},
	{"first in first out, long queue", policyWith(func(p *shedPolicy) {
		p.before, p.lateAlike, p.retriesAlike, p.waitShare, p.lateWaitShare = arrivedBefore, true, true, 8, 8
	})},
	{"first in first out, shed", policyWith(func(p *shedPolicy) { p.before, p.lateAlike, p.retriesAlike = arrivedBefore, true, true })},
	{"newest first, shed", policyWith(func(p *shedPolicy) { p.before = dueAfter })},
	{"deadline first, wait 1", policyWith(func(p *shedPolicy) { p.waitShare = 1 })},
	{"deadline first, wait 1/2", policyWith(func(p *shedPolicy) { p.waitShare = 0.5 })},
	{"deadline first, wait 1/3 (built)", shedding()},
	{"deadline first, wait 1/4", policyWith(func(p *shedPolicy) { p.waitShare = 0.25 })},
	{"share of late 0", policyWith(func(p *shedPolicy) { p.deferredShare = 0 })},
	{"share of late 1/16", policyWith(func(p *shedPolicy) { p.deferredShare = 1.0 / 16 })},
	{"share of late 1/8", policyWith(func(p *shedPolicy) { p.deferredShare = 0.125 })},
	{"share of late 1/4", policyWith(func(p *shedPolicy) { p.deferredShare = 0.25 })},
	{"retries that can be in time alike", policyWith(func(p *shedPolicy) { p.retriesAlike = true })},
}

// TestAlternatives prints how requests end under each alternative of docs/design/admission.md, as means of several seeds.
// It checks nothing.
func TestAlternatives(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v")
	}
	loads := map[string]func(float64, *shedPolicy) *overloadRun{
		"balcao, 2 slots": func(f float64, p *shedPolicy) *overloadRun { return balcaoRun(f, 2, p) },
		"balcao, 9 slots": func(f float64, p *shedPolicy) *overloadRun {
			r := balcaoRun(f, 9, p)
			r.targets = 4
			return r
		},
		"balcao, 2 slots, cold targets": coldRun,
		"ruteo, 2 slots":                ruteoRun,
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, factor := range []float64{0.9, 1.0, 1.2, 1.5, 2.0, 2.6} {
				for _, alternative := range alternatives {
					t.Logf("| %.1f | %s | %s |", factor, alternative.name, row(func() *overloadRun { return load(factor, alternative.policy) }))
				}
			}
		})
	}
}

// row plays a load with several seeds and returns the work in time, the requests answered at their first attempt a
// second, and how the requests of the burst ended, by kind.
func row(load func() *overloadRun) string {
	const seeds = 4
	var work, low, high float64
	var kinds [2]outcomes
	first := 0
	for seed := range uint64(seeds) {
		r := load()
		r.seed = seed + 1
		r.run()
		o := count(r.requests, duringBurst(r))
		share := r.workShare(&o)
		work, high = work+share/seeds, max(high, share)
		if seed == 0 {
			low = share
		}
		low = min(low, share)
		first += o.firstAttempts
		for i := range kinds {
			k := count(r.requests, func(q *simRequest) bool { return duringBurst(r)(q) && q.kind == &r.kinds[i] })
			kinds[i].add(&k)
		}
	}
	line := fmt.Sprintf("%.2f (%.2f to %.2f) | %d", work, low, high, first/seeds/7)
	for _, k := range kinds {
		line += fmt.Sprintf(" | %d / %d / %d / %d", k.inTime/seeds, k.late/seeds, k.refused/seeds, k.failed/seeds)
	}
	return line
}

func (o *outcomes) add(other *outcomes) {
	o.inTime += other.inTime
	o.late += other.late
	o.refused += other.refused
	o.failed += other.failed
}

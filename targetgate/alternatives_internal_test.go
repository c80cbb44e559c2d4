package targetgate

import (
	"testing"
	"time"
)

// The kinds of requests of the services balcao and ruteo in docs/design/overview.md.
func balcaoKinds() []kind {
	return []kind{
		{name: "stock-lookup", share: 0.778, work: 30 * ms, objective: 300 * ms, deadline: 3 * time.Second, priority: 2, idempotent: true},
		{name: "reorder", share: 0.222, work: 39 * ms, objective: 300 * ms, deadline: 4 * time.Second, priority: 1},
	}
}

func ruteoKinds() []kind {
	return []kind{
		{name: "bin-feed", share: 0.778, work: 13 * ms, objective: 200 * ms, deadline: 1200 * ms, priority: 2, idempotent: true, openFlows: 0.8},
		{name: "label-lookup", share: 0.222, work: 17 * ms, objective: 200 * ms, deadline: 1500 * ms, priority: 1},
	}
}

func balcaoRun(factor float64, slots int, policy *shedPolicy) *overloadRun {
	return &overloadRun{
		seed: 1, kinds: balcaoKinds(), targets: 10, slots: slots, factor: factor, baseFactor: 0.5,
		burst: 7 * time.Second, end: 10 * time.Second, policy: policy,
	}
}

func policyWith(change func(*shedPolicy)) *shedPolicy {
	p := defaultShedPolicy()
	change(&p)
	return &p
}

// TestAlternatives prints how requests end under each alternative of docs/design/admission.md.
func TestAlternatives(t *testing.T) {
	alternatives := []struct {
		name   string
		policy *shedPolicy
	}{
		{"off", nil},
		{"first in first out, 2.2 s", policyWith(func(p *shedPolicy) {
			p.lateAlike, p.retriesAlike, p.waitShare, p.lateWaitShare = true, true, 8, 8
			p.before = func(w, o *waiter) bool { return w.arrived < o.arrived }
		})},
		{"first in first out, shed", policyWith(func(p *shedPolicy) {
			p.lateAlike, p.retriesAlike = true, true
			p.before = func(w, o *waiter) bool { return w.arrived < o.arrived }
		})},
		{"newest first, shed", policyWith(func(p *shedPolicy) { p.before = func(w, o *waiter) bool { return w.due() > o.due() } })},
		{"deadline first, wait 1.0", policyWith(func(p *shedPolicy) { p.waitShare = 1 })},
		{"deadline first, wait 0.75", policyWith(func(p *shedPolicy) { p.waitShare = 0.75 })},
		{"deadline first, wait 0.5", policyWith(func(p *shedPolicy) {})},
		{"deadline first, wait 0.25", policyWith(func(p *shedPolicy) { p.waitShare = 0.25 })},
		{"deferred share 0.01", policyWith(func(p *shedPolicy) { p.deferredShare = 0.01 })},
		{"deferred share 0.25", policyWith(func(p *shedPolicy) { p.deferredShare = 0.25 })},
		{"deferred share 0.5", policyWith(func(p *shedPolicy) { p.deferredShare = 0.5 })},
		{"retries in time not deferred", policyWith(func(p *shedPolicy) { p.retriesAlike = true })},
	}
	if !testing.Verbose() {
		t.Skip("prints a table with -v")
	}
	for _, factor := range []float64{0.9, 1.0, 1.2, 1.5, 2.0, 2.6} {
		for _, alt := range alternatives {
			run := balcaoRun(factor, 2, alt.policy)
			requests := run.run()
			o := count(requests, func(q *simRequest) bool { return q.sent < runStart+run.burst })
			cap := run.capacity() * run.burst.Seconds()
			t.Logf("%.1f %-28s in time %5d (%.2f of capacity) late %5d refused %5d failed %5d first %5d slowest %v",
				factor, alt.name, o.inTime, float64(o.inTime)/cap, o.late, o.refused, o.failed, o.firstAttempts, o.slowestRefusal)
		}
	}
}

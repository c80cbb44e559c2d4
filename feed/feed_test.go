package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// ruleBound is the longest time until a rule is in force at the last process, and until a domain gets no more packets.
const ruleBound = 4 * time.Second

// Guards against processes that do not learn the rules, the records of others or a rule change.
func TestSmallFleetConverges(t *testing.T) {
	f := settled(t)
	for _, domain := range []string{"a", "b", "c"} {
		relays, _ := f.relaysOf(domain)
		require.Len(t, relays, 3, "relays of %s", domain)
	}
	f.platform.setRules(11, baseRules+"drain bench-3 # asked by tests\n")
	begin := time.Now()
	f.eventually(ruleBound, "rule in force everywhere", atRevision(11))
	t.Logf("rule in force at %d processes after %s", len(f.processes), time.Since(begin))
	for _, p := range f.processes {
		require.Contains(t, p.feed.View().Rules().Drained, "bench-3")
	}
}

// Guards against a deployment of a single VM, or of domains with fewer VMs than relays, that never gets a view.
func TestDomainsWithFewVMs(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.add("bench-1", "a", "target")
	f.awaitEligible(1)
	f.add("bench-2", "b", "target")
	f.awaitEligible(2)
}

// Guards against rules that go back, or out of force, because the configuration service is stale, down or holds a file
// with a fault, and against a new process that takes the old file of a stale service.
func TestRevisionsOnlyRise(t *testing.T) {
	f := settled(t)
	f.platform.setRules(12, baseRules+"drain bench-1 # asked by tests\n")
	f.eventually(ruleBound, "revision 12", atRevision(12))
	f.platform.setRules(5, baseRules)
	joined := f.add("bench-11", "a", "target")
	require.Eventually(t, func() bool { return joined.feed.View().Rules().Revision != 0 }, ruleBound, 100*time.Microsecond)
	require.True(t, atRevision(12)(joined), "the first rules of the new process")
	f.eventually(ruleBound, "revision 12 everywhere", atRevision(12))
	f.platform.setRules(13, baseRules+"drain nobody # asked by tests\n")
	time.Sleep(500 * time.Millisecond)
	f.eventually(time.Second, "refused file not in force", atRevision(12))
	f.platform.change(func() { f.platform.down = true })
	time.Sleep(time.Second)
	f.eventually(time.Second, "rules in force without a service", func(p *process) bool {
		return p.feed.View().Rules().Revision == 12 && p.feed.Confirmed()
	})
	f.platform.change(func() { f.platform.down = false })
	f.platform.setRules(14, baseRules)
	f.eventually(ruleBound, "revision 14 after the service returned", atRevision(14))
}

// Guards against a process that ignores a peer's newer revision until a relay tells it.
func TestReportPeerRevisionFetchesFromPeer(t *testing.T) {
	f := settled(t)
	newer := f.addPlatform(20, baseRules+"drain bench-1 # asked by tests\n")
	f.wire.setCut(func(from, to string) bool { return from == "bench-11" || to == "bench-11" })
	main := f.platform
	f.platform = newer
	ahead := f.add("bench-11", "a", "target")
	f.platform = main
	require.Eventually(t, func() bool { return atRevision(20)(ahead) }, 10*time.Second, 10*time.Millisecond)
	f.wire.setCut(func(from, to string) bool { return from == "bench-11" || (to == "bench-11" && from != "entry-1") })
	require.True(t, atRevision(10)(f.processes["entry-1"]))
	f.processes["entry-1"].feed.ReportPeerRevision(20, ahead.vm.Control)
	f.eventually(ruleBound, "the noted revision everywhere", atRevision(20))
}

// Guards against decisions on an old view after a pause, and against a process that holds them for ever when it is
// alone.
func TestPauseHoldsUntilConfirmed(t *testing.T) {
	f := settled(t)
	p := f.processes["bench-4"]
	p.feed.Pause(time.Second)
	require.False(t, p.feed.Confirmed())
	begin := time.Now()
	require.Eventually(t, p.feed.Confirmed, time.Second, time.Millisecond)
	t.Logf("confirmed by peers after %s", time.Since(begin))
	f.wire.setCut(func(from, to string) bool { return true })
	f.platform.change(func() { f.platform.down = true })
	p.feed.Pause(time.Second)
	begin = time.Now()
	require.Never(t, p.feed.Confirmed, 1500*time.Millisecond, 10*time.Millisecond)
	require.Eventually(t, p.feed.Confirmed, 600*time.Millisecond, time.Millisecond, "held for longer than 2 s")
	t.Logf("held for %s without peers", time.Since(begin))
}

// Guards against packets into a domain that is out, and against a domain that does not learn of its return.
func TestDomainOutAndBack(t *testing.T) {
	f := settled(t)
	f.platform.setRules(11, baseRules+"out b # asked by tests\n")
	begin := time.Now()
	f.eventually(ruleBound, "out in force", atRevision(11))
	time.Sleep(ruleBound - time.Since(begin))
	f.wire.resetBytes()
	time.Sleep(3 * time.Second)
	into := f.wire.bytes(func(d direction) bool {
		return f.domain(d.receiver) == "b" && (f.domain(d.caller) != "b" || f.domain(d.callee) != "b")
	})
	require.Zero(t, into, "bytes into the domain that is out")
	f.platform.setRules(12, baseRules)
	f.eventually(ruleBound, "return in force, inside too", atRevision(12))
	for _, target := range f.processes["entry-1"].feed.View().Targets(1) {
		require.Equal(t, target.VM.FailureDomain == "b", target.Weight < fleet.WeightFull, target.VM.Name)
	}
	f.eventually(15*time.Second, "full weight after the ramp", func(p *process) bool { return fullWeight(p) == 10 })
}

func fullWeight(p *process) int {
	count := 0
	for _, target := range p.feed.View().Targets(1) {
		if target.Weight == fleet.WeightFull {
			count++
		}
	}
	return count
}

// Guards against rule changes that some process gets late: 60 changes, one after the other, each in force at the last of
// 13 processes within the bound.
func TestManyRuleChanges(t *testing.T) {
	f := settled(t)
	var worst, sum time.Duration
	const changes = 60
	for i := range changes {
		revision := rules.Revision(100 + i)
		f.platform.setRules(uint64(revision), fmt.Sprintf("%sdrain bench-%d # asked by tests\n", baseRules, 1+i%10))
		begin := time.Now()
		f.eventually(ruleBound, "rule in force", atRevision(revision))
		worst, sum = max(worst, time.Since(begin)), sum+time.Since(begin)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d changes at 13 processes: mean %s, worst %s", changes, sum/changes, worst)
}

// Guards against a process without relays that learns nothing more, and against a flood of reads by such processes: at
// 7,820 of them one read each in 5 s is what the configuration service can bear.
func TestReadsWithoutRelay(t *testing.T) {
	f := settled(t)
	own := f.addPlatform(10, baseRules)
	main := f.platform
	f.wire.setCut(func(from, to string) bool { return from == "bench-11" || to == "bench-11" })
	own.change(func() { // VMs that never start, so that the process is none of the relays of its domain
		for i := range 200 {
			own.list = append(own.list, map[string]string{
				"name": fmt.Sprintf("absent-%d", i), "failure_domain": "a", "role": "target", "state": "live",
				"data": "127.0.0.1:1", "control": "127.0.0.1:1", "admin": "127.0.0.1:1",
			})
		}
	})
	f.platform = own
	alone := f.add("bench-11", "a", "target")
	f.platform = main
	require.Eventually(t, func() bool { return atRevision(10)(alone) }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(3 * time.Second) // the first relays are given up by then
	own.setRules(11, baseRules+"drain bench-1 # asked by tests\n")
	begin := time.Now()
	before := own.readCount()
	require.Eventually(t, func() bool { return atRevision(11)(alone) }, 25*time.Second, 10*time.Millisecond)
	time.Sleep(10*time.Second - time.Since(begin))
	reads := own.readCount() - before
	t.Logf("%d reads in %s without a relay", reads, time.Since(begin))
	require.LessOrEqual(t, reads, 2+int(time.Since(begin)/(5*time.Second)))
}

// Guards against a process that counts as ready while its view has the rules but none of the targets.
func TestConfirmedViewHasTargets(t *testing.T) {
	f := settled(t)
	joined := f.add("entry-9", "a", "balancer")
	require.Eventually(t, joined.feed.Confirmed, ruleBound, 100*time.Microsecond)
	require.Equal(t, 10, eligible(joined))
}

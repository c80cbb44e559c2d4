package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

// Guards against rules that do not reach the subscribers of a killed relay, and against a killed process that keeps its
// share of new flows.
func TestRelayKilled(t *testing.T) {
	f := newSettledFleet(t)
	_, others := f.relaysOf("a")
	require.NotEmpty(t, others)
	subscriber, _ := f.processes["entry-3"].feed.Member(others[0])
	victim := subscriber.Relay
	f.kill(victim)
	f.platform.setRules(11, baseRules+"drain bench-10 # asked by tests\n")
	begin := time.Now()
	f.eventually(maxRuleDelay, "rule in force at the other processes", atRevision(11))
	t.Logf("rule in force after %s", time.Since(begin))
	f.eventually(15*time.Second, "relay down at every process", func(p *process) bool {
		member, ok := p.feed.Member(victim)
		return ok && member.Down
	})
	t.Logf("declared down after %s", time.Since(begin))
}

// Guards against a subscriber that waits forever on a connection whose packets are dropped without a reset.
func TestBlackholedConnectionsReplaced(t *testing.T) {
	f := newSettledFleet(t)
	require.NotZero(t, f.proxy.blackhole(func(from, to string) bool { return true }))
	f.platform.setRules(11, baseRules+"drain bench-10 # asked by tests\n")
	begin := time.Now()
	f.eventually(maxRuleDelay, "rule in force over new connections", atRevision(11))
	t.Logf("rule in force after %s", time.Since(begin))
	for _, p := range f.processes {
		require.Equal(t, 9, eligibleTargets(p), "no process is declared down because of a redial")
	}
	f.proxy.blackhole(func(from, to string) bool { return true })
	f.processes["bench-1"].feed.PublishSelf(fleet.MemberRecord{State: fleet.StateDraining, Service: 1})
	f.eventually(2*maxRuleDelay, "record over new connections", func(p *process) bool { return eligibleTargets(p) == 8 })
}

// Guards against a partition after which one side stops serving, declares the other side down, or keeps the lower
// revision once the partition heals.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	mainPlatform := f.platform
	otherPlatform := f.addPlatform(10, baseRules)
	f.addSmallFleetOn(map[string]*fakePlatform{"c": otherPlatform})
	f.awaitEligible(10)
	f.proxy.setPartition(func(from, to string) bool { return (f.domainOf(from) == "c") != (f.domainOf(to) == "c") })
	mainPlatform.setRules(11, baseRules+"drain bench-1 # asked by tests\n")
	otherPlatform.setRules(12, baseRules+"drain bench-2 # asked by tests\n")
	f.eventually(maxRuleDelay, "each side has the rules of its configuration service", func(p *process) bool {
		return atRevision(11)(p) || (p.vm.FailureDomain == "c" && atRevision(12)(p))
	})
	time.Sleep(8 * time.Second)
	for name, p := range f.processes {
		require.Equal(t, 9, eligibleTargets(p), "eligible targets at %s include those of the other side", name)
	}
	f.proxy.setPartition(nil)
	begin := time.Now()
	f.eventually(maxRuleDelay, "the highest revision wins", atRevision(12))
	t.Logf("healed after %s", time.Since(begin))
}

// Guards against a process that is declared down although it answers probes: because the platform removed it from the
// VM list, or because its peers suspect it.
func TestResponsiveProcessNotDeclaredDown(t *testing.T) {
	f := newSettledFleet(t)
	f.platform.update(func() {
		f.platform.listIndex++
		f.platform.vms = f.platform.vms[:len(f.platform.vms)-1] // bench-10
	})
	for _, p := range f.processes {
		p.feed.ReportSuspect("bench-2", true)
	}
	for begin := time.Now(); time.Since(begin) < 6*time.Second; time.Sleep(5 * time.Millisecond) {
		for name, p := range f.processes {
			require.Equal(t, 10, fullWeightTargets(p), "targets with full weight at %s", name)
		}
	}
	member, ok := f.processes["entry-3"].feed.Member("bench-10")
	require.True(t, ok)
	require.False(t, member.Listed)
}

// Guards against an isolated process that keeps its share of new flows, that stays down after it is reachable again, or
// that returns with its full share at once.
func TestIsolatedProcessDeclaredDownAndRecovers(t *testing.T) {
	f := newSettledFleet(t)
	_, others := f.relaysOf("a")
	victim := others[0]
	require.NotEmpty(t, others)
	f.proxy.setPartition(func(from, to string) bool { return from == victim || to == victim })
	for name, p := range f.processes {
		p.feed.ReportSuspect(victim, name != victim)
	}
	begin := time.Now()
	f.eventually(5*time.Second, "process down at all others", func(p *process) bool {
		member, ok := p.feed.Member(victim)
		return p.vm.Name == victim || (ok && member.Down)
	})
	t.Logf("declared down %s after the suspicion", time.Since(begin))
	f.proxy.setPartition(nil)
	for _, p := range f.processes {
		p.feed.ReportSuspect(victim, false)
	}
	f.eventually(15*time.Second, "process is no longer down", func(p *process) bool {
		member, ok := p.feed.Member(victim)
		return ok && !member.Down && member.Record.State != fleet.StateDown
	})
	if f.processes[victim].vm.Role == fleet.RoleTarget {
		member, _ := f.processes["entry-2"].feed.Member(victim)
		require.Less(t, member.Record.Weight, uint16(fleet.WeightFull))
	}
	f.eventually(20*time.Second, "full weight after the ramp", func(p *process) bool { return fullWeightTargets(p) == 10 })
}

// Guards against a relay that is isolated from its failure domain and declares all of its processes down.
func TestIsolatedRelayDeclaresNoProcessDown(t *testing.T) {
	f := newSettledFleet(t)
	relays, _ := f.relaysOf("a")
	isolated := relays[0]
	f.proxy.setPartition(func(from, to string) bool {
		return (from == isolated || to == isolated) && f.domainOf(from) == f.domainOf(to)
	})
	begin := time.Now()
	for time.Since(begin) < 8*time.Second {
		for name, p := range f.processes {
			for vm := range f.processes {
				member, _ := p.feed.Member(vm)
				require.False(t, member.Down && vm != isolated, "%s is down at %s", vm, name)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

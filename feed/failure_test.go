package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

// Guards against rules that do not reach the subscribers of a relay that was killed, and against a killed process that
// keeps its share of new flows.
func TestRelayKilled(t *testing.T) {
	f := settled(t)
	_, others := f.relaysOf("a")
	require.NotEmpty(t, others)
	subscriber, _ := f.processes["entry-3"].feed.Member(others[0])
	victim := subscriber.Relay
	f.kill(victim)
	f.platform.setRules(11, baseRules+"drain bench-10 # asked by tests\n")
	begin := time.Now()
	f.eventually(ruleBound, "rule in force at the others", atRevision(11))
	t.Logf("rule in force after %s", time.Since(begin))
	f.eventually(15*time.Second, "verdict everywhere", func(p *process) bool {
		member, ok := p.feed.Member(victim)
		return ok && member.Down
	})
	t.Logf("verdict after %s", time.Since(begin))
}

// Guards against a subscriber that waits for ever on a connection that was swallowed.
func TestSilentConnections(t *testing.T) {
	f := settled(t)
	require.NotZero(t, f.wire.silence(func(from, to string) bool { return true }))
	f.platform.setRules(11, baseRules+"drain bench-10 # asked by tests\n")
	begin := time.Now()
	f.eventually(ruleBound, "rule in force over new connections", atRevision(11))
	t.Logf("rule in force after %s", time.Since(begin))
	for _, p := range f.processes {
		require.Equal(t, 9, eligible(p), "no verdict for redialing")
	}
	f.wire.silence(func(from, to string) bool { return true })
	f.processes["bench-1"].feed.PublishSelf(fleet.MemberRecord{State: fleet.StateDraining, Service: 1})
	f.eventually(2*ruleBound, "record over new connections", func(p *process) bool { return eligible(p) == 8 })
}

// Guards against parts of a fleet that stop serving while they are apart, pass verdicts on the other part, or keep the
// lower revision when they meet.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	main := f.platform
	other := f.addPlatform(10, baseRules)
	f.addSmallFleetOn(map[string]*fakePlatform{"c": other})
	f.awaitEligible(10)
	f.wire.setCut(func(from, to string) bool { return (f.domain(from) == "c") != (f.domain(to) == "c") })
	main.setRules(11, baseRules+"drain bench-1 # asked by tests\n")
	other.setRules(12, baseRules+"drain bench-2 # asked by tests\n")
	f.eventually(ruleBound, "each part follows its service", func(p *process) bool {
		return atRevision(11)(p) || (p.vm.FailureDomain == "c" && atRevision(12)(p))
	})
	time.Sleep(8 * time.Second)
	for name, p := range f.processes {
		require.Equal(t, 9, eligible(p), "targets of the other part stay at %s", name)
	}
	f.wire.setCut(nil)
	begin := time.Now()
	f.eventually(ruleBound, "the highest revision wins", atRevision(12))
	t.Logf("healed after %s", time.Since(begin))
}

// Guards against verdicts on the platform's word alone, on a peer's word alone, and on a process that answers a probe.
func TestNoVerdictOnOneThatAnswers(t *testing.T) {
	f := settled(t)
	f.platform.change(func() {
		f.platform.index++
		f.platform.list = f.platform.list[:len(f.platform.list)-1] // bench-10
	})
	for _, p := range f.processes {
		p.feed.ReportSuspect("bench-2", true)
	}
	for begin := time.Now(); time.Since(begin) < 6*time.Second; time.Sleep(5 * time.Millisecond) {
		for name, p := range f.processes {
			require.Equal(t, 10, fullWeight(p), "targets with full weight at %s", name)
		}
	}
	member, ok := f.processes["entry-3"].feed.Member("bench-10")
	require.True(t, ok)
	require.False(t, member.Listed)
}

// Guards against a process that is cut off and keeps its share, that stays down after it is back, or that returns with
// its full share at once.
func TestVerdictAndRecovery(t *testing.T) {
	f := settled(t)
	_, others := f.relaysOf("a")
	victim := others[0]
	require.NotEmpty(t, others)
	f.wire.setCut(func(from, to string) bool { return from == victim || to == victim })
	for name, p := range f.processes {
		p.feed.ReportSuspect(victim, name != victim)
	}
	begin := time.Now()
	f.eventually(5*time.Second, "verdict at the others", func(p *process) bool {
		member, ok := p.feed.Member(victim)
		return p.vm.Name == victim || (ok && member.Down)
	})
	t.Logf("verdict %s after the suspicion", time.Since(begin))
	f.wire.setCut(nil)
	for _, p := range f.processes {
		p.feed.ReportSuspect(victim, false)
	}
	f.eventually(15*time.Second, "back", func(p *process) bool {
		member, ok := p.feed.Member(victim)
		return ok && !member.Down && member.Record.State != fleet.StateDown
	})
	if f.processes[victim].vm.Role == fleet.RoleTarget {
		member, _ := f.processes["entry-2"].feed.Member(victim)
		require.Less(t, member.Record.Weight, uint16(fleet.WeightFull))
	}
	f.eventually(20*time.Second, "full weight after the ramp", func(p *process) bool { return fullWeight(p) == 10 })
}

// Guards against a relay that is cut off from its domain and takes the whole domain for dead.
func TestIsolatedRelayHoldsVerdicts(t *testing.T) {
	f := settled(t)
	relays, _ := f.relaysOf("a")
	isolated := relays[0]
	f.wire.setCut(func(from, to string) bool {
		return (from == isolated || to == isolated) && f.domain(from) == f.domain(to)
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

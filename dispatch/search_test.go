package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
)

// A routers' hash by mod moves nearly all flows when a balancer joins: each is searched once.
func TestUnknownFlowIsSearchedOnce(t *testing.T) {
	f := newFleet(t)
	f.targets(7)
	d := f.dispatcher()
	for holder := 1; holder <= 7; holder++ {
		port := uint16(holder)
		decision, visits := deliver(d, data(port), ip(holder), seconds(1))
		require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
		require.LessOrEqual(t, visits, 6)
		_, visits = deliver(d, data(port), ip(holder), seconds(1.5))
		require.Zero(t, visits, "the table holds what the search found")
	}
}

func TestSearchFindsDrainingTargetsAndOnesOfDomainsOut(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	f.target(2, domainA, directory.TargetDraining)
	f.target(3, domainB, directory.TargetReady)
	f.out(domainB, true)
	d := f.dispatcher()
	for holder := 1; holder <= 3; holder++ {
		decision, _ := deliver(d, data(uint16(holder)), ip(holder), seconds(30))
		require.Equal(t, dispatch.OutcomeForward, decision.Outcome, "target %d", holder)
	}
}

// A balancer whose view lacks a new target must not reset the flows on it.
func TestResetNeedsAViewConfirmedAfterTheMiss(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	nobody := [4]byte{}
	decision, _ := deliver(d, data(1), nobody, seconds(1.1))
	require.Equal(t, dispatch.CauseMissUnconfirmed, decision.Cause)
	decision, _ = deliver(d, data(1), nobody, seconds(1.3))
	require.Equal(t, dispatch.CauseMissUnconfirmed, decision.Cause, "nothing was confirmed since the first miss")

	f.target(2, domainA, directory.TargetReady)
	d.SetView(f.dir.View(), seconds(1.4), seconds(1.4))
	decision, _ = deliver(d, data(1), ip(2), seconds(1.5))
	require.Equal(t, dispatch.OutcomeForward, decision.Outcome, "the confirmed view has the target")
}

func TestFlowThatNobodyHoldsIsReset(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	f.target(2, domainB, directory.TargetReady)
	d := f.dispatcher()
	nobody := [4]byte{}
	deliver(d, data(1), nobody, seconds(1.1))
	d.SetView(f.dir.View(), seconds(1.2), seconds(1.2))
	decision, _ := deliver(d, data(1), nobody, seconds(1.3))
	require.Equal(t, dispatch.OutcomeReset, decision.Outcome)
	require.Equal(t, uint32(4711), decision.Seq, "the caller takes a reset within its window only")
}

// A target that does not answer may hold the flow: its silence is no proof.
func TestSilentTargetKeepsAFlowFromBeingReset(t *testing.T) {
	f := newFleet(t)
	f.targets(2)
	d := dispatch.New(domainA, dispatch.KeepFlowsForever)
	now := seconds(1)
	for range 20 {
		d.SetView(f.dir.View(), now, now)
		decision, _ := deliver(d, data(1), [4]byte{}, now, ip(2))
		require.NotEqual(t, dispatch.OutcomeReset, decision.Outcome)
		now += seconds(0.4)
	}
}

// A target that does not answer ends its path. The next search takes shorter paths, so that all others are asked.
func TestSearchGetsPastASilentTarget(t *testing.T) {
	f := newFleet(t)
	f.targets(12)
	for holder := 2; holder <= 12; holder++ {
		d := dispatch.New(domainA, dispatch.KeepFlowsForever)
		d.SetView(f.dir.View(), seconds(1), seconds(1))
		now, found := seconds(1), false
		for range 3 {
			decision, _ := deliver(d, data(uint16(holder)), ip(holder), now, ip(1))
			found = found || decision.Outcome == dispatch.OutcomeForward
			now += seconds(0.2)
		}
		require.True(t, found, "the flow on target %d", holder)
	}
}

// Packets of a flow that arrive during its search wait for it, since each lost one costs its caller 200 ms.
func TestPacketsWaitForTheSearchOfTheirFlow(t *testing.T) {
	f := newFleet(t)
	f.targets(2)
	d := f.dispatcher()
	require.Equal(t, dispatch.OutcomeSearch, d.HandleCallerPacket(data(1), seconds(1)).Outcome)
	require.Equal(t, dispatch.OutcomeHold, d.HandleCallerPacket(data(1), seconds(1.001)).Outcome)
	d.HandleFound(ip(2), &encap.Header{Kind: encap.KindFound}, data(1), seconds(1.002))
	decision := d.HandleCallerPacket(data(1), seconds(1.002))
	require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
	require.Equal(t, ip(2), decision.Target.Address.IP)
}

// After the loss of power of a whole deployment each open flow is searched in vain, by balancers of a twentieth of a
// core: the packets that a balancer sends for it must be few.
func TestSearchOfALargePoolCostsTheBalancerFewPackets(t *testing.T) {
	f := newFleet(t)
	f.targets(52)
	d := f.dispatcher()
	decision := d.HandleCallerPacket(data(1), seconds(1))
	require.LessOrEqual(t, len(decision.Paths), 10)
	visited := 0
	for _, path := range decision.Paths {
		visited += 1 + path.Header.Path.Len
	}
	require.Equal(t, 52, visited)
}

// A search that began before a view was confirmed says nothing of the targets that the view names anew.
func TestConfirmationDuringASearchDoesNotCountForIt(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	f.target(2, domainA, directory.TargetReady) // holds the flow
	p := data(1)
	decision, _ := deliver(d, p, ip(2), seconds(1.1))
	require.Equal(t, dispatch.CauseMissUnconfirmed, decision.Cause)
	second := d.HandleCallerPacket(p, seconds(1.2))
	require.Equal(t, dispatch.OutcomeSearch, second.Outcome)
	d.SetView(f.dir.View(), seconds(1.3), seconds(1.3))
	ended, _ := walk(d, p, &second, ip(2), seconds(1.4), nil)
	require.NotEqual(t, dispatch.OutcomeReset, ended.Outcome)
	decision, _ = deliver(d, p, ip(2), seconds(1.5))
	require.Equal(t, dispatch.OutcomeForward, decision.Outcome)
	require.Equal(t, ip(2), decision.Target.Address.IP)
}

// A target that is known not to answer keeps no packet from those behind it, not even in the first search of a flow.
func TestTargetsKnownToBeSilentAreSearchedAlone(t *testing.T) {
	f := newFleet(t)
	f.targets(6)
	d := f.dispatcher()
	for n := 1; n <= 3; n++ {
		d.HandleReport(ip(n), &encap.Header{Silent: true}, seconds(1))
	}
	decision := d.HandleCallerPacket(data(1), seconds(1.1))
	require.Equal(t, dispatch.OutcomeSearch, decision.Outcome)
	alone := map[[4]byte]bool{}
	for _, path := range decision.Paths {
		h := path.Header
		if _, more := h.Path.Next(); !more {
			alone[path.First.Address.IP] = true
		}
	}
	require.Len(t, decision.Paths, 4, "one path over those that answer")
	for n := 1; n <= 3; n++ {
		require.True(t, alone[ip(n)])
	}
}

// The time of a search counts from the first packet that was searched, also where the search had to be repeated.
func TestSearchesAreTimedFromTheirFirstPacket(t *testing.T) {
	f := newFleet(t)
	for n := range 3 {
		f.target(n+1, domainA, directory.TargetReady)
	}
	d := dispatch.New(domainA, dispatch.KeepFlowsForever)
	d.SetView(f.dir.View(), time.Second, time.Second)
	begin := 2 * time.Second
	require.Equal(t, dispatch.CauseSearch, d.HandleCallerPacket(data(1), begin).Cause)
	again := begin + dispatch.SearchTimeout + time.Millisecond
	require.Equal(t, dispatch.CauseSearch, d.HandleCallerPacket(data(1), again).Cause)
	found := &encap.Header{Kind: encap.KindFound}
	require.Equal(t, again+10*time.Millisecond-begin, d.HandleFound(ip(2), found, data(1), again+10*time.Millisecond))
	require.Zero(t, d.HandleFound(ip(2), found, data(1), again+20*time.Millisecond), "a late answer ends nothing")

	require.Equal(t, dispatch.CauseSearch, d.HandleCallerPacket(data(2), begin).Cause)
	_, _ = deliver(d, data(2), [4]byte{}, again)
	d.SetView(f.dir.View(), again+time.Millisecond, again+time.Millisecond)
	last, _ := deliver(d, data(2), [4]byte{}, again+5*time.Millisecond)
	require.Equal(t, dispatch.CauseUnknownFlow, last.Cause)
	require.Equal(t, again+5*time.Millisecond-begin, last.SearchTime)
}

// Pattern: after a loss of power thousands of open flows are searched in vain at once, over links of 10 Mbit/s that new
// flows need too. Each is searched once where the view that is confirmed after it names the same targets.
func TestFlowThatNobodyHoldsIsSearchedOnceInAnUnchangedView(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	f.target(2, domainB, directory.TargetReady)
	d := f.dispatcher()
	decision, _ := deliver(d, data(1), [4]byte{}, seconds(1.1))
	require.Equal(t, dispatch.CauseMissUnconfirmed, decision.Cause)
	f.out(domainB, true)
	d.SetView(f.dir.View(), seconds(1.2), seconds(1.2))
	decision = d.HandleCallerPacket(data(1), seconds(1.2))
	require.Equal(t, dispatch.OutcomeReset, decision.Outcome, "no second search")
	require.Equal(t, uint32(4711), decision.Seq)
}

// A target that the confirmed view names in addition may hold the flow.
func TestFlowIsSearchedAgainWhereTheConfirmedViewNamesAnotherTarget(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	deliver(d, data(1), [4]byte{}, seconds(1.1))
	f.target(2, domainB, directory.TargetReady)
	d.SetView(f.dir.View(), seconds(1.2), seconds(1.2))
	require.Equal(t, dispatch.OutcomeSearch, d.HandleCallerPacket(data(1), seconds(1.2)).Outcome)
}

// Ends may be used again for another flow, which a search of long ago says nothing of.
func TestSearchOfLongAgoProvesNothing(t *testing.T) {
	f := newFleet(t)
	f.target(1, domainA, directory.TargetReady)
	d := f.dispatcher()
	deliver(d, data(1), [4]byte{}, seconds(1.1))
	d.SetView(f.dir.View(), seconds(9), seconds(9))
	require.Equal(t, dispatch.OutcomeSearch, d.HandleCallerPacket(data(1), seconds(9)).Outcome)
}

package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

const ms = time.Millisecond

// newView returns a view with count targets of one service, distributed round-robin over the domains.
func newView(count, slots int, domains ...string) *directory.View {
	d := directory.New()
	for n := range count {
		id := fmt.Sprintf("i-%d", n)
		d.Apply(&directory.Record{Kind: directory.KindTarget, Name: id, Revision: directory.Revision(n + 1), Target: &directory.Target{
			ID: id, Service: "bench", Address: flow.Endpoint{IP: ip(n), Port: 80}, Slots: slots,
			Domain: domains[n%len(domains)], State: directory.TargetReady,
		}}, time.Second)
	}
	return d.View()
}

func ip(n int) [4]byte { return [4]byte{10, 0, byte(n >> 8), byte(n)} }

func newChooser(localDomain string) (*placement.Chooser, *placement.LoadTracker) {
	loads := placement.NewLoadTracker()
	return &placement.Chooser{LocalDomain: localDomain, Loads: loads}, loads
}

func TestRankMovesFewFlowsWhenTargetLeaves(t *testing.T) {
	before, after := newView(10, 9, "a"), newView(9, 9, "a")
	var ranker placement.Ranker
	moved := 0
	for hash := range uint64(1000) {
		first := ranker.Rank(before.Targets("bench"), "a", hash)[0]
		if next := ranker.Rank(after.Targets("bench"), "a", hash)[0]; next != first && first.ID != "i-9" {
			if next.ID != first.ID {
				moved++
			}
		}
	}
	require.Zero(t, moved, "only flows of the target that left may move")
}

func TestRankReturnsEachTargetOnce(t *testing.T) {
	view := newView(20, 9, "a", "b", "c")
	var ranker placement.Ranker
	seen := map[string]bool{}
	for _, target := range ranker.Rank(view.Targets("bench"), "a", 7) {
		require.False(t, seen[target.ID])
		seen[target.ID] = true
	}
	require.Len(t, seen, 20)
}

// Checks that balancers that compute only the head of the order agree with those that sort all targets.
func TestRankTopMatchesHeadOfRank(t *testing.T) {
	view := newView(40, 9, "a", "b", "c")
	var top, full placement.Ranker
	for hash := range uint64(200) {
		first := top.RankTop(view.Targets("bench"), "a", hash)
		all := full.Rank(view.Targets("bench"), "a", hash)
		require.Len(t, first, 12)
		require.Equal(t, all[:3], first[:3], "the candidates for a new flow")
		require.Equal(t, all[3:7], first[3:7], "the next targets of the local domain")
	}
	small := newView(2, 9, "b")
	require.Len(t, top.RankTop(small.Targets("bench"), "a", 1), 2)
	require.Empty(t, top.RankTop(nil, "a", 1))
}

func TestFlowsSpillOverFromBusyLocalDomain(t *testing.T) {
	view := newView(6, 9, "a", "b")
	c, loads := newChooser("a")
	for n := range 6 {
		load := 0
		if n%2 == 0 { // domain a
			load = 9
		}
		loads.RecordReport(ip(n), load, 0, false, time.Second)
	}
	for hash := range uint64(20) {
		require.Equal(t, "b", c.Choose(view, "bench", hash, nil, time.Second).Domain)
	}
}

func TestUnresponsiveTargetsRankLast(t *testing.T) {
	view := newView(2, 9, "a")
	c, loads := newChooser("a")
	loads.RecordReport(ip(0), 0, 0, true, time.Second)
	loads.RecordReport(ip(1), 8, 0, false, time.Second)
	for hash := range uint64(20) {
		require.Equal(t, "i-1", c.Choose(view, "bench", hash, nil, time.Second).ID)
	}
	loads.RecordReport(ip(0), 0, 0, false, time.Second)
	require.Equal(t, "i-0", c.Choose(view, "bench", 1, nil, time.Second).ID)
}

func TestTargetWithoutAgentReportsIsUnresponsive(t *testing.T) {
	view := newView(2, 9, "a")
	c, loads := newChooser("a")
	loads.RecordReport(ip(1), 8, 0, false, time.Second)
	loads.RecordSent(ip(0), true, time.Second)
	now := 2 * time.Second
	loads.RecordReport(ip(1), 8, 0, false, now)
	require.Equal(t, "i-1", c.Choose(view, "bench", 1, nil, now).ID)
}

func TestTargetWithoutFreeSlotsBacksOffBriefly(t *testing.T) {
	view := newView(2, 9, "a")
	c, loads := newChooser("a")
	loads.RecordNoFreeSlots(ip(0), time.Second)
	loads.RecordNoFreeSlots(ip(1), time.Second)
	require.Nil(t, c.Choose(view, "bench", 1, nil, time.Second+10*ms))
	require.NotNil(t, c.LeastLoaded(view, "bench", 1, nil, time.Second+10*ms), "a flow may wait at a target without free slots")
	require.NotNil(t, c.Choose(view, "bench", 1, nil, time.Second+50*ms))
}

// Guards against offering every new flow first to a target that is starting or stopping: it refuses each of them,
// so it is idle and has the lowest load.
func TestTargetBacksOffAfterRefusal(t *testing.T) {
	view := newView(3, 9, "a")
	c, loads := newChooser("a")
	loads.RecordReport(ip(1), 5, 0, false, time.Second)
	loads.RecordReport(ip(2), 5, 0, false, time.Second)
	require.Equal(t, "i-0", c.Choose(view, "bench", 1, nil, time.Second).ID)
	loads.RecordRefusal(ip(0), time.Second)
	for hash := range uint64(20) {
		require.NotEqual(t, "i-0", c.Choose(view, "bench", hash, nil, time.Second+200*ms).ID)
		require.NotEqual(t, "i-0", c.LeastLoaded(view, "bench", hash, nil, time.Second+200*ms).ID, "no flow may wait there either")
	}
	require.Equal(t, "i-0", c.Choose(view, "bench", 1, nil, time.Second+300*ms).ID)
}

// Checks that, if all targets are full, a flow waits at one of the targets that refused it: they have just
// reported how many flows wait there, while the reports of the others are 200 ms old.
func TestFlowWaitsAtTargetThatRefusedIt(t *testing.T) {
	view := newView(9, 4, "a")
	c, loads := newChooser("a")
	var tried []uint64
	for n := range 9 {
		loads.RecordReport(ip(n), 4, 0, false, time.Second)
	}
	for n := range 3 {
		loads.RecordReport(ip(n), 4, 9-n, false, time.Second+200*ms)
		tried = append(tried, placement.TargetKey(view.TargetByIP(ip(n))))
	}
	for hash := range uint64(20) {
		require.Equal(t, "i-2", c.LeastLoaded(view, "bench", hash, tried, time.Second+200*ms).ID)
	}
}

// Guards against a target that immediately answers two of five requests with an error: its load is low, so it
// would get more requests than any other target.
func TestFailingTargetIsAvoidedAndRetried(t *testing.T) {
	view := newView(4, 9, "a")
	c, loads := newChooser("a")
	for n := range 4 {
		loads.RecordReport(ip(n), 5, 0, false, time.Second)
	}
	loads.RecordReport(ip(0), 1, 0, false, time.Second)
	loads.RecordFailureRate(ip(0), 0.4, time.Second)
	chosen := func(now time.Duration) (count int) {
		for hash := range uint64(100) {
			if c.Choose(view, "bench", hash, nil, now).ID == "i-0" {
				count++
			}
		}
		return count
	}
	require.Zero(t, chosen(time.Second))
	require.Positive(t, chosen(6*time.Second), "the failure rate decays without reports")
	loads.RecordFailureRate(ip(0), 0.04, 7*time.Second)
	require.Positive(t, chosen(7*time.Second), "a single failure does not count")
}

// Checks that placement does not change if requests fail at every target, which is not the fault of the targets.
func TestPlacementUnchangedIfAllTargetsFail(t *testing.T) {
	view := newView(4, 9, "a")
	c, loads := newChooser("a")
	for n := range 4 {
		loads.RecordReport(ip(n), n, 0, false, time.Second)
	}
	before := c.Choose(view, "bench", 1, nil, time.Second).ID
	for n := range 4 {
		loads.RecordFailureRate(ip(n), 1, time.Second)
	}
	require.Equal(t, before, c.Choose(view, "bench", 1, nil, time.Second).ID)
}

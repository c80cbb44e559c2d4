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

// viewOf returns a view with targets of one service, spread over domains in turn.
func viewOf(count, slots int, domains ...string) *directory.View {
	d := directory.New()
	for n := range count {
		id := fmt.Sprintf("i-%d", n)
		d.Apply(&directory.Record{Kind: directory.KindTarget, Name: id, Revision: uint64(n + 1), Target: &directory.Target{
			ID: id, Service: "bench", Address: flow.Endpoint{IP: ip(n), Port: 80}, Slots: slots,
			Domain: domains[n%len(domains)], State: directory.TargetReady,
		}}, time.Second)
	}
	return d.View()
}

func ip(n int) [4]byte { return [4]byte{10, 0, byte(n >> 8), byte(n)} }

func chooser(home string) (*placement.Chooser, *placement.LoadTracker) {
	loads := placement.NewLoadTracker()
	return &placement.Chooser{LocalDomain: home, Loads: loads}, loads
}

func TestOrderMovesFewFlowsWhenATargetLeaves(t *testing.T) {
	before, after := viewOf(10, 9, "a"), viewOf(9, 9, "a")
	var order placement.Ranker
	moved := 0
	for key := range uint64(1000) {
		first := order.Rank(before.Targets("bench"), "a", key)[0]
		if next := order.Rank(after.Targets("bench"), "a", key)[0]; next != first && first.ID != "i-9" {
			if next.ID != first.ID {
				moved++
			}
		}
	}
	require.Zero(t, moved, "only flows of the target that left move")
}

func TestOrderNamesEachTargetOnce(t *testing.T) {
	view := viewOf(20, 9, "a", "b", "c")
	var order placement.Ranker
	seen := map[string]bool{}
	for _, target := range order.Rank(view.Targets("bench"), "a", 7) {
		require.False(t, seen[target.ID])
		seen[target.ID] = true
	}
	require.Len(t, seen, 20)
}

// Balancers that look at the beginning of an order only agree with those that sort the whole pool.
func TestTopBeginsTheOrder(t *testing.T) {
	view := viewOf(40, 9, "a", "b", "c")
	var top, whole placement.Ranker
	for key := range uint64(200) {
		first := top.RankTop(view.Targets("bench"), "a", key)
		all := whole.Rank(view.Targets("bench"), "a", key)
		require.Len(t, first, 12)
		require.Equal(t, all[:3], first[:3], "the targets among which a new flow has a choice")
		require.Equal(t, all[3:7], first[3:7], "the next of the home domain")
	}
	small := viewOf(2, 9, "b")
	require.Len(t, top.RankTop(small.Targets("bench"), "a", 1), 2)
	require.Empty(t, top.RankTop(nil, "a", 1))
}

func TestBusyHomeSpillsToOtherDomains(t *testing.T) {
	view := viewOf(6, 9, "a", "b")
	c, loads := chooser("a")
	for n := range 6 {
		load := 0
		if n%2 == 0 { // domain a
			load = 9
		}
		loads.RecordReport(ip(n), load, 0, false, time.Second)
	}
	for key := range uint64(20) {
		require.Equal(t, "b", c.Choose(view, "bench", key, nil, time.Second).Domain)
	}
}

func TestSilentTargetsComeLast(t *testing.T) {
	view := viewOf(2, 9, "a")
	c, loads := chooser("a")
	loads.RecordReport(ip(0), 0, 0, true, time.Second)
	loads.RecordReport(ip(1), 8, 0, false, time.Second)
	for key := range uint64(20) {
		require.Equal(t, "i-1", c.Choose(view, "bench", key, nil, time.Second).ID)
	}
	loads.RecordReport(ip(0), 0, 0, false, time.Second)
	require.Equal(t, "i-0", c.Choose(view, "bench", 1, nil, time.Second).ID)
}

func TestAgentThatSaysNothingCountsAsSilent(t *testing.T) {
	view := viewOf(2, 9, "a")
	c, loads := chooser("a")
	loads.RecordReport(ip(1), 8, 0, false, time.Second)
	loads.RecordSent(ip(0), true, time.Second)
	now := 2 * time.Second
	loads.RecordReport(ip(1), 8, 0, false, now)
	require.Equal(t, "i-1", c.Choose(view, "bench", 1, nil, now).ID)
}

func TestFullTargetIsNotOfferedAFlowForAMoment(t *testing.T) {
	view := viewOf(2, 9, "a")
	c, loads := chooser("a")
	loads.RecordNoFreeSlots(ip(0), time.Second)
	loads.RecordNoFreeSlots(ip(1), time.Second)
	require.Nil(t, c.Choose(view, "bench", 1, nil, time.Second+10*ms))
	require.NotNil(t, c.LeastLoaded(view, "bench", 1, nil, time.Second+10*ms), "a flow may wait at a full target")
	require.NotNil(t, c.Choose(view, "bench", 1, nil, time.Second+50*ms))
}

// Pattern: a target that starts or stops refuses each new flow. It has no work, so that it would be the best one for each.
func TestTargetThatRefusesIsNotOfferedAFlowForAWhile(t *testing.T) {
	view := viewOf(3, 9, "a")
	c, loads := chooser("a")
	loads.RecordReport(ip(1), 5, 0, false, time.Second)
	loads.RecordReport(ip(2), 5, 0, false, time.Second)
	require.Equal(t, "i-0", c.Choose(view, "bench", 1, nil, time.Second).ID)
	loads.RecordRefusal(ip(0), time.Second)
	for key := range uint64(20) {
		require.NotEqual(t, "i-0", c.Choose(view, "bench", key, nil, time.Second+200*ms).ID)
		require.NotEqual(t, "i-0", c.LeastLoaded(view, "bench", key, nil, time.Second+200*ms).ID, "nor does a flow wait there")
	}
	require.Equal(t, "i-0", c.Choose(view, "bench", 1, nil, time.Second+300*ms).ID)
}

// Pattern: all targets are full, and what is known of most of them is a report of 200 ms ago. A flow waits at one of those
// that it asked, which have just said what waits there.
func TestFlowWaitsAtATargetThatItAsked(t *testing.T) {
	view := viewOf(9, 4, "a")
	c, loads := chooser("a")
	var tried []uint64
	for n := range 9 {
		loads.RecordReport(ip(n), 4, 0, false, time.Second)
	}
	for n := range 3 {
		loads.RecordReport(ip(n), 4, 9-n, false, time.Second+200*ms)
		tried = append(tried, placement.TargetKey(view.TargetByIP(ip(n))))
	}
	for key := range uint64(20) {
		require.Equal(t, "i-2", c.LeastLoaded(view, "bench", key, tried, time.Second+200*ms).ID)
	}
}

// Pattern: a target answers two of five requests with an error, at once, so that it has little work and would get more of
// them than any other.
func TestTargetThatFailsIsAvoidedAndTriedAgain(t *testing.T) {
	view := viewOf(4, 9, "a")
	c, loads := chooser("a")
	for n := range 4 {
		loads.RecordReport(ip(n), 5, 0, false, time.Second)
	}
	loads.RecordReport(ip(0), 1, 0, false, time.Second)
	loads.RecordFailureRate(ip(0), 0.4, time.Second)
	chosen := func(now time.Duration) (count int) {
		for key := range uint64(100) {
			if c.Choose(view, "bench", key, nil, now).ID == "i-0" {
				count++
			}
		}
		return count
	}
	require.Zero(t, chosen(time.Second))
	require.Positive(t, chosen(6*time.Second), "without reports the share fades")
	loads.RecordFailureRate(ip(0), 0.04, 7*time.Second)
	require.Positive(t, chosen(7*time.Second), "a single failure is no sign")
}

// Requests that fail at each target are not the targets' fault: placement does not change.
func TestTargetsThatAllFailAreChosenAsBefore(t *testing.T) {
	view := viewOf(4, 9, "a")
	c, loads := chooser("a")
	for n := range 4 {
		loads.RecordReport(ip(n), n, 0, false, time.Second)
	}
	before := c.Choose(view, "bench", 1, nil, time.Second).ID
	for n := range 4 {
		loads.RecordFailureRate(ip(n), 1, time.Second)
	}
	require.Equal(t, before, c.Choose(view, "bench", 1, nil, time.Second).ID)
}

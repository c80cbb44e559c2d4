package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

var slowRoute = &directory.Route{Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}, Objective: 200 * ms}

// learn gives the targets, numbered from 0, the durations and limits that their agents report.
func learn(loads *placement.LoadTracker, limit uint8, durations ...time.Duration) {
	speeds := capacity.NewSpeeds(0.2, 2)
	for round := range 2 {
		for n, d := range durations {
			c := encap.Capacity{Limit: limit, RouteTag: capacity.RouteTag(slowRoute.Address), DurationCode: encap.DurationCode(d)}
			target, _ := speeds.Record(ip(n), "bench", 2, c, time.Second-time.Duration(1-round)*200*ms)
			loads.SetLearned(ip(n), target)
		}
	}
}

// shares returns how many of 1,000 flows each target gets, without those counting towards its load.
func shares(c *placement.Chooser, view *directory.View) map[string]int {
	count := map[string]int{}
	for hash := range uint64(1000) {
		count[c.Choose(view, "bench", hash*7919, nil, time.Second).ID]++
	}
	return count
}

// Guards against a loss for the caller of a slow target that sends flows to another failure domain although the caller
// would be in time, and against one that is forgotten when it would not.
func TestSlowTargetIsAvoidedAsFarAsItsCallersLose(t *testing.T) {
	view := newView(2, 2, "a", "b")
	c, loads := newChooser("a")
	c.SetRoute(slowRoute)
	loads.RecordReport(ip(0), 0, 0, false, time.Second)
	loads.RecordReport(ip(1), 0, 0, false, time.Second)
	learn(loads, 2, 80*ms, 20*ms, 20*ms, 20*ms)
	require.Equal(t, 1000, shares(c, view)["i-0"], "in time, in the own failure domain")
	learn(loads, 2, 120*ms, 20*ms, 20*ms, 20*ms)
	require.Equal(t, 1000, shares(c, view)["i-1"], "too slow for the objective")
	c.SetRoute(&directory.Route{Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 9}, Port: 1}, Objective: time.Second})
	learn(loads, 2, 80*ms, 20*ms, 20*ms, 20*ms)
	require.Equal(t, 1000, shares(c, view)["i-1"], "the duration of this route is unknown")
}

// Guards against a search for free slots that ends at a target whose slots are all in use, because it is fast.
func TestChoiceGoesOnWhileAllSlotsAreInUse(t *testing.T) {
	view := newView(6, 2, "a")
	c, loads := newChooser("a")
	c.SetRoute(slowRoute)
	for n := range 5 {
		loads.RecordReport(ip(n), 2, 0, false, time.Second)
	}
	loads.RecordReport(ip(5), 0, 0, false, time.Second)
	learn(loads, 2, 10*ms, 10*ms, 10*ms, 20*ms, 20*ms, 20*ms, 20*ms, 20*ms)
	require.Equal(t, 1000, shares(c, view)["i-5"], "fast targets without free slots")
}

// Guards against placement by learned capacity that differs from that by slots although nothing is unequal: random
// loads, failures and refusals, speeds of 1 and limits equal to the slots.
func TestPlacementIsUnchangedIfSpeedsAreEqual(t *testing.T) {
	view := newView(20, 2, "a", "b")
	plain, plainLoads := newChooser("a")
	learned, learnedLoads := newChooser("a")
	random := rand.New(rand.NewPCG(5, 6))
	learn(learnedLoads, 2, slices.Repeat([]time.Duration{17 * ms}, 20)...)
	now := time.Second
	for range 20_000 {
		now += time.Duration(random.IntN(10)) * ms
		n, inProgress, event := random.IntN(20), random.IntN(5), random.IntN(20)
		for _, loads := range []*placement.LoadTracker{plainLoads, learnedLoads} {
			loads.RecordReport(ip(n), inProgress, event/5, event == 0, now)
			switch event {
			case 1:
				loads.RecordRefusal(ip(n), now)
			case 2:
				loads.RecordNoFreeSlots(ip(n), now)
			case 3:
				loads.RecordFailureRate(ip(n), 0.5, now)
			}
		}
		hash := random.Uint64()
		a, b := plain.Choose(view, "bench", hash, nil, now), learned.Choose(view, "bench", hash, nil, now)
		require.Equal(t, a, b)
		require.Equal(t, plain.LeastLoaded(view, "bench", hash, nil, now), learned.LeastLoaded(view, "bench", hash, nil, now))
		if a != nil {
			plainLoads.RecordSent(a.Address.IP, true, now)
			learnedLoads.RecordSent(a.Address.IP, true, now)
		}
	}
}

// Guards against a target that gets more flows because it answers fast while it fails two of five requests.
func TestFailuresOfFastTargetCostAsMuch(t *testing.T) {
	view := newView(4, 2, "a")
	c, loads := newChooser("a")
	c.SetRoute(slowRoute)
	for n := range 4 {
		loads.RecordReport(ip(n), 1, 0, false, time.Second)
	}
	learn(loads, 2, 12*ms, 20*ms, 20*ms, 20*ms)
	require.Positive(t, shares(c, view)["i-0"])
	loads.RecordFailureRate(ip(0), 0.4, time.Second)
	require.Zero(t, shares(c, view)["i-0"])
}

func BenchmarkChooseLearned(b *testing.B) {
	for _, count := range []int{10, 52, 109, 7100} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d,learned=%t", count, on), func(b *testing.B) {
				view := newView(count, 2, "a", "b", "c")
				c, loads := newChooser("a")
				durations := make([]time.Duration, count)
				for n := range count {
					durations[n] = time.Duration(10+n%20) * ms
					loads.RecordReport(ip(n), n%2, 0, false, time.Second)
				}
				if on {
					learn(loads, 2, durations...)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					c.SetRoute(slowRoute)
					c.Choose(view, "bench", uint64(i), nil, time.Second)
				}
			})
		}
	}
}

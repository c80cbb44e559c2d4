package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/placement"
)

var benchClass = placement.Class{Service: "bench", Priority: 2, Objective: 300 * ms}

// Load: all of eight targets are overloaded. Guards against refusals that count for flows which the target would admit:
// those of a higher priority, or with a longer objective.
func TestRefusalHoldsForEquallyOrLessUrgentFlows(t *testing.T) {
	o := placement.NewOverloadTracker(newView(8, 2, "a"))
	for n := range 8 {
		o.RecordRefusal(ip(n), benchClass, time.Second)
	}
	for _, c := range []struct {
		class placement.Class
		want  bool
	}{
		{benchClass, true},
		{placement.Class{Service: "bench", Priority: 3, Objective: 300 * ms}, true},
		{placement.Class{Service: "bench", Priority: 2, Objective: 200 * ms}, true},
		{placement.Class{Service: "bench", Priority: 1, Objective: 300 * ms}, false},
		{placement.Class{Service: "bench", Priority: 2, Objective: 800 * ms}, false},
		{placement.Class{Service: "bench", Priority: 2}, false},
		{placement.Class{Service: "archive", Priority: 2, Objective: 300 * ms}, false},
	} {
		require.Equal(t, c.want, o.Assess(c.class, time.Second).Overloaded, "%+v", c.class)
	}
}

// Load: flows of many priorities are refused. Guards against state that grows without bound, and against refusals of
// some kinds that hide those of others.
func TestOverloadStateIsBounded(t *testing.T) {
	view := newView(8, 2, "a")
	o := placement.NewOverloadTracker(view)
	now := time.Second
	for n := range 8 {
		for priority := range 100 {
			o.RecordRefusal(ip(n), placement.Class{Service: "bench", Priority: uint8(priority), Objective: 300 * ms}, now+time.Duration(priority))
		}
		o.RecordRefusal(ip(100+n), benchClass, now) // not in the view
	}
	last := placement.Class{Service: "bench", Priority: 99, Objective: 300 * ms}
	require.True(t, o.Assess(last, now+100).Overloaded)
	require.False(t, o.Assess(benchClass, now+100).Overloaded, "replaced by later refusals")
	listed := o.AppendOverloaded(nil, now+100)
	require.Len(t, listed, 1)
	require.Equal(t, 8, listed[0].Said)
	require.Equal(t, 8, listed[0].Eligible)

	o.SetView(newView(2, 2, "a"), now+100)
	o.SetView(view, now+100)
	require.False(t, o.Assess(last, now+200*ms).Overloaded, "targets that left are forgotten")
}

// Load: all targets are overloaded, then their queues drain. Guards against refusals that outlast the overload.
func TestShortWaitRevokesRefusals(t *testing.T) {
	o := placement.NewOverloadTracker(newView(8, 2, "a"))
	report := func(wait, now time.Duration) {
		for n := range 3 {
			o.RecordReport(ip(n), encap.WaitCode(wait), now)
		}
	}
	for n := range 8 {
		o.RecordRefusal(ip(n), benchClass, time.Second)
	}
	report(280*ms, time.Second+50*ms)
	require.True(t, o.Assess(benchClass, time.Second+50*ms).Overloaded, "a target that sheds keeps its wait below the objective")
	report(140*ms, time.Second+100*ms)
	require.False(t, o.Assess(benchClass, time.Second+100*ms).Overloaded)
}

// Load: eight targets are overloaded, and the balancer has so few flows that each target refuses one of them only once.
// Guards against balancers that forget within 500 ms what they cannot hear again, and against refusals that are
// prolonged for good by a queue that is long for another reason.
func TestLongWaitProlongsRefusals(t *testing.T) {
	o := placement.NewOverloadTracker(newView(8, 2, "a"))
	for n := range 8 {
		o.RecordRefusal(ip(n), benchClass, time.Second)
	}
	for now := time.Second; now < 4*time.Second; now += 200 * ms {
		for n := range 8 {
			o.RecordReport(ip(n), encap.WaitCode(280*ms), now)
		}
		require.Equal(t, now < 3500*ms, o.Assess(benchClass, now).Overloaded, "at %s", now)
	}
	require.True(t, o.Assess(benchClass, 4100*ms).IsFull)
	require.False(t, o.Assess(benchClass, 4400*ms).IsFull, "no reports")
}

// Load: ten targets are overloaded, and the balancer's reports are recent. Guards against direct offers to targets that
// said that they are overloaded, or do not answer, while others may have room.
func TestShortestWaitPrefersTargetsWithRoom(t *testing.T) {
	view := newView(12, 2, "a")
	c, loads := newChooser("a")
	o := placement.NewOverloadTracker(view)
	now := time.Second
	for n := range 12 {
		o.RecordReport(ip(n), encap.WaitCode(time.Duration(20*n)*ms), now)
		loads.RecordReport(ip(n), 2, 0, n == 0, now) // the agent of target 0 gets no answers
	}
	for n := 2; n < 12; n++ {
		o.RecordRefusal(ip(n), benchClass, now)
	}
	seen := map[*directory.Target]int{}
	for hash := range uint64(1000) {
		seen[c.ShortestWait(view, benchClass, hash, nil, o, now)]++
	}
	withRoom := seen[view.TargetByIP(ip(1))]
	require.InDelta(t, 500, withRoom, 60, "it is among the first six of twelve for half of the flows")
	require.Zero(t, seen[view.TargetByIP(ip(0))])
	tried := []uint64{placement.TargetKey(view.TargetByIP(ip(1)))}
	for hash := range uint64(1000) {
		require.NotEqual(t, view.TargetByIP(ip(1)), c.ShortestWait(view, benchClass, hash, tried, o, now))
	}
}

// Guards against memory that is allocated for each decision.
func TestOverloadDecisionsDoNotAllocate(t *testing.T) {
	view := newView(64, 2, "a", "b")
	c, _ := newChooser("a")
	o := placement.NewOverloadTracker(view)
	now, hash := time.Second, uint64(0)
	decide := func() {
		now += 5 * ms
		hash++
		for n := range 64 {
			o.RecordReport(ip(n), 70, now)
			o.RecordRefusal(ip(n), benchClass, now)
		}
		if !o.Assess(benchClass, now).Overloaded || c.ShortestWait(view, benchClass, hash, nil, o, now) == nil {
			t.Fatal("not overloaded")
		}
	}
	decide()
	require.Zero(t, testing.AllocsPerRun(100, decide))
}

// BenchmarkAssess measures the question that is asked for each new flow of an overloaded service, at 1,000 flows a
// second, and the share of it that an evaluation over all targets takes.
func BenchmarkAssess(b *testing.B) {
	for _, count := range []int{64, 7100} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			o := placement.NewOverloadTracker(newView(count, 2, "a", "b"))
			now := time.Second
			b.ReportAllocs()
			for i := range b.N {
				if i%100 == 0 {
					b.StopTimer()
					for n := range count {
						o.RecordRefusal(ip(n), benchClass, now)
					}
					b.StartTimer()
				}
				now += ms
				o.Assess(benchClass, now)
			}
		})
	}
}

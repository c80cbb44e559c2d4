package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/packetstatus"
)

var learning = loadcontrol.Settings{MaxSlots: 9, LearnedCapacity: true, MinWeight: 0.2, MaxWeight: 2}

func capacityReport(limit uint8, duration time.Duration) *encap.Header {
	return &encap.Header{Kind: encap.KindReport, Capacity: encap.Capacity{
		Limit: limit, RouteTag: capacity.RouteTag(serviceAddress), DurationCode: encap.DurationCode(duration),
	}}
}

// statusOf returns the status of target n.
func statusOf(d *dispatch.Dispatcher, n int, now time.Duration) packetstatus.Target {
	for _, t := range d.Targets(now) {
		if t.ID == fmt.Sprintf("i-%d", n) {
			return t
		}
	}
	return packetstatus.Target{}
}

// Guards against decisions that change although load control is off, or on for other services, while agents of the
// present version report learned capacities, or although agents of earlier versions report none: 5,000 reports and new
// flows at 9 targets.
func TestDecisionsAreUnchangedWithoutLearning(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(9)
	for _, s := range []loadcontrol.Settings{
		{},
		{MaxSlots: 8, LearnedCapacity: true, MinWeight: 0.2, MaxWeight: 2},
		{MaxSlots: 255, LearnedCapacity: true, MinWeight: 0.2, MaxWeight: 2, Services: []string{otherService}},
		{MaxSlots: 255, ShedOverload: false, MinWeight: 0.2, MaxWeight: 2},
		learning,
	} {
		plain := f.dispatcher()
		d := f.dispatcher()
		d.SetLoadControl(s)
		random := rand.New(rand.NewPCG(1, 2))
		now := seconds(1)
		for n := range 5000 {
			now += time.Duration(random.IntN(5)) * time.Millisecond
			from := ip(1 + random.IntN(9))
			h := encap.Header{Kind: encap.KindReport, Load: uint8(random.IntN(12)), Waiting: uint8(random.IntN(3)), FailedPercent: uint8(random.IntN(20))}
			plain.HandleReport(from, &h, now)
			if s.MaxSlots == learning.MaxSlots { // with agents of earlier versions
				d.HandleReport(from, &h, now)
			} else {
				h.Capacity = encap.Capacity{Limit: uint8(random.IntN(12)), RouteTag: uint8(random.IntN(3)), DurationCode: uint8(random.IntN(256))}
				d.HandleReport(from, &h, now)
			}
			p := syn(uint16(n), 0)
			require.Equal(t, plain.HandleCallerPacket(p, now), d.HandleCallerPacket(p, now))
		}
		require.Equal(t, plain.Targets(now), d.Targets(now))
	}
}

// Guards against a target that became 5 times slower and is placed on as before: with 10 requests a second, its speed is
// known at the balancer within 1 s of the first slow response.
func TestSlowTargetIsKnownToBalancerWithinASecond(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(5)
	d := f.dispatcher()
	d.SetLoadControl(learning)
	learners := map[int]*capacity.Learner{}
	for n := 1; n <= 5; n++ {
		learners[n] = capacity.NewLearner()
	}
	slowAt, knownAt, normalAt := seconds(20), time.Duration(0), time.Duration(0)
	for now := seconds(1); now < seconds(60); now += 100 * time.Millisecond {
		for n, l := range learners {
			r := capacity.Request{RouteTag: 1, Duration: 20 * time.Millisecond, InProgress: 1, Slots: 9}
			if n == 1 && now >= slowAt && now < seconds(40) {
				r.Duration *= 5
			}
			l.Record(&r, now)
			if now/(100*time.Millisecond)%2 == 0 {
				d.HandleReport(ip(n), &encap.Header{Kind: encap.KindReport, Capacity: l.Report(9, now)}, now)
			}
		}
		speed := statusOf(d, 1, now).Speed
		if knownAt == 0 && now >= slowAt && speed < 0.55 {
			knownAt = now
		}
		if normalAt == 0 && now > seconds(40) && speed > 0.8 {
			normalAt = now
		}
	}
	t.Logf("speed below 0.55 after %v, above 0.8 again %v after the end", knownAt-slowAt, normalAt-seconds(40))
	require.LessOrEqual(t, knownAt-slowAt, time.Second)
	require.Positive(t, normalAt)
	require.Less(t, normalAt-seconds(40), seconds(2))
	changes, dropped, implausible := d.TakeCapacityChanges()
	require.Len(t, changes, 2, "slow, and no longer slow")
	require.Zero(t, dropped+implausible)
}

// Guards against learned capacities that outlive their target or reach another one: an address that a target of another
// service gets, a target that leaves, and load control that is switched off; and against a crash or unbounded lines on
// reports from unknown addresses or with odd figures.
func TestCapacityIsForgottenWithItsTarget(t *testing.T) {
	f := newFleet(t)
	f.addReadyTargets(4)
	d := f.dispatcher()
	d.SetLoadControl(learning)
	for round := range 5 {
		for n := 1; n <= 4; n++ {
			d.HandleReport(ip(n), capacityReport(5, time.Duration(n*n)*10*time.Millisecond), seconds(float64(round+1)))
		}
	}
	require.Less(t, statusOf(d, 4, seconds(5)).Speed, 0.5)
	require.Equal(t, 5, statusOf(d, 4, seconds(5)).Limit)
	d.HandleReturn(ip(4), &encap.Header{Kind: encap.KindReturn, Reason: encap.ReasonBusy}, syn(1, 0), seconds(5))
	require.Less(t, statusOf(d, 4, seconds(5)).Speed, 0.5, "datagrams other than reports tell nothing")
	f.putTargetOf(otherService, 4)
	d.SetView(f.dir.View(), seconds(5), seconds(5))
	require.Zero(t, statusOf(d, 4, seconds(5)).Speed)
	require.NotZero(t, statusOf(d, 3, seconds(5)).Speed)
	d.TakeCapacityChanges()
	for n := range 200 {
		d.HandleReport(ip(n), &encap.Header{Kind: encap.KindReport, Capacity: encap.Capacity{Limit: 255, RouteTag: uint8(n), DurationCode: 255}}, seconds(6))
	}
	changes, dropped, implausible := d.TakeCapacityChanges()
	require.Equal(t, 4, implausible)
	require.LessOrEqual(t, len(changes), 32)
	require.Zero(t, dropped)
	for range 100 {
		d.HandleReport(ip(1), capacityReport(255, time.Millisecond), seconds(7))
	}
	changes, dropped, implausible = d.TakeCapacityChanges()
	require.Equal(t, []int{32, 68, 100}, []int{len(changes), dropped, implausible})
	d.SetLoadControl(loadcontrol.Settings{})
	require.Zero(t, statusOf(d, 3, seconds(7)).Speed)
}

func BenchmarkPlaceFlowLearned(b *testing.B) {
	for _, targets := range []int{109, 7100} {
		for _, name := range []string{"off", "learned"} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, targets), func(b *testing.B) {
				d := benchDispatcher(targets)
				if name == "learned" {
					d.SetLoadControl(learning)
				}
				for round := range 2 {
					for n := range targets {
						h := capacityReport(9, time.Duration(10+n%20)*time.Millisecond)
						d.HandleReport([4]byte{10, 1, byte(n >> 8), byte(n)}, h, seconds(0.5+float64(round)/4))
					}
				}
				p := syn(1, 0)
				b.ReportAllocs()
				b.ResetTimer()
				for n := range b.N {
					d.HandleCallerPacket(setCaller(p, n), seconds(1))
				}
			})
		}
	}
}

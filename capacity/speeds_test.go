package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

func ip(n int) [4]byte { return [4]byte{10, 0, byte(n >> 8), byte(n)} }

func report(tag uint8, duration time.Duration) encap.Capacity {
	return encap.Capacity{Limit: slots, RouteTag: tag, DurationCode: encap.DurationCode(duration)}
}

// reportAll records two rounds of reports about a route, so that all speeds are by the medians of all targets. It
// returns the targets.
func reportAll(s *capacity.Speeds, tag uint8, now time.Duration, durations ...time.Duration) []*capacity.Target {
	targets := make([]*capacity.Target, len(durations))
	for round := range 2 {
		for n, d := range durations {
			targets[n], _ = s.Record(ip(n), "bench", slots, report(tag, d), now+time.Duration(round)*200*ms)
		}
	}
	return targets
}

// Guards against targets of unequal speed that get equal work, and against targets that are avoided because all of them
// became slow.
func TestSpeedIsRelativeToMedian(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	now := time.Second
	targets := reportAll(s, 1, now, 20*ms, 20*ms, 20*ms, 200*ms, 10*ms, 5*ms, 40*ms)
	want := []float64{1, 1, 1, 0.2, 2, 2, 0.5}
	for n := range targets {
		require.InDelta(t, want[n], targets[n].Speed(now+200*ms), 0.06, "target %d", n)
	}
	now += 10 * time.Second
	for _, target := range reportAll(s, 1, now, 100*ms, 100*ms, 104*ms, 100*ms) {
		require.InDelta(t, 1, target.Speed(now+200*ms), 0.06, "all targets are slow at once")
	}
}

// Guards against a target that counts as slow because it gets more of the long requests: its mean over all requests is
// four times that of the others.
func TestMixOfRoutesIsNotSlowness(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	for round := range 5 {
		now := time.Duration(round+1) * 200 * ms
		for n := range 4 {
			s.Record(ip(n), "bench", slots, report(1, 10*ms), now)
			s.Record(ip(n), "bench", slots, report(2, 80*ms), now)
		}
		target, _ := s.Record(ip(4), "bench", slots, report(2, 80*ms), now)
		require.InDelta(t, 1, target.Speed(now), 0.001)
	}
}

// Guards against speeds by the word of two targets, which may both be odd.
func TestSpeedNeedsThreeTargets(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	targets := reportAll(s, 1, time.Second, 10*ms, 100*ms)
	require.Equal(t, 1.0, targets[0].Speed(time.Second+200*ms))
	require.Equal(t, 1.0, targets[1].Speed(time.Second+200*ms))
	other, _ := s.Record(ip(5), "archive", slots, report(1, 10*ms), 2*time.Second)
	require.Equal(t, 1.0, other.Speed(2*time.Second), "a target of another service")
}

// Guards against a target that is avoided for good: one that gets no requests has no durations to report.
func TestSpeedReturnsToOneWithoutReports(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	now := time.Second
	slow := reportAll(s, 1, now, 10*ms, 10*ms, 10*ms, 40*ms)[3]
	now += 200 * ms
	require.InDelta(t, 0.25, slow.Speed(now), 0.02)
	require.InDelta(t, 0.25, slow.Speed(now+5200*ms), 0.02, "reports with capacity are rare and cover the routes in turn")
	require.InDelta(t, 0.62, slow.Speed(now+7750*ms), 0.03)
	s.Record(ip(3), "bench", slots, encap.Capacity{Limit: slots}, now+8*time.Second)
	require.Less(t, slow.Speed(now+8*time.Second), 0.8, "a report without duration changes nothing")
	require.Equal(t, 1.0, slow.Speed(now+10*time.Second))
	require.Zero(t, slow.Duration(1, now+11*time.Second))
}

// Guards against an agent that restarts and whose target stays slow or limited.
func TestRestartedAgentForgets(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	now := time.Second
	reportAll(s, 1, now, 10*ms, 10*ms, 10*ms, 40*ms)
	limited := report(1, 40*ms)
	limited.Limit = 1
	target, change := s.Record(ip(3), "bench", slots, limited, now+400*ms)
	require.Equal(t, 1, target.Limit(slots, now+400*ms))
	require.Equal(t, slots, target.Limit(slots, now+11*time.Second), "no reports")
	require.Equal(t, [2]int{2, 1}, [2]int{change.LimitFrom, change.LimitTo})
	target, change = s.Record(ip(3), "bench", slots, capacity.Unknown, now+600*ms)
	require.Equal(t, 1.0, target.Speed(now+600*ms))
	require.Equal(t, slots, target.Limit(slots, now+600*ms))
	require.True(t, change.IsLogged())
}

// Guards against reports with odd figures that harm more than the target they are about, and against memory that grows
// with them.
func TestImplausibleReportsAreBounded(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	now := time.Second
	targets := reportAll(s, 1, now, 10*ms, 10*ms, 10*ms)
	for round := range 50 {
		now += 200 * ms
		for code := range 256 {
			c := encap.Capacity{Limit: uint8(code), RouteTag: uint8(code * round), DurationCode: uint8(code)}
			odd, change := s.Record(ip(9), "bench", slots, c, now)
			require.Equal(t, code > slots, change.Implausible && odd.Limit(slots, now) == slots, "code %d", code)
			require.InDelta(t, 1.1, odd.Speed(now), 0.901)
			require.LessOrEqual(t, odd.Limit(slots, now), slots)
		}
		for n := range 3 {
			s.Record(ip(n), "bench", slots, report(1, 10*ms), now)
		}
		require.InDelta(t, 1, targets[0].Speed(now), 0.06, "other targets")
	}
	_, change := s.Record(ip(9), "bench", slots, encap.Capacity{DurationCode: 255}, now)
	require.True(t, change.Implausible, "longer than an agent waits for a response")
	s.Record(ip(9), "archive", slots, report(1, 10*ms), now)
	require.Equal(t, 4, s.Len(), "a VM has one target")
	for _, address := range s.Outdated(func(_ [4]byte, service string) bool { return service == "bench" }) {
		s.Forget(address)
	}
	require.Equal(t, 3, s.Len())
}

// Guards against a log line per report of a target whose speed is close to a half.
func TestSlowTargetIsLoggedOnce(t *testing.T) {
	s := capacity.NewSpeeds(0.2, 2)
	reportAll(s, 1, time.Second, 20*ms, 20*ms, 20*ms, 20*ms)
	slow, normal := 0, 0
	for round, d := range []time.Duration{41 * ms, 45 * ms, 39 * ms, 41 * ms, 36 * ms, 100 * ms, 20 * ms, 21 * ms} {
		_, change := s.Record(ip(3), "bench", slots, report(1, d), time.Duration(round+6)*200*ms)
		if change.BecameSlow {
			slow++
		}
		if change.BecameNormal {
			normal++
		}
	}
	require.Equal(t, []int{1, 1}, []int{slow, normal})
}

// Checks that processes agree on the tag of a route: it is part of the format of reports.
func TestRouteTagIsStable(t *testing.T) {
	seen := map[uint8]bool{}
	for n := range 16 {
		seen[capacity.RouteTag(flow.Endpoint{IP: [4]byte{198, 18, 0, byte(n)}, Port: 443})] = true
	}
	require.Greater(t, len(seen), 13)
	require.Equal(t, uint8(0xfc), capacity.RouteTag(flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}))
}

func BenchmarkRecord(b *testing.B) {
	s := capacity.NewSpeeds(0.2, 2)
	const targets = 7100
	b.ReportAllocs()
	for n := range b.N {
		now := time.Second + time.Duration(n)*200*ms/targets
		s.Record(ip(n%targets), "bench", slots, report(uint8(n/targets%2), 10*ms), now)
	}
}

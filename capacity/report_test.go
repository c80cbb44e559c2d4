package capacity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/encap"
)

// Guards against a report by a handful of requests, and against durations of requests long ago.
func TestFewSamplesAreNotReported(t *testing.T) {
	l := capacity.NewLearner()
	now := time.Second
	for n := range 20 {
		now += 100 * ms
		l.Record(&capacity.Request{RouteTag: 1, Duration: 10 * ms, InProgress: 1, Slots: slots}, now)
		known := l.Duration(now) != 0
		require.Equal(t, n >= 9, known, "after %d requests", n+1)
	}
	require.Equal(t, encap.Capacity{Limit: slots}, l.Report(slots, now+3*time.Second), "no requests lately")
	l.Record(&capacity.Request{RouteTag: 1, Duration: 70 * ms, InProgress: 1, Slots: slots}, now+time.Minute)
	require.Less(t, l.Duration(now+time.Minute), 13*ms, "one long request after a pause")
	l.Record(&capacity.Request{RouteTag: 2, Duration: time.Second, InProgress: 3, Slots: slots}, now+time.Minute)
	require.Zero(t, l.Duration(now+2*time.Minute))
}

// reportFor records a request on route 200 and now and then one on route 3, and returns the reports of a minute, of which
// there is one each 200 ms.
func reportFor(l *capacity.Learner, gap time.Duration, random *rand.Rand) []encap.Capacity {
	var reports []encap.Capacity
	nextReport := time.Second
	for now := time.Second; now < 61*time.Second; now += gap {
		r := capacity.Request{RouteTag: 200, Duration: 10 * ms, InProgress: 1, Slots: slots}
		if random.IntN(4) == 0 {
			r.RouteTag, r.Duration = 3, 80*ms
		}
		if random.Float64() < longShare {
			r.Duration *= longFactor
		}
		l.Record(&r, now)
		for ; nextReport <= now; nextReport += 200 * ms {
			reports = append(reports, l.Report(slots, now))
		}
	}
	return reports
}

// Guards against a route that is never reported beside a busier one, and against reports whose bytes grow by more than a
// tenth, at 10 and at 80 requests a second.
func TestReportsAreRareAndCoverRoutesInTurn(t *testing.T) {
	for _, gap := range []time.Duration{100 * ms, 12500 * time.Microsecond} {
		count, tags := 0, map[uint8]int{}
		all := reportFor(capacity.NewLearner(), gap, rand.New(rand.NewPCG(1, 1)))
		for _, c := range all {
			if c == (encap.Capacity{}) {
				continue
			}
			count++
			tags[c.RouteTag]++
		}
		const plainBytes, capacityBytes = encap.ReportBytes, 5 // the share of failures included
		growth := float64(count*capacityBytes) / float64(len(all)*plainBytes)
		t.Logf("one request each %v: %d of %d reports with capacity, %.1f%% more bytes, by route %v", gap, count, len(all), 100*growth, tags)
		require.Less(t, growth, 0.1)
		require.GreaterOrEqual(t, tags[3], 8)
		require.GreaterOrEqual(t, tags[200], 8)
	}
}

// Guards against a change that is reported only with the next regular report.
func TestMuchSlowerRouteIsReportedAtOnce(t *testing.T) {
	l := capacity.NewLearner()
	now := time.Second
	record := func(d time.Duration) encap.Capacity {
		now += 100 * ms
		l.Record(&capacity.Request{RouteTag: 1, Duration: d, InProgress: 1, Slots: slots}, now)
		return l.Report(slots, now)
	}
	require.Equal(t, capacity.Unknown, record(10*ms))
	for range 50 {
		record(10 * ms)
	}
	start, c := now, encap.Capacity{}
	for encap.Duration(c.DurationCode) < 15*ms {
		c = record(50 * ms)
	}
	require.LessOrEqual(t, now-start, 700*ms)
}

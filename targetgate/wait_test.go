package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/targetgate"
)

// cold is a last offer to a cold target that gets one new flow a second. It waits where another one came before it.
func cold(port, copies int) *targetgate.Offer {
	o := last(port, copies)
	o.ColdRate = 1
	return o
}

// New flows wait at a cold target: first come those that can still be in time, by priority and the newest first.
func TestWaitingFlowsGoInTheOrderThatServesMostInTime(t *testing.T) {
	g := targetgate.New()
	g.Offer(cold(200, 0), 500*ms)
	late, fresh, urgent, older := cold(201, 2), cold(202, 0), cold(203, 0), cold(204, 0)
	older.Priority, fresh.Priority, late.Priority, urgent.Priority = 2, 2, 1, 1
	now := 1440 * ms
	for _, o := range []*targetgate.Offer{late, older, fresh, urgent} {
		o.LatencyObjective = 10 * time.Second
		if o == late {
			o.LatencyObjective = 250 * ms
		}
		verdict, _ := g.Offer(o, now)
		require.Equal(t, targetgate.Wait, verdict)
		now += ms
	}
	key, ok := g.NextFlow(1500 * ms)
	require.True(t, ok)
	require.Equal(t, keyOf(203), key)
	key, ok = g.NextFlow(2500 * ms)
	require.True(t, ok)
	require.Equal(t, keyOf(202), key)
	require.Equal(t, 1, g.Waiting(), "the caller of the late one has given up")
}

func TestOnlyALastOfferWaits(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	verdict, reason := g.Offer(offer(100), time.Second)
	require.Equal(t, targetgate.Refuse, verdict, "another target may have room")
	require.Equal(t, encap.ReasonBusy, reason)
	verdict, reason = g.Offer(last(100, 0), time.Second)
	require.Equal(t, targetgate.Accept, verdict, "the request of the flow waits")
	require.Equal(t, encap.ReasonBusy, reason)
}

func TestCopyTakesThePlaceOfItsSyn(t *testing.T) {
	g := targetgate.New()
	g.Offer(cold(99, 0), time.Second)
	g.Offer(cold(100, 0), time.Second)
	g.Offer(cold(100, 1), time.Second+200*ms)
	require.Equal(t, 1, g.Waiting())
}

func TestFlowsWaitNoLongerThanTheirCallers(t *testing.T) {
	g := targetgate.New()
	g.Offer(cold(99, 0), time.Second)
	g.Offer(cold(100, 2), time.Second)
	require.Equal(t, 1, g.Waiting())
	_, ok := g.NextFlow(time.Second + 900*ms)
	require.False(t, ok)
	require.Zero(t, g.Waiting(), "the attempt of its caller ended")
}

// What would get its slot only after its caller gave up is refused at once.
func TestQueueIsNoLongerThanItsUse(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	accepted, refused := 0, 0
	for port := 1000; port < 2000; port++ {
		switch verdict, _ := g.Offer(last(port, 0), time.Second); verdict {
		case targetgate.Accept:
			accepted++
		case targetgate.Refuse:
			refused++
		}
	}
	require.Positive(t, refused)
	require.Positive(t, accepted)
	worst := time.Duration(accepted) * 50 * ms / 9
	require.LessOrEqual(t, worst, 1400*ms)
}

func TestColdTargetGetsItsRateInAnySecond(t *testing.T) {
	g := targetgate.New()
	var accepted []time.Duration
	for now := time.Second; now < 6*time.Second; now += 7 * ms {
		o := offer(int(now / ms))
		o.Slots, o.ColdRate = 1000, 4.5
		if verdict, _ := g.Offer(o, now); verdict == targetgate.Accept {
			accepted = append(accepted, now)
		}
	}
	require.Greater(t, len(accepted), 15)
	for i := 4; i < len(accepted); i++ {
		require.GreaterOrEqual(t, accepted[i]-accepted[i-4], time.Second, "at most four in any second")
	}
}

func TestColdRateCountsFlowsThatWaited(t *testing.T) {
	g := targetgate.New()
	for port := 1; port <= 6; port++ {
		o := last(port, 0)
		o.ColdRate = 2
		g.Offer(o, time.Second)
	}
	require.Equal(t, 4, g.Waiting())
	_, ok := g.NextFlow(time.Second + 500*ms)
	require.False(t, ok)
}

package targetgate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// slowFifth makes a fifth of the targets 4 times slower.
func slowFifth(target int, _ time.Duration) float64 {
	if target%5 == 0 {
		return 0.25
	}
	return 1
}

func duringBurst(r *overloadRun) func(*simRequest) bool {
	return func(q *simRequest) bool { return q.sent < runStart+r.burst }
}

// workShare returns the share of the targets' capacity during the burst that answered requests in time.
func (r *overloadRun) workShare(o *outcomes) float64 {
	speed := 0.0
	for i := range r.targets {
		speed += r.speed(i, runStart+r.burst/2)
	}
	return o.work.Seconds() * (1 + 6*r.longShare) / (speed * float64(r.slots) * r.burst.Seconds())
}

// Load: 2.4 times the capacity for 6 s, a fifth of the targets 4 times slower, 2 slots. Guards against the fault that
// most of the capacity goes to late requests and callers wait for their deadline.
func TestOverloadIsAnsweredInTimeOrRefused(t *testing.T) {
	played := map[bool]outcomes{}
	for _, shed := range []bool{false, true} {
		run := balcaoRun(2.4, 2, nil)
		run.burst, run.speeds = 6*time.Second, slowFifth
		if shed {
			run.policy = shedding()
		}
		o := count(run.run(), duringBurst(run))
		t.Logf("shed %v: %.2f of the capacity; %+v", shed, run.workShare(&o), o)
		played[shed] = o
		if !shed {
			continue
		}
		require.Greater(t, run.workShare(&o), 0.85, "nearly all of the capacity answers in time")
		require.Zero(t, o.failed, "no caller waits for its deadline")
		last := count(run.requests, func(q *simRequest) bool { return q.sent > runStart+time.Second && q.sent < runStart+run.burst })
		require.Less(t, last.slowestRefusal, 20*ms, "refused within a few milliseconds")
	}
	require.Greater(t, played[true].inTime, played[false].inTime)
}

// Load: 2.0 times the capacity for 7 s, then 0.5 times, 2 and 9 slots. Guards against an overload that outlasts its
// cause.
func TestDelayIsNormalWithinASecondOfOverload(t *testing.T) {
	for _, slots := range []int{2, 9} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			run := balcaoRun(2, slots, shedding())
			requests := run.run()
			o := count(requests, duringBurst(run))
			require.Greater(t, run.workShare(&o), 0.85)
			after := count(requests, func(q *simRequest) bool { return q.sent > runStart+run.burst+time.Second })
			require.Zero(t, after.refused+after.failed)
			require.GreaterOrEqual(t, float64(after.inTime), 0.99*float64(after.asked))
		})
	}
}

// sheddingGate returns a gate with shedding.
func sheddingGate() *Gate { return (&overloadRun{policy: shedding()}).newGate() }

// numberedKey returns the key of a flow of one caller.
func numberedKey(n int) flow.Key {
	return flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: uint16(n)},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

// openNumbered offers a flow that may wait and, if the gate accepts it, sends its request.
func openNumbered(g *Gate, n, retransmission int, budget, now time.Duration) (Verdict, encap.Reason) {
	o := &Offer{Key: numberedKey(n), Retransmission: retransmission, Last: true, Slots: 2, LatencyObjective: 300 * ms}
	verdict, reason := g.Offer(o, now)
	if verdict == Accept {
		g.FromTarget(o.Key, &flow.Packet{Syn: true, AckFlag: true}, now)
		g.FromCaller(o.Key, &flow.Packet{Seq: 1, AckFlag: true, DataLen: 100, Budget: budget}, flow.Endpoint{}, now)
	}
	return verdict, reason
}

// Load: 20 new flows each ms at a target that has stopped answering requests. Guards against a refusal that names an
// overload before it has lasted for the objective, since callers would use up their attempts within milliseconds, also
// after a restart of the agent.
func TestReasonOverloadedFollowsOverloadOfAnObjective(t *testing.T) {
	for range 2 { // the second gate is that of the restarted agent
		g := sheddingGate()
		var refused, overloaded time.Duration
		for n := 0; overloaded == 0 && n < 20*500; n++ {
			now := time.Second + time.Duration(n/20)*ms
			verdict, reason := openNumbered(g, n, 0, 3*time.Second, now)
			if verdict == Refuse && refused == 0 {
				refused = now
			}
			if reason == encap.ReasonOverloaded {
				overloaded = now
			}
		}
		require.Greater(t, overloaded-refused, 300*ms)
		require.Less(t, overloaded-refused, 310*ms)
	}
}

// warmGate returns a gate that has learned the service time of 20 ms and the budget of 3 s of its callers, and the time
// at which it is idle.
func warmGate(t *testing.T) (*Gate, time.Duration) {
	t.Helper()
	g, now := sheddingGate(), time.Second
	for n := 1; n <= 60; n++ {
		verdict, _ := openNumbered(g, n, 0, 3*time.Second, now)
		require.Equal(t, Accept, verdict)
		now += 20 * ms
		g.FromTarget(numberedKey(n), &flow.Packet{AckFlag: true, Seq: 1, DataLen: 500}, now)
	}
	return g, now
}

// Load: new flows of all ages at a target whose queue is more than half as long as permitted. A flow that can be in time
// is accepted; one that is too old would only delay the others.
func TestLateFlowIsAcceptedOnlyIfQueueIsShort(t *testing.T) {
	g, now := warmGate(t)
	verdict, _ := openNumbered(g, 101, 2, 3*time.Second, now)
	require.Equal(t, Accept, verdict, "the target is idle")
	for n := 102; g.ExpectedWait(now) <= g.permittedWait(300*ms, 0.6); n++ {
		openNumbered(g, n, 0, 3*time.Second, now)
	}
	verdict, reason := openNumbered(g, 200, 2, 3*time.Second, now)
	require.Equal(t, Refuse, verdict)
	require.Equal(t, encap.ReasonBusy, reason)
	verdict, _ = openNumbered(g, 201, 0, 3*time.Second, now)
	require.Equal(t, Accept, verdict)
}

// Load: a full queue with a late request and a retry, and a new request after each answer. Late requests and retries get
// no more than their share of the starts, and all are served before their callers give up.
func TestLateRequestsAndRetriesGetTheirShare(t *testing.T) {
	for _, late := range []struct {
		left               time.Duration
		lastStart, between int
	}{
		{left: 2 * time.Second, lastStart: 2*32 - 1, between: 32},
		{left: 700 * ms, lastStart: 700/10 - 1, between: 2}, // it would miss its deadline
	} {
		g, now := warmGate(t)
		var running []flow.Key
		open := func(n int, budget time.Duration) {
			verdict, _ := openNumbered(g, n, 0, budget, now)
			require.Equal(t, Accept, verdict)
			if g.inProgress[numberedKey(n)] != nil {
				running = append(running, numberedKey(n))
			}
		}
		for n := 101; n <= 104; n++ {
			open(n, 3*time.Second)
		}
		open(200, late.left)           // late
		open(201, 3*time.Second-50*ms) // a retry that can be in time
		var starts []int
		for n := 0; n < 80; n++ {
			now += 10 * ms
			g.FromTarget(running[0], &flow.Packet{AckFlag: true, Seq: 1, DataLen: 500}, now)
			key, ok := g.NextRequest(now)
			require.True(t, ok)
			if key == numberedKey(200) || key == numberedKey(201) {
				starts = append(starts, n)
			}
			running = append(running[1:], key)
			open(300+n, 3*time.Second)
		}
		require.Len(t, starts, 2)
		require.GreaterOrEqual(t, starts[0], 31)
		require.GreaterOrEqual(t, starts[1]-starts[0], late.between)
		require.LessOrEqual(t, starts[1], late.lastStart)
	}
}

// Load: 2.4 times the capacity, of which one of six callers sends three quarters. Guards against callers with few flows
// that are displaced by one with many.
func TestCallersWithFewFlowsAreNotDisplaced(t *testing.T) {
	run := balcaoRun(2.4, 2, shedding())
	run.kinds = run.kinds[:1]
	run.kinds[0].share = 1
	run.callers = []float64{0.75, 0.05, 0.05, 0.05, 0.05, 0.05}
	run.run()
	few := count(run.requests, func(q *simRequest) bool { return duringBurst(run)(q) && q.caller > 0 })
	require.GreaterOrEqual(t, float64(few.inTime), 0.98*float64(few.asked), "they ask for less than their fair share")
	all := count(run.requests, duringBurst(run))
	require.Greater(t, run.workShare(&all), 0.85)
}

// Load: 1.0 to 2.6 times the capacity for 7 s; callers retry twice. Guards against capacity that goes to retries instead
// of first attempts. The share of the retries that the gate recognizes is bounded by deferredShare while others wait.
func TestRetriesGetBoundedShare(t *testing.T) {
	for _, factor := range []float64{1.0, 1.5, 2.0, 2.6} {
		run := balcaoRun(factor, 2, shedding())
		o := count(run.run(), duringBurst(run))
		share := float64(run.retries) / float64(run.started)
		t.Logf("%.1f: %.0f first attempts a second, %.3f of the starts are recognized retries, %d attempts after the first",
			factor, float64(o.firstAttempts)/run.burst.Seconds(), share, o.retries)
		require.LessOrEqual(t, share, 2*deferredShare)
	}
}

// Load: for 4 s, 1.5 and 2.6 times the capacity of ten targets, of which four are cold and slow and get 5 flows a second.
// Guards against flows that wait for a cold target although their turn comes too late.
func TestColdTargetsDoNotKeepFlowsWaiting(t *testing.T) {
	for _, factor := range []float64{1.5, 2.6} {
		run := coldRun(factor, shedding())
		run.run()
		o := count(run.requests, func(q *simRequest) bool { return q.sent > runStart+time.Second && q.sent < runStart+4*time.Second })
		require.Zero(t, o.failed)
		require.Zero(t, o.slowRefusals)
		require.Less(t, float64(o.late), 0.1*float64(o.inTime))
	}
}

// Load: 0.7 and 2.4 times the capacity with requests that arrive 50 ms after their flow was accepted. Guards against slots
// that are idle while flows are refused because others open.
func TestRequestsThatArriveLateLeaveNoSlotIdle(t *testing.T) {
	for factor, inTime := range map[float64]float64{0.7: 0.68, 2.4: 0.8} {
		run := balcaoRun(factor, 2, shedding())
		run.roundTrip = 50 * ms
		o := count(run.run(), duringBurst(run))
		require.Greater(t, run.workShare(&o), inTime)
		require.Zero(t, o.failed)
		if factor < 1 {
			require.Zero(t, o.refused)
		}
	}
}

// Load: 2.4 times the capacity for 7 s; after 3 s, the agents of half of the targets restart. Guards against a restarted
// agent that overloads its target or keeps refusing.
func TestRestartOfAgentsDuringOverload(t *testing.T) {
	run := balcaoRun(2.4, 2, shedding())
	run.restart = 3 * time.Second
	run.run()
	o := count(run.requests, func(q *simRequest) bool { return q.sent > runStart+4*time.Second && q.sent < runStart+run.burst })
	run.burst -= 4 * time.Second
	require.Greater(t, run.workShare(&o), 0.85)
	require.Zero(t, o.failed)
}

// Guards against a table of callers that grows, keeps callers that are gone, or counts two callers as one for good: the
// seed of each process gives other collisions.
func TestCallerSharesAreBoundedAndForget(t *testing.T) {
	shares := newCallerShares()
	heavy, light := [4]byte{10, 0, 0, 1}, [4]byte{10, 0, 0, 2}
	for shares.cell(heavy) == shares.cell(light) {
		shares = newCallerShares()
	}
	now := time.Second
	for n := range 100 {
		shares.count(heavy, 2, now)
		if n%10 == 0 {
			shares.count(light, 2, now)
		}
	}
	require.InDelta(t, 0.5+0.5*55/100.0, shares.fairness(heavy, 2), 0.001)
	require.InDelta(t, 1, shares.fairness(light, 2), 0)
	require.InDelta(t, 1, shares.fairness(heavy, 1), 0, "another priority")
	shares.count(light, 2, now+20*time.Second)
	require.InDelta(t, 1, shares.fairness(heavy, 2), 0)
	for n := range 100_000 {
		shares.count([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}, 2, now)
	}
	require.LessOrEqual(t, shares.levels[2].active, callerCells)
}

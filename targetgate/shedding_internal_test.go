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
			run.policy = policyWith(func(*shedPolicy) {})
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
			run := balcaoRun(2, slots, policyWith(func(*shedPolicy) {}))
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
func sheddingGate() *Gate { return (&overloadRun{policy: policyWith(func(*shedPolicy) {})}).newGate() }

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

// Load: new flows of all ages at a target whose queue is half as long as permitted. A flow that can be in time is
// accepted; one that is too old would only delay the others.
func TestLateFlowIsAcceptedOnlyIfQueueIsShort(t *testing.T) {
	g := sheddingGate()
	verdict, _ := openNumbered(g, 1, 2, 3*time.Second, time.Second)
	require.Equal(t, Accept, verdict, "the target is idle")
	for n := 2; g.ExpectedWait(time.Second) <= g.permittedWait(300*ms, 0.6); n++ {
		openNumbered(g, n, 0, 3*time.Second, time.Second)
	}
	verdict, reason := openNumbered(g, 100, 2, 3*time.Second, time.Second)
	require.Equal(t, Refuse, verdict)
	require.Equal(t, encap.ReasonBusy, reason)
	verdict, _ = openNumbered(g, 101, 0, 3*time.Second, time.Second)
	require.Equal(t, Accept, verdict)
}

// Load: a full queue with a late request and a retry, and a new request after each answer. The late request and the
// retry get their share of the starts, and the former is served before its caller gives up.
func TestDeferredRequestsGetTheirShare(t *testing.T) {
	g := sheddingGate()
	now := time.Second
	for n := 1; n <= 20; n++ { // teaches the gate the budget of first attempts
		openNumbered(g, n, 0, 3*time.Second, now)
		g.FromTarget(numberedKey(n), &flow.Packet{AckFlag: true, Seq: 1, DataLen: 500}, now+30*ms)
		now += 30 * ms
	}
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
	open(200, 2*time.Second) // late
	open(201, 2950*ms)       // a retry that can be in time
	starts := map[int]int{}
	for n := 0; n < 40; n++ {
		now += 15 * ms
		g.FromTarget(running[0], &flow.Packet{AckFlag: true, Seq: 1, DataLen: 500}, now)
		key, ok := g.NextRequest(now)
		require.True(t, ok)
		starts[int(key.Caller.Port)] = n
		running = append(running[1:], key)
		open(300+n, 3*time.Second)
	}
	require.Contains(t, starts, 201)
	require.Contains(t, starts, 200)
	require.GreaterOrEqual(t, starts[201], 6, "one of eight starts")
	require.Greater(t, starts[200], starts[201])
	require.Less(t, starts[200], 20)
}

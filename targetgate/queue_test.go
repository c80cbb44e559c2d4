package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/targetgate"
)

// budgeted is a request whose caller waits so much longer.
func budgeted(left time.Duration) *flow.Packet {
	p := request(1)
	p.Budget = left
	return p
}

// open accepts a flow that no other target takes and hands its request over.
func open(t *testing.T, g *targetgate.Gate, o *targetgate.Offer, left, now time.Duration) targetgate.Action {
	t.Helper()
	verdict, _ := g.Offer(o, now)
	require.Equal(t, targetgate.Accept, verdict)
	g.FromTarget(o.Key, &flow.Packet{Syn: true, AckFlag: true}, now)
	_, step := g.FromCaller(o.Key, budgeted(left), flow.Endpoint{}, now)
	return step
}

// Requests wait where all slots are taken: first come those that can still be in time, by priority and the newest first.
// A caller that asks again has less time left than others, by which its request is known to be late.
func TestWaitingRequestsGoInTheOrderThatServesMostInTime(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	now := time.Second
	for _, next := range []struct {
		port     int
		priority uint8
		left     time.Duration
	}{{201, 1, 2600 * ms}, {202, 2, 4000 * ms}, {203, 2, 4000 * ms}, {204, 1, 4000 * ms}, {205, 1, 2000 * ms}} {
		o := last(next.port, 0)
		o.Priority = next.priority
		require.Equal(t, targetgate.ActionHold, open(t, g, o, next.left, now))
		now += ms
	}
	var order []int
	for port := 1; port <= 6; port++ {
		g.FromTarget(keyOf(port), answer, now)
		if key, ok := g.NextRequest(now); ok {
			order = append(order, int(key.Caller.Port))
		}
	}
	require.Equal(t, []int{204, 203, 202, 205, 201}, order)
}

// A caller writes the first request of a flow when it sends the first SYN: a copy of the SYN tells how long ago that was.
func TestRequestOfARepeatedSynIsOlder(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	fresh, repeated := last(201, 0), last(202, 2)
	fresh.LatencyObjective, repeated.LatencyObjective = 500*ms, 500*ms
	open(t, g, fresh, 4*time.Second, time.Second)
	open(t, g, repeated, 4*time.Second, time.Second+ms)
	now := time.Second + 10*ms
	g.FromTarget(keyOf(1), answer, now)
	key, ok := g.NextRequest(now)
	require.True(t, ok)
	require.Equal(t, fresh.Key, key, "the other one is late")
	g.Expire(time.Second + 3500*ms)
	require.Zero(t, g.Waiting(), "its caller has given up 4 s after the first SYN")
}

func TestRequestOfAnOpenFlowWaitsToo(t *testing.T) {
	g := targetgate.New()
	taken := fill(g, time.Second)
	g.FromTarget(keyOf(1), answer, time.Second+50*ms)
	open(t, g, last(100, 0), 0, time.Second+50*ms)
	_, step := g.FromCaller(keyOf(1), request(200), flow.Endpoint{}, time.Second+60*ms)
	require.Equal(t, targetgate.ActionHold, step)
	_, step = g.FromCaller(keyOf(1), &flow.Packet{AckFlag: true}, flow.Endpoint{}, time.Second+60*ms)
	require.Equal(t, targetgate.ActionForward, step, "acknowledgements do not wait")
	_, step = g.FromCaller(keyOf(1), request(300), flow.Endpoint{}, time.Second+60*ms)
	require.Equal(t, targetgate.ActionHold, step, "the rest of the request")
	g.Expire(time.Second + 61*ms)
	require.Equal(t, 1, g.Waiting())
	require.Equal(t, taken, g.Load())
}

// Pattern: an acknowledgement was lost, so that the target repeats the end of its last answer while the next request waits.
func TestRepeatedAnswerDoesNotEndTheRequestThatWaits(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	g.FromTarget(keyOf(1), answer, time.Second)
	open(t, g, last(100, 0), 0, time.Second)
	_, step := g.FromCaller(keyOf(1), request(200), flow.Endpoint{}, time.Second)
	require.Equal(t, targetgate.ActionHold, step)
	g.FromTarget(keyOf(1), answer, time.Second+200*ms)
	require.Equal(t, 1, g.Waiting())
	g.FromTarget(keyOf(2), answer, time.Second+210*ms)
	key, ok := g.NextRequest(time.Second + 210*ms)
	require.True(t, ok)
	require.Equal(t, keyOf(1), key)
}

func TestRequestWaitsNoLongerThanItsCaller(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	open(t, g, last(100, 0), 300*ms, time.Second)
	require.Equal(t, 1, g.Waiting())
	g.Expire(time.Second + 301*ms)
	require.Zero(t, g.Waiting())
	require.Equal(t, 1, g.TakeLost())
}

func TestWaitingRequestsGoWithTheirFlowOrTarget(t *testing.T) {
	ends := map[string]func(*targetgate.Gate){
		"reset of the caller": func(g *targetgate.Gate) {
			g.FromCaller(keyOf(100), &flow.Packet{Reset: true}, flow.Endpoint{}, time.Second)
		},
		"reset of the target": func(g *targetgate.Gate) { g.FromTarget(keyOf(100), &flow.Packet{Reset: true}, time.Second) },
		"target does not run": func(g *targetgate.Gate) { g.RecordProbe(false, time.Second) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := targetgate.New()
			fill(g, time.Second)
			open(t, g, last(100, 0), 0, time.Second)
			end(g)
			require.Zero(t, g.Waiting())
		})
	}
}

// Pattern: routers hand the packets of flows that just opened to other balancers, as they do when balancers come back. Their
// requests count as work of the target whose SYN+ACK they acknowledge; else it gets far more than it has slots for.
func TestRequestThatComesByAnotherBalancerIsWork(t *testing.T) {
	asker := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true, Seq: 7000}, time.Second)
	elsewhere := &flow.Packet{Seq: 1, Ack: 9001, AckFlag: true, DataLen: 100}
	known, _ := g.FromCaller(keyOf(1), elsewhere, asker, time.Second+ms)
	require.False(t, known, "the flow opened at another target")
	here := &flow.Packet{Seq: 1, Ack: 7001, AckFlag: true, DataLen: 100}
	known, step := g.FromCaller(keyOf(1), here, asker, time.Second+ms)
	require.True(t, known)
	require.Equal(t, targetgate.ActionStartRequest, step)
	g.Expire(time.Second + 100*ms)
	require.Equal(t, 1, g.Load())
}

// Pattern: a target that starts or stops sends new flows back. It has no work, so that balancers take it for the best one
// for each new flow.
func TestTargetThatSendsNewFlowsBackGetsFewOfThem(t *testing.T) {
	g := targetgate.New()
	given := 0
	for now := time.Second; now < 2*time.Second; now += ms {
		o := last(int(now/ms), 0)
		if verdict, _ := g.Offer(o, now); verdict != targetgate.Refuse {
			given++
			g.RecordReturn(o.Key, now)
		}
	}
	require.Less(t, given, 20, "of a thousand")
	open(t, g, offer(5000), 0, 3*time.Second)
	require.Equal(t, targetgate.ActionStartRequest, open(t, g, offer(5001), 0, 3*time.Second+ms), "it takes flows again")
}

package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/targetgate"
)

// requestWithBudget returns a request that states how much time its caller has left.
func requestWithBudget(left time.Duration) *flow.Packet {
	p := request(1)
	p.Budget = left
	return p
}

// openFlow makes an offer, which must be accepted, and sends the first request of the flow.
func openFlow(t *testing.T, g *targetgate.Gate, o *targetgate.Offer, left, now time.Duration) targetgate.Action {
	t.Helper()
	verdict, _ := g.Offer(o, now)
	require.Equal(t, targetgate.Accept, verdict)
	g.FromTarget(o.Key, &flow.Packet{Syn: true, AckFlag: true}, now)
	_, action := g.FromCaller(o.Key, requestWithBudget(left), flow.Endpoint{}, now)
	return action
}

// Requests wait while all slots are in use. Those that can still be answered in time leave the queue first, by
// priority and then newest first. A retry has less time left than other requests, which shows that it is late.
func TestQueuedRequestsLeaveInOrderThatServesMostInTime(t *testing.T) {
	g := targetgate.New()
	fillSlots(g, time.Second)
	now := time.Second
	for _, next := range []struct {
		port     int
		priority uint8
		left     time.Duration
	}{{201, 1, 2600 * ms}, {202, 2, 4000 * ms}, {203, 2, 4000 * ms}, {204, 1, 4000 * ms}, {205, 1, 2000 * ms}} {
		o := lastOffer(next.port, 0)
		o.Priority = next.priority
		require.Equal(t, targetgate.ActionHold, openFlow(t, g, o, next.left, now))
		now += ms
	}
	var order []int
	for port := 1; port <= 6; port++ {
		g.FromTarget(keyOf(port), response, now)
		if key, ok := g.NextRequest(now); ok {
			order = append(order, int(key.Caller.Port))
		}
	}
	require.Equal(t, []int{204, 203, 202, 205, 201}, order)
}

// A caller writes the first request of a flow when it sends the first SYN. The number of the SYN's retransmission
// shows how long ago that was.
func TestRequestAfterRetransmittedSynIsOlder(t *testing.T) {
	g := targetgate.New()
	fillSlots(g, time.Second)
	fresh, retransmitted := lastOffer(201, 0), lastOffer(202, 2)
	fresh.LatencyObjective, retransmitted.LatencyObjective = 500*ms, 500*ms
	openFlow(t, g, fresh, 4*time.Second, time.Second)
	openFlow(t, g, retransmitted, 4*time.Second, time.Second+ms)
	now := time.Second + 10*ms
	g.FromTarget(keyOf(1), response, now)
	key, ok := g.NextRequest(now)
	require.True(t, ok)
	require.Equal(t, fresh.Key, key, "the other request is late")
	g.Expire(time.Second + 3500*ms)
	require.Zero(t, g.Waiting(), "the caller of the other request has given up 4 s after its first SYN")
}

func TestLaterRequestOfOpenFlowIsQueued(t *testing.T) {
	g := targetgate.New()
	requests := fillSlots(g, time.Second)
	g.FromTarget(keyOf(1), response, time.Second+50*ms)
	openFlow(t, g, lastOffer(100, 0), 0, time.Second+50*ms)
	_, action := g.FromCaller(keyOf(1), request(200), flow.Endpoint{}, time.Second+60*ms)
	require.Equal(t, targetgate.ActionHold, action)
	_, action = g.FromCaller(keyOf(1), &flow.Packet{AckFlag: true}, flow.Endpoint{}, time.Second+60*ms)
	require.Equal(t, targetgate.ActionForward, action, "acknowledgements are not held")
	_, action = g.FromCaller(keyOf(1), request(300), flow.Endpoint{}, time.Second+60*ms)
	require.Equal(t, targetgate.ActionHold, action, "the rest of the request is held")
	g.Expire(time.Second + 61*ms)
	require.Equal(t, 1, g.Waiting())
	require.Equal(t, requests, g.Load())
}

// If an acknowledgement is lost, the target retransmits the end of its last response, possibly while the next
// request is queued. The queued request must not end.
func TestRetransmittedResponseDoesNotEndQueuedRequest(t *testing.T) {
	g := targetgate.New()
	fillSlots(g, time.Second)
	g.FromTarget(keyOf(1), response, time.Second)
	openFlow(t, g, lastOffer(100, 0), 0, time.Second)
	_, action := g.FromCaller(keyOf(1), request(200), flow.Endpoint{}, time.Second)
	require.Equal(t, targetgate.ActionHold, action)
	g.FromTarget(keyOf(1), response, time.Second+200*ms)
	require.Equal(t, 1, g.Waiting())
	g.FromTarget(keyOf(2), response, time.Second+210*ms)
	key, ok := g.NextRequest(time.Second + 210*ms)
	require.True(t, ok)
	require.Equal(t, keyOf(1), key)
}

func TestQueuedRequestExpiresWithItsBudget(t *testing.T) {
	g := targetgate.New()
	fillSlots(g, time.Second)
	openFlow(t, g, lastOffer(100, 0), 300*ms, time.Second)
	require.Equal(t, 1, g.Waiting())
	g.Expire(time.Second + 301*ms)
	require.Zero(t, g.Waiting())
	require.Equal(t, 1, g.TakeLost())
}

func TestQueuedRequestEndsWithItsFlowOrTarget(t *testing.T) {
	ends := map[string]func(*targetgate.Gate){
		"reset by the caller": func(g *targetgate.Gate) {
			g.FromCaller(keyOf(100), &flow.Packet{Reset: true}, flow.Endpoint{}, time.Second)
		},
		"reset by the target": func(g *targetgate.Gate) { g.FromTarget(keyOf(100), &flow.Packet{Reset: true}, time.Second) },
		"target does not run": func(g *targetgate.Gate) { g.RecordProbe(false, time.Second) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := targetgate.New()
			fillSlots(g, time.Second)
			openFlow(t, g, lastOffer(100, 0), 0, time.Second)
			end(g)
			require.Zero(t, g.Waiting())
		})
	}
}

// Routers send the packets of flows that just opened to other balancers when balancers return to service. The
// requests must count as load of the target whose SYN+ACK they acknowledge, or it gets far more than it has slots
// for.
func TestRequestThroughAnotherBalancerCountsAsLoad(t *testing.T) {
	searcher := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true, Seq: 7000}, time.Second)
	otherAck := &flow.Packet{Seq: 1, Ack: 9001, AckFlag: true, DataLen: 100}
	confirmed, _ := g.FromCaller(keyOf(1), otherAck, searcher, time.Second+ms)
	require.False(t, confirmed, "the flow was opened at another target")
	ack := &flow.Packet{Seq: 1, Ack: 7001, AckFlag: true, DataLen: 100}
	confirmed, action := g.FromCaller(keyOf(1), ack, searcher, time.Second+ms)
	require.True(t, confirmed)
	require.Equal(t, targetgate.ActionStartRequest, action)
	g.Expire(time.Second + 100*ms)
	require.Equal(t, 1, g.Load())
}

// A target that is starting or shutting down returns new flows. Since it has no load, balancers prefer it for
// each new flow unless the gate holds them back.
func TestTargetThatReturnsNewFlowsGetsFewOfThem(t *testing.T) {
	g := targetgate.New()
	sent := 0
	for now := time.Second; now < 2*time.Second; now += ms {
		o := lastOffer(int(now/ms), 0)
		if verdict, _ := g.Offer(o, now); verdict != targetgate.Refuse {
			sent++
			g.RecordReturn(o.Key, now)
		}
	}
	require.Less(t, sent, 20, "out of 1000 offers")
	openFlow(t, g, offer(5000), 0, 3*time.Second)
	require.Equal(t, targetgate.ActionStartRequest, openFlow(t, g, offer(5001), 0, 3*time.Second+ms), "accepted again")
}

package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/targetgate"
)

const ms = time.Millisecond

func keyOf(port int) flow.Key {
	return flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(port)},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

func offer(port int) *targetgate.Offer {
	return &targetgate.Offer{Key: keyOf(port), Slots: 9, LatencyObjective: 250 * ms}
}

func lastOffer(port, retransmission int) *targetgate.Offer {
	o := offer(port)
	o.Last, o.Retransmission = true, retransmission
	return o
}

func request(seq uint32) *flow.Packet {
	return &flow.Packet{Seq: seq, AckFlag: true, DataLen: 100}
}

// requestAcknowledging returns the first request of a flow, which acknowledges a SYN+ACK.
func requestAcknowledging(synAckSeq uint32) *flow.Packet {
	p := request(1)
	p.Ack = synAckSeq + 1
	return p
}

var response = &flow.Packet{AckFlag: true, DataLen: 500}

// slots is the number of requests that the target of these tests serves concurrently.
const slots = 9

// fillSlots sends the target one request per slot, and then as many new flows as the gate accepts. It returns the
// number of requests.
func fillSlots(g *targetgate.Gate, now time.Duration) int {
	for n := 1; n <= slots; n++ {
		g.Offer(offer(n), now)
		g.FromTarget(keyOf(n), &flow.Packet{Syn: true, AckFlag: true}, now)
		g.FromCaller(keyOf(n), request(1), flow.Endpoint{}, now)
	}
	g.Expire(now)
	for n := 901; ; n++ {
		if verdict, _ := g.Offer(offer(n), now); verdict != targetgate.Accept {
			return slots
		}
	}
}

func TestLoadIsLimitedToSlotsPlusExtraFlows(t *testing.T) {
	g := targetgate.New()
	fillSlots(g, time.Second)
	require.GreaterOrEqual(t, g.Load(), 9)
	require.LessOrEqual(t, g.Load(), 11)
	verdict, reason := g.Offer(offer(100), time.Second)
	require.Equal(t, targetgate.Refuse, verdict)
	require.Equal(t, encap.ReasonBusy, reason)
}

func TestResponseFreesSlot(t *testing.T) {
	g := targetgate.New()
	fillSlots(g, time.Second)
	load := g.Load()
	g.FromTarget(keyOf(1), response, time.Second+50*ms)
	require.Equal(t, load-1, g.Load())
	verdict, _ := g.Offer(offer(100), time.Second+50*ms)
	require.Equal(t, targetgate.Accept, verdict)
}

func TestRetransmittedDataIsNoNewRequest(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second)
	g.FromTarget(keyOf(1), response, time.Second+50*ms)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second+200*ms)
	g.Expire(time.Second + 200*ms)
	require.Zero(t, g.Load())
	g.FromCaller(keyOf(1), request(101), flow.Endpoint{}, time.Second+300*ms)
	require.Equal(t, 1, g.Load(), "the next request of the flow counts")
}

func TestAcceptedFlowWithoutRequestFreesItsSlot(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	require.Equal(t, 1, g.Load())
	g.Expire(time.Second + 100*ms)
	require.Zero(t, g.Load(), "the caller chose another target")
}

func TestResetAndReturnEndRequests(t *testing.T) {
	g := targetgate.New()
	for port := 1; port <= 2; port++ {
		g.Offer(offer(port), time.Second)
		g.FromCaller(keyOf(port), request(1), flow.Endpoint{}, time.Second)
	}
	g.FromTarget(keyOf(1), &flow.Packet{Reset: true}, time.Second)
	g.RecordReturn(keyOf(2), time.Second)
	g.Expire(time.Second)
	require.Zero(t, g.Load())
}

func TestSilentTargetStillGetsOccasionalFlows(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	accepted := 0
	for now := time.Second + 200*ms; now < 2*time.Second; now += 10 * ms {
		if verdict, _ := g.Offer(offer(int(now/ms)), now); verdict == targetgate.Accept {
			accepted++
		}
	}
	require.True(t, g.Silent(2*time.Second))
	require.InDelta(t, 3, accepted, 1)
	g.FromTarget(keyOf(1), response, 2*time.Second)
	require.False(t, g.Silent(2*time.Second))
}

// A target whose process has ended owns no flows: it gets nothing until it sends a packet again.
func TestDownTargetGetsNoFlows(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second)
	require.True(t, g.Suspect(time.Second+100*ms))
	g.RecordProbe(false, time.Second+100*ms)
	require.True(t, g.Down())
	verdict, reason := g.Offer(offer(2), 3*time.Second)
	require.Equal(t, targetgate.Refuse, verdict)
	require.Equal(t, encap.ReasonSilent, reason)
	g.Expire(3 * time.Second)
	require.Zero(t, g.Load())
	g.FromTarget(keyOf(3), response, 3*time.Second)
	require.False(t, g.Down())
}

func TestTargetWithRequestInProgressIsNotSuspect(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true}, time.Second)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second)
	require.False(t, g.Suspect(time.Second+200*ms), "serving a request takes longer than acknowledging a SYN")
	require.True(t, g.Suspect(time.Second+500*ms))
}

// A balancer that searches for a flow is notified with the first packet that proves that the target owns the
// flow, and only once.
func TestSearchingBalancerIsNotifiedOnceTargetProvesOwnership(t *testing.T) {
	g := targetgate.New()
	searcher := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}
	confirmed, action := g.FromCaller(keyOf(1), request(1), searcher, time.Second)
	require.False(t, confirmed)
	require.Equal(t, targetgate.ActionForward, action)
	notified, _ := g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true}, time.Second)
	require.False(t, notified.IsValid(), "the target may have opened another flow with the same addresses and ports")
	notified, _ = g.FromTarget(keyOf(1), response, time.Second)
	require.Equal(t, searcher, notified)
	notified, _ = g.FromTarget(keyOf(1), response, time.Second)
	require.False(t, notified.IsValid())
	confirmed, action = g.FromCaller(keyOf(1), request(200), searcher, time.Second)
	require.True(t, confirmed)
	require.Equal(t, targetgate.ActionStartRequest, action)
	_, duration := g.FromTarget(keyOf(1), &flow.Packet{AckFlag: true, Seq: 500, DataLen: 500}, time.Second+30*ms)
	require.Equal(t, 30*ms, duration)
}

// After a power failure, balancers search for hundreds of flows at each target. They must not count as load of
// targets that do not own them, even if a target sends nothing.
func TestSearchedFlowsDoNotCountAsLoad(t *testing.T) {
	g := targetgate.New()
	searcher := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}
	for port := 1; port <= 100; port++ {
		g.FromCaller(keyOf(port), request(1), searcher, time.Second)
	}
	require.Zero(t, g.Load())
	verdict, _ := g.Offer(offer(200), time.Second)
	require.Equal(t, targetgate.Accept, verdict)
}

// When a target becomes silent under load and restarts, its requests in progress are lost and must not occupy
// slots.
func TestRestartOfTargetFreesSlots(t *testing.T) {
	g := targetgate.New()
	requests := fillSlots(g, time.Second)
	for port := 1; port <= requests; port++ {
		g.FromTarget(keyOf(port), &flow.Packet{AckFlag: true}, time.Second)
	}
	g.Expire(time.Second + 100*ms)
	require.Equal(t, requests, g.Load())
	g.RecordReturn(keyOf(1), 2*time.Second)
	g.Expire(2 * time.Second)
	require.Zero(t, g.Load())
	verdict, _ := g.Offer(offer(100), 2*time.Second)
	require.Equal(t, targetgate.Accept, verdict)
	g.FromCaller(keyOf(100), request(1), flow.Endpoint{}, 2*time.Second)
	g.RecordReturn(keyOf(2), 2*time.Second+100*ms)
	g.Expire(2*time.Second + 100*ms)
	require.Equal(t, 1, g.Load(), "the return of another flow from before the restart ends no new requests")
}

// The outcomes of a service include requests that end without a response. Each counts once, whatever ended it,
// except a reset by its caller.
func TestLostRequestsAreCounted(t *testing.T) {
	const began = time.Second
	ends := map[string]func(*targetgate.Gate){
		"reset by the target": func(g *targetgate.Gate) { g.FromTarget(keyOf(1), &flow.Packet{Reset: true}, began+ms) },
		"returned":            func(g *targetgate.Gate) { g.RecordReturn(keyOf(1), began+ms) },
		"target does not run": func(g *targetgate.Gate) { g.RecordProbe(false, began+ms) },
		"request timeout":     func(g *targetgate.Gate) { g.Expire(began + time.Minute) },
		"target restarted":    func(g *targetgate.Gate) { restartTarget(g, began+time.Second) },
		"answered":            nil,
		"reset by the caller": nil,
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := targetgate.New()
			g.Offer(offer(1), began)
			g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, began)
			want := 1
			switch {
			case end != nil:
				end(g)
			case name == "answered":
				g.FromTarget(keyOf(1), response, began+ms)
				want = 0
			default:
				g.FromCaller(keyOf(1), &flow.Packet{Reset: true}, flow.Endpoint{}, began+ms)
				want = 0
			}
			require.Equal(t, want, g.TakeLost())
			require.Zero(t, g.TakeLost())
		})
	}
}

// restartTarget simulates a restart: the target returns a flow that it owned before.
func restartTarget(g *targetgate.Gate, now time.Duration) {
	g.Offer(offer(2), now-500*ms)
	g.FromTarget(keyOf(2), response, now-400*ms)
	g.RecordReturn(keyOf(2), now)
}

func TestFlowsReportsPhaseOfEachFlow(t *testing.T) {
	g := targetgate.New()
	requests := fillSlots(g, time.Second)
	g.FromTarget(keyOf(1), response, time.Second+50*ms)
	g.Offer(offer(500), time.Second+50*ms)
	g.Offer(coldOffer(501, 0), time.Second+50*ms)
	phases := map[int]targetgate.Phase{}
	for _, f := range g.Flows(100, time.Second+80*ms) {
		phases[int(f.Key.Caller.Port)] = f.Phase
	}
	require.Len(t, phases, requests+4, "including the two extra flows of fillSlots")
	require.Equal(t, targetgate.PhaseIdle, phases[1])
	require.Equal(t, targetgate.PhaseWorking, phases[2])
	require.Equal(t, targetgate.PhaseOpening, phases[500])
	require.Equal(t, targetgate.PhaseWaiting, phases[501])
	require.Len(t, g.Flows(3, time.Second), 3)
}

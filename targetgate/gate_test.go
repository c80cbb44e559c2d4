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

func last(port, copies int) *targetgate.Offer {
	o := offer(port)
	o.Last, o.Retransmission = true, copies
	return o
}

func request(seq uint32) *flow.Packet {
	return &flow.Packet{Seq: seq, AckFlag: true, DataLen: 100}
}

var answer = &flow.Packet{AckFlag: true, DataLen: 500}

// slots is the number of requests that the target of these tests works on at once.
const slots = 9

// fill gives the target a request for each slot, and besides as many new flows as it takes. It returns the number of
// requests.
func fill(g *targetgate.Gate, now time.Duration) int {
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

func TestTargetGetsNoMoreThanItsSlotsAndOneInReserve(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	require.GreaterOrEqual(t, g.Load(), 9)
	require.LessOrEqual(t, g.Load(), 11)
	verdict, reason := g.Offer(offer(100), time.Second)
	require.Equal(t, targetgate.Refuse, verdict)
	require.Equal(t, encap.ReasonBusy, reason)
}

func TestAnswerFreesASlot(t *testing.T) {
	g := targetgate.New()
	fill(g, time.Second)
	load := g.Load()
	g.FromTarget(keyOf(1), answer, time.Second+50*ms)
	require.Equal(t, load-1, g.Load())
	verdict, _ := g.Offer(offer(100), time.Second+50*ms)
	require.Equal(t, targetgate.Accept, verdict)
}

func TestRepeatedDataIsNoNewRequest(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second)
	g.FromTarget(keyOf(1), answer, time.Second+50*ms)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second+200*ms)
	g.Expire(time.Second + 200*ms)
	require.Zero(t, g.Load())
	g.FromCaller(keyOf(1), request(101), flow.Endpoint{}, time.Second+300*ms)
	require.Equal(t, 1, g.Load(), "the next request of the flow counts")
}

func TestAcceptedFlowWithoutARequestFreesItsSlot(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	require.Equal(t, 1, g.Load())
	g.Expire(time.Second + 100*ms)
	require.Zero(t, g.Load(), "the caller chose another target")
}

func TestResetAndReturnEndWork(t *testing.T) {
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

func TestSilentTargetGetsAProbeNowAndThen(t *testing.T) {
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
	g.FromTarget(keyOf(1), answer, 2*time.Second)
	require.False(t, g.Silent(2*time.Second))
}

// A target whose process ended holds no flow: nothing goes there until it is heard of.
func TestTargetThatDoesNotRun(t *testing.T) {
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
	g.FromTarget(keyOf(3), answer, 3*time.Second)
	require.False(t, g.Down())
}

func TestTargetAtWorkIsNotSuspect(t *testing.T) {
	g := targetgate.New()
	g.Offer(offer(1), time.Second)
	g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true}, time.Second)
	g.FromCaller(keyOf(1), request(1), flow.Endpoint{}, time.Second)
	require.False(t, g.Suspect(time.Second+200*ms), "a request takes its time")
	require.True(t, g.Suspect(time.Second+500*ms))
}

// A balancer that searches a flow hears of it from the first packet that proves it, and only once.
func TestSearcherIsToldWhenTheTargetShowsItsFlow(t *testing.T) {
	g := targetgate.New()
	asker := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}
	known, step := g.FromCaller(keyOf(1), request(1), asker, time.Second)
	require.False(t, known)
	require.Equal(t, targetgate.ActionForward, step)
	told, _ := g.FromTarget(keyOf(1), &flow.Packet{Syn: true, AckFlag: true}, time.Second)
	require.False(t, told.IsValid(), "the target may have opened another flow of the same ends")
	told, _ = g.FromTarget(keyOf(1), answer, time.Second)
	require.Equal(t, asker, told)
	told, _ = g.FromTarget(keyOf(1), answer, time.Second)
	require.False(t, told.IsValid())
	known, step = g.FromCaller(keyOf(1), request(200), asker, time.Second)
	require.True(t, known)
	require.Equal(t, targetgate.ActionStartRequest, step)
	_, took := g.FromTarget(keyOf(1), &flow.Packet{AckFlag: true, Seq: 500, DataLen: 500}, time.Second+30*ms)
	require.Equal(t, 30*ms, took)
}

// Pattern: after a loss of power hundreds of flows are searched at each target. They are no work of targets that do not
// hold them, also where the target says nothing.
func TestSearchedFlowsAreNoWork(t *testing.T) {
	g := targetgate.New()
	asker := flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 1}
	for port := 1; port <= 100; port++ {
		g.FromCaller(keyOf(port), request(1), asker, time.Second)
	}
	require.Zero(t, g.Load())
	verdict, _ := g.Offer(offer(200), time.Second)
	require.Equal(t, targetgate.Accept, verdict)
}

// Pattern: a target falls silent under load and starts again. What it worked on is lost and must hold no slots.
func TestWorkOfATargetThatStartedAnewHoldsNoSlots(t *testing.T) {
	g := targetgate.New()
	taken := fill(g, time.Second)
	for port := 1; port <= taken; port++ {
		g.FromTarget(keyOf(port), &flow.Packet{AckFlag: true}, time.Second)
	}
	g.Expire(time.Second + 100*ms)
	require.Equal(t, taken, g.Load())
	g.RecordReturn(keyOf(1), 2*time.Second)
	g.Expire(2 * time.Second)
	require.Zero(t, g.Load())
	verdict, _ := g.Offer(offer(100), 2*time.Second)
	require.Equal(t, targetgate.Accept, verdict)
	g.FromCaller(keyOf(100), request(1), flow.Endpoint{}, 2*time.Second)
	g.RecordReturn(keyOf(2), 2*time.Second+100*ms)
	g.Expire(2*time.Second + 100*ms)
	require.Equal(t, 1, g.Load(), "another flow of before says nothing new")
}

// The outcomes of a service count requests that end without an answer, whatever ended them, and each once.
func TestRequestsWithoutAnAnswerAreCounted(t *testing.T) {
	const began = time.Second
	ends := map[string]func(*targetgate.Gate){
		"reset of the target":   func(g *targetgate.Gate) { g.FromTarget(keyOf(1), &flow.Packet{Reset: true}, began+ms) },
		"returned":              func(g *targetgate.Gate) { g.RecordReturn(keyOf(1), began+ms) },
		"target does not run":   func(g *targetgate.Gate) { g.RecordProbe(false, began+ms) },
		"no answer for long":    func(g *targetgate.Gate) { g.Expire(began + time.Minute) },
		"target started anew":   func(g *targetgate.Gate) { restart(g, began+time.Second) },
		"answered":              nil,
		"caller gave up by RST": nil,
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
				g.FromTarget(keyOf(1), answer, began+ms)
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

// restart lets the target send back a flow that it held.
func restart(g *targetgate.Gate, now time.Duration) {
	g.Offer(offer(2), now-500*ms)
	g.FromTarget(keyOf(2), answer, now-400*ms)
	g.RecordReturn(keyOf(2), now)
}

func TestFlowsAreListedByPhase(t *testing.T) {
	g := targetgate.New()
	taken := fill(g, time.Second)
	g.FromTarget(keyOf(1), answer, time.Second+50*ms)
	g.Offer(offer(500), time.Second+50*ms)
	g.Offer(cold(501, 0), time.Second+50*ms)
	phases := map[int]targetgate.Phase{}
	for _, f := range g.Flows(100, time.Second+80*ms) {
		phases[int(f.Key.Caller.Port)] = f.Phase
	}
	require.Len(t, phases, taken+4, "with the two that opened before")
	require.Equal(t, targetgate.PhaseIdle, phases[1])
	require.Equal(t, targetgate.PhaseWorking, phases[2])
	require.Equal(t, targetgate.PhaseOpening, phases[500])
	require.Equal(t, targetgate.PhaseWaiting, phases[501])
	require.Len(t, g.Flows(3, time.Second), 3)
}

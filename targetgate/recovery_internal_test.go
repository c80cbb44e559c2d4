package targetgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/loadcontrol"
)

// offerAt offers a new flow that may wait, with an objective of 300 ms, to a target with two slots.
func offerAt(g *Gate, n int, now time.Duration) (Verdict, encap.Reason) {
	key := flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 1024},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
	return g.Offer(&Offer{Key: key, Last: true, Slots: 2, Priority: 1, LatencyObjective: 300 * time.Millisecond}, now)
}

// countAccepted offers flows at one moment and returns how many are accepted.
func countAccepted(g *Gate, flows int, now time.Duration) int {
	accepted := 0
	for n := range flows {
		if verdict, _ := offerAt(g, n+int(now/time.Millisecond)*flows, now); verdict == Accept {
			accepted++
		}
	}
	return accepted
}

func newSheddingGate() *Gate {
	g := New()
	g.SetLoadControl(loadcontrol.Settings{MaxSlots: 2, ShedOverload: true}, "bench")
	return g
}

// Load: 40 flows at once at a target with two slots, as after a loss of power. Guards against an agent that has just
// started and refuses new callers because of those that waited for its start, whose age the SYNs do not show.
func TestBacklogOfOutageIsAcceptedAfterStartOfAgent(t *testing.T) {
	running := newSheddingGate()
	started := newSheddingGate()
	started.BeginRecovery()
	few := countAccepted(running, 40, time.Second)
	require.Less(t, few, 10, "in operation, flows that could not be answered in time are refused")
	require.Equal(t, 40, countAccepted(started, 40, time.Second))
	require.Less(t, countAccepted(started, 200, time.Second), 200, "as without shedding, the queue is bounded")
}

// Load: 50 offers a second that stop for 600 ms, while no balancer reaches the agent, and then 40 at once. Guards against the same
// refusals by an agent that was running all the time.
func TestBacklogOfOutageIsAcceptedAfterPauseOfOffers(t *testing.T) {
	g := newSheddingGate()
	for now := time.Second; now < 2*time.Second; now += 20 * time.Millisecond {
		offerAt(g, int(now/time.Millisecond), now)
		g.recordTargetPacket(now) // the target answers
	}
	require.Equal(t, 40, countAccepted(g, 40, 2600*time.Millisecond))

	rare := newSheddingGate()
	for now := time.Second; now < 4*time.Second; now += 300 * time.Millisecond {
		offerAt(rare, int(now/time.Millisecond), now)
		rare.recordTargetPacket(now)
	}
	require.Less(t, countAccepted(rare, 40, 4600*time.Millisecond), 10, "a target with few offers sees pauses by chance")
}

// Load: more flows than the target serves, from its agent's start on. Guards against a recovery that never ends.
func TestRecoveryEnds(t *testing.T) {
	g := newSheddingGate()
	g.BeginRecovery()
	offerAt(g, 0, time.Second)
	require.False(t, g.Sheds())
	offerAt(g, 1, time.Second+attemptTime-time.Millisecond)
	require.False(t, g.Sheds())
	idle := newSheddingGate()
	idle.BeginRecovery()
	for now := time.Second; now <= time.Second+attemptTime; now += 100 * time.Millisecond {
		offerAt(idle, int(now/time.Millisecond), now)
	}
	require.True(t, idle.Sheds(), "no request waits")
	busy := newSheddingGate()
	busy.BeginRecovery()
	countAccepted(busy, 40, time.Second)
	for now := time.Second; now <= time.Second+maxRecoveryTime; now += 100 * time.Millisecond {
		offerAt(busy, int(now/time.Millisecond), now)
	}
	require.True(t, busy.Sheds())
}

// Load: an overloaded target whose answer to a first SYN was lost, so that the caller sends its SYN again. Guards against
// the refusal of a flow that the target has accepted.
func TestRepeatedSynOfAcceptedFlowIsAccepted(t *testing.T) {
	g := newSheddingGate()
	verdict, _ := offerAt(g, 1, time.Second)
	require.Equal(t, Accept, verdict)
	countAccepted(g, 40, 1190*time.Millisecond)
	repeated := flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1024},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
	verdict, _ = g.Offer(&Offer{
		Key: repeated, Retransmission: 1, Last: true, Slots: 2, Priority: 1, LatencyObjective: 300 * time.Millisecond,
	}, 1200*time.Millisecond)
	require.Equal(t, Accept, verdict)
}

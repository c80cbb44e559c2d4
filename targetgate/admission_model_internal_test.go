package targetgate

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// TestModelOfShedding sends random flows, requests and answers to a gate. Guards against slots that stay idle while
// requests wait, targets that get more requests than slots, requests that are lost before their callers give up, and
// refusals as overloaded by a target with free slots.
func TestModelOfShedding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now, n := sheddingGate(), time.Second, 0
		slots := rapid.SampledFrom([]int{1, 2, 9}).Draw(t, "slots")
		var running []flow.Key
		deadlines := map[flow.Key]time.Duration{} // of accepted requests that wait
		start := func(key flow.Key) {
			delete(deadlines, key)
			running = append(running, key)
		}
		open := func(t *rapid.T) {
			n++
			o := &Offer{
				Key: numberedKey(n), Retransmission: rapid.IntRange(0, 2).Draw(t, "copy"), Last: true, Slots: slots,
				Priority: uint8(rapid.IntRange(0, 5).Draw(t, "priority")), LatencyObjective: 200 * ms,
			}
			free := g.Load() == 0
			verdict, reason := g.Offer(o, now)
			if verdict != Accept {
				require.False(t, free && reason == encap.ReasonOverloaded)
				return
			}
			budget := time.Duration(rapid.IntRange(0, 3000).Draw(t, "budget")) * ms
			g.FromTarget(o.Key, &flow.Packet{Syn: true, AckFlag: true}, now)
			_, action := g.FromCaller(o.Key, &flow.Packet{Seq: 1, AckFlag: true, DataLen: 100, Budget: budget}, flow.Endpoint{}, now)
			if action == ActionStartRequest {
				start(o.Key)
				return
			}
			deadlines[o.Key] = now - o.age() + budget
			if budget == 0 {
				deadlines[o.Key] = now - o.age() + requestTimeout
			}
		}
		release := func() {
			for key, ok := g.NextRequest(now); ok; key, ok = g.NextRequest(now) {
				start(key)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": open,
			"answer": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no request in progress")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				key := running[i]
				running = append(running[:i], running[i+1:]...)
				g.FromTarget(key, &flow.Packet{AckFlag: true, Seq: 1, DataLen: 500}, now)
				release()
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms
				release()
			},
			"": func(t *rapid.T) {
				g.Expire(now)
				maps.DeleteFunc(deadlines, func(_ flow.Key, deadline time.Duration) bool { return now > deadline })
				require.Equal(t, len(deadlines), g.Waiting())
				require.LessOrEqual(t, len(g.inProgress)-g.stuckRequests, slots)
				require.False(t, g.Waiting() > 0 && g.hasFreeSlot())
				require.GreaterOrEqual(t, g.ExpectedWait(now), time.Duration(0))
			},
		})
	})
}

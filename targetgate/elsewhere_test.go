package targetgate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/targetgate"
)

// Guards against data of a flow that waits for a slot of a target that does not own the flow: several targets may accept
// the SYNs of a flow, also of different services after a change of its route, and the caller opens it at one of them.
func TestDataOfFlowOpenedElsewhereIsNotQueued(t *testing.T) {
	const synAckSeq, otherSynAckSeq = 1000, 500_000
	now := time.Second
	for name, start := range map[string]func(t *testing.T, g *targetgate.Gate){
		"accepted here too": func(t *testing.T, g *targetgate.Gate) {
			verdict, _ := g.Offer(lastOffer(200, 0), now)
			require.Equal(t, targetgate.Accept, verdict)
			g.FromTarget(keyOf(200), &flow.Packet{Syn: true, AckFlag: true, Seq: synAckSeq}, now)
		},
		"queued here too": func(t *testing.T, g *targetgate.Gate) {
			cold := lastOffer(200, 0)
			cold.ColdRate = 1
			verdict, reason := g.Offer(cold, now)
			require.Equal(t, targetgate.Wait, verdict, reason)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := targetgate.New()
			fillSlots(g, now)
			start(t, g)
			data := requestAcknowledging(otherSynAckSeq)
			for range 2 { // the caller retransmits it
				_, action := g.FromCaller(keyOf(200), data, flow.Endpoint{}, now)
				require.Equal(t, targetgate.ActionForward, action)
			}
			require.Zero(t, g.Waiting())
			g.RecordReturn(keyOf(200), now)
			require.Zero(t, g.TakeLost(), "no request was lost")
			g.FromTarget(keyOf(1), response, now)
			g.Expire(now + 100*ms)
			_, reason := g.Offer(offer(300), now+ms)
			require.NotEqual(t, encap.ReasonRefused, reason, "the target has refused no new flow")
		})
	}
}

package targetgate

import (
	"testing"
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

// fullGate returns a gate with 2 requests in progress and 512 that wait, as many as an agent holds.
func fullGate(shed bool) *Gate {
	g := New()
	if shed {
		g = sheddingGate()
	}
	openNumbered(g, 1, 0, 3*time.Second, time.Second)
	for n := 2; n <= 514; n++ {
		g.FromCaller(numberedKey(n), &flow.Packet{Seq: 1, AckFlag: true, DataLen: 100, Budget: 3 * time.Second}, flow.Endpoint{}, time.Second)
	}
	return g
}

// BenchmarkDecisionsWithFullQueue measures an offer that is refused, and a start with the arrival that replaces it.
func BenchmarkDecisionsWithFullQueue(b *testing.B) {
	for name, shed := range map[string]bool{"off": false, "shed": true} {
		g := fullGate(shed)
		now := time.Second + 100*ms
		b.Run("offer/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g.Offer(&Offer{Key: numberedKey(9999), Last: true, Slots: 2, LatencyObjective: 300 * ms}, now)
			}
		})
		b.Run("order/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g.nextRequest(now)
			}
		})
	}
}

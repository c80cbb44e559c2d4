package routing_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/routing"
)

func targets(n int, weight func(i int) uint16) []fleet.Target {
	list := make([]fleet.Target, n)
	for i := range list {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
		list[i] = fleet.Target{VM: fleet.VM{Name: fmt.Sprintf("bench-%d", i), Data: address}, Weight: weight(i)}
	}
	return list
}

func fullWeight(int) uint16 { return fleet.WeightFull }

func firstChoice(p *routing.Pool, key uint64) string {
	var order [1]*fleet.Target
	if p.Rank(key, order[:]) == 0 {
		return ""
	}
	return order[0].VM.Name
}

// Guards against targets that receive more or fewer flows than their weight implies.
func TestShares(t *testing.T) {
	const flows = 200_000
	list := targets(10, func(i int) uint16 { return uint16(100 * (i + 1)) })
	pool := routing.NewPool(list)
	got := map[string]int{}
	random := rand.New(rand.NewPCG(1, 2))
	for range flows {
		got[firstChoice(pool, random.Uint64())]++
	}
	for i := range list {
		want := float64(flows) * float64(list[i].Weight) / 5500
		require.InEpsilon(t, want, got[list[i].VM.Name], 0.05, list[i].VM.Name)
	}
}

// Guards against flows that move although their target is still eligible, and against an order of the remaining
// targets that changes when another target is removed.
func TestMinimalDisruption(t *testing.T) {
	list := targets(50, fullWeight)
	before := routing.NewPool(list)
	list[7].Weight = 0
	after := routing.NewPool(list)
	random := rand.New(rand.NewPCG(3, 4))
	for range 20_000 {
		key := random.Uint64()
		var order [2]*fleet.Target
		require.Equal(t, 2, before.Rank(key, order[:]))
		want := order[0].VM.Name
		if want == list[7].VM.Name {
			want = order[1].VM.Name
		}
		require.Equal(t, want, firstChoice(after, key))
	}
}

// Guards against a ranking that contains a target twice, is longer than the number of candidates or MaxRank, or
// is not empty without candidates.
func TestRankBounds(t *testing.T) {
	var order [2 * routing.MaxRank]*fleet.Target
	require.Zero(t, routing.NewPool(nil).Rank(1, order[:]))
	require.Equal(t, 3, routing.NewPool(targets(3, fullWeight)).Rank(1, order[:]))
	n := routing.NewPool(targets(100, fullWeight)).Rank(1, order[:])
	require.Equal(t, routing.MaxRank, n)
	seen := map[string]bool{}
	for _, target := range order[:n] {
		require.False(t, seen[target.VM.Name])
		seen[target.VM.Name] = true
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{10, 7100} {
		for name, weight := range map[string]func(int) uint16{
			"equal": fullWeight,
			"mixed": func(i int) uint16 { return uint16(1 + i%fleet.WeightFull) },
		} {
			b.Run(fmt.Sprintf("candidates=%d/weights=%s", n, name), func(b *testing.B) {
				pool := routing.NewPool(targets(n, weight))
				var order [routing.MaxRank]*fleet.Target
				caller := netip.MustParseAddrPort("192.0.2.7:5000")
				id := make([]byte, 8)
				random := rand.New(rand.NewPCG(5, 6))
				b.ReportAllocs()
				for b.Loop() {
					id[0], id[1], id[2] = byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32())
					pool.Rank(routing.Key(id, caller), order[:])
				}
			})
		}
	}
}

func BenchmarkNewPool(b *testing.B) {
	list := targets(7100, fullWeight)
	b.ReportAllocs()
	for b.Loop() {
		routing.NewPool(list)
	}
}

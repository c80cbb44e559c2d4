package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/placement"
)

// maxImbalance is the aim of the brief: highest over mean work in progress over targets at 70% load.
const maxImbalance = 1.10

// Pattern: several balancers with reports of 200 ms ago place flows of 60 ms on targets with few slots, whose agents
// refuse what is above the slots. No target may be pressed while others idle.
func TestPlacementIsEvenWithOldReports(t *testing.T) {
	for _, c := range []struct {
		name                      string
		targets, slots, balancers int
	}{
		{"seven targets of nine slots", 7, 9, 6},
		{"45 targets of four slots", 45, 4, 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := simulation{targets: c.targets, slots: c.slots, balancers: c.balancers, load: 0.7}
			placed := s.run(t, true)
			hashed := s.run(t, false)
			t.Logf("placed: imbalance %.3f, %.3f offers a flow; plain hashing: %.3f, %.3f",
				placed.imbalance, placed.offers, hashed.imbalance, hashed.offers)
			require.LessOrEqual(t, placed.imbalance, maxImbalance)
			require.Zero(t, placed.pressed, "flows above the limit of a target while another had room")
			require.Less(t, placed.offers, hashed.offers)
		})
	}
}

// simulation places flows on targets for a while.
type simulation struct {
	targets, slots, balancers int
	load                      float64 // of all slots

	now  time.Duration
	ends [][]time.Duration // of the flows at each target
}

type simulated struct {
	imbalance float64
	offers    float64 // a flow
	pressed   int
}

const (
	simulatedWork   = 60 * ms
	simulatedReport = 200 * ms
	simulatedLength = 30 * time.Second
)

func (s *simulation) running(n int) int {
	kept := s.ends[n][:0]
	for _, end := range s.ends[n] {
		if end > s.now {
			kept = append(kept, end)
		}
	}
	s.ends[n] = kept
	return len(kept)
}

func (s *simulation) run(t *testing.T, byLoad bool) simulated {
	random := rand.New(rand.NewPCG(1, 2))
	view := viewOf(s.targets, s.slots, "a", "b", "c")
	choosers := make([]*placement.Chooser, s.balancers)
	for n := range choosers {
		choosers[n], _ = chooser([]string{"a", "b", "c"}[n%3])
	}
	s.now, s.ends = time.Second, make([][]time.Duration, s.targets)
	gap := float64(simulatedWork) / (s.load * float64(s.targets*s.slots))
	work := make([]int, s.targets)
	var result simulated
	flows, offers, nextReport := 0, 0, time.Second
	for ; s.now < time.Second+simulatedLength; s.now += time.Duration(random.ExpFloat64() * gap) {
		for ; s.now >= nextReport; nextReport += simulatedReport {
			for n := range s.targets {
				for _, c := range choosers {
					c.Loads.RecordReport(ip(n), s.running(n), 0, false, s.now)
				}
			}
		}
		c := choosers[random.IntN(s.balancers)]
		next := choose(plainHashing)
		if byLoad {
			next = c.Choose
		}
		n, tries := s.place(t, view, next, random.Uint64())
		if byLoad {
			c.Loads.RecordSent(ip(n), true, s.now)
		}
		if s.running(n) > s.slots && s.hasRoom() {
			result.pressed++
		}
		flows, offers = flows+1, offers+tries
		s.ends[n] = append(s.ends[n], s.now+time.Duration(random.ExpFloat64()*float64(simulatedWork)))
		for i := range work {
			work[i] += s.running(i)
		}
	}
	sum := 0
	for _, w := range work {
		sum += w
	}
	result.imbalance = float64(slices.Max(work)) * float64(s.targets) / float64(sum)
	result.offers = float64(offers) / float64(flows)
	return result
}

type choose func(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target

// place offers a flow until a target has room, and returns the target and the number of offers.
func (s *simulation) place(t *testing.T, view *directory.View, next choose, hash uint64) (n, offers int) {
	var tried []uint64
	for {
		target := next(view, "bench", hash, tried, s.now)
		if target == nil {
			return n, offers
		}
		offers++
		n = int(target.Address.IP[3])
		if s.running(n) <= s.slots {
			return n, offers
		}
		tried = append(tried, placement.TargetKey(target))
		require.LessOrEqual(t, offers, s.targets)
	}
}

func (s *simulation) hasRoom() bool {
	for n := range s.targets {
		if s.running(n) <= s.slots {
			return true
		}
	}
	return false
}

// plainHashing offers a flow to the targets in the order of its hash.
func plainHashing(view *directory.View, service string, hash uint64, tried []uint64, _ time.Duration) *directory.Target {
	var order placement.Ranker
	list := order.Rank(view.Targets(service), "", hash)
	if len(tried) == len(list) {
		return nil
	}
	return list[len(tried)]
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 52, 7100} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			view := viewOf(count, 9, "a", "b", "c")
			c, _ := chooser("a")
			b.ReportAllocs()
			for i := range b.N {
				c.Choose(view, "bench", uint64(i), nil, time.Second)
			}
		})
	}
}

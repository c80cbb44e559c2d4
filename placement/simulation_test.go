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

// maxImbalance is the required limit, at 70% load, on the ratio of the highest to the mean work in progress over all
// targets.
const maxImbalance = 1.10

// Guards against overloading a target while others have free slots. Several balancers, whose reports are up to 200 ms
// old, place flows of 60 ms on targets with few slots; the agents refuse flows above the number of slots.
func TestPlacementIsEvenWithOutdatedReports(t *testing.T) {
	for _, c := range []struct {
		name                      string
		targets, slots, balancers int
	}{
		{"seven targets of nine slots", 7, 9, 6},
		{"45 targets of four slots", 45, 4, 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := simulation{targets: c.targets, slots: c.slots, balancers: c.balancers, load: 0.7}
			byLoad := s.run(t, true)
			byHash := s.run(t, false)
			t.Logf("by load: imbalance %.3f, %.3f offers per flow; plain hashing: %.3f, %.3f",
				byLoad.imbalance, byLoad.offers, byHash.imbalance, byHash.offers)
			require.LessOrEqual(t, byLoad.imbalance, maxImbalance)
			require.Zero(t, byLoad.overloads, "flows placed above the limit of a target while another had free slots")
			require.Less(t, byLoad.offers, byHash.offers)
		})
	}
}

// simulation places flows on targets for simulatedTime.
type simulation struct {
	targets, slots, balancers int
	load                      float64 // mean load as a fraction of all slots

	now  time.Duration
	ends [][]time.Duration // end times of the flows at each target
}

type simulationResult struct {
	imbalance float64
	offers    float64 // per flow
	overloads int
}

const (
	meanFlowTime          = 60 * ms
	simulatedReportPeriod = 200 * ms
	simulatedTime         = 30 * time.Second
)

func (s *simulation) running(n int) int {
	unfinished := s.ends[n][:0]
	for _, end := range s.ends[n] {
		if end > s.now {
			unfinished = append(unfinished, end)
		}
	}
	s.ends[n] = unfinished
	return len(unfinished)
}

func (s *simulation) run(t *testing.T, byLoad bool) simulationResult {
	random := rand.New(rand.NewPCG(1, 2))
	view := newView(s.targets, s.slots, "a", "b", "c")
	choosers := make([]*placement.Chooser, s.balancers)
	for n := range choosers {
		choosers[n], _ = newChooser([]string{"a", "b", "c"}[n%3])
	}
	s.now, s.ends = time.Second, make([][]time.Duration, s.targets)
	meanGap := float64(meanFlowTime) / (s.load * float64(s.targets*s.slots))
	work := make([]int, s.targets)
	var result simulationResult
	flows, offers, nextReport := 0, 0, time.Second
	for ; s.now < time.Second+simulatedTime; s.now += time.Duration(random.ExpFloat64() * meanGap) {
		for ; s.now >= nextReport; nextReport += simulatedReportPeriod {
			for n := range s.targets {
				for _, c := range choosers {
					c.Loads.RecordReport(ip(n), s.running(n), 0, false, s.now)
				}
			}
		}
		c := choosers[random.IntN(s.balancers)]
		next := chooseFunc(plainHashing)
		if byLoad {
			next = c.Choose
		}
		n, offered := s.place(t, view, next, random.Uint64())
		if byLoad {
			c.Loads.RecordSent(ip(n), true, s.now)
		}
		if s.running(n) > s.slots && s.hasFreeSlots() {
			result.overloads++
		}
		flows, offers = flows+1, offers+offered
		s.ends[n] = append(s.ends[n], s.now+time.Duration(random.ExpFloat64()*float64(meanFlowTime)))
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

type chooseFunc func(view *directory.View, service string, hash uint64, tried []uint64, now time.Duration) *directory.Target

// place offers a flow to one target after the other until one has a free slot. It returns that target and the number
// of offers.
func (s *simulation) place(t *testing.T, view *directory.View, next chooseFunc, hash uint64) (n, offers int) {
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

func (s *simulation) hasFreeSlots() bool {
	for n := range s.targets {
		if s.running(n) <= s.slots {
			return true
		}
	}
	return false
}

// plainHashing selects targets in the rendezvous order of the flow, regardless of their load.
func plainHashing(view *directory.View, service string, hash uint64, tried []uint64, _ time.Duration) *directory.Target {
	var ranker placement.Ranker
	list := ranker.Rank(view.Targets(service), "", hash)
	if len(tried) == len(list) {
		return nil
	}
	return list[len(tried)]
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 52, 7100} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			view := newView(count, 9, "a", "b", "c")
			c, _ := newChooser("a")
			b.ReportAllocs()
			for i := range b.N {
				c.Choose(view, "bench", uint64(i), nil, time.Second)
			}
		})
	}
}

package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/placement"
)

// byCandidates takes the candidate with the lowest of its own cost among the next three by hash.
type byCandidates struct {
	cost func(b *unevenBalancer, n int) float64
}

func (p byCandidates) choose(b *unevenBalancer, hash uint64, tried []uint64, _ time.Duration) *directory.Target {
	var best *directory.Target
	considered, lowest := 0, 0.0
	for _, t := range b.ranker.Rank(b.view.Targets("bench"), "a", hash) {
		if slices.Contains(tried, placement.TargetKey(t)) {
			continue
		}
		if cost := p.cost(b, targetNumber(t)); best == nil || cost < lowest {
			best, lowest = t, cost
		}
		if considered++; considered == 3 {
			break
		}
	}
	return best
}

func (byCandidates) report(b *unevenBalancer, n int, t *unevenTarget, _ encap.Capacity, _ time.Duration) {
	b.reported[n], b.latency[n] = float64(len(t.running)+len(t.waiting)), t.latency
}

// leastRequests counts the requests in progress by the last report, and those sent since.
func leastRequests(b *unevenBalancer, n int) float64 { return b.reported[n] }

// latencyGradient multiplies them by the mean latency, the wait included.
func latencyGradient(b *unevenBalancer, n int) float64 { return (b.reported[n] + 1) * b.latency[n] }

// BenchmarkPolicies reports the figures of docs/design/learned-capacity.md, of which each run has 40 s.
func BenchmarkPolicies(b *testing.B) {
	for _, slowing := range []bool{false, true} {
		for _, load := range []float64{0.3, 0.6, 0.9} {
			for _, p := range []struct {
				name   string
				policy policy
			}{
				{"slots_alone", byCost{}},
				{"fixed_weights", byCost{fixed: true}},
				{"least_requests", byCandidates{leastRequests}},
				{"latency_gradient", byCandidates{latencyGradient}},
				{"learned", byCost{learned: true}},
			} {
				b.Run(fmt.Sprintf("slowing=%t/load=%.1f/%s", slowing, load, p.name), func(b *testing.B) {
					for range b.N {
						r := unevenRun{policy: p.policy, load: load, slowing: slowing, duration: 40 * time.Second, speed: nominalSpeed}
						r.run().report(b)
					}
				})
			}
		}
	}
}

func (r unevenResult) report(b *testing.B) {
	for name, d := range map[string]time.Duration{
		"mean-wait-ms": r.wait, "p99-wait-ms": r.p99Wait, "mean-excess-ms": r.excess, "p99-excess-ms": r.p99Excess,
	} {
		b.ReportMetric(float64(d)/float64(ms), name)
	}
	b.ReportMetric(r.inTime, "in-time")
	b.ReportMetric(r.imbalance, "imbalance")
	b.ReportMetric(r.target1, "target-1")
}

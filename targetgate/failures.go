package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/decay"
)

const (
	// failureWeight is the weight of a request in the moving average of failures.
	failureWeight = 0.05
	// tooManyRequests is the status with which a target sheds a request although one of its slots is free.
	tooManyRequests = 429
)

// failureRatio is a moving average of the share of a target's requests that fail. It gives recent requests more
// weight.
type failureRatio struct {
	average decay.Value
}

func (f *failureRatio) record(failed bool, now time.Duration) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	average := f.average.At(now, encap.FailedShareHalfLife)
	f.average.Set(average+failureWeight*(outcome-average), now)
}

// recordOutcome counts the outcome of a flow's request, once: a request that was stuck has failed, even if a
// response follows.
func (g *Gate) recordOutcome(s *flowState, failed bool, now time.Duration) {
	if s.response.counted {
		return
	}
	s.response.counted = true
	g.failures.record(failed, now)
}

// isFailure reports whether a packet begins a response with a status that is a failure of the target.
func isFailure(p *flow.Packet) bool {
	return p.ResponseStatus >= flow.MinServerErrorStatus || p.ResponseStatus == tooManyRequests
}

// FailureRatio returns the share of the target's recent requests that failed, from 0 to 1. It decays while no
// requests end.
func (g *Gate) FailureRatio(now time.Duration) float64 {
	return g.failures.average.At(now, encap.FailedShareHalfLife)
}

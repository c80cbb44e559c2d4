package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/internal/decay"
)

const (
	// failureWeight is the weight of a request in the share of those that fail.
	failureWeight = 0.05
	// tooManyRequests is the status of a target that refuses a request which its slots would have room for.
	tooManyRequests = 429
)

// failures is the share of a target's requests that fail, the late ones counting most.
type failures struct {
	share decay.Value
}

func (f *failures) note(failed bool, now time.Duration) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	share := f.share.At(now, encap.FailedShareHalfLife)
	f.share.Set(share+failureWeight*(outcome-share), now)
}

// noteOutcome takes over how the request of a flow ended, once: one that has no answer for long has failed, whatever comes
// later.
func (g *Gate) noteOutcome(s *state, failed bool, now time.Duration) {
	if s.answer.told {
		return
	}
	s.answer.told = true
	g.failures.note(failed, now)
}

// isFailure reports whether the packet of a target begins an answer that tells a failure of the target.
func isFailure(p *flow.Packet) bool {
	return p.ResponseStatus >= flow.MinServerErrorStatus || p.ResponseStatus == tooManyRequests
}

// FailureRatio returns the share of the target's requests that failed lately, from 0 to 1.
func (g *Gate) FailureRatio(now time.Duration) float64 {
	return g.failures.share.At(now, encap.FailedShareHalfLife)
}

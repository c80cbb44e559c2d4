package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/placement"
)

// overloadModel records what the balancers of a simulated deployment can know about overload.
type overloadModel struct {
	refusedAt map[int]map[[4]byte]time.Duration // by balancer and target: when a refusal because of overload arrived
}

func (m *overloadModel) restartBalancer(d *dispatch.Dispatcher, n int) {
	if m == nil {
		return
	}
	d.SetLoadControl(loadcontrol.Settings{MaxSlots: loadcontrol.MaxSlotsAll, ShedOverload: true})
	m.refusedAt[n] = make(map[[4]byte]time.Duration)
}

func (m *overloadModel) recordReturn(balancer int, agent [4]byte, reason encap.Reason, now time.Duration) {
	if m != nil && reason == encap.ReasonOverloaded {
		m.refusedAt[balancer][agent] = now
	}
}

// requireOverload fails the test unless balancer n may refuse a flow early.
func (s *sim) requireOverload(n int) {
	require.LessOrEqual(s.T, s.now-s.balancers[n].ConfirmedAt(), time.Second, "the view is old")
	view := s.balancers[n].View()
	for _, name := range services {
		said, eligible := 0, 0
		for _, t := range view.Targets(name) {
			if !placement.Eligible(view, t) {
				continue
			}
			eligible++
			if at, ok := s.overload.refusedAt[n][t.Address.IP]; ok && s.now-at <= 500*ms {
				said++
			}
		}
		if eligible > 0 && 4*said >= 3*eligible {
			return
		}
	}
	require.Fail(s.T, "a flow is refused early though no service is known to be overloaded")
}

// TestModelFlowSearchUnderOverload checks the same as TestModelFlowSearch if full targets refuse flows because of
// overload, and that flows are refused early only by balancers that heard so from three quarters of the targets.
func TestModelFlowSearchUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.overload = &overloadModel{refusedAt: make(map[int]map[[4]byte]time.Duration)}
		for n, d := range s.balancers {
			s.overload.restartBalancer(d, n)
		}
		t.Repeat(s.actions())
		s.requireRecovery()
	})
}

package forward_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/loadcontrol"
)

// Guards against learned capacities that do not reach balancers: 4 targets, one of which takes 8 times as long, with 16
// callers that send one request after the other for 4 s.
func TestBalancerLearnsSpeedOfSlowTarget(t *testing.T) {
	s := loadcontrol.Settings{MaxSlots: 4, LearnedCapacity: true, MinWeight: 0.05, MaxWeight: 2}
	b := newTestbed(t, 2, 4, func(b *testbed) {
		b.loadControl, b.serviceTimes = s, map[int]time.Duration{0: 8 * defaultServiceTime}
	})
	end := time.Now().Add(4 * time.Second)
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				f, err := b.caller.Open(t.Context(), serviceAddress)
				if err == nil {
					_ = b.request(f, fmt.Sprintf("learned-%d-%d", n, i))
				}
			}
		})
	}
	callers.Wait()
	b.requireNoViolations()
	for _, target := range b.balancers[0].Status().Targets {
		t.Logf("%s: speed %.2f, limit %d, duration %.1f ms", target.ID, target.Speed, target.Limit, target.DurationMS)
		require.NotZero(t, target.Limit)
		if target.ID == "i-0" {
			require.Less(t, target.Speed, 0.5)
		} else {
			require.Greater(t, target.Speed, 0.5)
		}
	}
	t.Logf("flows by target: %d, %d, %d, %d", b.targets[0].OpenedFlows(), b.targets[1].OpenedFlows(), b.targets[2].OpenedFlows(), b.targets[3].OpenedFlows())
	require.NotZero(t, b.agents[0].Status().Limit)
	require.Greater(t, b.agents[0].Status().DurationMS, b.agents[1].Status().DurationMS)
}

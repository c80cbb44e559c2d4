package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/placement"
)

// Pattern: one balancer is cut off from all agents, while callers and routers reach it.
func TestProcessThatReachesNoAgentIsIsolated(t *testing.T) {
	loads := placement.NewLoadTracker()
	now := time.Second
	for ; now < 2*time.Second; now += 20 * ms {
		loads.RecordSent(ip(0), true, now)
		loads.RecordSent(ip(1), true, now)
		loads.RecordReport(ip(0), 1, 0, false, now)
		loads.RecordReport(ip(1), 1, 0, false, now)
		loads.RecordAgentContact(now)
		require.False(t, loads.Isolated(now))
	}
	cut := now
	for !loads.Isolated(now) {
		loads.RecordSent(ip(0), true, now)
		loads.RecordSent(ip(1), true, now)
		now += 20 * ms
		require.Less(t, now-cut, time.Second)
	}
	require.True(t, loads.Isolated(now+time.Minute), "routers keep callers away, so that nothing is sent")
	loads.RecordAgentContact(now + time.Minute)
	require.False(t, loads.Isolated(now+time.Minute))
	require.False(t, loads.Isolated(now+2*time.Minute), "silence says nothing where nothing is sent")
}

func TestOneSilentAgentDoesNotIsolate(t *testing.T) {
	loads := placement.NewLoadTracker()
	for now := time.Second; now < 10*time.Second; now += 20 * ms {
		loads.RecordSent(ip(0), true, now)
		require.False(t, loads.Isolated(now), "it may have failed itself")
	}
}

func TestProcessThatHearsOneAgentIsNotIsolated(t *testing.T) {
	loads := placement.NewLoadTracker()
	for now := time.Second; now < 10*time.Second; now += 20 * ms {
		for n := range 5 {
			loads.RecordSent(ip(n), true, now)
		}
		loads.RecordReport(ip(4), 1, 0, false, now)
		loads.RecordAgentContact(now)
		require.False(t, loads.Isolated(now))
	}
}

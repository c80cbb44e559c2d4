package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// The size in two years: 720 balancers and 7,100 targets in eight failure domains. Of the 26 KB a second that a process
// may spend for control, reports get what membership leaves.
const (
	plannedBalancers = 90
	plannedTargets   = 7100 / 8
	reportBytes      = 11_200
	// agentSilence is after which balancers take an agent for silent.
	agentSilence = 700 * time.Millisecond
)

// balancersOf returns balancers that all sent a packet just now.
func balancersOf(count int, now time.Duration) []balancer {
	list := make([]balancer, count)
	for i := range list {
		list[i] = balancer{address: flow.Endpoint{IP: [4]byte{10, 0, 0, byte(i)}, Port: 7720}, seen: now}
	}
	return list
}

// Pattern: each balancer of a failure domain of the planned size sends to each target there. Reports must neither cost
// more than their share nor come so seldom that targets look silent.
func TestReportsAtThePlannedSize(t *testing.T) {
	const length = 10 * time.Second
	last := make(map[flow.Endpoint]time.Duration)
	counts := make(map[flow.Endpoint]int)
	now := time.Second
	for turn := range int(length / reportPeriod) {
		now += reportPeriod
		for _, address := range reportsDue(balancersOf(plannedBalancers, now), turn, now) {
			if before, known := last[address]; known {
				require.Less(t, now-before, agentSilence)
			}
			last[address] = now
			counts[address]++
		}
	}
	require.Len(t, counts, plannedBalancers)
	for _, count := range counts {
		perSecond := count * plannedTargets * encap.ReportBytes / int(length/time.Second)
		require.LessOrEqual(t, perSecond, reportBytes, "bytes a second at a balancer")
	}
}

// Few balancers get each report, and those that send nothing get none.
func TestReportsOfASmallFleet(t *testing.T) {
	balancers := balancersOf(reportsPerPeriod, time.Second)
	for turn := range 3 {
		require.Len(t, reportsDue(balancers, turn, time.Second+reportPeriod), reportsPerPeriod)
	}
	require.Empty(t, reportsDue(balancers, 0, time.Second+balancerIdle))
}

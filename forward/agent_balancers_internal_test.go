package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// The planned size in two years is 720 balancers and 7,100 targets in eight failure domains. Of the 26 KB/s
// that a process may use for control traffic, reports get what the membership protocol leaves.
const (
	plannedBalancers        = 90
	plannedTargets          = 7100 / 8
	maxReportBytesPerSecond = 11_200
	// agentSilenceTimeout is the time after which balancers consider an agent silent.
	agentSilenceTimeout = 700 * time.Millisecond
)

// activeBalancers returns balancers that sent their last packet at the time now.
func activeBalancers(count int, now time.Duration) []balancerPeer {
	list := make([]balancerPeer, count)
	for i := range list {
		list[i] = balancerPeer{address: flow.Endpoint{IP: [4]byte{10, 0, 0, byte(i)}, Port: 7720}, lastSeen: now}
	}
	return list
}

// Guards against reports that exceed their share of the bandwidth, and against reports so rare that targets
// look silent, when each balancer in a failure domain of the planned size sends to each target there.
func TestReportRateAtPlannedSize(t *testing.T) {
	const duration = 10 * time.Second
	lastReport := make(map[flow.Endpoint]time.Duration)
	counts := make(map[flow.Endpoint]int)
	now := time.Second
	for round := range int(duration / reportInterval) {
		now += reportInterval
		for _, address := range reportRecipients(activeBalancers(plannedBalancers, now), round, now) {
			if previous, known := lastReport[address]; known {
				require.Less(t, now-previous, agentSilenceTimeout)
			}
			lastReport[address] = now
			counts[address]++
		}
	}
	require.Len(t, counts, plannedBalancers)
	for _, count := range counts {
		perSecond := count * plannedTargets * encap.ReportBytes / int(duration/time.Second)
		require.LessOrEqual(t, perSecond, maxReportBytesPerSecond, "bytes per second at a balancer")
	}
}

// In a small fleet, all balancers get every report, except those that send no packets.
func TestReportsInSmallFleet(t *testing.T) {
	balancers := activeBalancers(alternateReportsAbove, time.Second)
	for round := range 3 {
		require.Len(t, reportRecipients(balancers, round, time.Second+reportInterval), alternateReportsAbove)
	}
	require.Empty(t, reportRecipients(balancers, 0, time.Second+balancerIdleTimeout))
}

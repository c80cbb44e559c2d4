package forward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/forward"
	"github.com/cowslipward/cowslipward/platform/platformtest"
)

func TestRequestsThroughTheWholePath(t *testing.T) {
	b := newBed(t, 2, 3)
	for n := range 30 {
		f := b.open()
		require.NoError(t, b.request(f, fmt.Sprintf("r-%d", n)))
		f.Close()
	}
	b.requireClean()
}

// Pattern: more callers than the target has slots, and routers that hand the request of a flow to another balancer than its
// SYN. Requests wait beside the target, and all of them are served.
func TestRequestsThatWaitAreServed(t *testing.T) {
	b := newBed(t, 2, 1)
	var flows []*platformtest.Flow
	for range 40 {
		flows = append(flows, b.open())
	}
	b.setPick(func(flow.Key) int { return 1 })
	errs := make([]error, len(flows))
	var group sync.WaitGroup
	for n, f := range flows {
		group.Go(func() { errs[n] = b.request(f, fmt.Sprintf("r-%d", n)) })
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	b.requireClean()
}

// Pattern: a balancer is cut off from all agents, while routers reach it. It says so, and when it reaches one again, which no
// packet of a caller tells it, since routers keep those away.
func TestBalancerThatReachesNoAgentIsNotReady(t *testing.T) {
	b := newBed(t, 1, 2)
	require.NoError(t, b.request(b.open(), "before"))
	require.True(t, b.balancers[0].ReachesAgents())
	for _, agent := range b.agents {
		agent.Close()
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			_, err := b.caller.Open(context.Background(), serviceAddress)
			assert.Error(t, err)
		})
	}
	require.Eventually(t, func() bool { return !b.balancers[0].ReachesAgents() }, 2*time.Second, 10*time.Millisecond)
	group.Wait()
	b.startAgent(0)
	require.Eventually(t, b.balancers[0].ReachesAgents, time.Second, 10*time.Millisecond)
	b.requireClean()
}

// Pattern: a balancer joins, and the routers' hash by mod moves nearly all flows. No request may notice.
func TestOpenFlowsMoveToABalancerThatDoesNotKnowThem(t *testing.T) {
	b := newBed(t, 2, 7)
	flows := b.openFlows(40)
	b.setPick(func(flow.Key) int { return 1 })
	started := time.Now()
	for n, f := range flows {
		require.NoError(t, b.request(f, fmt.Sprintf("after-%d", n)))
	}
	require.Less(t, time.Since(started), 40*100*time.Millisecond, "no caller had to repeat its packets")
	b.requireClean()
}

func TestFlowsOfADrainingTargetLiveOn(t *testing.T) {
	b := newBed(t, 1, 2)
	f := b.open()
	require.NoError(t, b.request(f, "before"))
	b.setTarget(0, directory.TargetDraining)
	b.setTarget(1, directory.TargetDraining)
	b.publish()
	require.NoError(t, b.request(f, "after"))
	_, err := b.caller.Open(context.Background(), serviceAddress)
	require.ErrorIs(t, err, platformtest.ErrReset, "no target takes new flows, which is known at once")
	b.requireClean()
}

// A target that starts anew holds none of its flows: their callers are told at their next packet.
func TestFlowsOfATargetThatRestartedAreReset(t *testing.T) {
	b := newBed(t, 1, 1)
	f := b.open()
	require.NoError(t, b.request(f, "before"))
	b.targets[0].Close()
	b.startTarget(0)
	b.publish()
	started := time.Now()
	require.ErrorIs(t, b.request(f, "after"), platformtest.ErrReset)
	require.Less(t, time.Since(started), time.Second)
	require.NoError(t, b.request(b.open(), "again"))
	b.requireClean()
}

// A crashed target sends nothing. Its agent finds that it does not run, and its callers are told.
func TestFlowsOfATargetThatDoesNotRunAreReset(t *testing.T) {
	b := newBed(t, 1, 2)
	flows := b.openFlows(10)
	b.targets[0].Close()
	b.targets[1].Close()
	for n, f := range flows {
		require.ErrorIs(t, b.request(f, fmt.Sprintf("after-%d", n)), platformtest.ErrReset)
	}
	b.requireClean()
}

// Packets that arrive before the first view wait for it.
func TestPacketsBeforeTheFirstViewAreNotLost(t *testing.T) {
	b := newBed(t, 1, 1)
	b.startBalancer(1)
	b.setPick(func(flow.Key) int { return 1 })
	time.AfterFunc(50*time.Millisecond, b.publish)
	started := time.Now()
	f := b.open()
	require.Less(t, time.Since(started), 150*time.Millisecond, "the first copy of the SYN served")
	require.NoError(t, b.request(f, "r"))
	b.requireClean()
}

// Pattern: far more new flows at once than the targets have slots.
func TestBurstOfFlowsIsServedByAllTargets(t *testing.T) {
	b := newBed(t, 2, 4)
	b.setPick(func(key flow.Key) int { return int(key.Hash() % 2) })
	var group sync.WaitGroup
	for n := range 200 {
		group.Go(func() {
			f, err := b.caller.Open(context.Background(), serviceAddress)
			if err == nil {
				_ = b.request(f, fmt.Sprintf("r-%d", n))
				f.Close()
			}
		})
	}
	group.Wait()
	b.requireClean()
	counts, _ := b.ledger.Snapshot()
	require.Equal(t, 200, counts.OK)
}

// Operators see the requests that a target lost and those that it answered, and the flows that it holds.
func TestOutcomesAndFlowsOfATarget(t *testing.T) {
	b := newBed(t, 1, 1)
	f := b.open()
	for n := range 5 {
		require.NoError(t, b.request(f, fmt.Sprintf("r-%d", n)))
	}
	status := b.agents[0].Status()
	require.Len(t, status.Flows, 1)
	require.Equal(t, "idle", status.Flows[0].State)
	require.Equal(t, 4, status.Slots)
	b.setTarget(0, directory.TargetDraining)
	b.publish()
	_, err := b.caller.Open(context.Background(), serviceAddress)
	require.ErrorIs(t, err, platformtest.ErrReset)
	counts := b.outcomes.Summary("bench").Windows[0]
	require.EqualValues(t, 5, counts.Good)
	require.EqualValues(t, 1, counts.Bad, "the flow that was refused")
}

// reorderLimit is the platform's bound for an open flow whose packets do not reach its target.
const reorderLimit = 2 * time.Second

// Pattern: targets are gone without a word while routers hand each packet of a caller to another balancer, which knows
// nothing of the flow. Each balancer finds the flow by itself, past the targets that do not answer.
func TestFlowIsFoundPastTargetsThatDoNotAnswer(t *testing.T) {
	const balancers = 7
	b := newBed(t, balancers, 1)
	flows := b.openFlows(8)
	for n := 1; n <= 5; n++ {
		b.setTarget(n, directory.TargetReady) // nothing runs there
	}
	b.publish()
	for n, f := range flows {
		packets := 0
		b.setPick(func(flow.Key) int {
			packets++
			return min(packets, balancers-1)
		})
		started := time.Now()
		require.NoError(t, b.request(f, fmt.Sprintf("after-%d", n)))
		require.Less(t, time.Since(started), reorderLimit, "flow %d", n)
	}
	b.requireClean()
}

// A search that ended is not repeated: a flow that no target holds costs its two searches and one reset.
func TestSearchThatEndedIsNotRepeated(t *testing.T) {
	time.Sleep(500 * time.Millisecond) // searches of earlier tests end
	b := newBed(t, 1, 1)
	f := b.open()
	require.NoError(t, b.request(f, "before"))
	b.targets[0].Close()
	b.startTarget(0)
	b.publish()
	require.ErrorIs(t, b.request(f, "after"), platformtest.ErrReset)
	searches := forward.Decisions(dispatch.CauseSearch)
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, searches, forward.Decisions(dispatch.CauseSearch))
	b.requireClean()
}

package forward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/loadcontrol"
)

// Load: one caller for 1.6 s, since an agent that has just started does not shed, and for a second 400 callers that each open a flow and send a request as soon as the previous one ends, at a target
// with 4 slots and 5 ms of work. Guards against an agent that sheds nothing although its settings say so, and against
// accepted requests that get no answer.
func TestAgentShedsOverload(t *testing.T) {
	b := newTestbed(t, 1, 0)
	b.loadControl = loadcontrol.Settings{MaxSlots: 4, ShedOverload: true}
	b.startAgent(0)
	b.startTarget(0)
	b.publish()
	refused := metrics.GetOrCreateCounter(`cowslip_refused_flows_total{reason="overloaded"}`)
	shed := metrics.GetOrCreateCounter(`cowslip_target_shed_flows_total{priority="0"}`)
	refusedBefore, shedBefore := refused.Get(), shed.Get()
	for start := time.Now(); time.Since(start) < 1600*time.Millisecond; {
		f, err := b.caller.Open(context.Background(), serviceAddress)
		require.NoError(t, err)
		require.NoError(t, b.request(f, "before"))
		f.Close()
	}
	end := time.Now().Add(time.Second)
	var group sync.WaitGroup
	errs := make([]error, 400)
	for n := range errs {
		group.Go(func() {
			for i := 0; time.Now().Before(end) && errs[n] == nil; i++ {
				f, err := b.caller.Open(context.Background(), serviceAddress)
				if err != nil {
					continue
				}
				errs[n] = b.request(f, fmt.Sprintf("r-%d-%d", n, i))
				f.Close()
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err, "an accepted request is answered")
	}
	require.Greater(t, refused.Get(), refusedBefore)
	require.Greater(t, shed.Get(), shedBefore)
	b.requireNoViolations()
}

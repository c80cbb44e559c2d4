package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against live flows that are reset because peers that cannot reach an agent declare it down, while
// balancers still reach it.
func TestFlowsSurviveWrongDownVerdict(t *testing.T) {
	b := newTestbed(t)
	b.startAgents(1)
	b.startBalancers(3)
	d := &downloads{}
	d.start(b, 5, 100)
	time.Sleep(300 * time.Millisecond)
	b.down["bench-1"] = true
	b.publish()
	d.wg.Wait()
	require.Empty(t, d.broken)
}

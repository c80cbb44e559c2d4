package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong verdict that breaks live flows: peers that cannot reach an agent call it down, while balancers
// still reach it.
func TestWrongVerdictBreaksNoFlow(t *testing.T) {
	b := newBed(t)
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

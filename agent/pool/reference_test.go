package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reference service time that includes the agent's own target, targets that have not yet run with all
// their slots in use, or agents whose heartbeats have stopped.
func TestReferenceServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, _ := startPools(t, 4)
		p := net.pools[address(1)]
		beat := func(i int, microseconds uint32) {
			h := Heartbeat{Limit: 9, ReferenceMicros: microseconds}
			p.Receive(address(i), h.Append(nil))
		}
		time.Sleep(time.Second)
		require.Zero(t, p.ReferenceServiceTime())
		net.update(func() { net.muted[address(2)], net.muted[address(3)], net.muted[address(4)] = true, true, true })
		beat(2, 20_000)
		beat(3, 30_000)
		beat(4, 0)
		require.Equal(t, 30*time.Millisecond, p.ReferenceServiceTime())
		require.Len(t, p.Loads(), 3)
		time.Sleep(suspectAfter + time.Millisecond)
		require.Zero(t, p.ReferenceServiceTime())
		require.Empty(t, p.Loads())
	})
}

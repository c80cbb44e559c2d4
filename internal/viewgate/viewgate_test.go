package viewgate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/viewgate"
)

// clock returns a clock that starts at one hour, so that a zero time is never mistaken for the current time.
func clock() func() time.Duration {
	start := time.Now().Add(-time.Hour)
	return func() time.Duration { return time.Since(start) }
}

// Guards against packets sent based on an outdated view after a pause, and against an unbounded hold.
func TestHoldAfterPause(t *testing.T) {
	confirmed := true
	// No ticker runs, so the clock of the synctest bubble jumps over the sleep as the real clock does over a pause.
	pausedGate := func(t *testing.T) *viewgate.Gate {
		g := viewgate.New(func() bool { return confirmed }, clock())
		require.True(t, g.Allow())
		time.Sleep(viewgate.MaxGap)
		require.True(t, g.Allow(), "a gap of MaxGap counts as scheduling delay")
		g.RecordTick()
		time.Sleep(viewgate.MaxGap + time.Millisecond)
		require.False(t, g.Allow(), "first call after the pause")
		return g
	}
	synctest.Test(t, func(t *testing.T) {
		g := pausedGate(t)
		confirmed = false
		require.False(t, g.Allow())
		g.RecordTick()
		require.False(t, g.Allow(), "the tick after the pause must not end the hold")
		confirmed = true
		require.True(t, g.Allow(), "confirmed after an unconfirmed report")
	})
	synctest.Test(t, func(t *testing.T) {
		g := pausedGate(t)
		time.Sleep(3 * viewgate.Tick)
		require.False(t, g.Allow(), "a report from before the pause must not end the hold")
		time.Sleep(5 * viewgate.Tick)
		require.True(t, g.Allow(), "confirmed reports count once the source has ticked")
	})
	synctest.Test(t, func(t *testing.T) {
		g := pausedGate(t)
		confirmed = false
		defer func() { confirmed = true }()
		for start := time.Now(); time.Since(start) < viewgate.MaxHold; time.Sleep(viewgate.Tick) {
			g.RecordTick()
			require.False(t, g.Allow(), "after %s", time.Since(start))
		}
		require.True(t, g.Allow(), "the hold is bounded")
		time.Sleep(viewgate.Tick)
		g.RecordTick()
		require.True(t, g.Allow(), "no new hold while the view stays unconfirmed")
		require.Equal(t, uint64(1), g.Holds())
	})
}

// Guards against packets sent before the view is first confirmed, and against ignoring an unconfirmed report
// of the source.
func TestHoldWhileUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		confirmed := false
		g := viewgate.New(func() bool { return confirmed }, clock())
		stop := make(chan struct{})
		go g.Run(stop)
		defer close(stop)
		require.False(t, g.Allow())
		confirmed = true
		require.True(t, g.Allow())
		time.Sleep(time.Minute)
		require.True(t, g.Allow(), "an idle data path is not a pause")
		confirmed = false
		require.False(t, g.Allow())
	})
}

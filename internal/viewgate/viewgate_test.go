package viewgate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/viewgate"
)

// clock starts at an hour, so that a zero time is never mistaken for now.
func clock() func() time.Duration {
	start := time.Now().Add(-time.Hour)
	return func() time.Duration { return time.Since(start) }
}

// Guards against packets that leave on the old view after a pause, and against a hold without end.
func TestPause(t *testing.T) {
	confirmed := true
	// The clock of the bubble jumps over the sleep while no ticker runs, as the real one does over a pause.
	pause := func(t *testing.T) *viewgate.Gate {
		g := viewgate.New(func() bool { return confirmed }, clock())
		require.True(t, g.Allow())
		time.Sleep(viewgate.MaxGap)
		require.True(t, g.Allow(), "a gap at the bound is scheduling delay")
		g.RecordTick()
		time.Sleep(viewgate.MaxGap + time.Millisecond)
		require.False(t, g.Allow(), "the first look after the pause")
		return g
	}
	synctest.Test(t, func(t *testing.T) {
		g := pause(t)
		confirmed = false
		require.False(t, g.Allow())
		g.RecordTick()
		require.False(t, g.Allow(), "the tick after the pause must not end the hold")
		confirmed = true
		require.True(t, g.Allow(), "confirmed after it was denied")
	})
	synctest.Test(t, func(t *testing.T) {
		g := pause(t)
		time.Sleep(3 * viewgate.Tick)
		require.False(t, g.Allow(), "a report from before the pause must not end the hold")
		time.Sleep(5 * viewgate.Tick)
		require.True(t, g.Allow(), "a source that never denies is believed after its own ticks")
	})
	synctest.Test(t, func(t *testing.T) {
		g := pause(t)
		confirmed = false
		defer func() { confirmed = true }()
		for start := time.Now(); time.Since(start) < viewgate.MaxHold; time.Sleep(viewgate.Tick) {
			g.RecordTick()
			require.False(t, g.Allow(), "after %s", time.Since(start))
		}
		require.True(t, g.Allow(), "the hold is bounded")
		time.Sleep(viewgate.Tick)
		g.RecordTick()
		require.True(t, g.Allow(), "and does not begin anew while nobody answers")
		require.Equal(t, uint64(1), g.Holds())
	})
}

// Guards against packets before the first confirmed view, and against a denial by the source that is not heeded.
func TestUnconfirmed(t *testing.T) {
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

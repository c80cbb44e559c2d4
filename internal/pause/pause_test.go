package pause_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/pause"
)

// Guards against a pause that the data path misses, a pause reported twice, and a false detection.
// SimulatePause moves the last tick back, so that Check runs after the gap but before the ticker, as may
// happen after a real pause.
func TestCheckFindsGapOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gaps := 0
		detector := pause.New(func(gap time.Duration) {
			gaps++
			require.Greater(t, gap, pause.Limit)
		})
		require.False(t, detector.Check(), "not running yet")
		ctx, cancel := context.WithCancel(t.Context())
		go detector.Run(ctx)
		time.Sleep(10 * time.Second)
		require.False(t, detector.Check())
		require.Zero(t, gaps)
		cancel()
		synctest.Wait()

		suspended := pause.New(func(time.Duration) { gaps++ })
		runCtx, stop := context.WithCancel(t.Context())
		go suspended.Run(runCtx)
		synctest.Wait()
		suspended.SimulatePause(pause.Limit + time.Millisecond)
		require.True(t, suspended.Check())
		require.False(t, suspended.Check())
		require.Equal(t, 1, gaps)
		stop()
	})
}

// Guards against a data path that continues while another goroutine is still reporting the pause. The test
// uses the real clock, since a goroutine blocked on a mutex stops the clock of a synctest bubble.
func TestCheckWaitsForReport(t *testing.T) {
	var reported atomic.Bool
	reporting := make(chan struct{})
	detector := pause.New(func(time.Duration) {
		close(reporting)
		time.Sleep(50 * time.Millisecond)
		reported.Store(true)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go detector.Run(ctx)
	require.Eventually(t, detector.Running, time.Second, time.Millisecond)
	detector.SimulatePause(2 * pause.Limit)
	go detector.Check()
	<-reporting
	detector.Check()
	require.True(t, reported.Load())
}

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

// Guards against a pause that goes unnoticed by the data path, is reported twice, or is seen where there is none. In
// the bubble the clock jumps while Check is called before the ticker's goroutine has run, as after a pause.
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

		stopped := pause.New(func(time.Duration) { gaps++ })
		begin, end := context.WithCancel(t.Context())
		go stopped.Run(begin)
		synctest.Wait()
		stopped.SimulatePause(pause.Limit + time.Millisecond)
		require.True(t, stopped.Check())
		require.False(t, stopped.Check())
		require.Equal(t, 1, gaps)
		end()
	})
}

// Guards against a data path that goes on while another goroutine is still reporting the pause. A goroutine that waits
// for a lock keeps the clock of a bubble from moving, so that this test uses the real one.
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

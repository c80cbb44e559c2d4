package wait_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/wait"
)

func TestForReturnsWhenTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	begin := time.Now()
	wait.For(ctx, time.Minute)
	require.Less(t, time.Since(begin), 10*time.Second)
}

func TestForWaits(t *testing.T) {
	begin := time.Now()
	wait.For(context.Background(), 20*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(begin), 20*time.Millisecond)
}

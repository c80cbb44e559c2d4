// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For blocks for the duration, or until the context is done if that is earlier.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

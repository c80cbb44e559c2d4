// Package wait pauses goroutines that a context may end.
package wait

import (
	"context"
	"time"
)

// For returns after the duration, or earlier when the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package link

import (
	"sync/atomic"
	"time"
)

// allowPeriodic reports whether at least period has passed since last, and sets last to now if so. A zero
// last means never, so the first call is allowed.
func allowPeriodic(last *atomic.Int64, now, period time.Duration) bool {
	old := last.Load()
	if old != 0 && now-time.Duration(old) < period {
		return false
	}
	return last.CompareAndSwap(old, max(int64(now), 1))
}

// Package pause detects that the process did not run for some time, for example because its VM was paused.
package pause

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Period and limit of the detector.
const (
	Period = 50 * time.Millisecond
	// Limit is the gap between ticks above which the process counts as paused. Delays by scheduling and garbage
	// collection are far shorter.
	Limit = 500 * time.Millisecond
)

// Detector detects gaps between the ticks of a ticker.
type Detector struct {
	start    time.Time
	lastTick atomic.Int64 // nanoseconds since start, monotonic; zero while Run is not running
	mu       sync.Mutex   // held during the call of onPause
	onPause  func(gap time.Duration)
}

// New returns a detector that calls onPause once per gap longer than Limit, on the goroutine that detects the
// gap.
func New(onPause func(gap time.Duration)) *Detector {
	return &Detector{start: time.Now(), onPause: onPause}
}

// Run ticks until the context is done.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	d.lastTick.Store(d.now())
	for {
		select {
		case <-ctx.Done():
			d.lastTick.Store(0)
			return
		case <-ticker.C:
		}
		now := d.now()
		if !d.check(now) {
			// Store the time taken before the check, so that a pause between the check and the store shows as
			// a gap.
			d.lastTick.Store(now)
		}
	}
}

// Check compares the clock with the last tick and reports whether it detected a pause that had not been
// reported yet. A data path calls it before each batch, since after a pause it may run before the ticker
// does. It does not allocate. When it returns, the call of onPause for the pause has returned, even if
// another goroutine detected the pause.
func (d *Detector) Check() bool { return d.check(d.now()) }

func (d *Detector) check(now int64) bool {
	if !d.isGap(now) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isGap(now) {
		return false
	}
	d.onPause(time.Duration(now - d.lastTick.Load()))
	d.lastTick.Store(now)
	return true
}

func (d *Detector) isGap(now int64) bool {
	last := d.lastTick.Load()
	return last != 0 && time.Duration(now-last) > Limit
}

// now returns the nanoseconds since start plus one: zero marks a detector that is not running.
func (d *Detector) now() int64 { return int64(time.Since(d.start)) + 1 }

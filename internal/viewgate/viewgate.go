// Package viewgate prevents the data path from acting on an outdated view after the process was paused.
package viewgate

import (
	"sync"
	"sync/atomic"
	"time"
)

// Periods and limits of the gate.
const (
	// Tick is the period of the ticker that shows that the process is running.
	Tick = 50 * time.Millisecond
	// MaxGap is the longest gap between ticks that counts as scheduling delay; a longer one counts as a pause.
	MaxGap = 500 * time.Millisecond
	// MaxHold is how long packets are held at most while the view cannot be confirmed.
	MaxHold = 2 * time.Second
	// settleTime is how long after a gap the source must keep reporting a confirmed view before the gate
	// opens, unless it reported an unconfirmed view in between. The source detects the pause with its own
	// ticker; until that fires, its report dates from before the pause.
	settleTime = 4 * Tick
)

// Gate decides whether the data path may act on the view. It is safe for concurrent use.
type Gate struct {
	confirmed func() bool
	now       func() time.Duration // monotonic
	lastTick  atomic.Int64
	open      atomic.Bool

	mu             sync.Mutex
	heldSince      time.Duration // start of the hold
	confirmedSince time.Duration // start of the source's current run of confirmed reports, or -1
	sawUnconfirmed bool          // the source reported an unconfirmed view during the hold
	timedOut       bool          // the hold ended at MaxHold and the source has not confirmed since
	holds          atomic.Uint64
}

// New returns a gate that relies on confirmed, the report of the source, and on the monotonic clock now. It
// starts closed unless the source reports a confirmed view.
func New(confirmed func() bool, now func() time.Duration) *Gate {
	g := &Gate{confirmed: confirmed, now: now}
	t := now()
	g.lastTick.Store(int64(t))
	g.open.Store(confirmed())
	g.heldSince = t
	g.confirmedSince = -1
	g.sawUnconfirmed = true
	return g
}

// Run ticks until stop is closed.
func (g *Gate) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			g.RecordTick()
		}
	}
}

// RecordTick records that the process is running, and closes the gate if the last tick is longer ago than
// MaxGap. Run calls it on each tick.
func (g *Gate) RecordTick() {
	now := g.now()
	last := time.Duration(g.lastTick.Swap(int64(now)))
	if now-last > MaxGap {
		g.hold(now)
	}
}

// Allow reports whether the data path may act on the view now. Call it before each batch.
func (g *Gate) Allow() bool {
	now := g.now()
	last := time.Duration(g.lastTick.Load())
	if now-last > MaxGap && g.lastTick.CompareAndSwap(int64(last), int64(now)) {
		g.hold(now)
	}
	confirmed := g.confirmed()
	if g.open.Load() && confirmed {
		return true
	}
	return g.evaluate(now, confirmed)
}

// Holds returns how often the gate closed.
func (g *Gate) Holds() uint64 { return g.holds.Load() }

func (g *Gate) hold(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beginHold(now)
}

func (g *Gate) beginHold(now time.Duration) {
	g.open.Store(false)
	g.heldSince = now
	g.confirmedSince = -1
	g.sawUnconfirmed = false
	g.timedOut = false
	g.holds.Add(1)
}

func (g *Gate) evaluate(now time.Duration, confirmed bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timedOut {
		g.timedOut = !confirmed
		return true
	}
	if g.open.Load() {
		if confirmed {
			return true
		}
		g.beginHold(now)
	}
	if !confirmed {
		g.sawUnconfirmed = true
		g.confirmedSince = -1
	} else if g.confirmedSince < 0 {
		g.confirmedSince = now
	}
	switch {
	case confirmed && (g.sawUnconfirmed || now-g.confirmedSince >= settleTime):
	case now-g.heldSince >= MaxHold:
		g.timedOut = !confirmed
	default:
		return false
	}
	g.open.Store(true)
	return true
}

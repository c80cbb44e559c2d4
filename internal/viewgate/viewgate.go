// Package viewgate keeps the data path from acting on an old view after the process was not running.
package viewgate

import (
	"sync"
	"sync/atomic"
	"time"
)

// Times of the gate.
const (
	// Tick is the period of the ticker that proves that the process runs.
	Tick = 50 * time.Millisecond
	// MaxGap is the longest silence of the ticker that is taken for scheduling delay and not for a pause.
	MaxGap = 500 * time.Millisecond
	// MaxHold bounds how long packets are held while nobody can confirm the view.
	MaxHold = 2 * time.Second
	// settle is how long the source must report a confirmed view after a gap before the gate believes it: the source
	// has a ticker of its own, and until that fires its report dates from before the pause.
	settle = 4 * Tick
)

// Gate decides whether the view may be acted on. Safe for concurrent use.
type Gate struct {
	confirmed func() bool
	now       func() time.Duration // monotonic
	lastTick  atomic.Int64
	open      atomic.Bool

	mu        sync.Mutex
	since     time.Duration // start of the hold
	agreed    time.Duration // since when the source has reported a confirmed view, or -1
	denied    bool          // the source has reported an unconfirmed view during the hold
	exhausted bool          // the hold ended at its bound; no new hold until the source confirms
	holds     atomic.Uint64
}

// New returns a gate over the source's report. It starts closed until the source has confirmed its view.
func New(confirmed func() bool, now func() time.Duration) *Gate {
	g := &Gate{confirmed: confirmed, now: now}
	t := now()
	g.lastTick.Store(int64(t))
	g.open.Store(confirmed())
	g.since = t
	g.agreed = -1
	g.denied = true
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

// RecordTick records that the process runs. Run calls it.
func (g *Gate) RecordTick() {
	now := g.now()
	last := time.Duration(g.lastTick.Swap(int64(now)))
	if now-last > MaxGap {
		g.hold(now)
	}
}

// Allow reports whether the view may be acted on at this moment. Call it before each batch.
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
	return g.judge(now, confirmed)
}

// Holds returns how often the gate closed.
func (g *Gate) Holds() uint64 { return g.holds.Load() }

func (g *Gate) hold(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin(now)
}

func (g *Gate) begin(now time.Duration) {
	g.open.Store(false)
	g.since = now
	g.agreed = -1
	g.denied = false
	g.exhausted = false
	g.holds.Add(1)
}

func (g *Gate) judge(now time.Duration, confirmed bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exhausted {
		g.exhausted = !confirmed
		return true
	}
	if g.open.Load() {
		if confirmed {
			return true
		}
		g.begin(now)
	}
	if !confirmed {
		g.denied = true
		g.agreed = -1
	} else if g.agreed < 0 {
		g.agreed = now
	}
	switch {
	case confirmed && (g.denied || now-g.agreed >= settle):
	case now-g.since >= MaxHold:
		g.exhausted = !confirmed
	default:
		return false
	}
	g.open.Store(true)
	return true
}

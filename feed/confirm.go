package feed

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/wait"
)

// holdLimit bounds how long decisions are held after a pause when nobody confirms the revision.
const holdLimit = 2 * time.Second

// refreshPeriod is how often a paused process repeats its question.
const refreshPeriod = 300 * time.Millisecond

// confirmation tracks whether the view has been confirmed since the last pause. Each pause begins a new epoch; only an
// answer to a question asked within the epoch confirms it, because messages that were buffered during the pause are as
// old as the view.
type confirmation struct {
	epoch     atomic.Uint64
	confirmed atomic.Uint64 // epoch of the last confirmation; zero before the first
	since     atomic.Int64  // when the epoch began, Unix nanoseconds
	revision  atomic.Uint64 // held at the last confirmation; the view must have caught up with it
	paused    chan struct{}
}

func newConfirmation() *confirmation {
	c := &confirmation{paused: make(chan struct{}, 1)}
	c.since.Store(time.Now().UnixNano())
	c.epoch.Store(1)
	return c
}

func (c *confirmation) holds() bool { return c.confirmed.Load() == c.epoch.Load() }

// isHeld reports whether a pause has begun an epoch that nobody has confirmed yet.
func (c *confirmation) isHeld() bool { return c.epoch.Load() > 1 && !c.holds() }

// begun returns when the epoch began: the start of the process or the end of its last pause.
func (c *confirmation) begun() time.Time { return time.Unix(0, c.since.Load()) }

// begin starts a new epoch, in which nothing is confirmed yet.
func (c *confirmation) begin() {
	c.since.Store(time.Now().UnixNano())
	c.epoch.Add(1)
	select {
	case c.paused <- struct{}{}:
	default:
	}
}

// confirm marks the epoch in which the question was asked. A later epoch stays unconfirmed.
func (c *confirmation) confirm(epoch uint64) {
	for {
		old := c.confirmed.Load()
		if old >= epoch || c.confirmed.CompareAndSwap(old, epoch) {
			return
		}
	}
}

// Confirmed reports whether a peer or the configuration service has confirmed the revision since the process started or
// woke from a pause, and the view shows that revision. Before the first members have arrived it returns false. It
// compares the clock itself, so that the first call after a pause already returns false.
func (f *Feed) Confirmed() bool {
	f.pause.Check()
	return f.complete.Load() && f.confirmation.holds() && f.viewShowsConfirmed()
}

// viewShowsConfirmed reports whether the view has caught up with the confirmed rules. The view is built by another
// goroutine, so that it can be older than the rules for a moment.
func (f *Feed) viewShowsConfirmed() bool {
	return uint64(f.View().Rules().Revision) >= f.confirmation.revision.Load()
}

// confirm is called when a peer or the configuration service, asked in the epoch, holds no newer revision.
// Once the epoch is confirmed, newer rules change nothing: asking for them in the view would stop all traffic for the
// moment that each change needs to reach the view.
func (f *Feed) confirm(epoch uint64) {
	set := f.book.current()
	if set == nil || f.confirmation.confirmed.Load() >= epoch {
		return
	}
	f.confirmation.revision.Store(uint64(set.Revision))
	f.confirmation.confirm(epoch)
}

// onPause is called by the goroutine that notices the pause, possibly that of the data path.
func (f *Feed) onPause(gap time.Duration) {
	f.confirmation.begin()
	f.log.Warn("process_paused", "gap", gap)
}

// refreshAfterPauses asks peers and the service for the revision after each pause.
func (f *Feed) refreshAfterPauses(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.confirmation.paused:
			f.refresh(ctx)
		}
	}
}

// refresh repeats its questions until one is answered, at most for holdLimit. Then the process goes on with its last
// view, since it cannot tell its own isolation from that of all others.
func (f *Feed) refresh(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, f.confirmation.begun().Add(holdLimit))
	defer cancel()
	epoch := f.confirmation.epoch.Load()
	for ctx.Err() == nil && f.confirmation.confirmed.Load() < epoch {
		go f.askOnce(ctx)
		wait.For(ctx, refreshPeriod)
	}
	if f.confirmation.confirmed.Load() < epoch && f.book.current() != nil {
		f.log.Warn("revision_unconfirmed", "held", holdLimit)
		f.confirmation.confirm(epoch)
	}
}

// askOnce asks some peers, and the configuration service where no peer answers.
func (f *Feed) askOnce(ctx context.Context) {
	peers := f.peersToAsk(f.cfg.Self.FailureDomain)
	if f.askAll(ctx, peers) > 0 {
		return
	}
	if f.askAll(ctx, f.peersToAsk("")) == 0 {
		f.readRules(ctx)
	}
}

// domainOf returns the failure domain of the process with the control address, empty where it is not known.
func (f *Feed) domainOf(control netip.AddrPort) string {
	domain := ""
	f.table.ForEach("", func(m *fleet.Member) {
		if m.Record.VM.Control == control {
			domain = m.Record.VM.FailureDomain
		}
	})
	return domain
}

package feed

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/wait"
)

// confirmTimeout bounds how long decisions are held back after a pause if neither a peer nor the configuration service
// confirms the revision.
const confirmTimeout = 2 * time.Second

// confirmRetryPeriod is the interval between the queries of a process that resumed after a pause.
const confirmRetryPeriod = 300 * time.Millisecond

// confirmation tracks whether the view has been confirmed since the last pause of the process. Each pause starts a new
// epoch. Only a response to a query that was sent within the epoch confirms it, because messages that were buffered
// during the pause are as old as the view.
type confirmation struct {
	epoch             atomic.Uint64
	confirmedEpoch    atomic.Uint64 // epoch of the last confirmation; zero before the first
	epochStartNano    atomic.Int64  // start of the epoch, Unix nanoseconds
	confirmedRevision atomic.Uint64 // in force at the last confirmation; the view must show it or a higher one
	paused            chan struct{}
}

func newConfirmation() *confirmation {
	c := &confirmation{paused: make(chan struct{}, 1)}
	c.epochStartNano.Store(time.Now().UnixNano())
	c.epoch.Store(1)
	return c
}

func (c *confirmation) isConfirmed() bool { return c.confirmedEpoch.Load() == c.epoch.Load() }

// isPending reports whether a pause has started an epoch that is not confirmed yet.
func (c *confirmation) isPending() bool { return c.epoch.Load() > 1 && !c.isConfirmed() }

// epochStart returns the start of the epoch: the start of the process or the end of its last pause.
func (c *confirmation) epochStart() time.Time { return time.Unix(0, c.epochStartNano.Load()) }

// startEpoch starts a new, unconfirmed epoch and wakes reconfirmAfterPauses.
func (c *confirmation) startEpoch() {
	c.epochStartNano.Store(time.Now().UnixNano())
	c.epoch.Add(1)
	select {
	case c.paused <- struct{}{}:
	default:
	}
}

// confirm marks the epoch in which the query was sent as confirmed. A later epoch stays unconfirmed.
func (c *confirmation) confirm(epoch uint64) {
	for {
		old := c.confirmedEpoch.Load()
		if old >= epoch || c.confirmedEpoch.CompareAndSwap(old, epoch) {
			return
		}
	}
}

// Confirmed reports whether a peer or the configuration service has confirmed the revision since the process started or
// resumed after a pause, and the view shows that revision or a higher one. It returns false until the view has the
// first members. It checks the clock itself for a pause, so that the first call after a pause already returns false.
func (f *Feed) Confirmed() bool {
	f.pause.Check()
	return f.viewComplete.Load() && f.confirmation.isConfirmed() && f.viewHasConfirmedRules()
}

// viewHasConfirmedRules reports whether the view shows the confirmed rules or newer ones. Another goroutine builds the
// view, so it can lag behind the rules for a moment.
func (f *Feed) viewHasConfirmedRules() bool {
	return uint64(f.View().Rules().Revision) >= f.confirmation.confirmedRevision.Load()
}

// confirm records that a peer or the configuration service, queried in the epoch, has no newer revision. If the epoch
// is confirmed already it does nothing: to require each newer revision in the view would stop all traffic until the
// view had been rebuilt.
func (f *Feed) confirm(epoch uint64) {
	set := f.rules.current()
	if set == nil || f.confirmation.confirmedEpoch.Load() >= epoch {
		return
	}
	f.confirmation.confirmedRevision.Store(uint64(set.Revision))
	f.confirmation.confirm(epoch)
}

// onPause is called by the goroutine that detects the pause, which may be one of the data path.
func (f *Feed) onPause(gap time.Duration) {
	f.confirmation.startEpoch()
	f.log.Warn("process_paused", "gap", gap)
}

// reconfirmAfterPauses queries peers and the configuration service for the revision after each pause.
func (f *Feed) reconfirmAfterPauses(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.confirmation.paused:
			f.reconfirm(ctx)
		}
	}
}

// reconfirm repeats its queries until one confirms the epoch, at most for confirmTimeout. After that the process goes
// on with its last view, because it cannot distinguish its own isolation from an outage of all others.
func (f *Feed) reconfirm(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, f.confirmation.epochStart().Add(confirmTimeout))
	defer cancel()
	epoch := f.confirmation.epoch.Load()
	for ctx.Err() == nil && f.confirmation.confirmedEpoch.Load() < epoch {
		go f.queryRevision(ctx)
		wait.For(ctx, confirmRetryPeriod)
	}
	if f.confirmation.confirmedEpoch.Load() < epoch && f.rules.current() != nil {
		f.log.Warn("revision_unconfirmed", "held", confirmTimeout)
		f.confirmation.confirm(epoch)
	}
}

// queryRevision queries a few peers, and the configuration service if no peer answers.
func (f *Feed) queryRevision(ctx context.Context) {
	peers := f.choosePeersToQuery(f.cfg.Self.FailureDomain)
	if f.fetchRulesFromAll(ctx, peers) > 0 {
		return
	}
	if f.fetchRulesFromAll(ctx, f.choosePeersToQuery("")) == 0 {
		f.readRules(ctx)
	}
}

// domainOf returns the failure domain of the process with the control address, empty if no member has the address.
func (f *Feed) domainOf(control netip.AddrPort) string {
	domain := ""
	f.table.ForEach("", func(m *fleet.Member) {
		if m.Record.VM.Control == control {
			domain = m.Record.VM.FailureDomain
		}
	})
	return domain
}

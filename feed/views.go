package feed

import (
	"context"
	"time"

	"github.com/cowslipward/cowslipward/rules"
)

// Timing of the view builder.
const (
	// viewDelay batches record changes into one view. Rule changes are not delayed.
	viewDelay = 20 * time.Millisecond
	// viewDelayFactor bounds the builder to a share of one core: after a build of duration d it waits viewDelayFactor
	// times d.
	viewDelayFactor = 50
	// maxViewDelay bounds that wait. Without it, one build that a busy machine slowed down delayed views by seconds.
	maxViewDelay = 500 * time.Millisecond
)

// buildViews rebuilds the view after changes of the rules or the table, and periodically while a weight ramp is in
// progress, until the context is canceled.
func (f *Feed) buildViews(ctx context.Context) error {
	var flush <-chan time.Time
	var version uint64
	delay := viewDelay
	for {
		rulesChanged := f.rules.changed.wait()
		tableChanged := f.tableChanged.wait()
		rebuildRequested := f.rebuildRequested.wait()
		if f.isViewDue() {
			version, delay = f.buildView()
			flush = nil
		}
		ramping := f.View().Ramping()
		if flush == nil && f.table.Version() != version {
			flush = time.After(delay)
		} else if flush == nil && ramping {
			flush = time.After(rampStepPeriod)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rulesChanged:
		case <-tableChanged:
		case <-rebuildRequested:
		case <-flush:
			flush = nil
			version, delay = f.buildView()
		}
	}
}

// isViewDue reports whether a view must be built without delay: for new rules, or because the first snapshot was merged
// during or after the last build.
func (f *Feed) isViewDue() bool {
	return f.viewLacksRules(f.rules.current()) || (f.snapshotMerged.Load() && !f.viewComplete.Load())
}

// viewLacksRules reports whether the set is present and the view shows another revision.
func (f *Feed) viewLacksRules(set *rules.Set) bool {
	return set != nil && set.Revision != f.View().Rules().Revision
}

// buildView replaces the view. It returns the table version that the new view includes at least, and the delay before
// the next build.
func (f *Feed) buildView() (uint64, time.Duration) {
	begin := time.Now()
	merged := f.snapshotMerged.Load()
	version := f.table.Version()
	set := f.rules.current()
	if f.viewLacksRules(set) {
		f.outages.update(set, f.outRuleStart())
	}
	f.view.Store(f.table.View(set, f.outages.weightLimits()))
	if merged {
		f.viewComplete.Store(true)
	}
	f.viewChanged.notify()
	return version, min(max(viewDelay, viewDelayFactor*time.Since(begin)), maxViewDelay)
}

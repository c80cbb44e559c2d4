package feed

import (
	"context"
	"time"

	"github.com/cowslipward/cowslipward/rules"
)

// Times of the view builder.
const (
	// viewDelay collects record changes into one view. Rule changes do not wait.
	viewDelay = 20 * time.Millisecond
	// viewShare bounds the builder to a share of one core: after a build that took d it waits viewShare times d.
	viewDelayFactor = 50
	// viewDelayMost bounds that wait; without it one build that was delayed by a busy machine made views seconds late.
	maxViewDelay = 500 * time.Millisecond
)

// buildViews replaces the view when the rules or the table changed.
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

// isViewBehind reports whether a view is due at once: for new rules, or for members that arrived while the last one was
// built.
func (f *Feed) isViewDue() bool {
	return f.viewLacksRules(f.rules.current()) || (f.snapshotMerged.Load() && !f.viewComplete.Load())
}

// isRuleNews reports whether the view shows other rules.
func (f *Feed) viewLacksRules(set *rules.Set) bool {
	return set != nil && set.Revision != f.View().Rules().Revision
}

// buildView returns the version of the table that the new view holds, and how long to wait before the next one.
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

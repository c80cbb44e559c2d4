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
	viewShare = 50
	// viewDelayMost bounds that wait; without it one build that was delayed by a busy machine made views seconds late.
	viewDelayMost = 500 * time.Millisecond
)

// buildViews replaces the view when the rules or the table changed.
func (f *Feed) buildViews(ctx context.Context) error {
	var flush <-chan time.Time
	var version uint64
	pause := viewDelay
	for {
		ruled := f.book.changed.wait()
		moved := f.moved.wait()
		rebuild := f.rebuild.wait()
		if f.isViewBehind() {
			version, pause = f.buildView()
			flush = nil
		}
		ramping := f.View().Ramping()
		if flush == nil && f.table.Version() != version {
			flush = time.After(pause)
		} else if flush == nil && ramping {
			flush = time.After(rampStep)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ruled:
		case <-moved:
		case <-rebuild:
		case <-flush:
			flush = nil
			version, pause = f.buildView()
		}
	}
}

// isViewBehind reports whether a view is due at once: for new rules, or for members that arrived while the last one was
// built.
func (f *Feed) isViewBehind() bool {
	return f.isRuleNews(f.book.current()) || (f.merged.Load() && !f.complete.Load())
}

// isRuleNews reports whether the view shows other rules.
func (f *Feed) isRuleNews(set *rules.Set) bool {
	return set != nil && set.Revision != f.View().Rules().Revision
}

// buildView returns the version of the table that the new view holds, and how long to wait before the next one.
func (f *Feed) buildView() (uint64, time.Duration) {
	begin := time.Now()
	merged := f.merged.Load()
	version := f.table.Version()
	set := f.book.current()
	if f.isRuleNews(set) {
		f.outages.follow(set, f.outSince())
	}
	f.view.Store(f.table.View(set, f.outages.ramps()))
	if merged {
		f.complete.Store(true)
	}
	f.changed.fire()
	return version, min(max(viewDelay, viewShare*time.Since(begin)), viewDelayMost)
}

package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowslipward/cowslipward/internal/wait"
)

// leastRead is the shortest time between two reads that brought nothing new, so that a configuration service that
// answers at once, for instance with an index lower than the one asked for, does not cause a busy loop.
const leastRead = time.Second

// readList reads the VM list once and reports whether it was answered.
func (f *Feed) readList(ctx context.Context, domain string) bool {
	list, err := f.platform.VMs(ctx, domain, 0)
	if err != nil {
		f.log.Warn("vm_list_unavailable", "error", err)
		return false
	}
	f.table.ApplyVMList(domain, list.Index, list.VMs)
	f.moved.fire()
	return true
}

// readRules reads the rule file once and reports whether rules are in force.
func (f *Feed) readRules(ctx context.Context) bool {
	epoch := f.confirmation.epoch.Load()
	answer, err := f.platform.Rules(ctx, 0)
	if err != nil {
		f.log.Warn("rules_unavailable", "error", err)
		return false
	}
	f.book.offer(answer.Text, answer.Revision, "configuration service")
	f.confirm(epoch)
	return f.book.current() != nil
}

// watchRules waits on the rule file until the context ends.
func (f *Feed) watchRules(ctx context.Context) {
	poll(ctx, func(index uint64) (uint64, error) {
		epoch := f.confirmation.epoch.Load()
		answer, err := f.platform.Rules(ctx, index)
		if err != nil {
			return 0, err
		}
		f.book.offer(answer.Text, answer.Revision, "configuration service")
		f.confirm(epoch)
		return answer.Index, nil
	})
}

// watchList waits on the VM list of the own failure domain until the context ends.
func (f *Feed) watchList(ctx context.Context) {
	poll(ctx, func(index uint64) (uint64, error) {
		list, err := f.platform.VMs(ctx, f.cfg.Self.FailureDomain, index)
		if err != nil {
			return 0, err
		}
		if f.table.ApplyVMList(f.cfg.Self.FailureDomain, list.Index, list.VMs) {
			f.moved.fire()
		}
		return list.Index, nil
	})
}

// poll repeats a waiting read from the index that the last one returned until the context ends. After a failure the next
// read starts from zero; after an answer without news it waits, so that a service that answers at once is not flooded.
func poll(ctx context.Context, read func(index uint64) (uint64, error)) {
	var index uint64
	var retry backoff
	for ctx.Err() == nil {
		begin := time.Now()
		next, err := read(index)
		if err != nil {
			index = 0
			retry.wait(ctx)
			continue
		}
		retry.reset()
		news := next > index
		index = next
		if !news {
			wait.For(ctx, jitter(leastRead)-time.Since(begin))
		}
	}
}

// Times of reads by a process that no relay answers. At 7,820 processes one call in 5 s each stays below the 2,000 reads
// a second that the configuration service allows.
const (
	fallbackPeriod = 5 * time.Second
	fallbackAfter  = silenceLimit
)

// readWithoutRelay reads the rule file and the VM list in turn while no relay answers.
func (f *Feed) readWithoutRelay(ctx context.Context, since func() time.Time) {
	rulesNext := true
	for ctx.Err() == nil {
		wait.For(ctx, fallbackPeriod+rand.N(fallbackPeriod/2))
		if lost := since(); lost.IsZero() || time.Since(lost) < fallbackAfter {
			continue
		}
		if rulesNext {
			f.readRules(ctx)
		} else {
			f.readList(ctx, f.cfg.Self.FailureDomain)
		}
		rulesNext = !rulesNext
	}
}

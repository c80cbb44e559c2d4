package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cowslipward/cowslipward/internal/wait"
)

// minReadInterval is the minimum interval between two reads that returned nothing new. It prevents a busy loop if the
// configuration service answers without blocking, for instance with an index lower than the requested one.
const minReadInterval = time.Second

// readVMList reads the VM list of the failure domain once, or of all domains if domain is empty. It reports whether the
// read succeeded.
func (f *Feed) readVMList(ctx context.Context, domain string) bool {
	list, err := f.platform.VMs(ctx, domain, 0)
	if err != nil {
		f.log.Warn("vm_list_unavailable", "error", err)
		return false
	}
	f.noteRefusedEntries(domain, list.Refused)
	f.table.ApplyVMList(domain, list.Index, list.VMs)
	f.tableChanged.notify()
	return true
}

// refusedListEntries counts the changes of the refused entries of the VM list.
var refusedListEntries = metrics.NewCounter("cowslip_vm_list_refused_changes_total")

// noteRefusedEntries logs the entries of a VM list that are not used, each time that they change.
func (f *Feed) noteRefusedEntries(domain string, refused []string) {
	f.refusedMu.Lock()
	defer f.refusedMu.Unlock()
	if slices.Equal(f.refusedEntries[domain], refused) {
		return
	}
	f.refusedEntries[domain] = refused
	refusedListEntries.Inc()
	f.log.Warn("vm_list_entries_refused", "domain", domain, "count", len(refused), "entries", strings.Join(refused, "; "))
}

// RefusedEntries returns the entries of the VM list that this process does not use, each with the reason, as of its last
// read. Processes other than relays read the list rarely.
func (f *Feed) RefusedEntries() []string {
	f.refusedMu.Lock()
	defer f.refusedMu.Unlock()
	var all []string
	for _, refused := range f.refusedEntries {
		all = append(all, refused...)
	}
	slices.Sort(all)
	return slices.Compact(all) // the list of one domain and that of all may name the same entry
}

// readRules reads the rule file once. It reports whether the read succeeded and rules are in force.
func (f *Feed) readRules(ctx context.Context) bool {
	epoch := f.confirmation.epoch.Load()
	answer, err := f.platform.Rules(ctx, 0)
	if err != nil {
		f.log.Warn("rules_unavailable", "error", err)
		return false
	}
	f.rules.applyText(answer.Text, answer.Revision, "configuration service")
	f.confirm(epoch)
	return f.rules.current() != nil
}

// watchRules follows changes of the rule file with blocking queries until the context is canceled.
func (f *Feed) watchRules(ctx context.Context) {
	poll(ctx, func(index uint64) (uint64, error) {
		epoch := f.confirmation.epoch.Load()
		answer, err := f.platform.Rules(ctx, index)
		if err != nil {
			return 0, err
		}
		f.rules.applyText(answer.Text, answer.Revision, "configuration service")
		f.confirm(epoch)
		return answer.Index, nil
	})
}

// watchVMList follows changes of the VM list of the own failure domain with blocking queries until the context is
// canceled.
func (f *Feed) watchVMList(ctx context.Context) {
	poll(ctx, func(index uint64) (uint64, error) {
		list, err := f.platform.VMs(ctx, f.cfg.Self.FailureDomain, index)
		if err != nil {
			return 0, err
		}
		f.noteRefusedEntries(f.cfg.Self.FailureDomain, list.Refused)
		if f.table.ApplyVMList(f.cfg.Self.FailureDomain, list.Index, list.VMs) {
			f.tableChanged.notify()
		}
		return list.Index, nil
	})
}

// poll repeats a blocking query until the context is canceled, each time with the index that the last one returned.
// After a failure the next query starts from index zero. If the index has not risen it waits, so that a service that
// answers without blocking is not flooded.
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
		advanced := next > index
		index = next
		if !advanced {
			wait.For(ctx, jitter(minReadInterval)-time.Since(begin))
		}
	}
}

// Timing of the platform reads of a process that no relay answers. With 7,820 processes, one read per process every 5 s
// stays below the limit of the configuration service, 2,000 reads per second.
const (
	fallbackPeriod = 5 * time.Second
	fallbackAfter  = silenceTimeout
)

// readWithoutRelay alternately reads the rule file and the VM list while no relay answers. lostSince returns the time
// since which none has answered, zero while one does.
func (f *Feed) readWithoutRelay(ctx context.Context, lostSince func() time.Time) {
	rulesNext := true
	for ctx.Err() == nil {
		wait.For(ctx, fallbackPeriod+rand.N(fallbackPeriod/2))
		if lost := lostSince(); lost.IsZero() || time.Since(lost) < fallbackAfter {
			continue
		}
		if rulesNext {
			f.readRules(ctx)
		} else {
			f.readVMList(ctx, f.cfg.Self.FailureDomain)
		}
		rulesNext = !rulesNext
	}
}

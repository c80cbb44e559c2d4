package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// Times of the choice of peers.
const (
	// reviewPeriod is how often a process looks at which peers it has to watch.
	roleCheckPeriod = 250 * time.Millisecond
	// syncLimit bounds how long a new relay waits for the snapshots of the others before it serves subscribers.
	syncTimeout = 2 * time.Second
	// mergeLimit bounds how long a new process waits for the members of the fleet before its view counts as confirmed.
	initialSnapshotTimeout = 3 * time.Second
	// unreachableFor is how long a VM that did not answer is passed over in the choice of relays.
	unreachableDuration = 30 * time.Second
	// unreachableAfter is how long a relay tries another one before it watches the next candidate besides.
	unreachableAfter = 5 * time.Second
	evictionPeriod   = 5 * time.Second
)

// coordinate keeps the sessions that the role of this process asks for: a relay reads the platform and watches all
// other relays, another process subscribes to one relay of its domain.
func (f *Feed) maintainRole(ctx context.Context) error {
	ticker := time.NewTicker(roleCheckPeriod)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	var term *roleTerm
	startedAt := time.Now()
	lastEviction := startedAt
	var domains map[string]candidates
	var version uint64
	for {
		if current := f.table.Version(); domains == nil || current != version {
			// The choice among thousands of VMs costs milliseconds, and the table is still most of the time.
			domains, version = f.candidates(), current
		}
		role := f.roleFor(domains[f.cfg.Self.FailureDomain])
		if term == nil || term.role != role {
			term.end()
			term = f.startRole(ctx, &running, role)
		}
		isRelay := role != roleSubscriber
		if isRelay {
			f.watchRelays(term.ctx, &running, domains)
			f.relayReady.Store(f.isSynced(term.startedAt))
		}
		if f.relayReady.Load() || time.Since(startedAt) > initialSnapshotTimeout {
			f.markSnapshotMerged()
		}
		if time.Since(lastEviction) > evictionPeriod {
			lastEviction = time.Now()
			f.evictStale(isRelay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// role is what a process does for its failure domain.
type role int

const (
	roleSubscriber role = iota
	roleRelay           // serves subscribers and watches the other relays
	roleReader          // a relay that reads the platform too
)

func (r role) String() string {
	return [...]string{"subscriber", "relay", "reader"}[r]
}

func (f *Feed) roleFor(c candidates) role {
	relays := chooseRelays(f.reachable(c))
	at := slices.IndexFunc(relays, func(vm fleet.VM) bool { return vm.Name == f.cfg.Self.Name })
	switch {
	case at < 0:
		return roleSubscriber
	case at < readersPerDomain:
		return roleReader
	default:
		return roleRelay
	}
}

// setMerged lets the next view count as complete.
func (f *Feed) markSnapshotMerged() {
	if f.snapshotMerged.CompareAndSwap(false, true) {
		f.rebuildRequested.notify()
	}
}

// term is the time in which a process keeps one role.
type roleTerm struct {
	role      role
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
}

func (t *roleTerm) end() {
	if t != nil {
		t.cancel()
	}
}

// takeRole starts what the role needs, until the term ends.
func (f *Feed) startRole(ctx context.Context, running *sync.WaitGroup, role role) *roleTerm {
	ctx, cancel := context.WithCancel(ctx)
	f.log.Info("role_taken", "as", role)
	f.relayReady.Store(false)
	f.endSessions()
	if role == roleReader {
		running.Go(func() { f.watchRules(ctx) })
		running.Go(func() { f.watchVMList(ctx) })
	}
	if role != roleSubscriber {
		f.self.raiseSequence()
		f.mergeOwnRecord()
		running.Go(func() { f.detector.run(ctx) })
	} else {
		running.Go(func() { f.subscribe(ctx) })
	}
	return &roleTerm{role: role, startedAt: time.Now(), ctx: ctx, cancel: cancel}
}

// isSynced reports whether the other relays' snapshots have arrived, or have been waited for long enough. A relay that
// served earlier would give its subscribers a view with holes.
func (f *Feed) isSynced(startedAt time.Time) bool {
	if time.Since(startedAt) > syncTimeout {
		return true
	}
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	for _, s := range f.sessions {
		if !s.synced.Load() {
			return false
		}
	}
	return true
}

// candidates returns the possible relays of each failure domain, best first. Where enough processes have published a
// record, VMs without one are left out: the list may name VMs whose process never started.
func (f *Feed) candidates() map[string]candidates {
	domains := make(map[string]*domainRankings)
	f.table.Visit("", func(m *fleet.Member) {
		if !canRelay(m) {
			return
		}
		r, ok := domains[m.Record.VM.FailureDomain]
		if !ok {
			r = &domainRankings{}
			domains[m.Record.VM.FailureDomain] = r
		}
		r.add(m)
	})
	chosen := make(map[string]candidates, len(domains))
	for domain, r := range domains {
		chosen[domain] = r.candidates()
	}
	return chosen
}

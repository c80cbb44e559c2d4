package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
)

// Timing of the choice of role and peers.
const (
	// roleCheckPeriod is how often a process checks its role and which peers it must watch.
	roleCheckPeriod = 250 * time.Millisecond
	// syncTimeout bounds how long a new relay waits for the snapshots of the other relays before it serves subscribers.
	syncTimeout = 2 * time.Second
	// initialSnapshotTimeout bounds how long a new process waits for the members of the fleet before its view can count
	// as confirmed.
	initialSnapshotTimeout = 3 * time.Second
	// unreachableDuration is how long a VM that did not answer is excluded from the choice of relays.
	unreachableDuration = 30 * time.Second
	// unreachableAfter is how long a relay tries to reach another one before it watches the next candidate too.
	unreachableAfter = 5 * time.Second
	evictionPeriod   = 5 * time.Second
)

// maintainRole runs the role of this process and the sessions that the role requires until the context is canceled. A
// relay watches the other relays, and as a reader it also reads the platform. A subscriber subscribes to one relay of
// its failure domain.
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
			// Ranking thousands of VMs takes milliseconds, and the table rarely changes.
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

// role is the part that a process plays in the distribution within its failure domain.
type role int

const (
	roleSubscriber role = iota
	roleRelay           // serves subscribers and watches the other relays
	roleReader          // a relay that also reads the platform
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

// markSnapshotMerged records that the first snapshot is merged and requests the view that includes it.
func (f *Feed) markSnapshotMerged() {
	if f.snapshotMerged.CompareAndSwap(false, true) {
		f.rebuildRequested.notify()
	}
}

// roleTerm is the period during which a process has one role.
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

// startRole ends the sessions of the previous role and starts the goroutines of the new one, which run until the
// returned term ends.
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

// isSynced reports whether the snapshots of all watched relays have been merged or syncTimeout has passed. A relay that
// served earlier would give its subscribers an incomplete view.
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

// candidates returns the candidates for relays of each failure domain, best first. If enough processes of a domain have
// published a record, VMs without one are excluded, because the list may name VMs whose process never started.
func (f *Feed) candidates() map[string]candidates {
	domains := make(map[string]*domainRankings)
	f.table.ForEach("", func(m *fleet.Member) {
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

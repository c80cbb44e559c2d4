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
	reviewPeriod = 250 * time.Millisecond
	// syncLimit bounds how long a new relay waits for the snapshots of the others before it serves subscribers.
	syncLimit = 2 * time.Second
	// mergeLimit bounds how long a new process waits for the members of the fleet before its view counts as confirmed.
	mergeLimit = 3 * time.Second
	// unreachableFor is how long a VM that did not answer is passed over in the choice of relays.
	unreachableFor = 30 * time.Second
	// unreachableAfter is how long a relay tries another one before it watches the next candidate besides.
	unreachableAfter = 5 * time.Second
	collectPeriod    = 5 * time.Second
)

// coordinate keeps the sessions that the role of this process asks for: a relay reads the platform and watches all
// other relays, another process subscribes to one relay of its domain.
func (f *Feed) coordinate(ctx context.Context) error {
	ticker := time.NewTicker(reviewPeriod)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	var term *term
	began := time.Now()
	collected := began
	var domains map[string]candidates
	var version uint64
	for {
		if now := f.table.Version(); domains == nil || now != version {
			// The choice among thousands of VMs costs milliseconds, and the table is still most of the time.
			domains, version = f.candidates(), now
		}
		role := f.roleAmong(domains[f.cfg.Self.FailureDomain])
		if term == nil || term.role != role {
			term.end()
			term = f.takeRole(ctx, &running, role)
		}
		relay := role != roleSubscriber
		if relay {
			f.watchRelays(term.ctx, &running, domains)
			f.relay.Store(f.isSynced(term.began))
		}
		if f.relay.Load() || time.Since(began) > mergeLimit {
			f.setMerged()
		}
		if time.Since(collected) > collectPeriod {
			collected = time.Now()
			f.collect(relay)
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

func (f *Feed) roleAmong(c candidates) role {
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
func (f *Feed) setMerged() {
	if f.merged.CompareAndSwap(false, true) {
		f.rebuild.fire()
	}
}

// term is the time in which a process keeps one role.
type term struct {
	role  role
	began time.Time
	ctx   context.Context
	stop  context.CancelFunc
}

func (t *term) end() {
	if t != nil {
		t.stop()
	}
}

// takeRole starts what the role needs, until the term ends.
func (f *Feed) takeRole(ctx context.Context, running *sync.WaitGroup, role role) *term {
	ctx, cancel := context.WithCancel(ctx)
	f.log.Info("role_taken", "as", role)
	f.relay.Store(false)
	f.endSessions()
	if role == roleReader {
		running.Go(func() { f.watchRules(ctx) })
		running.Go(func() { f.watchList(ctx) })
	}
	if role != roleSubscriber {
		f.self.renew()
		f.mergeSelf()
		running.Go(func() { f.detector.run(ctx) })
	} else {
		running.Go(func() { f.subscribe(ctx) })
	}
	return &term{role: role, began: time.Now(), ctx: ctx, stop: cancel}
}

// isSynced reports whether the other relays' snapshots have arrived, or have been waited for long enough. A relay that
// served earlier would give its subscribers a view with holes.
func (f *Feed) isSynced(began time.Time) bool {
	if time.Since(began) > syncLimit {
		return true
	}
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	for _, s := range f.peers {
		if !s.synced.Load() {
			return false
		}
	}
	return true
}

// candidates returns the possible relays of each failure domain, best first. Where enough processes have published a
// record, VMs without one are left out: the list may name VMs whose process never started.
func (f *Feed) candidates() map[string]candidates {
	domains := make(map[string]*rankings)
	f.table.ForEach("", func(m *fleet.Member) {
		if !canRelay(m) {
			return
		}
		r, ok := domains[m.Record.VM.FailureDomain]
		if !ok {
			r = &rankings{}
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

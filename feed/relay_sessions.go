package feed

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
)

// syncedRelays returns the names of the watched relays whose snapshot has been merged.
func (f *Feed) syncedRelays() map[string]bool {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	synced := make(map[string]bool, len(f.sessions))
	for name, s := range f.sessions {
		if s.synced.Load() {
			synced[name] = true
		}
	}
	return synced
}

// markUnreachable excludes the VMs from the choice of relays for unreachableDuration.
func (f *Feed) markUnreachable(vms ...fleet.VM) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	for _, vm := range vms {
		f.unreachable[vm.Name] = time.Now().Add(unreachableDuration)
	}
}

// reachable returns the candidates without the VMs that are marked as unreachable.
func (f *Feed) reachable(c candidates) candidates {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	reachable := make([]fleet.VM, 0, len(c.ranked))
	for _, vm := range c.ranked {
		until, marked := f.unreachable[vm.Name]
		if marked && time.Now().After(until) {
			delete(f.unreachable, vm.Name)
			marked = false
		}
		if !marked {
			reachable = append(reachable, vm)
		}
	}
	return candidates{ranked: reachable, total: c.total}
}

// watchRelays maintains one session to each relay that relaysToWatch returns and ends all other sessions. If a chosen
// relay does not answer, the next candidate is watched too, because its own domain may have chosen it by now.
func (f *Feed) watchRelays(ctx context.Context, running *sync.WaitGroup, domains map[string]candidates) {
	wanted := make(map[string]fleet.VM)
	for domain, c := range domains {
		if !f.mayReach(domain) {
			continue
		}
		for _, vm := range append(f.relaysToWatch(domain, c), f.relaysToWatch(domain, f.reachable(c))...) {
			wanted[vm.Name] = vm
		}
	}
	delete(wanted, f.cfg.Self.Name)
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	for name, s := range f.sessions {
		if vm, ok := wanted[name]; !ok || vm.Control != s.vm.Control {
			s.cancel()
			delete(f.sessions, name)
		}
	}
	for name, vm := range wanted {
		if _, ok := f.sessions[name]; !ok {
			f.sessions[name] = f.openSession(ctx, running, vm)
		}
	}
	f.markSilentRelays()
}

// relaysToWatch returns all relays of the own failure domain, but at most readersPerDomain of another one: each relay
// has all records of its domain, and in a large fleet watching all relays would cost a relay more than its subscribers
// do.
func (f *Feed) relaysToWatch(domain string, c candidates) []fleet.VM {
	relays := chooseRelays(c)
	if domain == f.cfg.Self.FailureDomain || len(relays) <= readersPerDomain {
		return relays
	}
	sortForSubscriber(f.cfg.Self.Name, relays)
	return relays[:readersPerDomain]
}

// markSilentRelays marks relays as unreachable to which no stream has been open for unreachableAfter. The caller holds
// sessionsMu.
func (f *Feed) markSilentRelays() {
	for name, s := range f.sessions {
		if _, lost := s.streamTimes(); !lost.IsZero() && time.Since(lost) > unreachableAfter {
			f.unreachable[name] = time.Now().Add(unreachableDuration)
		}
	}
}

// evictExpiredMarks deletes expired marks of unreachable VMs, including those of VMs that are no longer candidates.
func (f *Feed) evictExpiredMarks() {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	maps.DeleteFunc(f.unreachable, func(_ string, until time.Time) bool { return time.Now().After(until) })
}

func (f *Feed) endSessions() {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	for name, s := range f.sessions {
		s.cancel()
		delete(f.sessions, name)
	}
}

func (f *Feed) openSession(ctx context.Context, running *sync.WaitGroup, vm fleet.VM) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{feed: f, vm: vm, scope: fleetv1.Scope_SCOPE_DOMAIN, cancel: cancel, lostAt: time.Now()}
	running.Go(func() { s.run(ctx) })
	return s
}

// run watches the relay and redials with backoff until the context is canceled.
func (s *session) run(ctx context.Context) {
	retry := backoff{limit: maxRelayRedialDelay}
	s.onSnapshot = retry.reset
	for ctx.Err() == nil {
		conn := s.feed.dial(s.vm.Control, retry.handshakeTimeout(), s.feed.writeGuard(s.vm.FailureDomain))
		err := s.watch(ctx, conn)
		conn.close()
		if ctx.Err() != nil {
			return
		}
		s.feed.log.Debug("watch_ended", "peer", s.vm.Name, "error", err)
		retry.wait(ctx)
	}
}

// evictStale evicts expired marks and members that are gone. A relay decides which members of its own failure domain
// are gone. Members of other domains, and at a subscriber all members, are also removed if the complete snapshots of
// all sources left them out.
func (f *Feed) evictStale(relay bool) {
	domain := ""
	if relay {
		domain = f.cfg.Self.FailureDomain
	}
	f.evictExpiredMarks()
	changed := f.table.Prune(domain)
	for source, since := range f.oldestSnapshots() {
		if time.Since(since) > fleet.GracePeriod && (source == "" || source != domain) {
			changed += f.table.RemoveStale(since, source, f.cfg.Self.Name)
		}
	}
	if changed > 0 {
		f.tableChanged.notify()
	}
}

// oldestSnapshots returns for each source of members when the oldest open stream with a complete snapshot was opened.
// The key is a failure domain, or empty for streams that carry all domains.
func (f *Feed) oldestSnapshots() map[string]time.Time {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	oldest := make(map[string]time.Time)
	for _, s := range f.sessions {
		domain := s.vm.FailureDomain
		if s.scope == fleetv1.Scope_SCOPE_FLEET {
			domain = ""
		}
		snapshot, _ := s.streamTimes()
		if old, ok := oldest[domain]; !snapshot.IsZero() && (!ok || snapshot.Before(old)) {
			oldest[domain] = snapshot
		}
	}
	return oldest
}

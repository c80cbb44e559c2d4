package feed

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
)

// syncedRelays returns the relays that this process watches and whose snapshot it has.
func (f *Feed) syncedRelays() map[string]bool {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	synced := make(map[string]bool, len(f.peers))
	for name, s := range f.peers {
		if s.synced.Load() {
			synced[name] = true
		}
	}
	return synced
}

// markUnreachable passes the VMs over in the choice of relays for a while.
func (f *Feed) markUnreachable(vms ...fleet.VM) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	for _, vm := range vms {
		f.unreachable[vm.Name] = time.Now().Add(unreachableFor)
	}
}

// reachable returns the VMs that are not marked as unreachable.
func (f *Feed) reachable(c candidates) candidates {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	kept := make([]fleet.VM, 0, len(c.ranked))
	for _, vm := range c.ranked {
		until, marked := f.unreachable[vm.Name]
		if marked && time.Now().After(until) {
			delete(f.unreachable, vm.Name)
			marked = false
		}
		if !marked {
			kept = append(kept, vm)
		}
	}
	return candidates{ranked: kept, total: c.total}
}

// watchRelays keeps one session to each relay of the fleet and ends the others. Where a chosen relay does not answer,
// the next candidate is watched besides, since its own domain may have chosen it by now.
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
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	for name, s := range f.peers {
		if vm, ok := wanted[name]; !ok || vm.Control != s.vm.Control {
			s.cancel()
			delete(f.peers, name)
		}
	}
	for name, vm := range wanted {
		if _, ok := f.peers[name]; !ok {
			f.peers[name] = f.openSession(ctx, running, vm)
		}
	}
	f.markSilentRelays()
}

// relaysToWatch returns all relays of the own failure domain, and three of another one: each of them holds all records
// of its domain, and watching all would cost a relay of a large fleet more than its subscribers do.
func (f *Feed) relaysToWatch(domain string, c candidates) []fleet.VM {
	relays := chooseRelays(c)
	if domain == f.cfg.Self.FailureDomain || len(relays) <= readersPerDomain {
		return relays
	}
	sortForSubscriber(f.cfg.Self.Name, relays)
	return relays[:readersPerDomain]
}

// markSilentRelays marks relays without a stream for long. The caller holds peersMu.
func (f *Feed) markSilentRelays() {
	for name, s := range f.peers {
		if _, lost := s.times(); !lost.IsZero() && time.Since(lost) > unreachableAfter {
			f.unreachable[name] = time.Now().Add(unreachableFor)
		}
	}
}

// forgetMarks drops marks that are over, also those of VMs that are candidates no more.
func (f *Feed) forgetMarks() {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	maps.DeleteFunc(f.unreachable, func(_ string, until time.Time) bool { return time.Now().After(until) })
}

func (f *Feed) endSessions() {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	for name, s := range f.peers {
		s.cancel()
		delete(f.peers, name)
	}
}

func (f *Feed) openSession(ctx context.Context, running *sync.WaitGroup, vm fleet.VM) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{feed: f, vm: vm, scope: fleetv1.Scope_SCOPE_DOMAIN, cancel: cancel, lost: time.Now()}
	running.Go(func() { s.keep(ctx) })
	return s
}

// keep redials until the context ends.
func (s *session) keep(ctx context.Context) {
	retry := backoff{most: relayRedialMost}
	s.onSnapshot = retry.reset
	for ctx.Err() == nil {
		l := s.feed.dial(s.vm.Control, s.feed.guard(s.vm.FailureDomain))
		err := s.watch(ctx, l)
		l.close()
		if ctx.Err() != nil {
			return
		}
		s.feed.log.Debug("watch_ended", "peer", s.vm.Name, "error", err)
		retry.wait(ctx)
	}
}

// collect forgets what has gone. A relay decides for its own domain; for others, and at subscribers, members that the
// snapshots of all sources left out go too.
func (f *Feed) collect(relay bool) {
	domain := ""
	if relay {
		domain = f.cfg.Self.FailureDomain
	}
	f.forgetMarks()
	changed := f.table.Prune(domain)
	for source, since := range f.snapshots() {
		if time.Since(since) > fleet.GracePeriod && (source == "" || source != domain) {
			changed += f.table.RemoveStale(since, source, f.cfg.Self.Name)
		}
	}
	if changed > 0 {
		f.moved.fire()
	}
}

// snapshots returns for each source of members, a failure domain or all, the oldest snapshot of an open stream.
func (f *Feed) snapshots() map[string]time.Time {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	oldest := make(map[string]time.Time)
	for _, s := range f.peers {
		domain := s.vm.FailureDomain
		if s.scope == fleetv1.Scope_SCOPE_FLEET {
			domain = ""
		}
		snapshot, _ := s.times()
		if old, ok := oldest[domain]; !snapshot.IsZero() && (!ok || snapshot.Before(old)) {
			oldest[domain] = snapshot
		}
	}
	return oldest
}

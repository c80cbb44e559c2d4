package feed

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
)

// refusedFor is how long refusals of reachable relays are taken for a passing disagreement.
const refusalTolerance = 5 * time.Second

// subscriber follows one relay of the own domain after the other.
type subscriber struct {
	feed         *Feed
	lastTried    string     // relay that was tried last
	failedRelays []fleet.VM // relays that failed in a row

	mu     sync.Mutex
	lostAt time.Time // since when no relay answers; zero while one does
}

// subscribe runs until the context ends.
func (f *Feed) subscribe(ctx context.Context) {
	s := &subscriber{feed: f, lostAt: time.Now()}
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { f.readWithoutRelay(ctx, s.lostSince) })
	var retry backoff
	for ctx.Err() == nil {
		vm, ok := s.nextRelay()
		if ok && s.tryRelay(ctx, vm) {
			retry.reset()
			continue
		}
		retry.wait(ctx)
	}
}

func (s *subscriber) lostSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostAt
}

func (s *subscriber) setLost(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = at
}

// next returns the relay after the last one in this subscriber's order.
func (s *subscriber) nextRelay() (fleet.VM, bool) {
	f := s.feed
	relays := chooseRelays(f.reachable(f.candidates()[f.cfg.Self.FailureDomain]))
	if len(relays) == 0 {
		return fleet.VM{}, false
	}
	sortForSubscriber(f.cfg.Self.Name, relays)
	for i := range relays {
		if relays[i].Name == s.lastTried {
			return relays[(i+1)%len(relays)], true
		}
	}
	return relays[0], true
}

// try follows the relay and reports whether it served for a while. When all relays have failed in a row they are marked
// as unreachable, so that the domain chooses others.
func (s *subscriber) tryRelay(ctx context.Context, vm fleet.VM) bool {
	f := s.feed
	s.lastTried = vm.Name
	served, err := s.watchAndReport(ctx, vm)
	if ctx.Err() != nil {
		return false
	}
	f.log.Info("relay_lost", "relay", vm.Name, "served", served, "error", err)
	if served {
		s.failedRelays = s.failedRelays[:0]
		s.setLost(time.Now())
		return true
	}
	refused := connect.CodeOf(err) == connect.CodeFailedPrecondition
	if refused && time.Since(s.lostSince()) < refusalTolerance {
		return false // it runs, but is not ready or sees another list
	}
	s.failedRelays = append(s.failedRelays, vm)
	if len(s.failedRelays) > readersPerDomain {
		f.markUnreachable(s.failedRelays...)
		s.failedRelays = s.failedRelays[:0]
	}
	return false
}

// follow watches one relay and reports to it until either fails.
func (s *subscriber) watchAndReport(ctx context.Context, vm fleet.VM) (served bool, err error) {
	f := s.feed
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := f.dial(vm.Control, f.writeGuard(vm.FailureDomain))
	defer conn.close()
	session := &session{feed: f, vm: vm, scope: fleetv1.Scope_SCOPE_FLEET, cancel: func() { cancel(nil) }}
	f.replaceSessions(session)
	var reporting sync.WaitGroup
	defer reporting.Wait()
	session.onSnapshot = func() {
		served = true
		f.markSnapshotMerged()
		s.setLost(time.Time{})
		f.self.raiseSequence() // the relay takes over from the one before
		f.mergeOwnRecord()
		reporting.Go(func() { cancel(session.report(ctx, conn)) })
	}
	err = session.watch(ctx, conn)
	cancel(err)
	return served, err
}

// setSession makes the session the only one, as a subscriber has it.
func (f *Feed) replaceSessions(s *session) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	clear(f.sessions)
	f.sessions[s.vm.Name] = s
}

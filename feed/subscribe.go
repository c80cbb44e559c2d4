package feed

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
)

// refusalTolerance is how long a subscriber without a relay treats refusals by reachable relays as temporary. A process
// refuses while it is not ready, or while its different VM list makes it no relay.
const refusalTolerance = 5 * time.Second

// subscriber subscribes to one relay of its failure domain at a time.
type subscriber struct {
	feed         *Feed
	lastTried    string     // VM name of a relay
	failedRelays []fleet.VM // relays that have failed in a row

	mu     sync.Mutex
	lostAt time.Time // since when no relay has answered; zero while one does
}

// subscribe subscribes to relays of the own failure domain until the context is canceled.
func (f *Feed) subscribe(ctx context.Context) {
	s := &subscriber{feed: f, lostAt: time.Now()}
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { f.readWithoutRelay(ctx, s.lostSince) })
	var retry backoff
	for ctx.Err() == nil {
		vm, ok := s.nextRelay()
		if ok && s.tryRelay(ctx, vm, retry.handshakeTimeout()) {
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

// nextRelay returns the relay that follows the last tried one in the order of sortForSubscriber.
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

// tryRelay subscribes to the relay until the subscription ends, and reports whether the relay sent a complete snapshot.
// After more than readersPerDomain failures in a row the failed relays are marked as unreachable, so that others are
// chosen.
func (s *subscriber) tryRelay(ctx context.Context, vm fleet.VM, handshakeTimeout time.Duration) bool {
	f := s.feed
	s.lastTried = vm.Name
	served, err := s.watchAndReport(ctx, vm, handshakeTimeout)
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
		return false // the relay runs, but is not ready or has a different VM list
	}
	s.failedRelays = append(s.failedRelays, vm)
	if len(s.failedRelays) > readersPerDomain {
		f.markUnreachable(s.failedRelays...)
		s.failedRelays = s.failedRelays[:0]
	}
	return false
}

// watchAndReport watches one relay, and after its snapshot reports to it, until one of the two streams fails. It
// returns whether the relay sent a complete snapshot.
func (s *subscriber) watchAndReport(ctx context.Context, vm fleet.VM, handshakeTimeout time.Duration) (served bool, err error) {
	f := s.feed
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn := f.dial(vm.Control, handshakeTimeout, f.writeGuard(vm.FailureDomain))
	defer conn.close()
	session := &session{feed: f, vm: vm, scope: fleetv1.Scope_SCOPE_FLEET, cancel: func() { cancel(nil) }}
	f.replaceSessions(session)
	var reporting sync.WaitGroup
	defer reporting.Wait()
	session.onSnapshot = func() {
		served = true
		f.markSnapshotMerged()
		s.setLost(time.Time{})
		f.self.raiseSequence() // makes the relay the source of this record in place of the previous one
		f.mergeOwnRecord()
		reporting.Go(func() { cancel(session.report(ctx, conn)) })
	}
	err = session.watch(ctx, conn)
	cancel(err)
	return served, err
}

// replaceSessions makes the session the only one: a subscriber has a single session.
func (f *Feed) replaceSessions(s *session) {
	f.sessionsMu.Lock()
	defer f.sessionsMu.Unlock()
	clear(f.sessions)
	f.sessions[s.vm.Name] = s
}

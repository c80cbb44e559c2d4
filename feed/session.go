package feed

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1/fleetv1connect"
	"github.com/cowslipward/cowslipward/internal/fleetpb"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/internal/wait"
)

// Timing of a session.
const (
	// silenceTimeout is three heartbeat periods and a margin. A connection without a message for that long is replaced.
	silenceTimeout = 3*heartbeatPeriod + heartbeatPeriod/10
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// maxRelayRedialDelay is the maximum delay between the redials of one relay to another. With 2 s, a relay of the
	// largest planned fleet sent 16 KB/s of TLS hellos while two of three regions were unreachable. The relays of a
	// domain redial at different times and forward new rules to each other, so the first connection that succeeds is
	// sufficient.
	maxRelayRedialDelay = 6 * time.Second
	// maxHandshakeTimeout is the longest time that a TLS handshake may take after failures. It is below silenceTimeout,
	// which covers the handshake and the first message.
	maxHandshakeTimeout = 2500 * time.Millisecond
	rulesTimeout        = 2 * time.Second
	reportPeriod        = 2 * time.Second
)

var errSilent = errors.New("three heartbeats missed")

// session watches one peer over a dedicated connection.
type session struct {
	feed   *Feed
	vm     fleet.VM
	scope  fleetv1.Scope
	cancel context.CancelFunc
	synced atomic.Bool // the peer's snapshot has been merged and heartbeats arrive

	onSnapshot func() // called after the snapshot of a stream has been merged; may be nil

	mu         sync.Mutex
	openedAt   time.Time // when the last stream was requested; accessed only by the goroutine of watch
	snapshotAt time.Time // openedAt of the open stream if its snapshot is complete; otherwise zero
	lostAt     time.Time // since when no stream has had a complete snapshot; zero while one has
}

// clientConn is a client of the fleet service with a dedicated connection, so that a redial uses a new source port.
type clientConn struct {
	session *peer.Session
	rpc     fleetv1connect.FleetServiceClient
}

// dial returns a client for the process at the control address. TLS handshakes may take handshakeTimeout. If allow is
// not nil, each write is checked with it.
func (f *Feed) dial(control netip.AddrPort, handshakeTimeout time.Duration, allow func() bool) *clientConn {
	session := peer.NewSession(f.cfg.Keys, f.cfg.LocalIP, handshakeTimeout, allow)
	options := connect.WithCompressMinBytes(minCompressBytes)
	rpc := fleetv1connect.NewFleetServiceClient(session.Client, "https://"+control.String(), options)
	return &clientConn{session: session, rpc: rpc}
}

func (c *clientConn) close() { c.session.Close() }

// watch runs one Watch stream until it fails, no message arrives for silenceTimeout, or the context is canceled.
func (s *session) watch(ctx context.Context, conn *clientConn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.markClosed()
	s.openedAt = time.Now()
	epoch := s.feed.confirmation.epoch.Load()
	silenceTimer := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	revision, hash := s.feed.rules.revisionAndHash()
	self := s.feed.self.member()
	stream, err := conn.rpc.Watch(ctx, connect.NewRequest(&fleetv1.WatchRequest{
		Caller:    fleetpb.FromMember(&self),
		Scope:     s.scope,
		Revision:  uint64(revision),
		RulesHash: hash,
	}))
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer stream.Close()
	for stream.Receive() {
		silenceTimer.Reset(silenceTimeout)
		s.handle(epoch, stream.Msg())
	}
	return errors.Join(stream.Err(), context.Cause(ctx))
}

// handle applies the rules and merges the members of one message. The epoch is the one in which the stream was
// requested.
func (s *session) handle(epoch uint64, message *fleetv1.WatchResponse) {
	f := s.feed
	err := f.rules.applyChanges(message.GetRules(), s.vm.Name)
	revision, _ := f.rules.revisionAndHash()
	if err != nil || uint64(revision) < message.GetRevision() {
		f.ReportPeerRevision(revisionOf(message), s.vm.Control)
	} else {
		f.confirm(epoch)
	}
	f.mergeMembers(message.GetMembers())
	if message.GetSnapshot() {
		s.mu.Lock()
		s.snapshotAt = s.openedAt
		s.lostAt = time.Time{}
		s.mu.Unlock()
		s.synced.Store(true)
		if s.onSnapshot != nil {
			s.onSnapshot()
		}
	}
}

// markClosed records that the stream is closed.
func (s *session) markClosed() {
	s.synced.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotAt = time.Time{}
	if s.lostAt.IsZero() {
		s.lostAt = time.Now()
	}
}

// streamTimes returns snapshotAt and lostAt.
func (s *session) streamTimes() (snapshot, lost time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotAt, s.lostAt
}

// mergeMembers merges members that a peer sent. If the peer has declared this process down or has a newer record of it,
// the own record is raised above that first, see refute.
func (f *Feed) mergeMembers(members []*fleetv1.Member) {
	changed := false
	for _, p := range members {
		member, ok := fleetpb.ToMember(p)
		if !ok {
			continue
		}
		if member.Record.VM.Name == f.cfg.Self.Name {
			f.refute(member.Record.Started, member.Record.Sequence, member.Down)
		}
		changed = f.table.Merge(&member) || changed
	}
	if changed {
		f.tableChanged.notify()
	}
}

// refute raises the sequence of the own record if a peer has declared this process down or has a higher sequence. A
// record with another start time is ignored.
func (f *Feed) refute(started, sequence uint64, down bool) {
	own := f.self.member().Record
	if started != own.Started {
		return
	}
	if sequence > own.Sequence || (down && sequence == own.Sequence) {
		f.self.raiseSequenceAbove(sequence, down)
		f.mergeOwnRecord()
	}
}

// report sends the own record on each change, and a message without it every reportPeriod, until the stream fails or
// the context is canceled.
func (s *session) report(ctx context.Context, conn *clientConn) error {
	stream := conn.rpc.Report(ctx)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var sent uint64
	for {
		changed := s.feed.self.changed.wait()
		member := s.feed.self.member()
		member.Record.Revision, _ = s.feed.rules.revisionAndHash()
		message := &fleetv1.ReportRequest{Revision: uint64(member.Record.Revision)}
		if member.Record.Sequence != sent {
			sent = member.Record.Sequence
			message.Member = fleetpb.FromMember(&member)
		}
		if err := stream.Send(message); err != nil {
			_, reason := stream.CloseAndReceive()
			return errors.Join(err, reason)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// backoff waits with jitter and doubles the delay each time, up to limit, or up to maxRedialDelay if limit is zero.
type backoff struct {
	delay time.Duration
	limit time.Duration
}

func (b *backoff) wait(ctx context.Context) {
	b.delay = min(max(2*b.delay, minRedialDelay), cmp.Or(b.limit, maxRedialDelay))
	wait.For(ctx, jitter(b.delay))
}

func (b *backoff) reset() { b.delay = 0 }

// handshakeTimeout returns how long a TLS handshake of the next attempt may take. It grows with the delay: where
// processor time is short, because a whole fleet starts at once, handshakes that are abandoned after the same time again
// and again cost both ends their work and never succeed.
func (b *backoff) handshakeTimeout() time.Duration {
	return min(peer.MinHandshakeTimeout+2*b.delay, maxHandshakeTimeout)
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

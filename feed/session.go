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

// Times of a session.
const (
	// silenceLimit is three missed heartbeats; then the connection counts as silent and is replaced.
	silenceLimit = 3*heartbeatPeriod + heartbeatPeriod/10
	redialLeast  = 100 * time.Millisecond
	redialMost   = 2 * time.Second
	// relayRedialMost bounds the redials of relays among themselves. At 2 s a relay of the largest planned fleet sent 16
	// KB/s of TLS hellos while two of three regions were away. The relays of a domain redial at different times and tell
	// each other of new rules, so the first to get through counts.
	relayRedialMost = 6 * time.Second
	rulesTimeout    = 2 * time.Second
	reportPeriod    = 2 * time.Second
)

var errSilent = errors.New("three heartbeats missed")

// session watches one peer over a connection of its own.
type session struct {
	feed   *Feed
	vm     fleet.VM
	scope  fleetv1.Scope
	cancel context.CancelFunc
	synced atomic.Bool // the peer's snapshot has been merged and heartbeats arrive

	onSnapshot func() // called once the snapshot of a stream has been merged; may be nil

	mu       sync.Mutex
	opened   time.Time // before the first message of the last stream; used by watch only
	snapshot time.Time // when the stream was opened whose snapshot is complete; zero without one
	lost     time.Time // since when no stream is open; zero while one is
}

// link is a client with its own connection, so that a redial leaves from a new port.
type link struct {
	session *peer.Session
	rpc     fleetv1connect.FleetServiceClient
}

// dial returns a link to a process. With allow, each write asks whether it may leave.
func (f *Feed) dial(control netip.AddrPort, allow func() bool) *link {
	session := peer.NewSession(f.cfg.Keys, f.cfg.LocalIP, allow)
	options := connect.WithCompressMinBytes(compressAbove)
	rpc := fleetv1connect.NewFleetServiceClient(session.Client, "https://"+control.String(), options)
	return &link{session: session, rpc: rpc}
}

func (l *link) close() { l.session.Close() }

// watch runs one Watch stream until it fails, falls silent or the context ends.
func (s *session) watch(ctx context.Context, l *link) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.ended()
	s.opened = time.Now()
	epoch := s.feed.confirmation.epoch.Load()
	silence := time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	revision, hash := s.feed.book.stamp()
	self := s.feed.self.member()
	stream, err := l.rpc.Watch(ctx, connect.NewRequest(&fleetv1.WatchRequest{
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
		silence.Reset(silenceLimit)
		s.take(epoch, stream.Msg())
	}
	return errors.Join(stream.Err(), context.Cause(ctx))
}

// take merges one message of the peer.
func (s *session) take(epoch uint64, message *fleetv1.WatchResponse) {
	f := s.feed
	err := f.book.applyChanges(message.GetRules(), s.vm.Name)
	behind, _ := f.book.stamp()
	if err != nil || uint64(behind) < message.GetRevision() {
		f.ReportPeerRevision(revisionOf(message), s.vm.Control)
	} else {
		f.confirm(epoch)
	}
	f.mergeAll(message.GetMembers())
	if message.GetSnapshot() {
		s.mu.Lock()
		s.snapshot = s.opened
		s.lost = time.Time{}
		s.mu.Unlock()
		s.synced.Store(true)
		if s.onSnapshot != nil {
			s.onSnapshot()
		}
	}
}

// ended notes that no stream is open.
func (s *session) ended() {
	s.synced.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = time.Time{}
	if s.lost.IsZero() {
		s.lost = time.Now()
	}
}

// times returns when the snapshot of the open stream arrived, or since when none is open.
func (s *session) times() (snapshot, lost time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.lost
}

// mergeAll merges members of a peer. What the peer holds of this process itself is only looked at for a verdict.
func (f *Feed) mergeAll(members []*fleetv1.Member) {
	moved := false
	for _, p := range members {
		member, ok := fleetpb.ToMember(p)
		if !ok {
			continue
		}
		if member.Record.VM.Name == f.cfg.Self.Name {
			f.defend(member.Record.Started, member.Record.Sequence, member.Down)
		}
		moved = f.table.Merge(&member) || moved
	}
	if moved {
		f.moved.fire()
	}
}

// defend raises the own sequence where peers hold a verdict or a newer record of this process.
func (f *Feed) defend(started, sequence uint64, down bool) {
	own := f.self.member().Record
	if started != own.Started {
		return
	}
	if sequence > own.Sequence || (down && sequence == own.Sequence) {
		f.self.outrank(sequence, down)
		f.mergeSelf()
	}
}

// report sends the own record on each change, and every reportPeriod that it has not changed, until the stream fails.
func (s *session) report(ctx context.Context, l *link) error {
	stream := l.rpc.Report(ctx)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var sent uint64
	for {
		changed := s.feed.self.changed.wait()
		member := s.feed.self.member()
		member.Record.Revision, _ = s.feed.book.stamp()
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

// backoff is a jittered wait that doubles, up to redialMost where most is zero.
type backoff struct {
	next time.Duration
	most time.Duration
}

func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(2*b.next, redialLeast), cmp.Or(b.most, redialMost))
	wait.For(ctx, jitter(b.next))
}

func (b *backoff) reset() { b.next = 0 }

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

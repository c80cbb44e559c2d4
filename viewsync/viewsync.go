// Package viewsync keeps a balancer's view of the deployment current. One balancer at a time reads the store and passes
// what it learns on to the others; one that hears nothing for a while reads the store itself.
package viewsync

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/platform"
)

const (
	// patience is how old a view may get before the process reads the store itself. It is above the longest pause
	// between two updates of a reader, and a part of it is random so that one process takes over rather than all.
	patience       = 900 * time.Millisecond
	patienceJitter = 400 * time.Millisecond
	// awayLimit is how long the store must have been out of reach for lapsed entries to be given time to come back.
	awayLimit = 2 * time.Second
	// returnGrace is how long after the return of the store a removal counts as a lapse.
	returnGrace = 2 * time.Second
	// maxRemovals bounds the removed entries that are remembered for peers.
	maxRemovals = 4096
	// transitMargin is taken off the date of a view that a peer sent, for the way of its datagram.
	transitMargin = 5 * time.Millisecond
)

// PublishFunc receives a view that the store confirmed at the steady time known.
type PublishFunc func(view *directory.View, known time.Duration)

// Config configures a Syncer.
type Config struct {
	Store   *platform.Store
	Self    netip.AddrPort // of this process among its peers, UDP and TCP
	Domain  string         // failure domain of this process
	Seeds   []netip.AddrPort
	Now     func() time.Duration // steady clock by which views are dated
	Publish PublishFunc
	Log     *slog.Logger
}

// Syncer holds the view of one balancer.
type Syncer struct {
	config   Config
	socket   *net.UDPConn
	client   *http.Client
	patience time.Duration
	confirm  chan struct{}
	changed  chan struct{} // signals the loop that the view became fresher or that it has to read
	regroup  chan struct{} // signals that the relays of the failure domain changed
	fetching atomic.Bool   // a fetch for an update runs

	mu        sync.Mutex
	directory *directory.Directory
	known     time.Duration // the store confirmed the view at this time
	readAt    time.Duration // of the last answer that the store gave this process
	graceTill time.Duration
	reading   bool
	reader    netip.AddrPort // process that read the store for the last update
	updated   time.Duration  // when that update came
	asked     bool           // a peer asked this process for a confirmation
	yieldedAt time.Duration  // when the process last left the reading to a peer
	failures  int            // calls of the store that failed in a row
	retryAt   time.Duration  // when the store is called again after failures
	members   *membership
	updates   uint32 // number of the last update that this process read
	parts     partTracker
	needWhole bool // the next fetch is for all that holds
	recent    []mark
}

// mark remembers when a revision was reached, so that updates repeat what peers may have missed.
type mark struct {
	revision uint64
	at       time.Duration
}

// Open returns a syncer and binds its UDP socket. The handler of fetches is to be served on the same port, TCP.
func Open(c Config) (*Syncer, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Self))
	if err != nil {
		return nil, fmt.Errorf("bind address for peers: %w", err)
	}
	return &Syncer{
		config:    c,
		socket:    socket,
		client:    newClient(c.Self.Addr()),
		patience:  patience + rand.N(patienceJitter),
		confirm:   make(chan struct{}, 1),
		changed:   make(chan struct{}, 1),
		directory: directory.New(),
		regroup:   make(chan struct{}, 1),
		members:   newMembership(c.Self, directory.NameHash(c.Domain), c.Seeds),
	}, nil
}

// RequestConfirmation requests that the store confirm the view soon. It does not block.
func (s *Syncer) RequestConfirmation() { signal(s.confirm) }

// signal sets a channel of one element, unless it is set.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the addresses at which peers are looked for.
func (s *Syncer) SetSeeds(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.seeds = seeds
}

// IsReader reports whether this process reads the store for its peers.
func (s *Syncer) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading
}

// PeerCount returns the number of live peers that this process knows. It does not know the whole fleet: only members of
// its own failure domain and the first few, by address, of the others.
func (s *Syncer) PeerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.live(s.config.Now())
}

// ViewAge returns how long ago the store confirmed the view.
func (s *Syncer) ViewAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Now() - s.known
}

// merge applies records that hold all changes up to a revision, logs what they change and publishes the view. It reports
// false where a configuration that one of them changes is not held: all that holds has to be fetched then. The caller
// holds the lock.
func (s *Syncer) merge(records []directory.Record, revision uint64, known time.Duration) bool {
	s.apply(records)
	if s.directory.TakeBaseMismatch() {
		s.config.Log.Warn("configuration_change_without_base", "revision", revision)
		s.needWhole = true
		return false
	}
	s.directory.Advance(revision)
	s.publish(revision, known)
	return true
}

// mergeWhole is merge for records that hold all of the store as of a revision: what they lack has been removed, or lapsed
// where the store was away.
func (s *Syncer) mergeWhole(records []directory.Record, revision uint64, known time.Duration) {
	gone := s.directory.SnapshotRemovals(records, revision)
	if s.config.Now() < s.graceTill {
		markLapses(gone)
	}
	s.apply(records)
	s.apply(gone)
	s.directory.AdvanceSnapshot(revision)
	s.publish(revision, known)
}

func (s *Syncer) apply(records []directory.Record) {
	now := s.config.Now()
	for i := range records {
		if s.directory.Apply(&records[i], now) {
			logRecord(s.config.Log, &records[i], s.directory.Config())
		}
	}
}

// publish publishes the view that was confirmed at the steady time known.
func (s *Syncer) publish(revision uint64, known time.Duration) {
	now := s.config.Now()
	for _, id := range s.directory.RemoveExpired(now) {
		s.config.Log.Info("target_lapsed", "target", id)
	}
	s.directory.PruneTombstones(maxRemovals)
	s.known = max(s.known, known)
	s.remember(revision, now)
	s.config.Publish(s.directory.View(), s.known)
}

// remember notes when a revision was reached.
func (s *Syncer) remember(revision uint64, now time.Duration) {
	if n := len(s.recent); n == 0 || s.recent[n-1].revision < revision {
		s.recent = append(s.recent, mark{revision: revision, at: now})
	}
	for len(s.recent) > 1 && now-s.recent[1].at > repeatFor {
		s.recent = s.recent[1:]
	}
}

// base returns the revision after which updates repeat what changed. The caller holds the lock.
func (s *Syncer) base() uint64 {
	if len(s.recent) == 0 {
		return s.directory.CompactRevision()
	}
	return max(s.recent[0].revision, s.directory.CompactRevision())
}

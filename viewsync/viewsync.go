// Package viewsync keeps a balancer's view of the deployment current. One balancer at a time, the reader,
// watches the store and sends the changes to its peers. A balancer that receives no updates within a timeout
// reads the store itself.
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
	"github.com/cowslipward/cowslipward/internal/boottime"
	"github.com/cowslipward/cowslipward/platform"
)

const (
	// readerTimeout is the age of the view at which a process reads the store itself. It exceeds the longest
	// interval between two updates of a reader. A random jitter of up to readerTimeoutJitter is added, so
	// that one process becomes the new reader rather than all at once.
	readerTimeout       = 900 * time.Millisecond
	readerTimeoutJitter = 400 * time.Millisecond
	// minOutage is the shortest outage of the store after which outageGrace applies.
	minOutage = 2 * time.Second
	// outageGrace is the time after the end of an outage during which a removed target counts as expired: it
	// stays in the view for a while, since its entry may have expired because of the outage and be written
	// again.
	outageGrace = 2 * time.Second
	// maxTombstones bounds the number of removed entries that are kept for updates to peers.
	maxTombstones = 4096
	// networkDelayMargin is subtracted from the confirmation time of a view received from a peer, to allow
	// for the network delay of its datagram.
	networkDelayMargin = 5 * time.Millisecond
)

// PublishFunc receives a view and the monotonic time at which the store confirmed it.
type PublishFunc func(view *directory.View, confirmedAt time.Duration)

// Config configures a Syncer.
type Config struct {
	Store   *platform.Store
	Self    netip.AddrPort       // address of this process for peers, UDP and TCP
	Domain  string               // failure domain of this process
	Seeds   []netip.AddrPort     // addresses used for peer discovery
	Now     func() time.Duration // monotonic clock
	Publish PublishFunc
	Log     *slog.Logger
}

// Syncer maintains the view of one balancer.
type Syncer struct {
	config          Config
	socket          *net.UDPConn
	client          *http.Client
	readerTimeout   time.Duration // with jitter
	confirmRequests chan struct{}
	wake            chan struct{}        // wakes Run after an update from a peer or on becoming the reader
	relaysChanged   chan struct{}        // the relays of the local failure domain changed
	eraChanged      chan struct{}        // a transition to a new era of the store began
	fetching        atomic.Bool          // a background fetch is running
	sinceBoot       func() time.Duration // boottime.Now

	mu               sync.Mutex
	directory        *directory.Directory
	confirmedAt      time.Duration // when the store last confirmed the view
	readAt           time.Duration // as confirmedAt, by requests of this process to the store or to a peer
	storeReadAt      time.Duration // when this process last received a response from the store
	graceUntil       time.Duration // end of the grace period after an outage of the store
	isReader         bool
	reader           netip.AddrPort // the current reader, if known
	readerEra        uint16         // era of its last update
	readerSeenAt     time.Duration  // when the last update of the reader arrived
	confirmRequested bool           // a peer requested a confirmation from this process
	resignedAt       time.Duration  // when this process last gave up the reader role in favor of a peer
	failures         int            // consecutive failed requests to the store
	retryAt          time.Duration  // earliest time of the next store request after failures
	members          *membership
	sequence         uint32 // number of the last update that this process originated
	parts            partTracker
	runningAt        time.Duration  // since boot, when the process last noted that it runs
	resumedAt        time.Duration  // since boot, when it last resumed after a pause; 0: never
	needSnapshot     bool           // the next fetch must request all records
	recentRevisions  []revisionTime // oldest first
}

// revisionTime is the time at which the view reached a revision. It determines which changes updates repeat.
type revisionTime struct {
	revision directory.Revision
	at       time.Duration
}

// Open returns a Syncer and binds its UDP socket to Config.Self. The caller must serve Handler on the same
// address over TCP. It returns an error if the socket cannot be bound.
func Open(c Config) (*Syncer, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Self))
	if err != nil {
		return nil, fmt.Errorf("bind peer address: %w", err)
	}
	return &Syncer{
		config:          c,
		socket:          socket,
		client:          newFetchClient(c.Self.Addr()),
		readerTimeout:   readerTimeout + rand.N(readerTimeoutJitter),
		confirmRequests: make(chan struct{}, 1),
		wake:            make(chan struct{}, 1),
		directory:       directory.New(),
		relaysChanged:   make(chan struct{}, 1),
		eraChanged:      make(chan struct{}, 1),
		sinceBoot:       boottime.Now,
		members:         newMembership(c.Self, directory.NameHash(c.Domain), c.Seeds),
	}, nil
}

// RequestConfirmation requests that the view be confirmed against the store soon. It does not block.
func (s *Syncer) RequestConfirmation() { signal(s.confirmRequests) }

// signal sends on a channel with a buffer of one, without blocking if a signal is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the addresses used for peer discovery.
func (s *Syncer) SetSeeds(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.seeds = seeds
}

// IsReader reports whether this process reads the store for its peers.
func (s *Syncer) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReader
}

// PeerCount returns the number of live peers that this process knows. A process does not know the whole
// fleet: only peers in its own failure domain and the first few, by address, of the other domains.
func (s *Syncer) PeerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.liveCount(s.config.Now())
}

// ViewAge returns the time since the store confirmed the view.
func (s *Syncer) ViewAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Now() - s.confirmedAt
}

// mergeChanges applies all changes up to revision, logs their effect and publishes the view. It returns false
// if a configuration change does not apply because its base configuration is missing; a snapshot must then be
// fetched. The caller must hold s.mu.
func (s *Syncer) mergeChanges(records []directory.Record, revision directory.Revision, confirmedAt time.Duration) bool {
	s.apply(records)
	if s.directory.TakeBaseMismatch() {
		s.config.Log.Warn("configuration_change_without_base", "revision", revision)
		s.needSnapshot = true
		return false
	}
	s.directory.Advance(revision)
	s.publish(revision, confirmedAt)
	return true
}

// mergeSnapshot applies a snapshot of the store as of revision and publishes the view. Entries absent from
// the snapshot are removed; after an outage of the store, absent targets count as expired. The caller must
// hold s.mu.
func (s *Syncer) mergeSnapshot(records []directory.Record, revision directory.Revision, confirmedAt time.Duration) {
	change, isNewEra := s.directory.BeginSnapshot(revision, s.config.Now())
	removals := s.directory.SnapshotRemovals(records, revision)
	if s.config.Now() < s.graceUntil {
		markExpired(removals)
	}
	s.apply(records)
	s.apply(removals)
	s.directory.AdvanceSnapshot(revision)
	if isNewEra {
		s.onEraChange(change)
	}
	s.publish(revision, confirmedAt)
}

func (s *Syncer) apply(records []directory.Record) {
	now := s.config.Now()
	for i := range records {
		if r := records[i]; s.directory.Apply(&r, now) {
			r.Expired = r.Expired || (r.Removed && r.Kind == directory.KindTarget && s.directory.HasTarget(r.Name))
			logRecord(s.config.Log, &r, s.directory.Config())
		}
	}
}

// publish removes expired targets whose grace period has ended and publishes the view, which the store
// confirmed at the monotonic time confirmedAt. The caller must hold s.mu.
func (s *Syncer) publish(revision directory.Revision, confirmedAt time.Duration) {
	now := s.config.Now()
	for _, id := range s.directory.RemoveExpired(s.expiryTime(now)) {
		s.config.Log.Info("target_lapsed", "target", id)
	}
	s.endEraChange(now)
	s.directory.PruneTombstones(maxTombstones)
	s.confirmedAt = max(s.confirmedAt, confirmedAt)
	s.trackRevision(revision, now)
	s.config.Publish(s.directory.View(), s.confirmedAt)
}

// trackRevision stores the time at which the view reached a revision, and drops revisions that updates no
// longer repeat.
func (s *Syncer) trackRevision(revision directory.Revision, now time.Duration) {
	if n := len(s.recentRevisions); n == 0 || s.recentRevisions[n-1].revision < revision {
		s.recentRevisions = append(s.recentRevisions, revisionTime{revision: revision, at: now})
	}
	for len(s.recentRevisions) > 1 && now-s.recentRevisions[1].at > changeRepeatDuration {
		s.recentRevisions = s.recentRevisions[1:]
	}
}

// baseRevision returns the base of updates: they contain all changes after this revision. The caller must
// hold s.mu.
func (s *Syncer) baseRevision() directory.Revision {
	if len(s.recentRevisions) == 0 {
		return s.directory.CompactRevision()
	}
	return max(s.recentRevisions[0].revision, s.directory.CompactRevision())
}

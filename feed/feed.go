// Package feed distributes the rules, the VM list and the records of all processes across the fleet. In each failure
// domain a few processes act as relays: up to three of them read the rules and the VM list from the platform, and all
// of them watch other relays. Every other process subscribes to one relay of its own domain. Nothing is persisted, and
// the highest revision wins.
package feed

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/cowslipward/cowslipward/configservice"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1/fleetv1connect"
	"github.com/cowslipward/cowslipward/internal/pause"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/settings"
)

// minCompressBytes is the smallest message that is compressed. Heartbeats are smaller.
const minCompressBytes = 2048

// Config holds the identity of this process and how it connects to its peers and the platform.
type Config struct {
	Self        fleet.VM // addresses are the advertised ones
	Incarnation uint16
	Started     time.Time
	Platform    settings.Platform
	Keys        *keys.Store
	LocalIP     netip.Addr // source address of outgoing connections; unset if invalid
	Log         *slog.Logger
}

// Feed maintains the current view of the fleet. It implements fleet.Source.
type Feed struct {
	cfg      Config
	log      *slog.Logger
	platform *configservice.Client
	table    *fleet.Table
	rules    *ruleStore
	self     *selfRecord

	view             atomic.Pointer[fleet.View]
	viewChanged      signal // a new view was stored
	tableChanged     signal // the table changed
	rebuildRequested signal // a view is due although nothing changed
	revisionNotes    chan revisionNote

	pause          *pause.Detector
	confirmation   *confirmation
	outages        *outages
	detector       *detector
	snapshotMerged atomic.Bool // the table has the first snapshot: of one relay, or at a relay of all others
	viewComplete   atomic.Bool // the view includes that snapshot
	relayReady     atomic.Bool // this process is a relay and has merged the snapshots of the other relays

	sessionsMu  sync.Mutex
	sessions    map[string]*session  // sessions to watched relays, by VM name
	unreachable map[string]time.Time // when the mark of an unreachable VM expires, by VM name

	refusedMu      sync.Mutex
	refusedEntries map[string][]string // entries of the VM list that are not used, by failure domain
}

// New returns a feed. Its view is empty until Run has obtained rules and members.
func New(cfg Config) *Feed {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Feed{
		cfg:           cfg,
		log:           cfg.Log,
		platform:      configservice.NewClient(cfg.Platform, cfg.LocalIP),
		table:         fleet.NewTable(),
		rules:         newRuleStore(cfg.Log),
		self:          newSelfRecord(cfg),
		revisionNotes: make(chan revisionNote, maxPendingNotes),
		sessions:      make(map[string]*session),

		confirmation: newConfirmation(),
		outages:      newOutages(),
		unreachable:  make(map[string]time.Time),

		refusedEntries: make(map[string][]string),
	}
	f.pause = pause.New(f.onPause)
	f.detector = newDetector(f)
	f.view.Store(fleet.NewView(nil, fleet.Observation{}))
	f.mergeOwnRecord()
	return f
}

// Run keeps the view up to date until the context is canceled. A cancellation is not reported as an error.
func (f *Feed) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.buildViews(ctx) })
	for range noteWorkers {
		group.Go(func() error { return f.fetchNotedRevisions(ctx) })
	}
	group.Go(func() error { return f.reconfirmAfterPauses(ctx) })
	group.Go(func() error { return f.self.runRamp(ctx, f.mergeOwnRecord) })
	go f.pause.Run(ctx)
	group.Go(func() error {
		if err := f.loadInitialState(ctx); err != nil {
			return err
		}
		return f.maintainRole(ctx)
	})
	if err := group.Wait(); ctx.Err() == nil {
		return fmt.Errorf("feed: %w", err)
	}
	return nil
}

// Handler returns the path and the handler of the fleet service, which the control listener serves.
func (f *Feed) Handler() (string, http.Handler) {
	return fleetv1connect.NewFleetServiceHandler(&server{feed: f}, connect.WithCompressMinBytes(minCompressBytes))
}

// View returns the current view. It is never nil.
func (f *Feed) View() *fleet.View { return f.view.Load() }

// Changed returns a channel that is closed when a newer view replaces the current one.
func (f *Feed) Changed() <-chan struct{} { return f.viewChanged.wait() }

// ReportPeerRevision queues a fetch of the rules from the peer at the control address if the revision is newer than the one
// in force.
func (f *Feed) ReportPeerRevision(rev rules.Revision, from netip.AddrPort) {
	if !f.rules.isNewer(rev) {
		return
	}
	select {
	case f.revisionNotes <- revisionNote{revision: rev, from: from}:
	default: // the queue is full: other fetches are pending
	}
}

// PublishSelf replaces the state, service and weight in the record of this process. The feed sets the sequence and the
// revision.
func (f *Feed) PublishSelf(record fleet.MemberRecord) {
	if f.self.publish(record) {
		f.mergeOwnRecord()
	}
}

// ReportSuspect publishes whether this process suspects the VM, that is, cannot reach it.
func (f *Feed) ReportSuspect(vm string, suspect bool) {
	if f.self.setSuspect(vm, suspect) {
		f.mergeOwnRecord()
	}
}

// mergeOwnRecord merges the record of this process into its table, from which it is sent to watchers.
func (f *Feed) mergeOwnRecord() {
	member := f.self.member()
	member.Relay = f.cfg.Self.Name
	if f.table.Merge(&member) {
		f.tableChanged.notify()
	}
}

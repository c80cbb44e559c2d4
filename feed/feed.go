// Package feed distributes the rules, the VM list and the records of the processes over the fleet. In each failure
// domain a few processes are relays: they read the configuration service and each other; all others subscribe to one
// relay of their domain. Nothing is stored, and the highest revision wins.
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

// compressAbove is the size from which a message is worth compressing. Heartbeats stay below it.
const compressAbove = 2048

// Config says who this process is and where its peers and the platform are.
type Config struct {
	Self        fleet.VM // with advertised addresses
	Incarnation uint16
	Started     time.Time
	Platform    settings.Platform
	Keys        *keys.Store
	LocalIP     netip.Addr // outgoing connections leave from it, where valid
	Log         *slog.Logger
}

// Feed keeps the current view of the fleet. It implements fleet.Source.
type Feed struct {
	cfg      Config
	log      *slog.Logger
	platform *configservice.Client
	table    *fleet.Table
	book     *rulebook
	self     *selfRecord

	view    atomic.Pointer[fleet.View]
	changed signal // a new view
	moved   signal // the table changed
	rebuild signal // a view is wanted without a change
	notes   chan note

	pause        *pause.Detector
	confirmation *confirmation
	outages      *outages
	detector     *detector
	merged       atomic.Bool // the first snapshot of a relay, or of all other relays, is in the table
	complete     atomic.Bool // and in the view
	relay        atomic.Bool // this process is a relay and has merged the snapshots of the others

	peersMu     sync.Mutex
	peers       map[string]*session // of a relay, by VM name
	unreachable map[string]time.Time
}

// New returns a feed. Its view is empty until Run has read one.
func New(cfg Config) *Feed {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Feed{
		cfg:      cfg,
		log:      cfg.Log,
		platform: configservice.NewClient(cfg.Platform, cfg.LocalIP),
		table:    fleet.NewTable(),
		book:     newRulebook(cfg.Log),
		self:     newSelfRecord(cfg),
		notes:    make(chan note, noteQueue),
		peers:    make(map[string]*session),

		confirmation: newConfirmation(),
		outages:      newOutages(),
		unreachable:  make(map[string]time.Time),
	}
	f.pause = pause.New(f.onPause)
	f.detector = newDetector(f)
	f.view.Store(fleet.NewView(nil, fleet.Observation{}))
	f.mergeSelf()
	return f
}

// Run keeps the view current until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.buildViews(ctx) })
	for range noteWorkers {
		group.Go(func() error { return f.fetchNoted(ctx) })
	}
	group.Go(func() error { return f.refreshAfterPauses(ctx) })
	group.Go(func() error { return f.self.ramp(ctx, f.mergeSelf) })
	go f.pause.Run(ctx)
	group.Go(func() error {
		if err := f.start(ctx); err != nil {
			return err
		}
		return f.coordinate(ctx)
	})
	if err := group.Wait(); ctx.Err() == nil {
		return fmt.Errorf("feed: %w", err)
	}
	return nil
}

// Handler returns the path and the handler of the fleet service for the control listener.
func (f *Feed) Handler() (string, http.Handler) {
	return fleetv1connect.NewFleetServiceHandler(&server{feed: f}, connect.WithCompressMinBytes(compressAbove))
}

// View returns the current view, never nil.
func (f *Feed) View() *fleet.View { return f.view.Load() }

// Changed returns a channel that is closed when a newer view replaces the current one.
func (f *Feed) Changed() <-chan struct{} { return f.changed.wait() }

// ReportPeerRevision fetches the rules from the peer at the control address when the revision is news.
func (f *Feed) ReportPeerRevision(rev rules.Revision, from netip.AddrPort) {
	if !f.book.wants(rev) {
		return
	}
	select {
	case f.notes <- note{revision: rev, from: from}:
	default: // as many notes as the queue holds are being followed
	}
}

// PublishSelf replaces the record of this process. Its sequence and revision are set here.
func (f *Feed) PublishSelf(record fleet.MemberRecord) {
	if f.self.publish(record) {
		f.mergeSelf()
	}
}

// ReportSuspect says that this process cannot, or again can, reach the VM.
func (f *Feed) ReportSuspect(vm string, suspect bool) {
	if f.self.suspect(vm, suspect) {
		f.mergeSelf()
	}
}

// mergeSelf puts the own record into the own table, from where watchers get it.
func (f *Feed) mergeSelf() {
	member := f.self.member()
	member.Relay = f.cfg.Self.Name
	if f.table.Merge(&member) {
		f.moved.fire()
	}
}

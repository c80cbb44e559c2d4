package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/forward"
	"github.com/cowslipward/cowslipward/internal/commandline"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/settings"
	"github.com/cowslipward/cowslipward/viewsync"
)

// storeDialTimeout bounds each attempt to connect to the store.
const storeDialTimeout = 300 * time.Millisecond

func runBalancer(file string, check bool) error {
	s, err := settings.LoadPacketBalancer(file)
	if err != nil {
		return fmt.Errorf("%w:\n%w", commandline.ErrSettings, err)
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	log, sink := startLog("balancer", &s.PacketCommon)
	defer sink.Close(logCloseTimeout)
	ready := &readiness{}
	var syncer *viewsync.Syncer
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, &s.PacketCommon, log, ready, &confirmation{}),
		fx.Provide(newBalancer, newSyncer, newOutcomes),
		fx.Invoke(startBalancer, serveReady, servePeers, serveBalancerStatus),
		fx.Populate(&syncer),
	)
	reload := func() {
		next, err := settings.LoadPacketBalancer(file)
		if err != nil {
			log.Error("settings_refused", "error", err)
			return
		}
		syncer.SetSeeds(next.Seeds)
		log.Info("settings_reloaded", "seeds", next.Seeds, "note", "changes other than seeds take effect when the balancer restarts")
	}
	return runApp(app, &s.PacketCommon, ready, reload, log)
}

// confirmation forwards a balancer's requests for a confirmed view to its syncer. The syncer is set later,
// because it is created after the balancer.
type confirmation struct {
	syncer atomic.Pointer[viewsync.Syncer]
}

func (c *confirmation) request() {
	if v := c.syncer.Load(); v != nil {
		v.RequestConfirmation()
	}
}

func newBalancer(s *settings.PacketBalancer, confirm *confirmation, outcomes *burn.Recorder[string], log *slog.Logger) (*forward.Balancer, error) {
	domainOut := time.Duration(s.DomainOutTimeout)
	if s.DomainOutFlows == settings.DomainOutFlowsKeep {
		domainOut = 0
	}
	return forward.OpenBalancer(forward.BalancerConfig{
		Domain:           s.FailureDomain,
		Packets:          s.Packets,
		Tunnel:           s.Tunnel,
		DomainOutTimeout: domainOut,
		Log:              log,
		Sampler:          logsink.NewSampler(s.Log.Rate),
		Outcomes:         outcomes,
		LoadControl:      s.LoadControl,
		ConfirmView:      confirm.request,
	})
}

// newSyncer returns the syncer that publishes views to the balancer. The process becomes ready with the first
// view that has a configuration.
func newSyncer(s *settings.PacketBalancer, b *forward.Balancer, ready *readiness, confirm *confirmation, log *slog.Logger) (*viewsync.Syncer, error) {
	publish := func(view *directory.View, known time.Duration) {
		b.SetView(view, known)
		if view.Config != nil && ready.wasReady.CompareAndSwap(false, true) {
			ready.state.Store(true)
			log.Info("ready", "version", view.Config.Version, "targets", view.TargetCount(), "since_start", b.Now())
		}
	}
	v, err := viewsync.Open(viewsync.Config{
		Store:   platform.NewStore(s.Store, s.Peers.Addr(), storeDialTimeout),
		Self:    s.Peers,
		Domain:  s.FailureDomain,
		Seeds:   s.Seeds,
		Now:     b.Now,
		Publish: publish,
		Log:     log,
	})
	if err != nil {
		return nil, err
	}
	confirm.syncer.Store(v)
	return v, nil
}

func servePeers(lc fx.Lifecycle, s *settings.PacketBalancer, v *viewsync.Syncer, log *slog.Logger) error {
	return serve(lc, s.Peers, v.Handler(), log)
}

func startBalancer(lc fx.Lifecycle, s *settings.PacketBalancer, b *forward.Balancer, v *viewsync.Syncer, ready *readiness, log *slog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	ready.canServe = b.ReachesAgents
	lc.Append(fx.StartStopHook(
		func() {
			go v.Run(ctx)
			go v.RunPeers(ctx)
			go b.Run()
			log.Info("started", "packets", s.Packets, "tunnel", s.Tunnel, "peers", s.Peers, "store", s.Store)
		},
		func() {
			cancel()
			b.Close()
		},
	))
}

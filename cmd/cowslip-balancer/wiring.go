package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/admin"
	"github.com/cowslipward/cowslipward/balancer"
	"github.com/cowslipward/cowslipward/feed"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/daemon"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

func module(s *settings.Balancer, store *keys.Store) fx.Option {
	return fx.Options(
		daemon.Module(fleet.RoleBalancer, &s.Common, store, time.Duration(s.ShutdownDelay)),
		fx.Supply(s),
		fx.Provide(newBalancer, newAdmin),
		fx.Invoke((*daemon.Runner).ReloadKeys, runFeed, (*daemon.Runner).ServeAdmin, runBalancer),
	)
}

func newBalancer(s *settings.Balancer, id daemon.Identity, store *keys.Store, src fleet.Source, log *slog.Logger) (*balancer.Balancer, error) {
	return balancer.Open(balancer.Config{
		VM:          s.VM,
		Domain:      s.FailureDomain,
		Listen:      s.Listen.Data,
		Advertise:   s.Advertise.Data,
		Control:     s.Advertise.Control,
		ServiceHost: s.ServiceHost,
		Incarnation: id.Incarnation,
		Keys:        store,
		Source:      src,
		Log:         log,
	})
}

func newAdmin(s *settings.Balancer, id daemon.Identity, src fleet.Source, f *feed.Feed, b *balancer.Balancer) (*daemon.Admin, error) {
	server, err := daemon.NewAdmin(s.Listen.Admin, b.Ready)
	if err != nil {
		return nil, err
	}
	server.Handle(admin.NewHandler(admin.Config{
		Self:        id.VM,
		Incarnation: id.Incarnation,
		Started:     id.Started,
		Source:      src,
		Ready:       b.Ready,

		RefusedEntries: f.RefusedEntries,
	}))
	return server, nil
}

// runFeed keeps the view of the fleet up to date and serves it to peers.
func runFeed(r *daemon.Runner, f *feed.Feed) error {
	mux := http.NewServeMux()
	mux.Handle(f.Handler())
	if err := r.ServeControl(mux); err != nil {
		return err
	}
	r.Background(f.Run)
	return nil
}

// runBalancer runs the balancer and publishes its state. On stop it turns readiness false first and continues
// to forward for the shutdown delay, until the network fabric has stopped sending packets to it.
func runBalancer(lc fx.Lifecycle, r *daemon.Runner, s *settings.Balancer, id daemon.Identity, b *balancer.Balancer, src fleet.Source, log *slog.Logger) {
	publish := func(state fleet.State) {
		src.PublishSelf(fleet.MemberRecord{
			VM: id.VM, Incarnation: id.Incarnation, Started: uint64(id.Started.UnixMilli()), State: state,
		})
	}
	start := func() {
		publish(fleet.StateServing)
		log.Info("balancer_started", "data", id.VM.Data, "control", id.VM.Control, "incarnation", id.Incarnation)
	}
	stop := func(ctx context.Context) {
		b.Drain()
		publish(fleet.StateDraining)
		log.Info("balancer_draining", "delay", time.Duration(s.ShutdownDelay))
		select {
		case <-time.After(time.Duration(s.ShutdownDelay)):
		case <-ctx.Done():
		}
		publish(fleet.StateStopped)
	}
	lc.Append(fx.StopHook(b.Close))
	r.Background(b.Run)
	lc.Append(fx.StartStopHook(start, stop))
}

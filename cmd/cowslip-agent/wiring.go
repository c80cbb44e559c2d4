package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/admin"
	"github.com/cowslipward/cowslipward/agent"
	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/feed"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/daemon"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/settings"
	"github.com/cowslipward/cowslipward/tunnel"
	"github.com/cowslipward/cowslipward/wire"
)

// minShutdownTime is the minimum duration of a shutdown. It is the maximum time until all balancers have received the
// notification that this agent is draining.
const minShutdownTime = 4 * time.Second

// module wires the parts of the daemon. Stop hooks run in reverse order, so that the agent drains while the
// other parts still run.
func module(s *settings.Agent, store *keys.Store) fx.Option {
	return fx.Options(
		daemon.Module(fleet.RoleTarget, &s.Common, store, time.Duration(s.DrainPeriod)),
		fx.Supply(s),
		fx.Provide(newTunnel, newAgent, newAdmin, newRecorder),
		fx.Invoke((*daemon.Runner).ReloadKeys, runFeed, runControl, (*daemon.Runner).ServeAdmin, runAgent),
	)
}

func newTunnel(s *settings.Agent, id daemon.Identity, store *keys.Store, src *feed.Feed, log *slog.Logger) (*tunnel.Conn, error) {
	return tunnel.Open(tunnel.Config{
		VM:          s.VM,
		Domain:      s.FailureDomain,
		Listen:      s.Listen.Data,
		Advertise:   s.Advertise.Data,
		Control:     s.Advertise.Control,
		Incarnation: id.Incarnation,
		Keys:        store,
		Source:      src,
		ReplyDirect: s.ReplyDirect,
		Log:         log,
	})
}

func newAgent(s *settings.Agent, id daemon.Identity, store *keys.Store, src *feed.Feed, conn *tunnel.Conn, recorder *burn.Recorder[rules.ServiceID], log *slog.Logger) (*agent.Agent, error) {
	target, err := url.Parse(s.Target.URL)
	if err != nil {
		return nil, err
	}
	a := agent.New(agent.Config{
		Self:                  id.VM,
		Incarnation:           id.Incarnation,
		Started:               id.Started,
		PacketConn:            conn,
		ConnectionIDGenerator: conn.ConnectionIDGenerator(),
		Keys:                  store,
		Source:                src,
		LocalIP:               s.Listen.Control.Addr(),
		Target:                target,
		HealthPath:            s.Target.HealthPath,
		LoadPath:              s.Target.LoadPath,
		DrainPeriod:           time.Duration(s.DrainPeriod),
		MinShutdownTime:       minShutdownTime,
		SendHeartbeat: func(to netip.AddrPort, body []byte) error {
			return conn.Send(wire.PoolHeartbeat, to, body)
		},
		RecordOutcome: recorder.Record,
		Log:           log,
	})
	conn.SetAdmitFunc(a.AcceptsNewFlow)
	conn.Handle(wire.PoolHeartbeat, func(h *wire.Header, body []byte) { a.ReceiveHeartbeat(h.Sender, body) })
	a.RegisterMetrics()
	return a, nil
}

func newRecorder() *burn.Recorder[rules.ServiceID] { return burn.NewRecorder[rules.ServiceID](nil) }

func newAdmin(s *settings.Agent, id daemon.Identity, src *feed.Feed, a *agent.Agent, recorder *burn.Recorder[rules.ServiceID]) (*daemon.Admin, error) {
	server, err := daemon.NewAdmin(s.Listen.Admin, a.Ready)
	if err != nil {
		return nil, err
	}
	server.Handle(admin.NewHandler(admin.Config{
		Self:        id.VM,
		Incarnation: id.Incarnation,
		Started:     id.Started,
		Source:      src,
		Ready:       a.Ready,
		Load:        a.Snapshot,
		PeerLoads:   a.PeerLoads,
		Burn:        recorder,

		RefusedEntries: src.RefusedEntries,
	}))
	return server, nil
}

func runFeed(r *daemon.Runner, src *feed.Feed) { r.Background(src.Run) }

// runControl serves the feed and accepts handoffs from peers on the control address.
func runControl(r *daemon.Runner, src *feed.Feed, a *agent.Agent) error {
	mux := http.NewServeMux()
	mux.Handle(src.Handler())
	mux.Handle(a.HandoffHandler())
	return r.ServeControl(mux)
}

// runAgent serves callers. On stop it drains the agent first, so that no request is interrupted.
func runAgent(lc fx.Lifecycle, r *daemon.Runner, id daemon.Identity, a *agent.Agent, log *slog.Logger) {
	start := func() {
		log.Info("agent_started", "data", id.VM.Data, "control", id.VM.Control, "incarnation", id.Incarnation)
	}
	stop := func(ctx context.Context) {
		log.Info("agent_draining")
		a.Shutdown(ctx)
		log.Info("agent_drained")
	}
	r.Background(a.Run)
	lc.Append(fx.StartStopHook(start, stop))
}

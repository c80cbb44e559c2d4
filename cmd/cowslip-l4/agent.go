package main

import (
	"fmt"
	"log/slog"

	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/forward"
	"github.com/cowslipward/cowslipward/internal/commandline"
	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/settings"
)

func runAgent(file string, check bool) error {
	s, err := settings.LoadPacketAgent(file)
	if err != nil {
		return fmt.Errorf("%w:\n%w", commandline.ErrSettings, err)
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	log, sink := startLog("agent", &s.PacketCommon)
	defer sink.Close(logCloseTimeout)
	ready := &readiness{}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, &s.PacketCommon, log, ready),
		fx.Provide(newAgent, newOutcomes),
		fx.Invoke(startAgent, serveReady, serveAgentStatus),
	)
	reload := func() {
		if _, err := settings.LoadPacketAgent(file); err != nil {
			log.Error("settings_refused", "error", err)
			return
		}
		log.Info("settings_read", "note", "new settings take effect when the agent restarts")
	}
	return runApp(app, &s.PacketCommon, ready, reload, log)
}

func newAgent(s *settings.PacketAgent, outcomes *burn.Recorder[string], log *slog.Logger) (*forward.Agent, error) {
	return forward.OpenAgent(forward.AgentConfig{
		Service:         s.Service,
		Target:          s.Target,
		Outbound:        s.Outbound,
		Tunnel:          s.Tunnel,
		CallerPort:      s.Packets.Port(),
		Log:             log,
		Sampler:         logsink.NewSampler(s.Log.Rate),
		Outcomes:        outcomes,
		LoadControl:     s.LoadControl,
		ResetEndedFlows: s.ResetEndedFlows,
		FlowTTL:         s.FlowTTL(),
	})
}

func startAgent(lc fx.Lifecycle, a *forward.Agent, s *settings.PacketAgent, ready *readiness, log *slog.Logger) {
	lc.Append(fx.StartStopHook(
		func() {
			go a.Run()
			ready.state.Store(true)
			log.Info("started", "service", s.Service, "target", s.Target, "tunnel", s.Tunnel)
		},
		a.Close,
	))
}

package main

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/burn"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/forward"
	"github.com/cowslipward/cowslipward/packetstatus"
	"github.com/cowslipward/cowslipward/settings"
	"github.com/cowslipward/cowslipward/viewsync"
)

// serveBalancerStatus serves the metrics, status, explanations and outcomes of a balancer on the metrics address.
func serveBalancerStatus(lc fx.Lifecycle, s *settings.PacketBalancer, b *forward.Balancer, v *viewsync.Syncer, ready *readiness, outcomes *burn.Recorder[string], log *slog.Logger) error {
	metrics.NewGauge("cowslip_view_age_seconds", func() float64 { return v.ViewAge().Seconds() })
	metrics.NewGauge("cowslip_flow_table_entries", func() float64 { return float64(b.Flows()) })
	metrics.NewGauge("cowslip_peers", func() float64 { return float64(v.PeerCount()) })
	mux := metricsHandler()
	serveOutcomes(mux, outcomes)
	mux.HandleFunc("GET "+packetstatus.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		status := b.Status()
		status.VM, status.Ready, status.Reading, status.Peers = s.VM, ready.isReady(), v.IsReader(), v.PeerCount()
		writeJSON(w, status)
	})
	mux.HandleFunc("GET "+packetstatus.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		caller, errCaller := netip.ParseAddrPort(r.URL.Query().Get("caller"))
		service, errService := netip.ParseAddrPort(r.URL.Query().Get("service"))
		if errCaller != nil || errService != nil {
			http.Error(w, "caller and service: want IP:port", http.StatusBadRequest)
			return
		}
		explanation := b.Explain(flow.Key{Caller: flow.EndpointOf(caller), Service: flow.EndpointOf(service)})
		explanation.Balancer = s.VM
		writeJSON(w, explanation)
	})
	return serve(lc, s.Metrics, mux, log)
}

// serveAgentStatus serves the metrics, flows and outcomes of an agent on the metrics address.
func serveAgentStatus(lc fx.Lifecycle, s *settings.PacketAgent, a *forward.Agent, outcomes *burn.Recorder[string], log *slog.Logger) error {
	mux := metricsHandler()
	serveOutcomes(mux, outcomes)
	mux.HandleFunc("GET "+packetstatus.FlowsPath, func(w http.ResponseWriter, _ *http.Request) {
		status := a.Status()
		status.VM = s.VM
		writeJSON(w, status)
	})
	return serve(lc, s.Metrics, mux, log)
}

func newOutcomes() *burn.Recorder[string] { return burn.NewRecorder[string](nil) }

// serveOutcomes adds the endpoint that lists outcomes by service.
func serveOutcomes(mux *http.ServeMux, outcomes *burn.Recorder[string]) {
	mux.HandleFunc("GET "+packetstatus.OutcomesPath, func(w http.ResponseWriter, _ *http.Request) {
		list := []packetstatus.Outcomes{}
		for _, service := range outcomes.Services() {
			list = append(list, packetstatus.Outcomes{Service: service, Summary: outcomes.Summary(service)})
		}
		writeJSON(w, list)
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

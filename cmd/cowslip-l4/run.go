package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/internal/logsink"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/settings"
)

const (
	// gcPercent is below the default of 100 to use less memory at the cost of more CPU time.
	gcPercent = 50
	// logCloseTimeout bounds the time to write buffered log lines at exit.
	logCloseTimeout = 200 * time.Millisecond
	headerTimeout   = 2 * time.Second
	stopTimeout     = 3 * time.Second
)

func limitMemory() { debug.SetGCPercent(gcPercent) }

// readiness tracks whether the process is ready to receive packets.
type readiness struct {
	state    atomic.Bool
	wasReady atomic.Bool // set when the process first becomes ready
	canServe func() bool // additional condition; nil if there is none
}

// isReady reports whether routers should send packets to the process.
func (r *readiness) isReady() bool { return r.state.Load() && (r.canServe == nil || r.canServe()) }

// startLog returns the logger of the process and its sink, which must be closed at exit.
func startLog(role string, s *settings.PacketCommon) (*slog.Logger, *logsink.Sink) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		level = slog.LevelInfo
	}
	sink := logsink.New(os.Stdout)
	handler := slog.NewTextHandler(sink, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("role", role, "vm", s.VM), sink
}

// serve binds the address at once and runs an HTTP server on it for the lifetime of the application.
func serve(lc fx.Lifecycle, address netip.AddrPort, handler http.Handler, log *slog.Logger) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("bind %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	lc.Append(fx.StartStopHook(
		func() {
			go func() {
				if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					log.Error("http_server_failed", "address", address, "error", err)
				}
			}()
		},
		func(context.Context) error { return server.Close() },
	))
	return nil
}

func metricsHandler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return mux
}

// serveReady serves the readiness checks of the platform's routers.
func serveReady(lc fx.Lifecycle, s *settings.PacketCommon, ready *readiness, log *slog.Logger) error {
	return serve(lc, s.Ready, platform.ReadyHandler(ready.isReady), log)
}

// runApp starts the application, waits for SIGTERM or SIGINT and shuts down: it turns readiness off, waits
// for the stop delay and then stops the application. SIGHUP calls reload.
func runApp(app *fx.App, common *settings.PacketCommon, ready *readiness, reload func(), log *slog.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	for received := range signals {
		if received == syscall.SIGHUP {
			reload()
			continue
		}
		log.Info("stopping", "signal", received.String(), "delay", time.Duration(common.StopDelay))
		break
	}
	ready.state.Store(false)
	time.Sleep(time.Duration(common.StopDelay))
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := app.Stop(ctx)
	log.Info("stopped")
	return err
}

// Package daemon holds the code that cowslip-balancer and cowslip-agent share: their command line, logger,
// admin listener and the life cycle of their parts.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// headerTimeout bounds how long a client of the admin listener may take to send its headers.
const headerTimeout = 5 * time.Second

// Readiness reports whether the process may receive traffic, and the reason if it may not.
type Readiness func() (ready bool, reason string)

// Admin serves metrics, liveness, readiness and the administration API over plain HTTP.
type Admin struct {
	mux      *http.ServeMux
	server   *http.Server
	listener net.Listener
}

// NewAdmin binds the admin address. Requests are served after Start is called.
func NewAdmin(address netip.AddrPort, ready Readiness) (*Admin, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeReadiness(w, ready) })
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, Protocols: protocols}
	return &Admin{mux: mux, server: server, listener: listener}, nil
}

func writeReadiness(w http.ResponseWriter, ready Readiness) {
	ok, reason := ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Handle registers a handler. It must be called before Start.
func (a *Admin) Handle(pattern string, handler http.Handler) { a.mux.Handle(pattern, handler) }

// Start serves requests in the background. If serving fails later, fail is called with the error.
func (a *Admin) Start(fail func(error)) {
	go func() {
		if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
			fail(fmt.Errorf("serve admin: %w", err))
		}
	}()
}

// Stop closes the listener and waits for requests in progress until the context is done.
func (a *Admin) Stop(ctx context.Context) error { return a.server.Shutdown(ctx) }

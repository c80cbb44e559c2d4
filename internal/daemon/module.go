package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/feed"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/commandline"
	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

// stopMargin is the time allowed, after draining, to close connections, sockets and servers.
const stopMargin = 10 * time.Second

// Identity identifies a process and its current incarnation.
type Identity struct {
	VM          fleet.VM
	Incarnation uint16
	Started     time.Time
}

// Module provides the parts that all daemons use: the identity, the logger, the feed and a Runner. The drain
// argument is the maximum time that draining takes.
func Module(role fleet.Role, common *settings.Common, store *keys.Store, drain time.Duration) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(common, store),
		fx.Provide(
			func() *slog.Logger { return NewLogger(os.Stderr, common.Log, programName(role), common.VM) },
			func() Identity { return newIdentity(role, common) },
			newFeed,
			newRunner,
		),
		fx.StopTimeout(drain+stopMargin),
	)
}

// programName returns the name under which a daemon on a VM of the given role logs.
func programName(role fleet.Role) string {
	if role == fleet.RoleTarget {
		return "agent"
	}
	return role.String()
}

func newIdentity(role fleet.Role, s *settings.Common) Identity {
	return Identity{
		VM: fleet.VM{
			Name:          s.VM,
			FailureDomain: s.FailureDomain,
			Role:          role,
			Data:          s.Advertise.Data,
			Control:       s.Advertise.Control,
			Admin:         s.Listen.Admin,
		},
		Incarnation: uint16(rand.Uint32()),
		Started:     time.Now(),
	}
}

func newFeed(s *settings.Common, id Identity, store *keys.Store, log *slog.Logger) (*feed.Feed, fleet.Source) {
	f := feed.New(feed.Config{
		Self:        id.VM,
		Incarnation: id.Incarnation,
		Started:     id.Started,
		Platform:    s.Platform,
		Keys:        store,
		LocalIP:     s.Listen.Control.Addr(),
		Log:         log,
	})
	return f, f
}

// Runner registers the parts of a daemon with its life cycle. Parts are stopped in the reverse order of their start.
type Runner struct {
	lifecycle  fx.Lifecycle
	shutdowner fx.Shutdowner
	settings   *settings.Common
	store      *keys.Store
	log        *slog.Logger
}

func newRunner(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Common, store *keys.Store, log *slog.Logger) *Runner {
	return &Runner{lifecycle: lc, shutdowner: sd, settings: s, store: store, log: log}
}

// Fail logs a fatal error and shuts the process down.
func (r *Runner) Fail(err error) {
	r.log.Error("process_failed", "error", err)
	_ = r.shutdowner.Shutdown(fx.ExitCode(commandline.ExitFailed))
}

// Background runs a function in a goroutine from start to stop. If the function returns an error, the process is shut
// down.
func (r *Runner) Background(run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	start := func() {
		go func() {
			defer close(done)
			if err := run(ctx); err != nil && ctx.Err() == nil {
				r.Fail(err)
			}
		}()
	}
	stop := func() {
		cancel()
		<-done
	}
	r.lifecycle.Append(fx.StartStopHook(start, stop))
}

// ReloadKeys watches the key files in the background and reloads them when they change.
func (r *Runner) ReloadKeys() {
	r.Background(func(ctx context.Context) error {
		r.store.Run(ctx, r.log)
		return nil
	})
}

// ServeControl serves the handler to peers on the control address, with mutual TLS.
func (r *Runner) ServeControl(handler http.Handler) error {
	listener, err := peer.Listen(r.store, r.settings.Listen.Control)
	if err != nil {
		return err
	}
	server := peer.NewServer(handler)
	start := func() {
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				r.Fail(err)
			}
		}()
	}
	r.lifecycle.Append(fx.StartStopHook(start, func() error { return server.Close() }))
	return nil
}

// ServeAdmin starts and stops the admin server with the daemon.
func (r *Runner) ServeAdmin(admin *Admin) {
	r.lifecycle.Append(fx.StartStopHook(func() { admin.Start(r.Fail) }, admin.Stop))
}

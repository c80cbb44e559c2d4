// Package agent is the process beside each target. It terminates QUIC and HTTP/3, admits requests, passes them to its
// target and hands some over to the other agents of its service.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/agent/pool"
	"github.com/cowslipward/cowslipward/agent/upstream"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/pause"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/rules"
	"github.com/cowslipward/cowslipward/ticket"
)

// Config holds what an agent needs.
type Config struct {
	Self        fleet.VM // with advertised addresses
	Incarnation uint16
	Started     time.Time
	Packets     net.PacketConn             // the tunnel; it carries the callers' datagrams
	Generator   quic.ConnectionIDGenerator // of the tunnel; nil for random connection IDs
	Keys        *keys.Store
	Source      fleet.Source
	LocalIP     netip.Addr // source of handoffs to peers; not set for any
	Target      *url.URL
	HealthPath  string
	LoadPath    string // empty when the target has no load endpoint
	DrainPeriod time.Duration
	// Linger is how long a shutdown takes at least. Balancers send new flows here until they have learned of it.
	Linger time.Duration
	// Heartbeat sends the body of a PoolHeartbeat to a tunnel address. It may be nil.
	Heartbeat func(to netip.AddrPort, body []byte) error
	// Record counts a good or bad outcome of a caller's request. It may be nil.
	Record func(service rules.ServiceID, good bool)
	Log    *slog.Logger
}

// Agent serves the callers of one target.
type Agent struct {
	config    Config
	server    *server
	upstream  *upstream.Client
	limiter   *admission.Limiter
	limits    admission.Config // in force; used by watch only
	issuer    *ticket.Issuer
	pool      *pool.Pool
	peers     *http.Client
	prober    *prober
	lifecycle lifecycle
	pause     *pause.Detector
	pausedAt  atomic.Pointer[time.Time] // when the last pause was noticed
	handoffs  atomic.Int64              // requests of peers that run here
	passings  passings                  // requests of this agent's callers that run at peers
	wake      chan struct{}             // makes watch look at once
}

// New returns an agent. It serves once Run is called.
func New(config Config) *Agent {
	a := &Agent{config: config, wake: make(chan struct{}, 1), peers: newPeerClient(config)}
	a.pause = pause.New(a.notePause)
	a.limits = admission.Config{Slots: 1, Connections: 1}
	if service := a.service(); service != nil {
		a.limits = limitsOf(service)
	}
	a.limiter = admission.New(a.limits)
	a.issuer = ticket.NewIssuer(ticket.Config{
		Control: config.Self.Control,
		Started: uint64(config.Started.UnixMilli()),
		Ring:    func() keys.Ring { return config.Keys.Current().Ticket },
	})
	a.upstream = upstream.New(upstream.Config{URL: config.Target, OnInstanceChange: a.limiter.TurnCold})
	a.prober = &prober{upstream: a.upstream, healthPath: config.HealthPath, loadPath: config.LoadPath, log: config.Log}
	a.pool = pool.New(pool.Config{
		Self: config.Self.Name, Source: config.Source, Load: a.heartbeat, Send: config.Heartbeat, Log: config.Log,
	})
	a.server = newServer(serverConfig{
		packets:   config.Packets,
		generator: config.Generator,
		keys:      config.Keys,
		handler:   http.HandlerFunc(a.serveCaller),
		admit:     a.admitConnection,
		release:   a.limiter.ReleaseConnection,
	})
	return a
}

// Run serves until the context ends. Call Shutdown before, so that no request is cut.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { a.prober.run(ctx) })
	running.Go(func() { a.watch(ctx) })
	running.Go(func() { a.pause.Run(ctx) })
	if a.config.Heartbeat != nil {
		running.Go(func() { a.pool.Run(ctx) })
	}
	err := a.server.serve(ctx, a.config.Keys)
	cancel()
	running.Wait()
	err = errors.Join(ignoreClosed(err), a.server.close())
	a.upstream.Close()
	a.peers.CloseIdleConnections()
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

// lastPackets is how long a stopping agent stays for the last packets to its callers and the feed's last report.
const lastPackets = 200 * time.Millisecond

// Shutdown drains: no new work, and running requests go on up to the drain period or until the context ends. Run
// continues, so that packets still flow; end its context afterwards.
func (a *Agent) Shutdown(ctx context.Context) {
	linger := time.NewTimer(a.config.Linger)
	defer linger.Stop()
	a.lifecycle.stop()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case <-a.server.current().drained:
	case <-ctx.Done():
	}
	a.awaitHandoffs(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	a.lifecycle.end()
	a.publish()
	time.Sleep(lastPackets)
}

// awaitHandoffs waits for the requests that peers handed over. A draining agent takes no new ones.
func (a *Agent) awaitHandoffs(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for a.handoffs.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Receive takes the body of a PoolHeartbeat that came from a tunnel address.
func (a *Agent) Receive(from netip.AddrPort, body []byte) { a.pool.Receive(from, body) }

// notePause distrusts what was decided before a pause of the process. The target may have restarted meanwhile, so that
// its limit starts anew.
func (a *Agent) notePause(gap time.Duration) {
	now := time.Now()
	a.pausedAt.Store(&now)
	a.limiter.TurnCold("process was paused")
	a.config.Log.Warn("paused", "gap", gap)
}

// heartbeat returns what the other agents learn of this one.
func (a *Agent) heartbeat() pool.Heartbeat {
	now := a.limiter.Snapshot()
	return pool.Heartbeat{
		State:           a.lifecycle.state(),
		Incarnation:     a.config.Incarnation,
		InProgress:      uint16(min(now.InProgress, maxUint16)),
		Queued:          uint16(min(now.Queued, maxUint16)),
		Limit:           uint16(min(now.Limit, maxUint16)),
		Connections:     uint32(now.Connections),
		ReferenceMicros: uint32(min(now.Reference.Microseconds(), math.MaxUint32)),
	}
}

const maxUint16 = 1<<16 - 1

// admitConnection takes a place for a connection.
func (a *Agent) admitConnection() bool {
	return a.lifecycle.current() == phaseServing && a.limiter.AcquireConnection()
}

// Load well above the pool's mean, at which new flows go to the next target.
const (
	flowMeanFactor = 1.5
	flowMeanSlots  = 2
)

// Admits reports whether a new flow should stay here. Otherwise the tunnel passes it to the next target.
func (a *Agent) Admits() bool {
	now := a.limiter.Snapshot()
	if a.lifecycle.current() != phaseServing || now.Connections >= now.MostConns {
		return false
	}
	work := now.InProgress + now.Queued
	mean, _ := a.pool.MeanLoad(work)
	return float64(work) <= flowMeanFactor*mean+flowMeanSlots
}

// Ready reports whether the agent takes new flows, and why not.
func (a *Agent) Ready() (bool, string) {
	now := a.lifecycle.current()
	if now == phaseServing && a.config.Source.Confirmed() {
		return true, ""
	}
	if now == phaseServing {
		return false, reasonUnconfirmed
	}
	return false, now.String()
}

// Snapshot returns the state of the limits, for administration.
func (a *Agent) Snapshot() admission.Snapshot { return a.limiter.Snapshot() }

// service returns the service of this agent by the rules in force, or nil.
func (a *Agent) service() *rules.Service {
	return a.config.Source.View().Rules().ServiceOfVM(a.config.Self.Name)
}

// Package agent implements the process that runs beside each target. It terminates QUIC and HTTP/3, admits
// requests, forwards them to its target, and hands some of them off to other agents of the same service.
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

// Config configures an Agent.
type Config struct {
	Self                  fleet.VM // with the advertised addresses
	Incarnation           uint16
	Started               time.Time
	PacketConn            net.PacketConn             // tunnel that carries the callers' datagrams
	ConnectionIDGenerator quic.ConnectionIDGenerator // from the tunnel; nil for random connection IDs
	Keys                  *keys.Store
	Source                fleet.Source
	LocalIP               netip.Addr // source address of handoffs to peers; zero for any
	Target                *url.URL
	HealthPath            string
	LoadPath              string // empty if the target has no load endpoint
	DrainPeriod           time.Duration
	// MinShutdownTime is the minimum duration of a shutdown. Balancers keep sending new flows to this agent
	// until they have received its draining state.
	MinShutdownTime time.Duration
	// SendHeartbeat sends the body of a PoolHeartbeat to a tunnel address. If nil, the agent sends no
	// heartbeats.
	SendHeartbeat func(to netip.AddrPort, body []byte) error
	// RecordOutcome counts the outcome of a caller's request as good or bad. It may be nil.
	RecordOutcome func(service rules.ServiceID, good bool)
	Log           *slog.Logger
}

// Agent serves the callers of one target.
type Agent struct {
	config           Config
	server           *server
	upstream         *upstream.Client
	limiter          *admission.Limiter
	limits           admission.Config // currently applied; accessed only by watch
	issuer           *ticket.Issuer
	pool             *pool.Pool
	peers            *http.Client
	prober           *prober
	lifecycle        lifecycle
	pause            *pause.Detector
	pausedAt         atomic.Pointer[time.Time] // when the last pause was detected
	inboundHandoffs  atomic.Int64              // requests of peers running at this agent
	outboundHandoffs outboundHandoffs          // requests of this agent's callers running at peers
	wake             chan struct{}             // makes watch reconcile immediately
}

// New returns an agent. It starts to serve when Run is called.
func New(config Config) *Agent {
	a := &Agent{config: config, wake: make(chan struct{}, 1), peers: newPeerClient(config)}
	a.pause = pause.New(a.onPause)
	a.limits = admission.Config{Slots: 1, Connections: 1}
	if service := a.service(); service != nil {
		a.limits = limitsFromRule(service)
	}
	a.limiter = admission.New(a.limits)
	a.issuer = ticket.NewIssuer(ticket.Config{
		Control: config.Self.Control,
		Started: uint64(config.Started.UnixMilli()),
		Ring:    func() keys.Ring { return config.Keys.Current().Ticket },
	})
	a.upstream = upstream.New(upstream.Config{URL: config.Target, OnInstanceChange: a.limiter.MarkCold})
	a.prober = &prober{upstream: a.upstream, healthPath: config.HealthPath, loadPath: config.LoadPath, log: config.Log}
	a.pool = pool.New(pool.Config{
		Self: config.Self.Name, Source: config.Source, Load: a.heartbeat, Send: config.SendHeartbeat, Log: config.Log,
	})
	a.server = newServer(serverConfig{
		packetConn:    config.PacketConn,
		connectionIDs: config.ConnectionIDGenerator,
		keys:          config.Keys,
		handler:       http.HandlerFunc(a.serveCaller),
		admit:         a.admitConnection,
		release:       a.limiter.ReleaseConnection,
	})
	return a
}

// Run serves until the context ends. Call Shutdown first, so that no request is cut off.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { a.prober.run(ctx) })
	running.Go(func() { a.watch(ctx) })
	running.Go(func() { a.pause.Run(ctx) })
	if a.config.SendHeartbeat != nil {
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

// finalPacketDelay is how long a stopping agent keeps running so that its final packets reach its callers and
// the feed sends its last record.
const finalPacketDelay = 200 * time.Millisecond

// Shutdown drains the agent: it accepts no new work, and running requests may finish until the drain period or
// the context ends. Run must continue meanwhile to send and receive packets; end its context afterwards.
func (a *Agent) Shutdown(ctx context.Context) {
	minTime := time.NewTimer(a.config.MinShutdownTime)
	defer minTime.Stop()
	a.lifecycle.beginStop()
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
	case <-minTime.C:
	case <-ctx.Done():
	}
	a.lifecycle.markStopped()
	a.publish()
	time.Sleep(finalPacketDelay)
}

// awaitHandoffs waits for the running requests that peers handed off to this agent. A draining agent accepts no
// new ones.
func (a *Agent) awaitHandoffs(ctx context.Context) {
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	for a.inboundHandoffs.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ReceiveHeartbeat processes the body of a PoolHeartbeat that was received from a tunnel address.
func (a *Agent) ReceiveHeartbeat(from netip.AddrPort, body []byte) { a.pool.Receive(from, body) }

// onPause invalidates decisions made before a pause of the process. The target may have restarted during the
// pause, so its concurrency limit starts anew.
func (a *Agent) onPause(gap time.Duration) {
	now := time.Now()
	a.pausedAt.Store(&now)
	a.limiter.MarkCold("process was paused")
	a.config.Log.Warn("paused", "gap", gap)
}

// heartbeat returns the state and load that this agent sends to the other agents of its service.
func (a *Agent) heartbeat() pool.Heartbeat {
	snapshot := a.limiter.Snapshot()
	return pool.Heartbeat{
		State:           a.lifecycle.state(),
		Incarnation:     a.config.Incarnation,
		InProgress:      uint16(min(snapshot.InProgress, maxUint16)),
		Queued:          uint16(min(snapshot.Queued, maxUint16)),
		Limit:           uint16(min(snapshot.Limit, maxUint16)),
		Connections:     uint32(snapshot.Connections),
		ReferenceMicros: uint32(min(snapshot.Reference.Microseconds(), math.MaxUint32)),
	}
}

const maxUint16 = 1<<16 - 1

// admitConnection counts a new connection against the connection limit. It reports false if the connection must
// be refused.
func (a *Agent) admitConnection() bool {
	return a.lifecycle.current() == phaseServing && a.limiter.AcquireConnection()
}

// New flows go to the next target if the load of this one exceeds newFlowLoadFactor times the pool's mean plus
// newFlowLoadMargin requests.
const (
	newFlowLoadFactor = 1.5
	newFlowLoadMargin = 2
)

// AcceptsNewFlow reports whether this agent should accept a new flow. If not, the tunnel passes the flow to the
// next target.
func (a *Agent) AcceptsNewFlow() bool {
	snapshot := a.limiter.Snapshot()
	if a.lifecycle.current() != phaseServing || snapshot.Connections >= snapshot.MaxConnections {
		return false
	}
	work := snapshot.InProgress + snapshot.Queued
	mean, _ := a.pool.MeanLoad(work)
	return float64(work) <= newFlowLoadFactor*mean+newFlowLoadMargin
}

// Ready reports whether the agent accepts new flows, and the reason if it does not.
func (a *Agent) Ready() (bool, string) {
	current := a.lifecycle.current()
	if current == phaseServing && a.config.Source.Confirmed() {
		return true, ""
	}
	if current == phaseServing {
		return false, reasonUnconfirmed
	}
	return false, current.String()
}

// Snapshot returns the state of the admission limits, for the admin service.
func (a *Agent) Snapshot() admission.Snapshot { return a.limiter.Snapshot() }

// rules returns the current rules.
func (a *Agent) rules() *rules.Set { return a.config.Source.View().Rules() }

// service returns the service of this agent under the current rules, or nil.
func (a *Agent) service() *rules.Service { return a.serviceIn(a.rules()) }

// serviceIn returns the service of this agent under a set of rules, or nil.
func (a *Agent) serviceIn(set *rules.Set) *rules.Service { return set.ServiceOfVM(a.config.Self.Name) }

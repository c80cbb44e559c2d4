// Package pool exchanges heartbeats between the agents of a service. It tracks the load of the other agents, reports
// unresponsive ones as suspect and selects agents to hand requests off to.
package pool

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/rules"
)

// Intervals and timeouts of heartbeats and hand-offs.
const (
	// Period is the interval between two heartbeats.
	Period = 100 * time.Millisecond
	// suspectAfter is the silence after which an agent is reported as suspect.
	suspectAfter = time.Second
	// maxLoadAge is the maximum age of a heartbeat whose load is used for load balancing.
	maxLoadAge = 500 * time.Millisecond
	// minPause is the gap between two ticks above which this process is assumed to have been paused. Silence of the
	// other agents before the end of the pause is then no evidence against them.
	minPause = 500 * time.Millisecond
	// unreachableBackoff is how long no request is handed off to an agent after a failed connection.
	unreachableBackoff = time.Second
)

// Config holds the settings and dependencies of a pool.
type Config struct {
	Self   string // VM name
	Source fleet.Source
	// Load returns the current heartbeat of this agent.
	Load func() Heartbeat
	// Send sends the body of a PoolHeartbeat packet to a tunnel address.
	Send func(to netip.AddrPort, body []byte) error
	Log  *slog.Logger
}

// Pool tracks the other agents of the service. It is safe for concurrent use.
type Pool struct {
	config Config

	mu        sync.Mutex
	peers     map[string]*peer
	lastTick  time.Time
	view      *fleet.View
	receivers []*fleet.Target // neighbours that this agent sends heartbeats to
	expected  map[string]bool // by VM name, whether heartbeats of a neighbour are expected
}

// peer is another agent of the service.
type peer struct {
	load          Heartbeat
	lastHeartbeat time.Time // time of the last heartbeat, zero before the first
	silentSince   time.Time // last heartbeat, end of a pause of this process, or addition to the pool
	handedOff     int       // requests handed off to it since its last heartbeat, not yet included in load
	backoffUntil  time.Time // no hand-off before this time, after a failed connection
	suspect       bool
}

// Peer is an agent that a request may be handed off to.
type Peer struct {
	Name    string
	Control netip.AddrPort
	Domain  rules.DomainID
}

// New returns a pool. It sends no heartbeats until Run is called.
func New(config Config) *Pool {
	return &Pool{config: config, peers: make(map[string]*peer)}
}

// Run sends heartbeats and checks for silent agents every Period until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		p.sendHeartbeats(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeats sends one heartbeat to each neighbour and reports agents that have become suspect or ceased to be.
func (p *Pool) sendHeartbeats(now time.Time) {
	view := p.config.Source.View()
	load := p.config.Load()
	body := load.Append(nil)
	to, reports := p.step(view, now)
	for _, address := range to {
		if p.isAddressOut(address) {
			continue
		}
		if err := p.config.Send(address, body); err != nil {
			p.config.Log.Debug("heartbeat_failed", "to", address, "error", err)
		}
	}
	for vm, suspect := range reports {
		p.config.Log.Info("peer_suspect", "peer", vm, "suspect", suspect)
		p.config.Source.ReportSuspect(vm, suspect)
	}
}

// isAddressOut reports whether the domain of the address is out in the newest view. It is called before each send,
// because the process may have been paused since it selected the addresses.
func (p *Pool) isAddressOut(address netip.AddrPort) bool {
	view := p.config.Source.View()
	target := view.TargetByAddress(address)
	return target != nil && view.DomainOut(target.Domain)
}

// step applies the view and returns the addresses to send a heartbeat to and the changes of suspicion by VM name.
func (p *Pool) step(view *fleet.View, now time.Time) (to []netip.AddrPort, reports map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastTick.IsZero() && now.Sub(p.lastTick) > minPause {
		for _, q := range p.peers {
			q.silentSince = now
		}
	}
	p.lastTick = now
	p.applyView(view, now)
	for _, target := range p.receivers {
		if !view.DomainOut(target.Domain) {
			to = append(to, target.VM.Data)
		}
	}
	return to, p.updateSuspicion(view, now)
}

// applyView updates the neighbours and the peers from the view, if it changed.
func (p *Pool) applyView(view *fleet.View, now time.Time) {
	if p.view == view {
		return
	}
	p.view, p.receivers, p.expected = view, nil, make(map[string]bool)
	targets, ok := p.targets(view)
	if !ok {
		return
	}
	var senders []*fleet.Target
	p.receivers, senders = neighboursOf(targets, p.config.Self)
	for _, target := range senders {
		p.expected[target.VM.Name] = isRunning(target.State)
	}
	listed := make(map[string]bool, len(targets))
	for i := range targets {
		name := targets[i].VM.Name
		listed[name] = true
		if p.peers[name] == nil && name != p.config.Self {
			p.peers[name] = &peer{silentSince: now}
		}
	}
	for name := range p.peers {
		if !listed[name] {
			delete(p.peers, name)
		}
	}
}

// targets returns the targets of this agent's service. It reports whether this agent is one of them and its domain is
// not out.
func (p *Pool) targets(view *fleet.View) ([]fleet.Target, bool) {
	service := view.Rules().ServiceOfVM(p.config.Self)
	if service == nil {
		return nil, false
	}
	targets := view.Targets(service.ID)
	at := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.VM.Name == p.config.Self })
	return targets, at >= 0 && !view.DomainOut(targets[at].Domain)
}

// isRunning reports whether an agent in this state sends heartbeats. In any other state the agent may not have started.
func isRunning(state fleet.State) bool {
	return state == fleet.StateWarming || state == fleet.StateServing || state == fleet.StateDraining ||
		state == fleet.StateDown
}

// updateSuspicion marks silent agents as suspect and returns, by VM name, those whose mark changed.
func (p *Pool) updateSuspicion(view *fleet.View, now time.Time) map[string]bool {
	var reports map[string]bool
	for name, q := range p.peers {
		silent := p.expected[name] && now.Sub(q.silentSince) > suspectAfter && !p.isOut(view, name)
		if silent == q.suspect {
			continue
		}
		q.suspect = silent
		if reports == nil {
			reports = make(map[string]bool)
		}
		reports[name] = silent
	}
	return reports
}

// isOut reports whether the agent is in a domain that is out. Such an agent sends no heartbeats.
func (p *Pool) isOut(view *fleet.View, name string) bool {
	targets, _ := p.targets(view)
	at := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.VM.Name == name })
	return at >= 0 && view.DomainOut(targets[at].Domain)
}

// Receive processes a heartbeat received from a tunnel address. It drops malformed heartbeats and those from agents
// outside the pool.
func (p *Pool) Receive(from netip.AddrPort, body []byte) {
	load, ok := ParseHeartbeat(body)
	if !ok {
		return
	}
	target := p.config.Source.View().TargetByAddress(from)
	if target == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.peers[target.VM.Name]
	if q == nil {
		return
	}
	q.load, q.lastHeartbeat, q.silentSince, q.handedOff = load, now, now, 0
}

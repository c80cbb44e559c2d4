// Package pool keeps what an agent knows of the other agents of its service: their load, whether they are heard, and
// which of them may take a request over.
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

// Times of the pool.
const (
	// Period is the time between two heartbeats.
	Period = 100 * time.Millisecond
	// suspectAfter is the silence after which an agent is reported as suspect.
	suspectAfter = time.Second
	// freshFor is how old a load may be for a decision.
	freshFor = 500 * time.Millisecond
	// pauseGap is a gap between two ticks that means that this process did not run. The silence of the others is then
	// its own.
	pauseGap = 500 * time.Millisecond
	// avoidFor is how long no request is handed to an agent that could not be reached.
	avoidFor = time.Second
)

// Config holds what a pool needs.
type Config struct {
	Self   string // VM name
	Source fleet.Source
	// Load returns the heartbeat of this agent.
	Load func() Heartbeat
	// Send sends the body of a PoolHeartbeat to a tunnel address.
	Send func(to netip.AddrPort, body []byte) error
	Log  *slog.Logger
}

// Pool owns the knowledge of the other agents of the service.
type Pool struct {
	config Config

	mu    sync.Mutex
	peers map[string]*peer
	tick  time.Time
	view  *fleet.View
	send  []*fleet.Target
	hear  map[string]bool
}

// peer is another agent of the service.
type peer struct {
	load    Heartbeat
	heard   time.Time // zero before the first heartbeat
	since   time.Time // start of the silence that counts
	handed  int       // requests handed to it since the last heartbeat, which does not count them yet
	avoid   time.Time // not before this time after a failed connection
	suspect bool
}

// Peer is an agent that may take a request over.
type Peer struct {
	Name    string
	Control netip.AddrPort
	Domain  rules.DomainID
}

// New returns a pool. It sends once Run is called.
func New(config Config) *Pool {
	return &Pool{config: config, peers: make(map[string]*peer)}
}

// Run sends heartbeats and looks for silent agents until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		p.beat(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beat sends one heartbeat to each neighbour and reports changes of suspicion.
func (p *Pool) beat(now time.Time) {
	view := p.config.Source.View()
	load := p.config.Load()
	body := load.Append(nil)
	to, reports := p.advance(view, now)
	for _, address := range to {
		if p.isOutAt(address) {
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

// isOutAt reports whether the newest view says that the domain of the address is out. The process may have been paused
// since it chose the addresses.
func (p *Pool) isOutAt(address netip.AddrPort) bool {
	view := p.config.Source.View()
	target := view.TargetByAddress(address)
	return target != nil && view.DomainOut(target.Domain)
}

func (p *Pool) advance(view *fleet.View, now time.Time) (to []netip.AddrPort, reports map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tick.IsZero() && now.Sub(p.tick) > pauseGap {
		for _, q := range p.peers {
			q.since = now
		}
	}
	p.tick = now
	p.adopt(view, now)
	for _, target := range p.send {
		if !view.DomainOut(target.Domain) {
			to = append(to, target.VM.Data)
		}
	}
	return to, p.judge(view, now)
}

// adopt takes over a newer view.
func (p *Pool) adopt(view *fleet.View, now time.Time) {
	if p.view == view {
		return
	}
	p.view, p.send, p.hear = view, nil, make(map[string]bool)
	targets, ok := p.targets(view)
	if !ok {
		return
	}
	var hear []*fleet.Target
	p.send, hear = neighboursOf(targets, p.config.Self)
	for _, target := range hear {
		p.hear[target.VM.Name] = isRunning(target.State)
	}
	known := make(map[string]bool, len(targets))
	for i := range targets {
		name := targets[i].VM.Name
		known[name] = true
		if p.peers[name] == nil && name != p.config.Self {
			p.peers[name] = &peer{since: now}
		}
	}
	for name := range p.peers {
		if !known[name] {
			delete(p.peers, name)
		}
	}
}

// targets returns the pool of this agent, unless its own domain is out.
func (p *Pool) targets(view *fleet.View) ([]fleet.Target, bool) {
	service := view.Rules().ServiceOfVM(p.config.Self)
	if service == nil {
		return nil, false
	}
	targets := view.Targets(service.ID)
	at := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.VM.Name == p.config.Self })
	return targets, at >= 0 && !view.DomainOut(targets[at].Domain)
}

// isRunning reports whether an agent in this state sends heartbeats. One that is listed only may not have started.
func isRunning(state fleet.State) bool {
	return state == fleet.StateWarming || state == fleet.StateServing || state == fleet.StateDraining ||
		state == fleet.StateDown
}

// judge returns the agents whose suspicion changed.
func (p *Pool) judge(view *fleet.View, now time.Time) map[string]bool {
	var reports map[string]bool
	for name, q := range p.peers {
		silent := p.hear[name] && now.Sub(q.since) > suspectAfter && !p.isOut(view, name)
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

// isOut reports whether the agent is in a domain that is out. Such an agent sends nothing.
func (p *Pool) isOut(view *fleet.View, name string) bool {
	targets, _ := p.targets(view)
	at := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.VM.Name == name })
	return at >= 0 && view.DomainOut(targets[at].Domain)
}

// Receive takes the heartbeat that came from a tunnel address. One from outside the pool is dropped.
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
	q.load, q.heard, q.since, q.handed = load, now, now, 0
}

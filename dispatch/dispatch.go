// Package dispatch decides what a balancer does with each packet: it places new flows, finds the targets of open ones
// and refuses what cannot be served. It uses no network.
package dispatch

import (
	"math"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

const (
	// tableEntries bounds the flow table.
	tableEntries = 200_000
	// tableIdle is how long an entry stays without a packet where the configuration names no idle time. Losing it costs one
	// search.
	tableIdle = 20 * time.Second
	// SearchTimeout is how long a search waits for answers before the next packet of the flow begins another.
	SearchTimeout = 180 * time.Millisecond
	// maxOffers bounds the targets to which a new flow is offered before it waits or is refused.
	maxOffers = 8
	// maxAttempts bounds how often one packet may come back, whatever the processes believe.
	maxAttempts = 200
	// freshLimit is how old a view may be for the refusal of a new flow to which it knows no route or no target.
	freshLimit = time.Second
)

// entry is what the table holds of a flow.
type entry struct {
	target  *directory.Target
	service string
	opening bool     // no packet but SYNs was seen
	copies  int      // of the SYN, the highest seen
	waiting bool     // the SYN waits at the target
	tried   []uint64 // targets that refused the SYN
	search  search
	missAt  time.Duration // when a whole search found nothing first; 0: none did
}

// Dispatcher holds the state of one balancer. It is not safe for concurrent use.
type Dispatcher struct {
	chooser placement.Chooser
	loads   *placement.LoadTracker
	table   *flow.Table[*entry]
	view    *directory.View
	known   time.Duration // steady time at which the store confirmed the view
	outAt   map[string]time.Duration
	search  []*directory.Target // scratch
	silent  []*directory.Target // scratch
	outWait time.Duration
}

// KeepFlowsForever is the wait of a dispatcher that keeps open flows in failure domains that are out.
const KeepFlowsForever = time.Duration(math.MaxInt64)

// New returns a dispatcher of a balancer in a failure domain. Open flows in a domain that is taken out get no packet
// once it has been out for outWait; new flows never go there.
func New(home string, outWait time.Duration) *Dispatcher {
	loads := placement.NewLoadTracker()
	return &Dispatcher{
		chooser: placement.Chooser{LocalDomain: home, Loads: loads},
		loads:   loads,
		table:   flow.NewTable[*entry](tableIdle, tableEntries),
		view:    directory.New().View(),
		outAt:   make(map[string]time.Duration),
		outWait: outWait,
	}
}

// SetView takes over a view that the store confirmed at the steady time known.
func (d *Dispatcher) SetView(view *directory.View, known, now time.Duration) {
	d.known = max(d.known, known)
	if view == d.view {
		return
	}
	d.view = view
	if view.Config != nil && view.Config.IdleTimeout > 0 {
		d.table.SetIdleTimeout(view.Config.IdleTimeout)
	}
	d.loads.Prune(view)
	for domain := range d.outAt {
		if !view.IsDomainOut(domain) {
			delete(d.outAt, domain)
		}
	}
	for _, domain := range view.OutDomains {
		if _, held := d.outAt[domain]; !held {
			d.outAt[domain] = now
		}
	}
}

// View returns the view in use.
func (d *Dispatcher) View() *directory.View { return d.view }

// ConfirmedAt returns the steady time at which the store confirmed the view.
func (d *Dispatcher) ConfirmedAt() time.Duration { return d.known }

// FlowCount returns the number of flows in the table.
func (d *Dispatcher) FlowCount() int { return d.table.Len() }

// HandleReport takes over what an agent says of its target.
func (d *Dispatcher) HandleReport(ip [4]byte, h *encap.Header, now time.Duration) {
	d.loads.RecordReport(ip, int(h.Load), int(h.Waiting), h.Silent, now)
	d.loads.RecordFailureRate(ip, float64(h.FailedPercent)/100, now)
	if d.view.TargetByIP(ip) != nil {
		d.loads.RecordAgentContact(now)
	}
}

// Isolated reports whether the process reaches no target in the view, so that it can serve no new flow.
func (d *Dispatcher) Isolated(now time.Duration) bool { return d.loads.Isolated(now) }

// HandleCallerPacket decides about a caller's packet.
func (d *Dispatcher) HandleCallerPacket(p *flow.Packet, now time.Duration) Decision {
	if p.Returned || (p.Syn && p.AckFlag) {
		return Decision{Cause: CauseNotFromCaller}
	}
	if d.view.Config == nil {
		return Decision{Cause: CauseNoView}
	}
	key := p.KeyFromCaller()
	route := d.view.Route(key.Service)
	if route == nil {
		return d.noRoute(p, now)
	}
	if p.OpensFlow() {
		return d.place(key, p, route, now)
	}
	return d.continueFlow(key, p, route, now)
}

// noRoute refuses new flows to an address that no configuration names. Packets of open flows are dropped: their route
// is gone.
func (d *Dispatcher) noRoute(p *flow.Packet, now time.Duration) Decision {
	if p.OpensFlow() && now-d.known <= freshLimit {
		return Decision{Outcome: OutcomeReset, Cause: CauseNoRoute, Seq: p.Ack}
	}
	return Decision{Cause: CauseNoRoute}
}

// forward returns the decision to send a packet to the target of its flow.
func (d *Dispatcher) forward(e *entry, cause Cause, h encap.Header, now time.Duration) Decision {
	h.Kind = encap.KindForward
	h.Service = directory.NameHash(e.service)
	h.Slots = encap.Clamp8(e.target.Slots)
	if e.target.ColdUntil() > now {
		if s := d.view.Service(e.service); s != nil {
			h.ColdRate = encap.Tenths(s.ColdRate)
		}
	}
	return Decision{Outcome: OutcomeForward, Cause: cause, Target: e.target, Header: h, Service: e.service}
}

// continueFlow sends a packet of an open flow to its target, or searches it.
func (d *Dispatcher) continueFlow(key flow.Key, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	e, held := d.table.Get(key, now)
	if !held {
		e = &entry{}
		d.table.Put(key, e, now)
	}
	e.opening, e.waiting, e.tried = false, false, nil
	switch {
	case e.search.isRunning(now):
		return Decision{Outcome: OutcomeHold, Cause: CauseSearching}
	case d.isMissProved(key, e, route, now):
		return d.unknown(key, e, p, now)
	case e.search.running || e.target == nil || d.isGone(e.target, now):
		return d.startSearch(key, e, p, route, now)
	}
	d.loads.RecordSent(e.target.Address.IP, false, now)
	return d.deliver(e, CauseOpen, encap.Header{}, now)
}

// isGone reports whether the target left the view and its agent is not heard of any more.
func (d *Dispatcher) isGone(t *directory.Target, now time.Duration) bool {
	present := d.view.TargetByIP(t.Address.IP)
	if present != nil && present.ID == t.ID {
		return false
	}
	return !d.loads.HasRecentReport(t.Address.IP, now)
}

// deliver sends a packet of an open flow, unless its target's failure domain has been out for long enough.
func (d *Dispatcher) deliver(e *entry, cause Cause, h encap.Header, now time.Duration) Decision {
	if d.isClosed(e.target.Domain, now) {
		return Decision{Cause: CauseDomainOut, Target: e.target, Service: e.service}
	}
	return d.forward(e, cause, h, now)
}

// isClosed reports whether the failure domain has been out for so long that open flows get no packet either.
func (d *Dispatcher) isClosed(domain string, now time.Duration) bool {
	at, out := d.outAt[domain]
	return out && now-at > d.outWait
}

// HandleReturn decides about a packet that the agent of the VM sent back.
func (d *Dispatcher) HandleReturn(ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	d.HandleReport(ip, h, now)
	key := p.KeyFromCaller()
	route := d.view.Route(key.Service)
	if route == nil {
		return Decision{Cause: CauseNoRoute}
	}
	if h.Attempt >= maxAttempts {
		return Decision{Cause: CauseTooManyHops}
	}
	e, held := d.table.Get(key, now)
	if !held {
		e = &entry{}
		d.table.Put(key, e, now)
	}
	if p.OpensFlow() {
		return d.returnedSyn(key, e, ip, h, p, now)
	}
	return d.returnedData(key, e, ip, h, p, route, now)
}

// returnedData goes on with a packet of an open flow that a target does not hold.
func (d *Dispatcher) returnedData(key flow.Key, e *entry, ip [4]byte, h *encap.Header, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	switch {
	case h.Search:
		return d.pathEnded(key, e, h, p, now)
	case e.search.isRunning(now):
		return Decision{Outcome: OutcomeHold, Cause: CauseSearching}
	case e.target != nil && e.target.Address.IP != ip:
		return d.deliver(e, CauseOpen, encap.Header{Attempt: h.Attempt + 1}, now) // the flow was found elsewhere meanwhile
	default:
		return d.startSearch(key, e, p, route, now)
	}
}

// HandleFound notes that the target on the VM holds a flow that was searched. It returns the time since the first search of the
// flow began, zero where it was not searched any more.
func (d *Dispatcher) HandleFound(ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) time.Duration {
	d.HandleReport(ip, h, now)
	e, held := d.table.Get(p.KeyFromCaller(), now)
	if !held || e.opening {
		return 0
	}
	t := d.view.TargetByIP(ip)
	if t == nil {
		return 0
	}
	began := e.search.began
	e.target, e.service, e.missAt = t, t.Service, 0
	e.search = search{round: e.search.round}
	if began == 0 {
		return 0
	}
	return now - began
}

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
	// tableIdle is how long an entry stays without a packet, at least. Losing it costs one search.
	tableIdle = 20 * time.Second
	// searchLimit is how long a search waits for answers before the next packet of the flow begins another.
	searchLimit = 180 * time.Millisecond
	// maxOffers bounds the targets to which a new flow is offered before it waits or is refused.
	maxOffers = 8
	// maxAttempts bounds how often one packet may come back, whatever the processes believe.
	maxAttempts = 200
	// freshLimit is how old a view may be for the refusal of a new flow to which it knows no route or no target.
	freshLimit = time.Second
)

// Outcome is what happens to a packet.
type Outcome uint8

// Outcomes of a packet.
const (
	OutcomeDrop Outcome = iota
	OutcomeForward
	OutcomeReset
	OutcomeSearch // sent along several paths
	OutcomeHold   // decided about once more when the search or the confirmation ends
)

// String returns the outcome as logs show it.
func (o Outcome) String() string {
	switch o {
	case OutcomeForward:
		return "forward"
	case OutcomeReset:
		return "reset"
	case OutcomeSearch:
		return "search"
	case OutcomeHold:
		return "hold"
	default:
		return "drop"
	}
}

// Cause says why a packet had its outcome.
type Cause string

// Causes.
const (
	CausePlaced        Cause = "placed"          // new flow, offered to a target
	CauseRepeated      Cause = "repeated"        // copy of a SYN whose first target did not take it
	CauseNext          Cause = "next_target"     // the target before refused the new flow
	CauseWait          Cause = "wait"            // all targets are busy, the flow waits at one
	CauseOpen          Cause = "open"            // open flow, by the table
	CauseSearch        Cause = "search"          // open flow whose target is searched from now on
	CauseSearching     Cause = "searching"       // open flow whose target is being searched
	CauseNoRoute       Cause = "no_route"        // no configuration names the address
	CauseNoView        Cause = "no_view"         // no configuration is known yet
	CauseNoTarget      Cause = "no_target"       // the service has no target that may take new flows
	CauseNoRoom        Cause = "no_room"         // no target has room now, the caller's next copy may find some
	CauseOverload      Cause = "overload"        // no target has room for the last copy of a SYN
	CauseUnknownFlow   Cause = "unknown_flow"    // no target holds the flow
	CauseMissPending   Cause = "miss_unproved"   // no target holds the flow as far as an older view knows
	CauseDomainOut     Cause = "domain_out"      // the flow lives in a failure domain that is out of service
	CauseTooManyHops   Cause = "too_many_hops"   // the packet came back too often
	CauseNotFromCaller Cause = "not_from_caller" // a reset or a returned packet that no caller sends
	CauseStaleReturn   Cause = "stale_return"    // a return from a target that the flow has left
	CauseCallerReset   Cause = "caller_reset"    // the caller ends a flow that no target holds
)

// Decision is the outcome of one packet and what led to it.
type Decision struct {
	Outcome Outcome
	Cause   Cause
	Target  *directory.Target // of OutcomeForward
	Header  encap.Header      // of OutcomeForward
	Paths   []SearchPath      // of OutcomeSearch
	Service string
	Seq     uint32 // of OutcomeReset: the number that the caller expects
}

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
	loads   *placement.Loads
	table   *flow.Table[*entry]
	view    *directory.View
	known   time.Duration // steady time at which the store confirmed the view
	outAt   map[string]time.Duration
	search  []*directory.Target // scratch
	outWait time.Duration
}

// KeepFlows is the wait of a dispatcher that keeps open flows in failure domains that are out.
const KeepFlows = time.Duration(math.MaxInt64)

// New returns a dispatcher of a balancer in a failure domain. Open flows in a domain that is taken out get no packet
// once it has been out for outWait; new flows never go there.
func New(home string, outWait time.Duration) *Dispatcher {
	loads := placement.NewLoads()
	return &Dispatcher{
		chooser: placement.Chooser{Home: home, Loads: loads},
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
	d.loads.Prune(view)
	for domain := range d.outAt {
		if !view.IsOut(domain) {
			delete(d.outAt, domain)
		}
	}
	for _, domain := range view.Out {
		if _, held := d.outAt[domain]; !held {
			d.outAt[domain] = now
		}
	}
}

// View returns the view in use.
func (d *Dispatcher) View() *directory.View { return d.view }

// Known returns the steady time at which the store confirmed the view.
func (d *Dispatcher) Known() time.Duration { return d.known }

// Flows returns the number of flows in the table.
func (d *Dispatcher) Flows() int { return d.table.Len() }

// Reported takes over what an agent says of its target.
func (d *Dispatcher) Reported(ip [4]byte, h *encap.Header, now time.Duration) {
	d.loads.Reported(ip, int(h.Load), int(h.Waiting), h.Silent, now)
}

// FromCaller decides about a caller's packet.
func (d *Dispatcher) FromCaller(p *flow.Packet, now time.Duration) Decision {
	if p.Returned || (p.Syn && p.AckFlag) {
		return Decision{Cause: CauseNotFromCaller}
	}
	if d.view.Config == nil {
		return Decision{Cause: CauseNoView}
	}
	key := p.FromCaller()
	route := d.view.Route(key.Service)
	if route == nil {
		return d.noRoute(p, now)
	}
	if p.Opens() {
		return d.place(key, p, route, now)
	}
	return d.continueFlow(key, p, route, now)
}

// noRoute refuses new flows to an address that no configuration names. Packets of open flows are dropped: their route
// is gone.
func (d *Dispatcher) noRoute(p *flow.Packet, now time.Duration) Decision {
	if p.Opens() && now-d.known <= freshLimit {
		return Decision{Outcome: OutcomeReset, Cause: CauseNoRoute, Seq: p.Ack}
	}
	return Decision{Cause: CauseNoRoute}
}

// place offers a new flow to a target. A copy of a SYN goes to another target than the first, unless the first waits
// for a slot.
func (d *Dispatcher) place(key flow.Key, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	e, held := d.table.Get(key, now)
	if !held || !e.opening {
		e = &entry{opening: true, service: route.Choose(key.Hash())}
		d.table.Put(key, e, now)
	}
	cause := CausePlaced
	if p.Copy > e.copies {
		e.copies = p.Copy
		cause = CauseRepeated
	}
	if e.waiting {
		return d.offer(e, true, cause, p, now)
	}
	if e.target != nil {
		e.tried = append(e.tried, placement.Mark(e.target))
	}
	return d.offerNext(key, e, cause, p, now)
}

// offerNext offers a new flow to the best target that did not refuse it yet. Where all did, it may wait at the one with
// the least work.
func (d *Dispatcher) offerNext(key flow.Key, e *entry, cause Cause, p *flow.Packet, now time.Duration) Decision {
	var t *directory.Target
	if len(e.tried) < maxOffers {
		t = d.chooser.Choose(d.view, e.service, key.Hash(), e.tried, now)
	}
	if t != nil {
		e.target = t
		return d.offer(e, false, cause, p, now)
	}
	t = d.chooser.LeastBusy(d.view, e.service, key.Hash(), now)
	if t == nil {
		return d.refuse(key, e, CauseNoTarget, p, now)
	}
	e.target, e.waiting, e.tried = t, true, e.tried[:0]
	return d.offer(e, true, CauseWait, p, now)
}

func (d *Dispatcher) offer(e *entry, last bool, cause Cause, p *flow.Packet, now time.Duration) Decision {
	d.loads.Sent(e.target.Address.IP, true, now)
	h := encap.Header{Last: last, Held: encap.Millis(p.Held)}
	if route := d.view.Route(p.To); route != nil {
		h.Priority = encap.Clamp8(route.Priority)
		h.Aim = encap.Millis(route.Objective)
	}
	return d.forward(e, cause, h, now)
}

// refuse resets a flow that cannot be served, if the view is fresh enough to know.
func (d *Dispatcher) refuse(key flow.Key, e *entry, cause Cause, p *flow.Packet, now time.Duration) Decision {
	d.table.Delete(key)
	if now-d.known > freshLimit {
		return Decision{Cause: cause, Service: e.service}
	}
	return Decision{Outcome: OutcomeReset, Cause: cause, Service: e.service, Seq: p.Ack}
}

// forward returns the decision to send a packet to the target of its flow.
func (d *Dispatcher) forward(e *entry, cause Cause, h encap.Header, now time.Duration) Decision {
	h.Kind = encap.KindForward
	h.Service = directory.ServiceTag(e.service)
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
	case e.search.running || e.target == nil || d.isGone(e.target, now):
		return d.startSearch(key, e, p, route, now)
	}
	d.loads.Sent(e.target.Address.IP, false, now)
	return d.deliver(e, CauseOpen, encap.Header{}, now)
}

// isGone reports whether the target left the view and its agent is not heard of any more.
func (d *Dispatcher) isGone(t *directory.Target, now time.Duration) bool {
	present := d.view.TargetOn(t.Address.IP)
	if present != nil && present.ID == t.ID {
		return false
	}
	return !d.loads.Heard(t.Address.IP, now)
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

// Returned decides about a packet that the agent of the VM sent back.
func (d *Dispatcher) Returned(ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	d.Reported(ip, h, now)
	key := p.FromCaller()
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
	if p.Opens() {
		return d.returnedSyn(key, e, ip, h, p, now)
	}
	return d.returnedData(key, e, ip, h, p, route, now)
}

// returnedData goes on with a packet of an open flow that a target does not hold.
func (d *Dispatcher) returnedData(key flow.Key, e *entry, ip [4]byte, h *encap.Header, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	switch {
	case h.Searches:
		return d.pathEnded(key, e, h, p, now)
	case e.search.isRunning(now):
		return Decision{Outcome: OutcomeHold, Cause: CauseSearching}
	case e.target != nil && e.target.Address.IP != ip:
		return d.deliver(e, CauseOpen, encap.Header{Attempt: h.Attempt + 1}, now) // the flow was found elsewhere meanwhile
	default:
		return d.startSearch(key, e, p, route, now)
	}
}

// Found notes that the target on the VM holds a flow that was searched.
func (d *Dispatcher) Found(ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) {
	d.Reported(ip, h, now)
	e, held := d.table.Get(p.FromCaller(), now)
	if !held || e.opening {
		return
	}
	t := d.view.TargetOn(ip)
	if t == nil {
		return
	}
	e.target, e.service, e.missAt = t, t.Service, 0
	e.search.running, e.search.tries = false, 0
}

// lastCopy is the number of the last copy of a SYN that a caller sends in one attempt.
const lastCopy = 2

// overloaded ends an offer that found no room to wait either. The caller's next copy may find some; after the last one
// the flow is refused, so that the caller does not wait in vain.
func (d *Dispatcher) overloaded(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	if p.Copy >= lastCopy {
		return d.refuse(key, e, CauseOverload, p, now)
	}
	e.waiting, e.target, e.tried = false, nil, nil
	return Decision{Cause: CauseNoRoom}
}

// returnedSyn offers a refused flow to the next target.
func (d *Dispatcher) returnedSyn(key flow.Key, e *entry, ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	if !e.opening || e.target == nil || e.target.Address.IP != ip || p.Copy < e.copies {
		return Decision{Cause: CauseStaleReturn}
	}
	if e.waiting {
		return d.overloaded(key, e, p, now)
	}
	if h.Reason == encap.ReasonBusy {
		d.loads.Full(ip, now)
	}
	e.tried = append(e.tried, placement.Mark(e.target))
	return d.offerNext(key, e, CauseNext, p, now)
}

// Package dispatch decides what a balancer does with each packet: it places new flows on targets, finds the
// targets of open flows and rejects flows that cannot be served. It performs no I/O.
package dispatch

import (
	"math"
	"time"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/loadcontrol"
	"github.com/cowslipward/cowslipward/placement"
)

const (
	// maxTableEntries limits the size of the flow table.
	maxTableEntries = 200_000
	// defaultIdleTimeout is how long an entry stays in the flow table without a packet if the configuration has
	// no idle timeout. The loss of an entry costs one search.
	defaultIdleTimeout = 20 * time.Second
	// SearchTimeout is how long a search waits for answers before the next packet of the flow starts another search.
	SearchTimeout = 180 * time.Millisecond
	// maxOffers limits the number of targets that a new flow is offered to before it is queued or refused.
	maxOffers = 8
	// maxReturns limits how often one packet may be returned, so that differing views of processes cause no endless
	// loop.
	maxReturns = 200
	// maxRefusalViewAge is the maximum age of a view that may be used to refuse a new flow for lack of a route or
	// target.
	maxRefusalViewAge = time.Second
)

// entry is the state of a flow in the table.
type entry struct {
	target         *directory.Target
	service        string // of the target; of a new flow: the one that the route gave it
	opening        bool   // only SYNs were received so far
	direct         directOffers
	retransmission int      // highest retransmission number of the SYN so far
	waiting        bool     // the SYN is queued at the target
	unanswered     bool     // an earlier SYN may have reached a target that did not return it
	refusedOther   bool     // a target refused this SYN for another reason than a lack of slots
	saidOverloaded bool     // a target refused this SYN because of overload
	tried          []uint64 // keys of the targets that refused the SYN or did not answer it
	search         search
	firstMissAt    time.Duration // when a completed search first found no target; 0: none did
}

// Dispatcher is the packet dispatcher of one balancer. It is not safe for concurrent use.
type Dispatcher struct {
	chooser        placement.Chooser
	loads          *placement.LoadTracker
	overload       *placement.OverloadTracker
	table          *flow.Table[*entry]
	view           *directory.View
	confirmedAt    time.Duration            // steady time at which the store confirmed the view
	domainOutSince map[string]time.Duration // steady time at which each failure domain went out of service
	searchBuffer   []*directory.Target      // reused by searchOrder
	silentBuffer   []*directory.Target      // reused by splitSilent
	wideSearches   pathBudget               // of the searches over scopeOthers
	viewComparison viewComparison
	domainOutGrace time.Duration // how long open flows are kept in a failure domain that is out
	loadControl    loadcontrol.Settings
	shortages      map[placement.Class]*shortage
	speeds         *capacity.Speeds // nil: off
	changes        capacityChanges
}

// KeepFlowsForever is the grace period of a dispatcher that keeps forwarding open flows to failure domains that
// are out of service.
const KeepFlowsForever = time.Duration(math.MaxInt64)

// New returns the dispatcher of a balancer in the failure domain home. New flows are never placed in a failure domain
// that is out of service. Packets of open flows are dropped once their domain has been out for domainOutGrace.
func New(home string, domainOutGrace time.Duration) *Dispatcher {
	loads, view := placement.NewLoadTracker(), directory.New().View()
	return &Dispatcher{
		chooser:        placement.Chooser{LocalDomain: home, Loads: loads},
		loads:          loads,
		table:          flow.NewTable[*entry](defaultIdleTimeout, maxTableEntries),
		overload:       placement.NewOverloadTracker(view),
		view:           view,
		domainOutSince: make(map[string]time.Duration),
		domainOutGrace: domainOutGrace,
		shortages:      newShortages(),
		wideSearches:   pathBudget{left: wideSearchPathsPerSecond},
	}
}

// SetLoadControl sets the load control. Without a call it is off.
func (d *Dispatcher) SetLoadControl(s loadcontrol.Settings) {
	d.loadControl = s
	d.resetCapacity()
}

// SetView replaces the view by one that the store confirmed at the steady time confirmedAt.
func (d *Dispatcher) SetView(view *directory.View, confirmedAt, now time.Duration) {
	d.confirmedAt = max(d.confirmedAt, confirmedAt)
	if view == d.view {
		return
	}
	d.view, d.viewComparison = view, viewComparison{} // the views compared before can be freed
	if view.Config != nil && view.Config.IdleTimeout > 0 {
		d.table.SetIdleTimeout(view.Config.IdleTimeout)
	}
	d.loads.Prune(view)
	d.overload.SetView(view, now)
	d.pruneCapacity()
	for domain := range d.domainOutSince {
		if !view.IsDomainOut(domain) {
			delete(d.domainOutSince, domain)
		}
	}
	for _, domain := range view.OutDomains {
		if _, known := d.domainOutSince[domain]; !known {
			d.domainOutSince[domain] = now
		}
	}
}

// View returns the view in use.
func (d *Dispatcher) View() *directory.View { return d.view }

// ConfirmedAt returns the steady time at which the store confirmed the view.
func (d *Dispatcher) ConfirmedAt() time.Duration { return d.confirmedAt }

// FlowCount returns the number of flows in the table.
func (d *Dispatcher) FlowCount() int { return d.table.Len() }

// HandleReport updates the load of a target from the header of a datagram that its agent sent.
func (d *Dispatcher) HandleReport(ip [4]byte, h *encap.Header, now time.Duration) {
	d.loads.RecordReport(ip, int(h.Load), int(h.Waiting), h.Silent, now)
	d.loads.RecordFailureRate(ip, float64(h.FailedPercent)/100, now)
	d.recordCapacity(ip, h, now)
	if d.view.TargetByIP(ip) != nil {
		d.loads.RecordAgentContact(now)
	}
	d.learn(ip, h, now)
}

// Isolated reports whether the balancer cannot reach any target in the view and therefore cannot serve new flows.
func (d *Dispatcher) Isolated(now time.Duration) bool { return d.loads.Isolated(now) }

// HandleCallerPacket decides what to do with a packet from a caller.
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
		return d.handleNoRoute(p, now)
	}
	if p.OpensFlow() {
		return d.placeFlow(key, p, route, now)
	}
	return d.continueFlow(key, p, route, now)
}

// handleNoRoute refuses a new flow to an address for which the configuration has no route. Packets of open flows are
// dropped, because their route was removed.
func (d *Dispatcher) handleNoRoute(p *flow.Packet, now time.Duration) Decision {
	if p.OpensFlow() && now-d.confirmedAt <= maxRefusalViewAge {
		return Decision{Outcome: OutcomeReset, Cause: CauseNoRoute, Seq: p.Ack}
	}
	return Decision{Cause: CauseNoRoute}
}

// forward returns a decision that sends a packet to the target of its flow.
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

// continueFlow forwards a packet of an open flow to its target, or searches for the target.
func (d *Dispatcher) continueFlow(key flow.Key, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	e, ok := d.table.Get(key, now)
	if !ok {
		e = &entry{}
		d.table.Put(key, e, now)
	}
	e.markOpen()
	switch {
	case e.search.isRunning(now):
		return Decision{Outcome: OutcomeHold, Cause: CauseSearching}
	case d.isMissConfirmed(e, now):
		return d.rejectUnknownFlow(key, e, p, now)
	case e.search.running || e.target == nil || d.isTargetGone(e.target, now):
		return d.startSearch(key, e, p, route, now)
	}
	d.loads.RecordSent(e.target.Address.IP, false, now)
	return d.deliver(e, CauseOpen, encap.Header{}, now)
}

// markOpen ends the placement of a new flow, since the caller has opened it.
func (e *entry) markOpen() {
	e.opening, e.waiting, e.tried, e.direct = false, false, nil, directOffers{}
}

// isTargetGone reports whether the target is no longer in the view and does not answer: its agent no longer sends reports,
// or reports that the target is silent.
func (d *Dispatcher) isTargetGone(t *directory.Target, now time.Duration) bool {
	if isSameTarget(d.view.TargetByIP(t.Address.IP), t) {
		return false
	}
	return d.loads.Unresponsive(t.Address.IP, now) || !d.loads.HasRecentReport(t.Address.IP, now)
}

// isSameTarget reports whether the entry at the address of t, which is nil if there is none, is still that of t.
func isSameTarget(current, t *directory.Target) bool { return current != nil && current.ID == t.ID }

// deliver forwards a packet of an open flow, unless the failure domain of its target has been out for longer than the
// grace period.
func (d *Dispatcher) deliver(e *entry, cause Cause, h encap.Header, now time.Duration) Decision {
	if d.isDomainClosed(e.target.Domain, now) {
		return Decision{Cause: CauseDomainOut, Target: e.target, Service: e.service}
	}
	return d.forward(e, cause, h, now)
}

// isDomainClosed reports whether the failure domain has been out for longer than the grace period, so that packets of
// open flows are no longer forwarded to it.
func (d *Dispatcher) isDomainClosed(domain string, now time.Duration) bool {
	since, out := d.domainOutSince[domain]
	return out && now-since > d.domainOutGrace
}

// HandleReturn decides what to do with a packet that the agent on the VM returned.
func (d *Dispatcher) HandleReturn(ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	d.HandleReport(ip, h, now)
	key := p.KeyFromCaller()
	route := d.view.Route(key.Service)
	if route == nil {
		return d.handleNoRoute(p, now)
	}
	if h.Attempt >= maxReturns {
		return Decision{Cause: CauseTooManyHops}
	}
	e, ok := d.table.Get(key, now)
	if !ok {
		e = &entry{}
		d.table.Put(key, e, now)
	}
	if p.OpensFlow() {
		return d.handleReturnedSyn(key, e, ip, h, p, route, now)
	}
	return d.handleReturnedData(key, e, ip, h, p, route, now)
}

// handleReturnedData decides what to do with a packet of an open flow that a target returned because it does not own
// the flow.
func (d *Dispatcher) handleReturnedData(key flow.Key, e *entry, ip [4]byte, h *encap.Header, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	if h.Search {
		return d.handlePathEnd(key, e, h, p, now)
	}
	e.markOpen()
	switch {
	case e.search.isRunning(now):
		return Decision{Outcome: OutcomeHold, Cause: CauseSearching}
	case e.target != nil && e.target.Address.IP != ip:
		return d.deliver(e, CauseOpen, encap.Header{Attempt: h.Attempt + 1}, now) // the flow was found elsewhere since
	default:
		return d.startSearch(key, e, p, route, now)
	}
}

// HandleFound records that the target on the VM owns a flow that was searched for. It returns the time since the
// first search for the flow started, or zero if no search was in progress.
func (d *Dispatcher) HandleFound(ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) time.Duration {
	d.HandleReport(ip, h, now)
	e, ok := d.table.Get(p.KeyFromCaller(), now)
	if !ok || e.opening {
		return 0
	}
	t := d.view.TargetOfService(ip, h.Service)
	if t == nil {
		return 0
	}
	startedAt := e.search.firstStartedAt
	e.target, e.service, e.firstMissAt = t, t.Service, 0
	e.search = search{round: e.search.round}
	if startedAt == 0 {
		return 0
	}
	return now - startedAt
}

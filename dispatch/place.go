package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

// placeFlow offers a new flow to a target. A retransmitted SYN goes to a different target than before, unless the
// SYN is already queued at one.
func (d *Dispatcher) placeFlow(key flow.Key, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	e, ok := d.table.Get(key, now)
	if !ok || !e.opening {
		e = &entry{opening: true}
		d.table.Put(key, e, now)
	}
	d.updatePlacement(key, e, route)
	cause := CausePlaced
	e.refusedOther, e.saidOverloaded = false, false
	if p.Retransmission > e.retransmission {
		e.unanswered = e.unanswered || e.target != nil
		e.retransmission = p.Retransmission
		cause = CauseRepeated
	}
	if p.Retransmission >= lastRetransmission && d.loads.Isolated(now) {
		d.table.Delete(key)
		return Decision{Outcome: OutcomeReset, Cause: CauseIsolated, Service: e.service, Seq: p.Ack}
	}
	d.countSyn(e, p, route)
	if e.waiting && !d.isDirectTargetLost(e, now) {
		return d.offer(e, true, cause, p, now)
	}
	e.addTried()
	e.waiting, e.direct = false, directOffers{}
	return d.offerNext(key, e, cause, p, route, now)
}

// addTried adds the target that the flow was last offered to, if there is one, to those that did not accept it.
func (e *entry) addTried() {
	if e.target != nil {
		e.tried = append(e.tried, placement.TargetKey(e.target))
	}
}

// updatePlacement drops what was decided about earlier SYNs of a new flow as far as the view in force no longer allows it:
// the route may have another service, and the target at which the flow is queued may be withdrawn. If such a target
// accepts an earlier SYN all the same, a search finds the flow there.
func (d *Dispatcher) updatePlacement(key flow.Key, e *entry, route *directory.Route) {
	d.chooser.SetRoute(route)
	if service := route.ChooseService(key.Hash()); service != e.service {
		e.service, e.target, e.waiting, e.tried, e.direct = service, nil, false, nil, directOffers{}
		return
	}
	if !e.waiting {
		return
	}
	current := d.view.TargetByIP(e.target.Address.IP)
	e.waiting = isSameTarget(current, e.target) && current.Service == e.service && placement.Eligible(d.view, current)
	if e.waiting {
		e.target = current
	}
}

// offerNext offers a new flow to the best target that it was not offered to yet. If there is none, the least busy
// target may queue the flow.
func (d *Dispatcher) offerNext(key flow.Key, e *entry, cause Cause, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	if direct, ok := d.offerDirectly(key, e, p, route, now); ok {
		return direct
	}
	var t *directory.Target
	if len(e.tried) < maxOffers {
		t = d.chooser.Choose(d.view, e.service, key.Hash(), e.tried, now)
	}
	if t != nil {
		e.target = t
		return d.offer(e, false, cause, p, now)
	}
	t = d.chooser.LeastLoaded(d.view, e.service, key.Hash(), e.tried, now)
	if t == nil {
		return d.refuse(key, e, CauseNoTarget, p, now)
	}
	e.target, e.waiting, e.tried = t, true, e.tried[:0]
	return d.offer(e, true, CauseWait, p, now)
}

func (d *Dispatcher) offer(e *entry, mayWait bool, cause Cause, p *flow.Packet, now time.Duration) Decision {
	d.loads.RecordSent(e.target.Address.IP, true, now)
	h := encap.Header{MayWait: mayWait, HoldMillis: encap.Millis(p.HoldTime)}
	if route := d.view.Route(p.To); route != nil {
		h.Priority = encap.Clamp8(route.Priority)
		h.ObjectiveMillis = encap.Millis(route.Objective)
	}
	return d.forward(e, cause, h, now)
}

// refuse resets a new flow that cannot be served. If the view is too old to be certain, it drops the packet instead.
func (d *Dispatcher) refuse(key flow.Key, e *entry, cause Cause, p *flow.Packet, now time.Duration) Decision {
	d.table.Delete(key)
	if now-d.confirmedAt > maxRefusalViewAge {
		return Decision{Cause: cause, Service: e.service}
	}
	return Decision{Outcome: OutcomeReset, Cause: cause, Service: e.service, Seq: p.Ack}
}

// lastRetransmission is the number of the last retransmission of a SYN in one connection attempt of a caller.
const lastRetransmission = 2

// handleNoRoom handles a new flow that no target accepts or queues. A retransmission of the SYN may succeed; the last
// one is refused at once, so that the caller does not wait in vain. In a lasting shortage each SYN is.
func (d *Dispatcher) handleNoRoom(key flow.Key, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	if d.isLastingShortage(e, p, route, now) {
		return d.refuse(key, e, CauseShortage, p, now)
	}
	if p.Retransmission >= lastRetransmission {
		return d.refuse(key, e, CauseOverload, p, now)
	}
	e.waiting, e.target, e.tried, e.direct = false, nil, nil, directOffers{}
	return Decision{Cause: CauseNoRoom}
}

// handleReturnedSyn offers a new flow that a target refused to the next target.
func (d *Dispatcher) handleReturnedSyn(key flow.Key, e *entry, ip [4]byte, h *encap.Header, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	if !e.opening || e.target == nil || e.target.Address.IP != ip || p.Retransmission < e.retransmission {
		return Decision{Cause: CauseStaleReturn}
	}
	d.updatePlacement(key, e, route)
	e.recordReason(h.Reason)
	if h.Reason == encap.ReasonOverloaded {
		d.recordOverload(ip, e, p, route, now)
	}
	if e.waiting && e.direct.made == 0 {
		return d.handleNoRoom(key, e, p, route, now)
	}
	d.recordRefusal(ip, h.Reason, now)
	if e.waiting {
		return d.handleDirectRefusal(key, e, p, route, now)
	}
	e.addTried()
	return d.offerNext(key, e, CauseNextTarget, p, route, now)
}

// recordReason records why a target refused the present SYN.
func (e *entry) recordReason(reason encap.Reason) {
	switch reason {
	case encap.ReasonOverloaded:
		e.saidOverloaded = true
	case encap.ReasonBusy:
	default:
		e.refusedOther = true
	}
}

// recordRefusal records why a target refused a new flow.
func (d *Dispatcher) recordRefusal(ip [4]byte, reason encap.Reason, now time.Duration) {
	switch reason {
	case encap.ReasonBusy:
		d.loads.RecordNoFreeSlots(ip, now)
	case encap.ReasonRefused, encap.ReasonOtherService, encap.ReasonSilent:
		d.loads.RecordRefusal(ip, now)
	}
}

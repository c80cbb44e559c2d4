package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

// place offers a new flow to a target. A copy of a SYN goes to another target than the first, unless the first waits
// for a slot.
func (d *Dispatcher) place(key flow.Key, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	e, held := d.table.Get(key, now)
	if !held || !e.opening {
		e = &entry{opening: true, service: route.ChooseService(key.Hash())}
		d.table.Put(key, e, now)
	}
	cause := CausePlaced
	if p.Retransmission > e.copies {
		e.copies = p.Retransmission
		cause = CauseRepeated
	}
	if p.Retransmission >= lastCopy && d.loads.Isolated(now) {
		d.table.Delete(key)
		return Decision{Outcome: OutcomeReset, Cause: CauseIsolated, Service: e.service, Seq: p.Ack}
	}
	if e.waiting {
		return d.offer(e, true, cause, p, now)
	}
	if e.target != nil {
		e.tried = append(e.tried, placement.TargetKey(e.target))
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
	t = d.chooser.LeastLoaded(d.view, e.service, key.Hash(), e.tried, now)
	if t == nil {
		return d.refuse(key, e, CauseNoTarget, p, now)
	}
	e.target, e.waiting, e.tried = t, true, e.tried[:0]
	return d.offer(e, true, CauseWait, p, now)
}

func (d *Dispatcher) offer(e *entry, last bool, cause Cause, p *flow.Packet, now time.Duration) Decision {
	d.loads.RecordSent(e.target.Address.IP, true, now)
	h := encap.Header{MayWait: last, HoldMillis: encap.Millis(p.HoldTime)}
	if route := d.view.Route(p.To); route != nil {
		h.Priority = encap.Clamp8(route.Priority)
		h.ObjectiveMillis = encap.Millis(route.Objective)
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

// lastCopy is the number of the last copy of a SYN that a caller sends in one attempt.
const lastCopy = 2

// overloaded ends an offer that found no room to wait either. The caller's next copy may find some; after the last one
// the flow is refused, so that the caller does not wait in vain.
func (d *Dispatcher) overloaded(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	if p.Retransmission >= lastCopy {
		return d.refuse(key, e, CauseOverload, p, now)
	}
	e.waiting, e.target, e.tried = false, nil, nil
	return Decision{Cause: CauseNoRoom}
}

// returnedSyn offers a refused flow to the next target.
func (d *Dispatcher) returnedSyn(key flow.Key, e *entry, ip [4]byte, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	if !e.opening || e.target == nil || e.target.Address.IP != ip || p.Retransmission < e.copies {
		return Decision{Cause: CauseStaleReturn}
	}
	if e.waiting {
		return d.overloaded(key, e, p, now)
	}
	switch h.Reason {
	case encap.ReasonBusy:
		d.loads.RecordNoFreeSlots(ip, now)
	case encap.ReasonRefused, encap.ReasonOtherService, encap.ReasonSilent:
		d.loads.RecordRefusal(ip, now)
	}
	e.tried = append(e.tried, placement.TargetKey(e.target))
	return d.offerNext(key, e, CauseNextTarget, p, now)
}

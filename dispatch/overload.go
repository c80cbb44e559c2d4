package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

// maxDirectOffers limits the number of targets that a new flow of a full service is offered to per SYN.
const maxDirectOffers = 3

// directOffers is the state of the offers of one SYN to targets that may queue the flow although other targets were
// not asked for a free slot, because their service is full.
type directOffers struct {
	made       uint8 // 0: the flow is offered as usual
	overloaded uint8 // offers that were refused because of overload
}

// mayShed reports whether overload of any service is shed.
func (d *Dispatcher) mayShed() bool { return d.loadControl.ShedOverload && d.loadControl.MaxSlots > 0 }

// recordCapacity records the wait that a report contains, if overload of the service of its target is shed.
func (d *Dispatcher) recordCapacity(ip [4]byte, h *encap.Header, now time.Duration) {
	if !d.mayShed() || h.Kind != encap.KindReport {
		return
	}
	if t := d.view.TargetByIP(ip); t != nil && d.loadControl.Sheds(t.Service, t.Slots) {
		d.overload.RecordReport(ip, h.Capacity.WaitCode, now)
	}
}

// sheds reports whether overload of the service is shed.
func (d *Dispatcher) sheds(service string) bool {
	if !d.mayShed() {
		return false
	}
	targets := d.view.Targets(service)
	return len(targets) > 0 && d.loadControl.Sheds(service, targets[0].Slots)
}

// classOf returns the class of a new flow.
func classOf(e *entry, route *directory.Route) placement.Class {
	return placement.Class{Service: e.service, Priority: encap.Clamp8(route.Priority), Objective: route.Objective}
}

// assessOverload returns how far the service of a new flow is known to be overloaded for it. A process with an old view,
// or one that reaches no agent, does not know.
func (d *Dispatcher) assessOverload(e *entry, route *directory.Route, now time.Duration) placement.Overload {
	if !d.sheds(e.service) || now-d.confirmedAt > maxRefusalViewAge {
		return placement.Overload{}
	}
	known := d.overload.Assess(classOf(e, route), now)
	if known.IsFull && d.loads.Isolated(now) {
		return placement.Overload{}
	}
	return known
}

// offerDirectly offers a new flow of a full service to the target with the shortest wait. It returns false if the
// service is not known to be full, or if the flow was offered to enough targets.
func (d *Dispatcher) offerDirectly(key flow.Key, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) (Decision, bool) {
	if e.direct.made >= maxDirectOffers || !d.assessOverload(e, route, now).IsFull {
		return Decision{}, false
	}
	t := d.chooser.ShortestWait(d.view, classOf(e, route), key.Hash(), e.tried, d.overload, now)
	if t == nil {
		return Decision{}, false
	}
	e.target, e.waiting = t, true
	e.direct.made++
	return d.offer(e, true, CauseWait, p, now), true
}

// recordOverload records that the target on the VM refused a new flow because of overload. Only the refusal of a first
// SYN tells about other flows: a retransmission may be too old to be answered in time by any target.
func (d *Dispatcher) recordOverload(ip [4]byte, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) {
	if !d.sheds(e.service) {
		return
	}
	d.loads.RecordNoFreeSlots(ip, now)
	if p.Retransmission == 0 {
		d.overload.RecordRefusal(ip, classOf(e, route), now)
	}
	if e.direct.made > 0 {
		e.direct.overloaded++
	}
}

// handleDirectRefusal handles a new flow that a target refused which might have queued it. It offers the flow to the
// next target, or refuses it if all of them are overloaded, as most others of the service are.
func (d *Dispatcher) handleDirectRefusal(key flow.Key, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	e.addTried()
	e.target, e.waiting = nil, false
	if next, ok := d.offerDirectly(key, e, p, route, now); ok {
		return next
	}
	known := d.assessOverload(e, route, now)
	if !known.IsFull {
		e.direct = directOffers{}
		return d.offerNext(key, e, CauseNextTarget, p, route, now)
	}
	if !known.Overloaded || e.direct.overloaded < e.direct.made || e.unanswered {
		return d.handleNoRoom(key, e, p, route, now) // there may be room when the next SYN arrives
	}
	refused := d.refuse(key, e, CauseOverload, p, now)
	refused.Shed, refused.Header.Priority = true, encap.Clamp8(route.Priority)
	return refused
}

// AppendOverloaded appends the services that are overloaded, as far as this process knows, to dst.
func (d *Dispatcher) AppendOverloaded(dst []placement.Overload, now time.Duration) []placement.Overload {
	return d.overload.AppendOverloaded(dst, now)
}

// isDirectTargetLost reports whether a flow that was offered directly is moved at its next SYN, because the target does
// not answer. Unlike the target of a flow that all targets refused, it had not answered this flow before.
func (d *Dispatcher) isDirectTargetLost(e *entry, now time.Duration) bool {
	return e.direct.made > 0 && e.waiting && d.loads.Unresponsive(e.target.Address.IP, now)
}

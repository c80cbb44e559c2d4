package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/placement"
)

// shortagePause is the time without a flow that found no room after which a shortage has ended.
const shortagePause = 500 * time.Millisecond

// lastingObjectives is the multiple of the latency objective from which a shortage is lasting. SYNs that are sent again
// extend a peak of one objective.
const lastingObjectives = 2

// maxShortages bounds the classes of flows whose shortages are kept. All are forgotten when it would be exceeded, which
// only delays resets.
const maxShortages = 256

// minShortageShare is the share of the first SYNs of a class, as one in so many, that find no room in a shortage. If
// fewer do, their callers find room with the next SYN.
const minShortageShare = 8

// shortage is a time in which new flows of a class find no room: all targets that they were offered to refused them for
// lack of slots, also the one that might have queued them.
type shortage struct {
	since  time.Duration // when the first of these flows found no room
	last   time.Duration // when the latest did
	noRoom int           // first SYNs since then that found no room
	all    int           // all first SYNs since then
}

// exists reports whether a flow found no room lately. s may be nil.
func (s *shortage) exists(now time.Duration) bool { return s != nil && now-s.last <= shortagePause }

// isLasting reports whether the shortage has lasted for twice the objective and goes on. s may be nil.
func (s *shortage) isLasting(objective, now time.Duration) bool {
	return s.exists(now) && now-s.since > lastingObjectives*objective && s.noRoom*minShortageShare >= s.all
}

// countSyn counts a SYN that is placed, for the share of those that find no room.
func (d *Dispatcher) countSyn(e *entry, p *flow.Packet, route *directory.Route) {
	if p.Retransmission > 0 || len(d.shortages) == 0 {
		return
	}
	if s := d.shortages[classOf(e, route)]; s != nil {
		s.all++
	}
}

// isLastingShortage records that a new flow found no room, and reports whether such flows have existed for longer than
// twice their latency objective. Then a reset is better for the caller than to wait for its next SYN: it tries again at
// once, by another balancer, while its request can still be answered in time. In a shorter peak, callers would spend
// their retries within milliseconds.
//
// Only refusals for lack of slots count, if a target of the service says that it is overloaded: agents of versions that
// never say so, and targets that are cold, silent or starting, refuse for reasons that may end before the next SYN. A
// process with an old view, or one that reaches no agent, does not know whether there is room. A flow is not reset if a
// target may have accepted an earlier SYN.
func (d *Dispatcher) isLastingShortage(e *entry, p *flow.Packet, route *directory.Route, now time.Duration) bool {
	if !d.sheds(e.service) || route.Objective <= 0 || now-d.confirmedAt > maxRefusalViewAge || d.loads.Isolated(now) {
		return false
	}
	if e.refusedOther || (!e.saidOverloaded && d.assessOverload(e, route, now).Said == 0) {
		return false
	}
	class := classOf(e, route)
	s := d.shortages[class]
	if p.Retransmission == 0 { // a retransmission may be too old to be answered in time by any target
		s = d.recordShortage(class, s, now)
	}
	return !e.unanswered && s.isLasting(route.Objective, now)
}

// recordShortage records that a flow of the class found no room. s is the present shortage, or nil.
func (d *Dispatcher) recordShortage(class placement.Class, s *shortage, now time.Duration) *shortage {
	if !s.exists(now) {
		if len(d.shortages) >= maxShortages {
			clear(d.shortages)
		}
		s = &shortage{since: now, all: 1}
		d.shortages[class] = s
	}
	s.last = now
	s.noRoom++
	return s
}

// newShortages returns an empty table of shortages.
func newShortages() map[placement.Class]*shortage { return make(map[placement.Class]*shortage) }

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

// shortage is a time in which new flows of a class find no room: all targets that they were offered to refused them,
// also the one that might have queued them.
type shortage struct {
	since time.Duration // when the first of these flows found no room
	last  time.Duration // when the latest did
}

// isLastingShortage records that a new flow found no room, and reports whether such flows have existed for longer than
// twice their latency objective. Then a reset is better for the caller than to wait for its next SYN: it tries again at once, by
// another balancer, while its request can still be answered in time. In a shorter peak, callers would spend their retries
// within milliseconds.
//
// A process with an old view, or one that reaches no agent, does not know whether there is room. Agents of versions that
// never say that they are overloaded refuse for other reasons too.
func (d *Dispatcher) isLastingShortage(e *entry, p *flow.Packet, route *directory.Route, now time.Duration) bool {
	if !d.sheds(e.service) || route.Objective <= 0 || now-d.confirmedAt > maxRefusalViewAge || d.loads.Isolated(now) {
		return false
	}
	if !d.overload.HeardRecently(now) {
		return false
	}
	class := classOf(e, route)
	s := d.shortages[class]
	if p.Retransmission == 0 { // a retransmission may be too old to be answered in time by any target
		s.record(now)
		d.storeShortage(class, s)
	}
	return s.isLasting(route.Objective, now)
}

// exists reports whether a flow found no room lately.
func (s *shortage) exists(now time.Duration) bool { return s.last != 0 && now-s.last <= shortagePause }

// isLasting reports whether flows of the latency objective have found no room for longer than twice that time.
func (s *shortage) isLasting(objective, now time.Duration) bool {
	return s.exists(now) && now-s.since > lastingObjectives*objective
}

// record records that a flow found no room.
func (s *shortage) record(now time.Duration) {
	if s.last == 0 || now-s.last > shortagePause {
		s.since = now
	}
	s.last = now
}

func (d *Dispatcher) storeShortage(class placement.Class, s shortage) {
	if len(d.shortages) >= maxShortages {
		clear(d.shortages)
	}
	d.shortages[class] = s
}

// newShortages returns an empty table of shortages.
func newShortages() map[placement.Class]shortage { return make(map[placement.Class]shortage) }

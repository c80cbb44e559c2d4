// Package targetgate decides beside a target which new flows it gets, and when. It counts the requests in progress from
// the packets that pass, so that a target gets no more than it has slots for, and lets flows wait for a slot in the
// order that serves most callers in time. It uses no network.
package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
)

const (
	// spareSlots and spareShare are how many flows above its slots a target gets: the first request of a flow arrives
	// a round trip after the flow was accepted, and a slot would be idle meanwhile.
	spareSlots = 1
	spareShare = 8 // one more for this many slots
	// openLimit is how long an accepted flow counts as work before its first request arrives.
	openLimit = 60 * time.Millisecond
	// stuckLimit is how long a request may go without an answer before it counts as failed and takes no slot from those that
	// wait. An answer may still come.
	stuckLimit = time.Second
	// workLimit is how long a request counts as work without an answer.
	workLimit = 8 * time.Second
	// attemptLimit is the age of a SYN after which its caller has given the attempt up.
	attemptLimit = 1350 * time.Millisecond
	// backlogLimit bounds the time in which the target would work off all that waits. It is below the time that callers
	// give a request.
	backlogLimit = 2500 * time.Millisecond
	// silenceLimit is how long a target may leave a SYN without an answer before it counts as silent.
	silenceLimit = 150 * time.Millisecond
	// suspectAfter is how long a target may say nothing after a packet that it answers at once, and suspectWork after a
	// request, before it is probed.
	suspectAfter = 60 * time.Millisecond
	suspectWork  = 350 * time.Millisecond
	// probePeriod is how often a silent target is offered a flow all the same.
	probePeriod = 250 * time.Millisecond
	// refusedPause is how long a target that sent a new flow back gets no other. It doubles up to refusedPauseMax while the
	// target goes on to do so, as one that starts or stops does.
	refusedPause    = 10 * time.Millisecond
	refusedPauseMax = 200 * time.Millisecond
	// firstWork stands for the time of a request until one has been seen.
	firstWork = 50 * time.Millisecond
	// workWeight is the weight of a new sample in the mean time of a request.
	workWeight = 0.1
	// flowIdle is how long a flow without packets is remembered, at least.
	flowIdle = 30 * time.Second
	// maxFlows bounds the flows that are remembered.
	maxFlows = 20_000
)

// copyAge is the age of each copy of a SYN when it is sent.
var copyAge = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Verdict says what happens to a new flow.
type Verdict uint8

// Verdicts on a new flow.
const (
	Accept Verdict = iota
	Refuse
	Wait
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	switch v {
	case Accept:
		return "accept"
	case Refuse:
		return "refuse"
	default:
		return "wait"
	}
}

// Offer is a new flow that a balancer offers to the target.
type Offer struct {
	Key              flow.Key
	Retransmission   int // of the SYN
	Last             bool
	Slots            int
	ColdRate         float64 // new flows a second that the cold target bears; 0 is no limit
	Priority         uint8
	LatencyObjective time.Duration // within which an answer is in time
	Held             time.Duration // how long the balancer kept the SYN
}

// age returns how long ago the caller sent its first SYN, as far as the copy tells.
func (o *Offer) age() time.Duration {
	return copyAge[min(max(o.Retransmission, 0), len(copyAge)-1)] + o.Held
}

// request tells how far a flow is.
type request uint8

const (
	requestNone    request = iota
	requestOpening         // accepted, the first request is on its way
	requestQueued          // the request waits for a slot
	requestWork            // the target works on a request
)

// state is what the gate knows of a flow.
type state struct {
	phase   request
	since   time.Duration
	sent    time.Duration // when the caller sent the first SYN; 0: the flow had a request since, or that is not known
	stuck   bool          // the request has no answer for long
	known   bool          // the target sent a packet of the flow, its SYN+ACK apart
	offered bool          // the target sent its SYN+ACK, with number synSeq
	synSeq  uint32
	heard   time.Duration // when the target last did
	seq     uint32
	seqSeen bool
	answer  answer
	asker   flow.Endpoint // balancer that wants to know whether the target holds the flow
}

// Gate holds the state of one target. It is not safe for concurrent use.
type Gate struct {
	flows    *flow.Table[*state]
	opening  []opening // accepted flows without a request, oldest first
	busy     map[flow.Key]*state
	waiting  waitList // new flows
	queue    waitList // requests of flows that the target has
	routes   map[flow.Endpoint]*route
	slots    int
	work     time.Duration // mean time of a request
	cold     []time.Duration
	owed     time.Duration // of the first packet to which the target owes an answer at once; 0: none
	owedFor  time.Duration // of the first request since the target was heard of; 0: none
	heard    time.Duration // when the target was last heard of
	offered  time.Duration // when the target was last given a new flow
	down     bool          // a probe showed that the target does not run
	pause    time.Duration // between the new flows of a target that sends them back; 0: it takes them
	closed   time.Duration // until when such a target gets none
	started  time.Duration // when the target showed that it had started anew
	failures failures
	stuck    int // requests that have no answer for long
	lost     int // requests that ended without an answer since the last call of TakeLost
}

type opening struct {
	key   flow.Key
	state *state
	at    time.Duration
}

// New returns a gate that knows of no flows.
func New() *Gate {
	return &Gate{
		flows:  flow.NewTable[*state](flowIdle, maxFlows),
		busy:   make(map[flow.Key]*state),
		routes: make(map[flow.Endpoint]*route),
		work:   firstWork,
	}
}

// Load returns the requests in progress, accepted flows without a request included.
func (g *Gate) Load() int { return len(g.busy) + len(g.opening) }

// Waiting returns the number of new flows and of requests that wait for a slot.
func (g *Gate) Waiting() int { return len(g.waiting.items) + len(g.queue.items) }

// Objective returns the time within which an answer by a route is in time. It reports false where it is not known.
func (g *Gate) Objective(service flow.Endpoint) (aim time.Duration, known bool) {
	r := g.routes[service]
	if r == nil || r.class.aim == 0 {
		return 0, false
	}
	return r.class.aim, true
}

// Slots returns the slots of the target as the last offer named them.
func (g *Gate) Slots() int { return g.slots }

// Expire forgets work that will not end: flows whose caller sent no request, and requests without an answer.
func (g *Gate) Expire(now time.Duration) {
	kept := g.opening[:0]
	for _, o := range g.opening {
		if o.state.phase != requestOpening {
			continue
		}
		if now-o.at > openLimit {
			o.state.phase = requestNone
			continue
		}
		kept = append(kept, o)
	}
	clear(g.opening[len(kept):])
	g.opening = kept
	for key, s := range g.busy {
		switch age := now - s.since; {
		case age > workLimit:
			g.lose(key, s)
		case age > stuckLimit && !s.stuck:
			s.stuck = true
			g.stuck++
			g.noteOutcome(s, true, now)
		}
	}
	for len(g.cold) > 0 && now-g.cold[0] >= time.Second {
		g.cold = g.cold[1:]
	}
	if g.Waiting() > 0 {
		g.expireWaiting(now)
	}
}

// NextFlow returns a new flow that waited and may go to the target now.
func (g *Gate) NextFlow(now time.Duration) (flow.Key, bool) {
	g.Expire(now)
	if len(g.waiting.items) == 0 || g.Load() >= g.limit() || len(g.queue.items) > 0 {
		return flow.Key{}, false
	}
	best := g.waiting.best(now, g.work)
	next := g.waiting.items[best]
	if !g.coldRoom(next.coldRate) {
		return flow.Key{}, false
	}
	g.waiting.remove(best)
	g.accept(next.key, next.came, now)
	return next.key, true
}

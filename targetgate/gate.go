// Package targetgate decides beside a target which new flows it gets, and when. It counts the requests in progress from
// the packets that pass, so that a target gets no more than it has slots for, and lets flows wait for a slot in the
// order that serves most callers in time. It uses no network.
package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

const (
	// spareSlots and spareShare are how many flows above its slots a target gets: the first request of a flow arrives
	// a round trip after the flow was accepted, and a slot would be idle meanwhile.
	spareSlots = 1
	spareShare = 8 // one more for this many slots
	// openLimit is how long an accepted flow counts as work before its first request arrives.
	openLimit = 60 * time.Millisecond
	// workLimit is how long a request counts as work without an answer.
	workLimit = 8 * time.Second
	// attemptLimit is the age of a SYN after which its caller has given the attempt up.
	attemptLimit = 1350 * time.Millisecond
	// silenceLimit is how long a target may leave a SYN without an answer before it counts as silent.
	silenceLimit = 150 * time.Millisecond
	// suspectAfter is how long a target may say nothing after a packet that it answers at once, and suspectWork after a
	// request, before it is probed.
	suspectAfter = 60 * time.Millisecond
	suspectWork  = 350 * time.Millisecond
	// probePeriod is how often a silent target is offered a flow all the same.
	probePeriod = 250 * time.Millisecond
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
	Key      flow.Key
	Copy     int // of the SYN
	Last     bool
	Slots    int
	ColdRate float64 // new flows a second that the cold target bears; 0 is no limit
	Priority uint8
	Aim      time.Duration // within which an answer is in time
	Held     time.Duration // how long the balancer kept the SYN
}

// age returns how long ago the caller sent its first SYN, as far as the copy tells.
func (o *Offer) age() time.Duration {
	return copyAge[min(max(o.Copy, 0), len(copyAge)-1)] + o.Held
}

// request tells how far a flow is.
type request uint8

const (
	requestNone    request = iota
	requestOpening         // accepted, the first request is on its way
	requestWork            // the target works on a request
)

// state is what the gate knows of a flow.
type state struct {
	phase   request
	since   time.Duration
	known   bool          // the target sent a packet of the flow
	heard   time.Duration // when the target last did
	seq     uint32
	seqSeen bool
	asker   flow.Endpoint // balancer that wants to know whether the target holds the flow
}

// Gate holds the state of one target. It is not safe for concurrent use.
type Gate struct {
	flows   *flow.Table[*state]
	opening []opening // accepted flows without a request, oldest first
	busy    map[flow.Key]*state
	waiting waitList
	slots   int
	work    time.Duration // mean time of a request
	cold    []time.Duration
	owed    time.Duration // of the first packet to which the target owes an answer at once; 0: none
	owedFor time.Duration // of the first request since the target was heard of; 0: none
	heard   time.Duration // when the target was last heard of
	offered time.Duration // when the target was last given a new flow
	down    bool          // a probe showed that the target does not run
	started time.Duration // when the target showed that it had started anew
}

type opening struct {
	key   flow.Key
	state *state
	at    time.Duration
}

// New returns a gate that knows of no flows.
func New() *Gate {
	return &Gate{flows: flow.NewTable[*state](flowIdle, maxFlows), busy: make(map[flow.Key]*state), work: firstWork}
}

// Load returns the requests in progress, accepted flows without a request included.
func (g *Gate) Load() int { return len(g.busy) + len(g.opening) }

// Waiting returns the number of new flows that wait for a slot.
func (g *Gate) Waiting() int { return len(g.waiting.items) }

// Slots returns the slots of the target as the last offer named them.
func (g *Gate) Slots() int { return g.slots }

// Silent reports whether the target leaves new flows without an answer.
func (g *Gate) Silent(now time.Duration) bool {
	return g.down || (g.owed != 0 && now-g.owed > silenceLimit)
}

// Suspect reports whether the target says so little that it may not run.
func (g *Gate) Suspect(now time.Duration) bool {
	return (g.owed != 0 && now-g.owed > suspectAfter) || (g.owedFor != 0 && now-g.owedFor > suspectWork)
}

// Probed takes over what a probe showed. A target that does not run holds no flow.
func (g *Gate) Probed(runs bool, now time.Duration) {
	g.down = !runs
	if runs {
		g.owed, g.owedFor = 0, 0
		return
	}
	for key, s := range g.busy {
		g.end(key, s)
	}
	g.owedFor = 0
	g.owed = now
}

// Down reports whether a probe showed that the target does not run, and nothing was heard of it since.
func (g *Gate) Down() bool { return g.down }

// Quiet reports whether the target was not heard of for the time.
func (g *Gate) Quiet(limit, now time.Duration) bool { return now-g.heard > limit }

// Asked notes a packet that the target answers at once.
func (g *Gate) Asked(now time.Duration) {
	if g.owed == 0 {
		g.owed = now
	}
}

// hear notes a packet of the target.
func (g *Gate) hear(now time.Duration) {
	g.owed, g.owedFor, g.heard, g.down = 0, 0, now, false
}

// Offer decides about a new flow.
func (g *Gate) Offer(o *Offer, now time.Duration) (Verdict, encap.Reason) {
	g.slots = max(1, o.Slots)
	g.Expire(now)
	if s, held := g.flows.Get(o.Key, now); held && s.phase != requestNone {
		return Accept, encap.ReasonNone // a copy of a SYN that the target has
	}
	reason := g.obstacle(o, now)
	if reason == encap.ReasonNone {
		g.accept(o, now)
		return Accept, encap.ReasonNone
	}
	if o.Last && reason != encap.ReasonSilent && g.canWait(o, now) {
		g.waiting.put(o, now)
		return Wait, reason
	}
	return Refuse, reason
}

// obstacle returns why the target cannot take a flow now.
func (g *Gate) obstacle(o *Offer, now time.Duration) encap.Reason {
	switch {
	case g.down, g.Silent(now) && now-g.offered < probePeriod:
		return encap.ReasonSilent
	case g.Load() >= g.limit() || len(g.waiting.items) > 0:
		return encap.ReasonBusy
	case !g.coldRoom(o.ColdRate, now):
		return encap.ReasonCold
	default:
		return encap.ReasonNone
	}
}

// limit is how many requests and accepted flows the target gets at once.
func (g *Gate) limit() int { return g.slots + spareSlots + g.slots/spareShare }

// coldRoom reports whether a cold target may get one more flow in this second.
func (g *Gate) coldRoom(rate float64, now time.Duration) bool {
	for len(g.cold) > 0 && now-g.cold[0] >= time.Second {
		g.cold = g.cold[1:]
	}
	return rate <= 0 || len(g.cold) < max(1, int(rate))
}

// canWait reports whether the flow would get a slot before its caller gives the attempt up.
func (g *Gate) canWait(o *Offer, now time.Duration) bool {
	ahead := time.Duration(len(g.waiting.items) + 1)
	return o.age()+ahead*g.work/time.Duration(g.slots) < attemptLimit
}

func (g *Gate) accept(o *Offer, now time.Duration) {
	s := &state{phase: requestOpening, since: now}
	g.flows.Put(o.Key, s, now)
	g.opening = append(g.opening, opening{key: o.Key, state: s, at: now})
	g.cold = append(g.cold, now)
	g.Asked(now)
	g.offered = now
}

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
		if now-s.since > workLimit {
			s.phase = requestNone
			delete(g.busy, key)
		}
	}
	for len(g.cold) > 0 && now-g.cold[0] >= time.Second {
		g.cold = g.cold[1:]
	}
}

// FromCaller notes a packet of an open flow on its way to the target. A balancer that searches the flow is told once the
// target shows that it holds it. FromCaller reports whether that is known already, and whether a request begins.
func (g *Gate) FromCaller(key flow.Key, p *flow.Packet, asker flow.Endpoint, now time.Duration) (known, begins bool) {
	s, held := g.flows.Get(key, now)
	if !held {
		s = &state{}
		g.flows.Put(key, s, now)
	}
	if asker.IsValid() && !s.known {
		s.asker = asker
	}
	switch {
	case p.Reset:
		g.end(key, s)
	case asker.IsValid() && !s.known:
		// A search asks all targets: the flow is work only where the target holds it.
	case p.DataLen > 0 && g.isNew(s, p):
		begins = s.phase != requestWork
		s.phase, s.since = requestWork, now
		g.busy[key] = s
		if g.owedFor == 0 {
			g.owedFor = now
		}
	}
	return s.known, begins
}

// isNew reports whether the packet's data was not seen before, and remembers it.
func (g *Gate) isNew(s *state, p *flow.Packet) bool {
	end := p.Seq + uint32(p.DataLen)
	if s.seqSeen && int32(end-s.seq) <= 0 {
		return false
	}
	s.seq, s.seqSeen = end, true
	return true
}

// FromTarget notes a packet of the target. It returns the balancer that searches the flow, if one does, and the time of
// the request that the packet begins to answer, or 0.
func (g *Gate) FromTarget(key flow.Key, p *flow.Packet, now time.Duration) (asker flow.Endpoint, took time.Duration) {
	g.hear(now)
	s, held := g.flows.Get(key, now)
	if !held {
		s = &state{}
		g.flows.Put(key, s, now)
	}
	s.known = s.known || !p.Syn
	s.heard = now
	asker, s.asker = s.asker, flow.Endpoint{}
	if !s.known {
		s.asker, asker = asker, flow.Endpoint{}
	}
	switch {
	case p.Reset:
		g.end(key, s)
		g.flows.Delete(key)
	case p.DataLen > 0 || p.Fin:
		took = g.answered(key, s, now)
	}
	return asker, took
}

// answered ends the work on a request with the first data of its answer. It returns the time that the request took.
func (g *Gate) answered(key flow.Key, s *state, now time.Duration) (took time.Duration) {
	if s.phase == requestWork {
		took = now - s.since
		g.work += time.Duration(workWeight * float64(took-g.work))
	}
	g.end(key, s)
	return took
}

func (g *Gate) end(key flow.Key, s *state) {
	s.phase = requestNone
	delete(g.busy, key)
}

// Returned notes that the target sent a packet of a flow back: it does not hold the flow.
func (g *Gate) Returned(key flow.Key, now time.Duration) {
	g.hear(now)
	s, held := g.flows.Get(key, now)
	if !held {
		return
	}
	g.end(key, s)
	g.flows.Delete(key)
	if s.known && s.heard > g.started {
		g.startedAnew(now)
	}
}

// freshWork is the age up to which a request is taken for one that a target got after its start.
const freshWork = 50 * time.Millisecond

// startedAnew forgets the requests that a target had before it started again: it sent back a flow that it held.
func (g *Gate) startedAnew(now time.Duration) {
	g.started = now
	for key, s := range g.busy {
		if now-s.since > freshWork {
			g.end(key, s)
		}
	}
}

// Next returns a flow that waited and may go to the target now.
func (g *Gate) Next(now time.Duration) (flow.Key, bool) {
	g.Expire(now)
	g.waiting.expire(now)
	if len(g.waiting.items) == 0 || g.Load() >= g.limit() {
		return flow.Key{}, false
	}
	best := g.waiting.best(now, g.work)
	o := &g.waiting.items[best].offer
	if !g.coldRoom(o.ColdRate, now) {
		return flow.Key{}, false
	}
	offer := *o
	g.waiting.remove(best)
	g.accept(&offer, now)
	return offer.Key, true
}

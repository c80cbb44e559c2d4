// Package targetgate is the admission control of the agent on a target's VM: it decides which new flows and
// requests the target gets, and when. It counts the requests in progress from the packets that pass through, so
// that the target gets no more than it has slots for, and queues flows and requests in the order that answers the
// most callers within the latency objective of their route. It does no network I/O.
package targetgate

import (
	"time"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/loadcontrol"
)

const (
	// extraFlows is how many flows a target may get beyond its slots, plus one for each slotsPerExtraFlow slots:
	// the first request of a flow arrives one round trip after the flow was accepted, and a slot would be idle
	// until then.
	extraFlows        = 1
	slotsPerExtraFlow = 8
	// firstRequestTimeout is how long an accepted flow counts towards the load while its first request has not
	// arrived.
	firstRequestTimeout = 60 * time.Millisecond
	// stuckTimeout is how long a request may go without a response before it counts as failed and no longer
	// occupies a slot that queued requests could use. Its response may still arrive.
	stuckTimeout = time.Second
	// requestTimeout is how long a request without a response counts as in progress.
	requestTimeout = 8 * time.Second
	// connectTimeout is how long after its first SYN a caller gives up a connection attempt.
	connectTimeout = 1350 * time.Millisecond
	// maxQueueDelay bounds the estimated time in which the target serves everything in its queues. It is below
	// the time that callers allow for a request.
	maxQueueDelay = 2500 * time.Millisecond
	// silentAfter is how long a target may leave a SYN unanswered before it counts as silent.
	silentAfter = 150 * time.Millisecond
	// replySuspectAfter is how long a target may send nothing after a packet that it should answer immediately
	// before it is probed; requestSuspectAfter is the same after a request.
	replySuspectAfter   = 60 * time.Millisecond
	requestSuspectAfter = 350 * time.Millisecond
	// silentOfferInterval is the interval at which a silent target still gets a new flow.
	silentOfferInterval = 250 * time.Millisecond
	// minReturnBackoff is how long a target that returned a new flow gets no other. The time doubles up to
	// maxReturnBackoff while the target keeps returning new flows, as it does during its start and its shutdown.
	minReturnBackoff = 10 * time.Millisecond
	maxReturnBackoff = 200 * time.Millisecond
	// initialServiceTime is the service time that is assumed before the first response.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// flowIdleTimeout is the minimum time for which a flow without packets stays in the flow table.
	flowIdleTimeout = 30 * time.Second
	// maxFlows bounds the flow table.
	maxFlows = 20_000
)

// retransmissionAge is the time from the first SYN of a flow to the transmission of each SYN, by retransmission
// number.
var retransmissionAge = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Verdict is the decision on a new flow.
type Verdict uint8

// Verdicts on a new flow.
const (
	Accept Verdict = iota // the SYN goes to the target
	Refuse                // the SYN goes back to the balancer
	Wait                  // the SYN is queued until NextFlow returns its flow
)

// String returns the verdict as it appears in logs.
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
	Retransmission   int           // number of the SYN's retransmission; 0 is the original
	Last             bool          // no other target accepts the flow, so that it may wait for this one
	Slots            int           // requests that the target serves concurrently
	ColdRate         float64       // limit on new flows per second while the target is cold; 0: none
	Priority         uint8         // of the route; 0 is the highest
	LatencyObjective time.Duration // time within which a response counts as in time; 0: none
	Held             time.Duration // how long the balancer held the SYN before it offered the flow
}

// age returns the time since the caller sent its first SYN, estimated from the retransmission number.
func (o *Offer) age() time.Duration {
	return retransmissionAge[min(max(o.Retransmission, 0), len(retransmissionAge)-1)] + o.Held
}

// requestPhase is the progress of the current request of a flow.
type requestPhase uint8

const (
	requestNone       requestPhase = iota
	requestOpening                 // the flow was accepted, its first request has not arrived
	requestQueued                  // the request waits for a slot
	requestInProgress              // the target has the request and has not responded
)

// flowState is the state of a flow.
type flowState struct {
	phase     requestPhase
	since     time.Duration // start of the phase, or last new data of the request in progress
	synSentAt time.Duration // when the caller sent its first SYN; 0: unknown, or the first request has arrived
	stuck     bool          // the request in progress has had no response for stuckTimeout
	confirmed bool          // the target has sent a packet of the flow other than its SYN+ACK
	synAcked  bool          // the target has sent a SYN+ACK, with sequence number synAckSeq
	synAckSeq uint32
	// opensElsewhere is set if the caller opened the flow at another target while its SYN was queued here.
	opensElsewhere bool
	endFlags       endFlags
	callerAck      uint32        // the caller's last acknowledgement number, if endFlags has flagCallerAcked
	lastPacket     time.Duration // when the target last sent a packet of the flow
	openedAt       time.Duration // when the caller sent its first SYN, or earlier; 0: unknown
	callerEnd      uint32        // sequence number after the caller's last new byte
	callerEndSet   bool
	response       response
	sample         requestSample // of the request in progress, for the learned capacity
	searcher       flow.Endpoint // balancer that searches for the flow and is to be notified if the target owns it
}

// Gate holds the state of one target. It is not safe for concurrent use.
type Gate struct {
	service          string // of the target; empty: load control is off
	loadControl      loadcontrol.Settings
	admission        *admission
	recovery         recovery
	flows            *flow.Table[*flowState]
	opening          []openingFlow // accepted flows without a request, oldest first
	inProgress       map[flow.Key]*flowState
	flowQueue        waitQueue // new flows
	requestQueue     waitQueue // requests of accepted flows
	routes           map[flow.Endpoint]*route
	slots            int
	serviceTime      time.Duration   // moving average
	coldAccepts      []time.Duration // when flows were accepted during the last second
	replyDueSince    time.Duration   // first unanswered packet that should be answered immediately; 0: none
	responseDueSince time.Duration   // first request since lastPacket; 0: none
	lastPacket       time.Duration   // when the target last sent a packet
	lastAccept       time.Duration   // when the target last got a new flow
	down             bool            // a probe showed that the target's port is closed
	returnBackoff    time.Duration   // pause after each new flow that the target returns; 0: it accepts them
	backoffUntil     time.Duration   // when the present pause ends
	restartedAt      time.Duration   // when the last restart of the target was detected
	failures         failureRatio
	limit            capacityLimit
	loss             lossProofs
	stuckRequests    int // requests in progress without a response for stuckTimeout
	lostRequests     int // requests that ended without a response since the last call of TakeLost
}

type openingFlow struct {
	key   flow.Key
	state *flowState
	at    time.Duration
	class class
	sent  time.Duration // when the caller sent its first SYN
}

// New returns a gate without flows.
func New() *Gate {
	return &Gate{
		flows:       flow.NewTable[*flowState](flowIdleTimeout, maxFlows),
		inProgress:  make(map[flow.Key]*flowState),
		routes:      make(map[flow.Endpoint]*route),
		serviceTime: initialServiceTime,
		admission:   newAdmission(),
	}
}

// SetLoadControl sets the load control for the target of a service. Without a call it is off.
func (g *Gate) SetLoadControl(s loadcontrol.Settings, service string) {
	g.loadControl, g.service = s, service
	g.updateShedding()
}

// Load returns the number of requests in progress and of accepted flows whose first request has not arrived.
func (g *Gate) Load() int { return len(g.inProgress) + len(g.opening) }

// Waiting returns the number of new flows and of requests that wait for a slot.
func (g *Gate) Waiting() int { return len(g.flowQueue.items) + len(g.requestQueue.items) }

// Objective returns the latency objective of the route to an address of a service. It reports false if the route
// is unknown or has no objective.
func (g *Gate) Objective(service flow.Endpoint) (objective time.Duration, known bool) {
	r := g.routes[service]
	if r == nil || r.class.objective == 0 {
		return 0, false
	}
	return r.class.objective, true
}

// Slots returns the slots of the target according to the most recent offer.
func (g *Gate) Slots() int { return g.slots }

// Expire ends what has timed out: accepted flows whose caller sent no request, requests without a response, and
// entries of the queues whose callers have given up.
func (g *Gate) Expire(now time.Duration) {
	kept, openingTimeout := g.opening[:0], g.admission.openingTimeout()
	for _, o := range g.opening {
		if o.state.phase != requestOpening {
			continue
		}
		if now-o.at > openingTimeout {
			o.state.phase = requestNone
			continue
		}
		kept = append(kept, o)
	}
	clear(g.opening[len(kept):])
	g.opening = kept
	for key, s := range g.inProgress {
		switch age := now - s.since; {
		case age > requestTimeout:
			g.endUnanswered(key, s)
		case age > stuckTimeout && !s.stuck:
			s.stuck = true
			g.stuckRequests++
			g.recordOutcome(s, true, now)
		}
	}
	for len(g.coldAccepts) > 0 && now-g.coldAccepts[0] >= time.Second {
		g.coldAccepts = g.coldAccepts[1:]
	}
	if g.Waiting() > 0 {
		g.expireWaiting(now)
	}
}

// NextFlow removes the next new flow from its queue and returns it, to be sent to the target now. It reports
// false if none waits or the target may not get one yet.
func (g *Gate) NextFlow(now time.Duration) (flow.Key, bool) {
	g.Expire(now)
	best, ok := g.nextFlow(now)
	if !ok {
		return flow.Key{}, false
	}
	next := g.flowQueue.items[best]
	g.flowQueue.remove(best)
	g.acceptWaiter(&next, now)
	return next.key, true
}

// nextFlow returns the index of the new flow that the target may get now.
func (g *Gate) nextFlow(now time.Duration) (int, bool) {
	switch {
	case len(g.flowQueue.items) == 0:
		return 0, false
	case g.admission.enabled:
		// Flows wait only for the cold rate. Requests that wait do not delay them.
		first := g.admission.first(g.flowQueue.items)
		return first, g.Load() < g.maxLoad() && g.belowColdRate(g.flowQueue.items[first].coldRate)
	case g.Load() >= g.maxLoad() || len(g.requestQueue.items) > 0:
		return 0, false
	}
	best := g.flowQueue.best(now, g.serviceTime)
	return best, g.belowColdRate(g.flowQueue.items[best].coldRate)
}

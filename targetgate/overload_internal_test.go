package targetgate

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/loadcontrol"
)

const ms = time.Millisecond

// kind is a kind of requests of a load.
type kind struct {
	name      string
	share     float64 // of the requests
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	priority  uint8
	openFlows float64 // share of the requests that are sent on open flows
}

// overloadRun is a load of several targets through balancers that offer flows as described in docs/design/overview.md:
// with shedding to three targets, otherwise to eight.
type overloadRun struct {
	seed       uint64
	kinds      []kind
	targets    int
	slots      int
	speeds     func(target int, at time.Duration) float64
	longShare  float64 // share of the requests that take 7 times as long
	factor     float64 // work of the requests of the burst relative to the capacity
	baseFactor float64 // after the burst
	burst      time.Duration
	end        time.Duration
	callers    []float64 // shares of the requests by caller address; empty: one caller
	coldRate   func(target int, at time.Duration) float64
	policy     *shedPolicy   // nil: without shedding
	restart    time.Duration // when the agents of half of the targets restart; 0: never

	started, retries int // requests that the targets got, and retries among them as the gates recognize them

	events   eventQueue
	rng      *rand.Rand
	now      time.Duration
	servers  []*server
	requests []*simRequest
	nextPort int
	flows    map[flow.Key]*attempt
}

// server is one target with its gate.
type server struct {
	gate       *Gate
	index      int
	reported   time.Duration // expected wait at the last report
	load       int           // at the last report
	overloaded time.Duration // when it last said that it is overloaded
	opened     []flow.Key    // open flows without a request
}

// simRequest is one request of a caller.
type simRequest struct {
	kind     *kind
	caller   int
	sent     time.Duration
	attempts int
	answered time.Duration // 0: not
	ended    time.Duration // when its caller had the answer or the failure
	started  int           // attempts that a target got
	retries  int           // those among them after the first
}

type attempt struct {
	request *simRequest
	key     flow.Key
	number  int
	sent    time.Duration
	target  *server
	open    bool
	serving bool
	over    bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue struct {
	items []event
	seq   int
}

func (q *eventQueue) Len() int { return len(q.items) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}
func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *eventQueue) Push(x any)    { q.items = append(q.items, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func (r *overloadRun) after(d time.Duration, do func()) {
	r.events.seq++
	heap.Push(&r.events, event{at: r.now + d, seq: r.events.seq, do: do})
}

const (
	runStart  = 10 * time.Second
	hopTime   = ms / 2
	roundTrip = 2 * ms
)

// run plays the load and returns its requests.
func (r *overloadRun) run() []*simRequest {
	r.rng = rand.New(rand.NewPCG(r.seed, 1))
	r.flows, r.now = make(map[flow.Key]*attempt), runStart
	for i := range r.targets {
		r.servers = append(r.servers, &server{gate: r.newGate(), index: i})
	}
	r.scheduleArrivals()
	r.after(0, r.report)
	r.after(0, r.poll)
	if r.restart > 0 {
		r.after(r.restart, r.restartAgents)
	}
	defer r.countStarted()
	for r.events.Len() > 0 && r.now < runStart+r.end+12*time.Second {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.do()
	}
	return r.requests
}

// restartAgents replaces the gates of half of the targets. Callers send the requests that waited there again.
func (r *overloadRun) restartAgents() {
	for _, s := range r.servers[:len(r.servers)/2] {
		s.gate = r.newGate()
	}
	for _, a := range r.flows {
		if a.open && !a.over && !a.serving && a.target.index < len(r.servers)/2 {
			r.after(200*ms, func() { r.deliver(a) })
		}
	}
}

func (r *overloadRun) newGate() *Gate {
	g := New()
	if r.policy != nil {
		g.SetLoadControl(loadcontrol.Settings{MaxSlots: loadcontrol.MaxSlotsAll, ShedOverload: true}, "service")
		g.admission.policy = *r.policy
	}
	return g
}

// capacity returns the requests per second that the targets can serve.
func (r *overloadRun) capacity() float64 {
	mean, speed := 0.0, 0.0
	for i := range r.kinds {
		mean += r.kinds[i].share * r.kinds[i].work.Seconds()
	}
	for i := range r.targets {
		speed += r.speed(i, runStart+r.burst/2)
	}
	return speed * float64(r.slots) / (mean * (1 + 6*r.longShare))
}

func (r *overloadRun) speed(target int, at time.Duration) float64 {
	if r.speeds == nil {
		return 1
	}
	return r.speeds(target, at-runStart)
}

func (r *overloadRun) scheduleArrivals() {
	for at := time.Duration(0); at < r.end; {
		factor := r.factor
		if at >= r.burst {
			factor = r.baseFactor
		}
		at += time.Duration(r.rng.ExpFloat64() / (factor * r.capacity()) * float64(time.Second))
		request := &simRequest{kind: r.pickKind(), caller: r.pickCaller(), sent: runStart + at}
		r.requests = append(r.requests, request)
		r.after(at, func() { r.sendRequest(request) })
		r.after(at+request.kind.deadline, func() { r.finish(request, false) })
	}
}

func (r *overloadRun) pickKind() *kind {
	x := r.rng.Float64()
	for i := range r.kinds {
		if x -= r.kinds[i].share; x < 0 {
			return &r.kinds[i]
		}
	}
	return &r.kinds[0]
}

func (r *overloadRun) pickCaller() int {
	x := r.rng.Float64()
	for i, share := range r.callers {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

func (r *overloadRun) report() {
	for _, s := range r.servers {
		s.gate.Expire(r.now)
		s.reported, s.load = s.gate.ExpectedWait(r.now), s.gate.Load()+s.gate.Waiting()
	}
	r.after(200*ms, r.report)
}

// countStarted adds up the requests that the targets got.
func (r *overloadRun) countStarted() {
	for _, s := range r.servers {
		started, retries := s.gate.TakeStarted()
		r.started += started
		r.retries += retries
	}
}

// poll does what the agents' timers do.
func (r *overloadRun) poll() {
	for _, s := range r.servers {
		r.release(s)
	}
	r.after(20*ms, r.poll)
}

// sendRequest starts the next attempt of a request, on an open flow or a new one.
func (r *overloadRun) sendRequest(request *simRequest) {
	if request.ended != 0 {
		return
	}
	request.attempts++
	if request.attempts == 1 && r.rng.Float64() < request.kind.openFlows {
		s := r.servers[r.rng.IntN(len(r.servers))]
		if len(s.opened) > 0 {
			key := s.opened[0]
			s.opened = s.opened[1:]
			a := r.flows[key]
			a.request, a.number, a.sent, a.over, a.serving = request, a.number+1, r.now, false, false
			r.after(roundTrip/2, func() { r.deliver(a) })
			return
		}
	}
	r.nextPort++
	a := &attempt{request: request, sent: r.now, key: flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{10, 0, 0, byte(request.caller)}, Port: uint16(r.nextPort)},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, request.kind.name[0]}, Port: 443},
	}}
	r.flows[a.key] = a
	for number := range retransmissionAge {
		r.after(retransmissionAge[number]+roundTrip/2, func() { r.place(a, number) })
	}
	r.after(1400*ms, func() { r.retry(a) })
}

// retry ends an attempt that has not opened its flow, and starts the next one.
func (r *overloadRun) retry(a *attempt) {
	if a.over || a.open {
		return
	}
	a.over = true
	if a.request.attempts > 2 {
		r.finish(a.request, false)
		return
	}
	r.after(ms, func() { r.sendRequest(a.request) })
}

func (r *overloadRun) finish(request *simRequest, answered bool) {
	if request.ended != 0 {
		return
	}
	request.ended = r.now
	if answered {
		request.answered = r.now
	}
}

func (r *overloadRun) offer(a *attempt, s *server, number int, last bool) bool {
	rate := 0.0
	if r.coldRate != nil {
		rate = r.coldRate(s.index, r.now-runStart)
	}
	k := a.request.kind
	verdict, reason := s.gate.Offer(&Offer{
		Key: a.key, Retransmission: number, Last: last, Slots: r.slots, ColdRate: rate, Priority: k.priority, LatencyObjective: k.objective,
	}, r.now)
	if reason == encap.ReasonOverloaded {
		s.overloaded = r.now
	}
	if verdict == Refuse {
		return false
	}
	a.target = s
	if verdict == Accept {
		r.openFlow(a)
	}
	return true
}

// place offers a flow to targets, resets it or leaves it to the next SYN.
func (r *overloadRun) place(a *attempt, number int) {
	if a.over || a.open || a.target != nil {
		return
	}
	order := r.rng.Perm(len(r.servers))
	tried := order[:min(8, len(order))]
	if r.policy != nil {
		tried = order[:3]
	}
	best := 0
	for i, index := range tried {
		if r.offer(a, r.servers[index], number, false) {
			return
		}
		if r.servers[index].load < r.servers[tried[best]].load {
			best = i
		}
	}
	if r.policy == nil {
		if !r.offer(a, r.servers[tried[best]], number, true) && number == 2 {
			r.reset(a)
		}
		return
	}
	tried[0], tried[best] = tried[best], tried[0]
	for _, index := range tried {
		if r.offer(a, r.servers[index], number, true) {
			return
		}
	}
	overloaded := 0
	for _, s := range r.servers {
		if s.overloaded > 0 && r.now-s.overloaded < 500*ms {
			overloaded++
		}
	}
	if 4*overloaded >= 3*len(r.servers) || number == 2 {
		r.reset(a)
	}
}

func (r *overloadRun) reset(a *attempt) { r.after(roundTrip/2, func() { r.retry(a) }) }

// openFlow lets the target acknowledge the SYN of a flow, and the caller send the request.
func (r *overloadRun) openFlow(a *attempt) {
	a.open = true
	a.target.gate.FromTarget(a.key, &flow.Packet{Syn: true, AckFlag: true}, r.now)
	r.after(roundTrip, func() { r.deliver(a) })
}

func (r *overloadRun) deliver(a *attempt) {
	left := a.request.sent + a.request.kind.deadline - a.sent
	_, action := a.target.gate.FromCaller(a.key, &flow.Packet{
		Seq: uint32(1 + 100*a.number), AckFlag: true, DataLen: 100, Ack: 1 + uint32(500*a.number), Budget: left,
	}, flow.Endpoint{}, r.now)
	if action == ActionStartRequest {
		r.serve(a)
	}
}

func (r *overloadRun) serve(a *attempt) {
	if a.serving {
		return
	}
	a.serving = true
	a.request.started++
	if a.request.attempts > 1 {
		a.request.retries++
	}
	work := a.request.kind.work.Seconds() * (0.5 + 0.5*r.rng.ExpFloat64())
	if r.rng.Float64() < r.longShare {
		work *= 7
	}
	duration := time.Duration(work / r.speed(a.target.index, r.now) * float64(time.Second))
	r.after(duration, func() { r.answer(a) })
}

func (r *overloadRun) answer(a *attempt) {
	s := a.target
	s.gate.FromTarget(a.key, &flow.Packet{AckFlag: true, Seq: 1 + uint32(500*a.number), DataLen: 500}, r.now)
	a.over = true
	r.after(roundTrip/2, func() { r.finish(a.request, true) })
	if a.request.kind.openFlows > 0 {
		s.opened = append(s.opened, a.key)
	}
	r.release(s)
}

func (r *overloadRun) release(s *server) {
	for {
		key, ok := s.gate.NextRequest(r.now)
		if !ok {
			break
		}
		r.serve(r.flows[key])
	}
	for {
		key, ok := s.gate.NextFlow(r.now)
		if !ok {
			return
		}
		r.openFlow(r.flows[key])
	}
}

// outcomes counts how requests ended.
type outcomes struct {
	asked, inTime, late, refused, failed int
	slowRefusals                         int           // refused after more than 20 ms
	firstAttempts                        int           // answered at their first attempt
	slowestRefusal                       time.Duration // longest time after which a refused request's caller knew
	work                                 time.Duration // of the requests that were answered in time
	retries                              int           // attempts that a target got after the first of their request
}

func count(requests []*simRequest, match func(*simRequest) bool) outcomes {
	var o outcomes
	for _, q := range requests {
		if !match(q) {
			continue
		}
		o.asked++
		switch {
		case q.answered != 0 && q.answered-q.sent <= q.kind.objective:
			o.inTime++
			o.work += q.kind.work
		case q.answered != 0:
			o.late++
		case q.ended != 0 && q.ended-q.sent < q.kind.deadline:
			o.refused++
			o.slowestRefusal = max(o.slowestRefusal, q.ended-q.sent)
			if q.ended-q.sent > 20*ms {
				o.slowRefusals++
			}
		default:
			o.failed++
		}
		o.retries += q.retries
		if q.answered != 0 && q.attempts == 1 {
			o.firstAttempts++
		}
	}
	return o
}

// numberedKey returns the key of a flow of one caller.
func numberedKey(n int) flow.Key {
	return flow.Key{
		Caller:  flow.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: uint16(n)},
		Service: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

package targetgate

import (
	"container/heap"
	"math/rand/v2"
	"time"

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
	roundTrip  time.Duration // between callers and targets
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

// runStart is when the load of a run begins.
const runStart = 10 * time.Second

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
		s.load = s.gate.Load() + s.gate.Waiting()
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

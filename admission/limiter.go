package admission

import (
	"container/heap"
	"container/list"
	"context"
	"sync"
	"time"
)

// Limiter owns the slots and the connections of one target.
type Limiter struct {
	mu          sync.Mutex
	config      Config
	limit       limit
	inProgress  int
	connections int
	waiting     queue
	sequence    uint64
	unanswered  *list.List // of *Permit, the oldest first
}

// New returns a limiter for a target in a cold start.
func New(config Config) *Limiter {
	l := &Limiter{unanswered: list.New()}
	l.config = config.bounded()
	l.limit = newLimit(l.config.Slots, time.Now())
	return l
}

// bounded returns the limits with at least one slot and one connection.
func (c Config) bounded() Config {
	c.Slots = max(c.Slots, 1)
	c.Connections = max(c.Connections, 1)
	return c
}

// Permit is the right to run one request at the target. Done must be called once.
type Permit struct {
	limiter *Limiter
	started time.Time
	element *list.Element // in unanswered, nil once answered
	done    bool
}

// Acquire waits for a slot. It returns a *Refusal when the work must not run. A zero deadline means none.
func (l *Limiter) Acquire(ctx context.Context, deadline time.Time) (*Permit, error) {
	l.mu.Lock()
	now := time.Now()
	l.noteAges(now)
	if refusal := l.checkDeadline(deadline, now, l.expectedService()); refusal != nil {
		l.mu.Unlock()
		return nil, refusal
	}
	if len(l.waiting) == 0 && l.hasSlot(now) {
		permit := l.admit(now)
		l.mu.Unlock()
		return permit, nil
	}
	l.limit.noteDemand()
	w, refusal := l.enqueue(deadline, now)
	l.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return l.wait(ctx, w, now)
}

// hasSlot reports whether one more request may run now. While the last answer is too old to say how the target is now, or
// came so late that the target may have turned cold, one request at a time asks it.
func (l *Limiter) hasSlot(now time.Time) bool {
	if l.inProgress >= l.limit.current {
		return false
	}
	return l.unanswered.Len() < coldLimit || (l.limit.fresh(now) && !l.limit.times.suspect)
}

// expectedService returns the time that new work needs at the target. An idle target is asked whatever its last service
// time was; otherwise one very slow answer would refuse all later work.
func (l *Limiter) expectedService() time.Duration {
	if l.inProgress == 0 {
		return 0
	}
	return l.limit.serviceTime()
}

// checkDeadline refuses work that needs longer than it has.
func (l *Limiter) checkDeadline(deadline, now time.Time, need time.Duration) *Refusal {
	if !deadline.IsZero() && !now.Add(need).Before(deadline) {
		return &Refusal{Reason: ReasonDeadline}
	}
	return nil
}

// admit takes a slot. The caller holds the lock.
func (l *Limiter) admit(now time.Time) *Permit {
	l.inProgress++
	l.limit.noteUse(l.inProgress)
	permit := &Permit{limiter: l, started: now}
	permit.element = l.unanswered.PushBack(permit)
	return permit
}

// enqueue adds a waiter. A full queue drops the work that would be served last.
func (l *Limiter) enqueue(deadline, now time.Time) (*waiter, *Refusal) {
	if l.config.Queue <= 0 {
		return nil, &Refusal{Reason: ReasonQueueFull}
	}
	l.sequence++
	w := &waiter{deadline: deadline, sequence: l.sequence, index: -1, grant: make(chan grant, 1)}
	if refusal := l.checkDeadline(deadline, now, l.expectedNeed(w)); refusal != nil {
		return nil, refusal
	}
	if len(l.waiting) >= queuedPerSlot*l.config.Slots {
		last := l.waiting.last()
		if !w.before(last) {
			return nil, &Refusal{Reason: ReasonQueueFull}
		}
		l.waiting.remove(last)
		last.grant <- grant{refusal: &Refusal{Reason: ReasonQueueFull}}
	}
	heap.Push(&l.waiting, w)
	return w, nil
}

// expectedNeed estimates the wait and the service time of a new waiter.
func (l *Limiter) expectedNeed(w *waiter) time.Duration {
	service := l.expectedService()
	rounds := l.waiting.ahead(w) / l.limit.current
	return service * time.Duration(rounds+1)
}

// wait blocks until w is granted, the queue time passes or the context ends.
func (l *Limiter) wait(ctx context.Context, w *waiter, since time.Time) (*Permit, error) {
	longest := l.queueTime()
	reason := ReasonQueueTime
	if left := w.deadline.Sub(since); !w.deadline.IsZero() && left < longest {
		longest = left
		reason = ReasonDeadline
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g.unpack()
	case <-timer.C:
	case <-ctx.Done():
		reason = ReasonCanceled
	}
	return l.leave(w, reason)
}

func (l *Limiter) queueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config.Queue
}

// leave takes w out of the queue. When a permit was granted at the same moment, it wins.
func (l *Limiter) leave(w *waiter, reason Reason) (*Permit, error) {
	l.mu.Lock()
	queued := l.waiting.remove(w)
	l.mu.Unlock()
	if queued {
		return nil, &Refusal{Reason: reason}
	}
	g := <-w.grant
	if g.permit != nil && reason == ReasonCanceled {
		g.permit.Done(Canceled)
		return nil, &Refusal{Reason: reason}
	}
	return g.unpack()
}

func (g grant) unpack() (*Permit, error) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	return g.permit, nil
}

// dispatch grants free slots to the waiters with the earliest deadlines. The caller holds the lock.
func (l *Limiter) dispatch(now time.Time) {
	for len(l.waiting) > 0 && l.hasSlot(now) {
		w := heap.Pop(&l.waiting).(*waiter)
		if refusal := l.checkDeadline(w.deadline, now, l.expectedService()); refusal != nil {
			w.grant <- grant{refusal: refusal}
			continue
		}
		w.grant <- grant{permit: l.admit(now)}
	}
}

// Answered notes that the target's response header arrived. The time until then is the service time: a long view or
// download keeps its slot, but its length says nothing about the load of the target.
func (p *Permit) Answered() {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteAnswer(p, time.Now())
	l.dispatch(time.Now())
}

// noteAnswer records the service time of a permit once.
func (l *Limiter) noteAnswer(p *Permit, now time.Time) {
	if p.element == nil {
		return
	}
	l.unanswered.Remove(p.element)
	p.element = nil
	l.limit.observe(now.Sub(p.started), now)
}

// Done returns the slot. The result is evidence about the target.
func (p *Permit) Done(result Result) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	now := time.Now()
	running := l.inProgress
	l.inProgress--
	l.judge(p, result, running, now)
	l.noteAges(now)
	l.dispatch(now)
}

// judge adjusts the limit to the result of one request.
func (l *Limiter) judge(p *Permit, result Result, running int, now time.Time) {
	switch result {
	case Completed:
		l.noteAnswer(p, now)
	case Refused:
		l.limit.refused(running, p.started, now)
	case Reset:
		l.limit.turnCold(whyReset, now)
	case TimedOut:
		if p.element != nil {
			l.limit.turnCold(whyTimeout, now)
		}
	case Canceled:
	}
	if p.element != nil {
		l.unanswered.Remove(p.element)
		p.element = nil
	}
}

// agedRequests is how many requests must wait unusually long to be evidence. One alone is a slow request.
const agedRequests = 2

// noteAges takes requests that already wait much longer than usual as evidence, before they end.
func (l *Limiter) noteAges(now time.Time) {
	element := l.unanswered.Front()
	for range agedRequests - 1 {
		if element == nil {
			return
		}
		element = element.Next()
	}
	if element != nil {
		l.limit.noteAge(now.Sub(element.Value.(*Permit).started), now)
	}
}

// TurnCold cuts the limit to 1, for example when the target's identity changed. Running requests go on.
func (l *Limiter) TurnCold(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.turnCold(reason, time.Now())
}

// SetPeerReference tells the usual service time of the warm targets of the same service, zero when unknown. A new target
// that is as fast grows at once; one that is much slower is cold, even if its service time does not change.
func (l *Limiter) SetPeerReference(reference time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.peers = reference
}

// SetLimits replaces the stated limits. The adaptive limit stays where it is unless it exceeds the slots.
func (l *Limiter) SetLimits(config Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config = config.bounded()
	l.limit.setSlots(l.config.Slots)
	l.dispatch(time.Now())
}

// AcquireConnection takes a connection and reports whether one was free.
func (l *Limiter) AcquireConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections >= l.mostConnections() {
		return false
	}
	l.connections++
	return true
}

// mostConnections scales the stated connections with the limit, so that a cold target does not collect callers whose
// requests it must refuse.
func (l *Limiter) mostConnections() int {
	return max(1, l.config.Connections*l.limit.current/l.config.Slots)
}

// ReleaseConnection returns a connection.
func (l *Limiter) ReleaseConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = max(0, l.connections-1)
}

// Snapshot returns the state at this moment.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{
		Slots:       l.config.Slots,
		Limit:       l.limit.current,
		InProgress:  l.inProgress,
		Queued:      len(l.waiting),
		Connections: l.connections,
		MostConns:   l.mostConnections(),
		ServiceTime: l.limit.serviceTime(),
		Reference:   l.limit.ownReference(),
		Reason:      l.limit.explain(),
	}
}

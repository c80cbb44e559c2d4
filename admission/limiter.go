package admission

import (
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

// MarkCold cuts the limit to 1, for example when the target's identity changed. Running requests go on.
func (l *Limiter) MarkCold(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.turnCold(reason, time.Now())
}

// SetPeerServiceTime tells the usual service time of the warm targets of the same service, zero when unknown. A new target
// that is as fast grows at once; one that is much slower is cold, even if its service time does not change.
func (l *Limiter) SetPeerServiceTime(reference time.Duration) {
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
		Slots:          l.config.Slots,
		Limit:          l.limit.current,
		InProgress:     l.inProgress,
		Queued:         len(l.waiting),
		Connections:    l.connections,
		MaxConnections: l.mostConnections(),
		ServiceTime:    l.limit.serviceTime(),
		Reference:      l.limit.ownReference(),
		Reason:         l.limit.explain(),
	}
}

package admission

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// Limiter limits the concurrent requests and the caller connections of one target.
type Limiter struct {
	mu             sync.Mutex
	config         Config
	limit          limit
	inProgress     int
	connections    int
	waiting        queue
	sequence       uint64
	awaitingHeader *list.List // of *Permit without a response header, oldest first
}

// New returns a limiter for a target that is assumed to be cold.
func New(config Config) *Limiter {
	l := &Limiter{awaitingHeader: list.New()}
	l.config = config.normalized()
	l.limit = newLimit(l.config.Slots, time.Now())
	return l
}

// normalized returns the configuration with at least one slot and one connection.
func (c Config) normalized() Config {
	c.Slots = max(c.Slots, 1)
	c.Connections = max(c.Connections, 1)
	return c
}

// Acquire waits for a slot. It returns a *Refusal if the request must not run. A zero deadline means no deadline.
func (l *Limiter) Acquire(ctx context.Context, deadline time.Time) (*Permit, error) {
	l.mu.Lock()
	now := time.Now()
	l.noteRequestAges(now)
	if refusal := l.checkDeadline(deadline, now, l.expectedServiceTime()); refusal != nil {
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

// hasSlot reports whether one more request may run now. Only one request at a time may await its response
// header while the last response is older than freshPeriod, or was so slow that the target may have become
// cold.
func (l *Limiter) hasSlot(now time.Time) bool {
	if l.inProgress >= l.limit.current {
		return false
	}
	return l.awaitingHeader.Len() < coldLimit || (l.limit.fresh(now) && !l.limit.serviceTimes.suspect)
}

// expectedServiceTime returns the expected service time of a new request. It is zero for an idle target;
// otherwise one very slow response would cause all later requests to be refused.
func (l *Limiter) expectedServiceTime() time.Duration {
	if l.inProgress == 0 {
		return 0
	}
	return l.limit.serviceTime()
}

// checkDeadline returns a refusal if a request that takes the required time cannot end before its deadline.
func (l *Limiter) checkDeadline(deadline, now time.Time, required time.Duration) *Refusal {
	if !deadline.IsZero() && !now.Add(required).Before(deadline) {
		return &Refusal{Reason: ReasonDeadline}
	}
	return nil
}

// admit takes a slot. The caller must hold l.mu.
func (l *Limiter) admit(now time.Time) *Permit {
	l.inProgress++
	l.limit.noteUse(l.inProgress)
	permit := &Permit{limiter: l, started: now}
	permit.element = l.awaitingHeader.PushBack(permit)
	return permit
}

// minAgedRequests is how many requests must be overdue before their age is evidence of a cold target. One alone
// may be a slow request.
const minAgedRequests = 2

// noteRequestAges checks the age of the requests without a response, so that a cold target is detected before
// they end.
func (l *Limiter) noteRequestAges(now time.Time) {
	element := l.awaitingHeader.Front()
	for range minAgedRequests - 1 {
		if element == nil {
			return
		}
		element = element.Next()
	}
	if element != nil {
		l.limit.noteRequestAge(now.Sub(element.Value.(*Permit).started), now)
	}
}

// MarkCold reduces the limit to 1, for example after the identity of the target changed. Requests in progress
// continue.
func (l *Limiter) MarkCold(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.markCold(reason, time.Now())
}

// SetPeerServiceTime sets the typical service time of the warm targets of the same service, zero if unknown.
// The limit of a new target that is as fast grows without delay; a much slower target counts as cold, even if
// its service time is constant.
func (l *Limiter) SetPeerServiceTime(serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.peerServiceTime = serviceTime
}

// SetLimits replaces the configured limits. The adaptive limit does not change unless it exceeds the new slots.
func (l *Limiter) SetLimits(config Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config = config.normalized()
	l.limit.setSlots(l.config.Slots)
	l.dispatch(time.Now())
}

// AcquireConnection counts a new caller connection and reports whether the connection limit allowed it.
func (l *Limiter) AcquireConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections >= l.maxConnections() {
		return false
	}
	l.connections++
	return true
}

// maxConnections returns the configured connections scaled by the ratio of the limit to the slots, so that a
// cold target does not accumulate callers whose requests it must refuse.
func (l *Limiter) maxConnections() int {
	return max(1, l.config.Connections*l.limit.current/l.config.Slots)
}

// ReleaseConnection releases a connection that AcquireConnection counted.
func (l *Limiter) ReleaseConnection() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = max(0, l.connections-1)
}

// Snapshot returns the current state.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Snapshot{
		Slots:          l.config.Slots,
		Limit:          l.limit.current,
		InProgress:     l.inProgress,
		Queued:         len(l.waiting),
		Connections:    l.connections,
		MaxConnections: l.maxConnections(),
		ServiceTime:    l.limit.serviceTime(),
		Reference:      l.limit.reference(),
		Reason:         l.limit.limitReason(),
	}
}

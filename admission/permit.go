package admission

import (
	"container/list"
	"time"
)

// Permit allows one request to run at the target. The holder must call Done when the request ends.
type Permit struct {
	limiter *Limiter
	started time.Time
	element *list.Element // in Limiter.awaitingHeader, nil after the response header
	done    bool
}

// HeaderReceived records that the response header of the target has arrived. The service time ends here: a long
// stream or download keeps its slot, but its duration is no measure of the target's load.
func (p *Permit) HeaderReceived() {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordServiceTime(p, time.Now())
	l.dispatch(time.Now())
}

// recordServiceTime records the service time of a permit. Further calls have no effect.
func (l *Limiter) recordServiceTime(p *Permit, now time.Time) {
	if p.element == nil {
		return
	}
	l.awaitingHeader.Remove(p.element)
	p.element = nil
	l.limit.observe(now.Sub(p.started), now)
}

// Done releases the slot and adjusts the limit to the result. Further calls have no effect.
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
	l.applyResult(p, result, running, now)
	l.noteRequestAges(now)
	l.dispatch(now)
}

// applyResult adjusts the limit to the result of one request. running is the number of requests in progress,
// including this one.
func (l *Limiter) applyResult(p *Permit, result Result, running int, now time.Time) {
	switch result {
	case Completed:
		l.recordServiceTime(p, now)
	case Refused:
		l.limit.noteRefusal(running, p.started, now)
	case Reset:
		l.limit.markCold(limitReasonReset, now)
	case TimedOut:
		if p.element != nil {
			l.limit.markCold(limitReasonTimeout, now)
		}
	case Canceled:
	}
	if p.element != nil {
		l.awaitingHeader.Remove(p.element)
		p.element = nil
	}
}

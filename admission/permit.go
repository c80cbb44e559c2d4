package admission

import (
	"container/list"
	"time"
)

// Permit is the right to run one request at the target. Done must be called once.
type Permit struct {
	limiter *Limiter
	started time.Time
	element *list.Element // in unanswered, nil once answered
	done    bool
}

// HeaderReceived notes that the target's response header arrived. The time until then is the service time: a long view or
// download keeps its slot, but its length says nothing about the load of the target.
func (p *Permit) HeaderReceived() {
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

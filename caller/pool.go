package caller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Limits and intervals of the pool.
const (
	// DefaultFlows is the number of flows that a caller keeps open.
	DefaultFlows = 3
	// maxExtraFlows is the number of further flows that may be open while a retry needs another target.
	maxExtraFlows = 2
	// maxDials limits the concurrent connection attempts.
	maxDials = 2
	// maxDialFailures is the number of failed connection attempts after which a request without a flow fails.
	maxDialFailures = 4
	// secondDialDelay is the time after which a second connection attempt starts. A balancer avoids a target that
	// does not respond to a probe within 300 ms, so that the second attempt reaches another target.
	secondDialDelay = 400 * time.Millisecond
	// failingReplaceInterval is the minimum time between replacements of failing flows.
	failingReplaceInterval = 500 * time.Millisecond
	// minDuplicateReplaceInterval is the initial minimum time between replacements of flows to the same target. It
	// doubles with each replacement, since all flows reach the same target if the service has only one.
	minDuplicateReplaceInterval = 5 * time.Second
)

// pool manages the flows of a caller.
type pool struct {
	dial     dialer
	maxFlows int
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu                       sync.Mutex
	flows                    []*flow
	dialsInProgress          int
	changed                  chan struct{} // closed and renewed when a flow opens or closes, or a dial fails
	dialFailures             int           // failed dials since the pool was created
	lastDialErr              error
	failingReplaced          time.Time     // time of the last replacement of a failing flow
	duplicateReplaced        time.Time     // time of the last replacement of a duplicate flow
	duplicateReplaceInterval time.Duration // minimum time until the next replacement of a duplicate flow
	closed                   bool
}

func newPool(dial dialer, maxFlows int) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &pool{
		dial:                     dial,
		maxFlows:                 maxFlows,
		ctx:                      ctx,
		cancel:                   cancel,
		changed:                  make(chan struct{}),
		duplicateReplaceInterval: minDuplicateReplaceInterval,
	}
}

// acquireFlow returns a flow for one request, if possible to a target that is not in tried. The flow must be
// released after the request.
func (p *pool) acquireFlow(ctx context.Context, tried map[string]bool) (*flow, error) {
	failuresBefore := p.dialFailureCount()
	secondDial := time.NewTicker(secondDialDelay)
	defer secondDial.Stop()
	dialLimit := 1
	for {
		f, changed, err := p.tryAcquire(tried, failuresBefore, dialLimit)
		if f != nil || err != nil {
			return f, err
		}
		select {
		case <-changed:
		case <-secondDial.C:
			dialLimit = maxDials
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (p *pool) dialFailureCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialFailures
}

// tryAcquire returns the least loaded flow, or a channel that is closed when a new attempt may succeed.
// dialLimit limits the concurrent connection attempts.
func (p *pool) tryAcquire(tried map[string]bool, failuresBefore, dialLimit int) (*flow, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	now := time.Now()
	p.prune()
	newFailures := p.dialFailures - failuresBefore
	best, busy := p.leastLoaded(tried, now)
	full := p.usableFlows(now) >= p.maxFlows+maxExtraFlows
	if best == nil && (full || newFailures > 0) {
		best, _ = p.leastLoaded(nil, now)
	}
	if best != nil {
		best.acquire()
		if busy && len(p.flows)+p.dialsInProgress < p.maxFlows {
			p.openFlow()
		}
		return best, nil, nil
	}
	if newFailures >= maxDialFailures {
		return nil, nil, p.lastDialErr
	}
	if p.dialsInProgress < dialLimit && !full {
		p.openFlow()
	}
	return nil, p.changed, nil
}

func (p *pool) usableFlows(now time.Time) int {
	n := 0
	for _, f := range p.flows {
		if f.usable(now) {
			n++
		}
	}
	return n
}

// leastLoaded returns the usable flow whose target has the lowest score, and whether that score is above zero.
// It skips the targets in tried.
func (p *pool) leastLoaded(tried map[string]bool, now time.Time) (*flow, bool) {
	var best *flow
	var lowestScore float64
	for _, i := range rand.Perm(len(p.flows)) {
		f := p.flows[i]
		if !f.usable(now) || tried[f.targetName()] {
			continue
		}
		score := f.score(now)
		if best == nil || score < lowestScore {
			best, lowestScore = f, score
		}
	}
	return best, lowestScore > 0
}

// prune removes flows that are closed or retired, and retires one idle flow if there are more than maxFlows.
func (p *pool) prune() {
	p.flows = slices.DeleteFunc(p.flows, func(f *flow) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.retired || f.session.context().Err() != nil
	})
	if len(p.flows) <= p.maxFlows {
		return
	}
	for i, f := range p.flows {
		if f.idle() {
			p.flows = slices.Delete(p.flows, i, i+1)
			p.tasks.Go(f.retire)
			return
		}
	}
}

// openFlow opens a flow in the background. p.mu must be held.
func (p *pool) openFlow() {
	p.dialsInProgress++
	p.tasks.Go(func() {
		s, err := p.dial(p.ctx)
		p.mu.Lock()
		p.dialsInProgress--
		if err != nil {
			p.dialFailures++
			p.lastDialErr = err
			p.notifyWaitersLocked()
			p.mu.Unlock()
			return
		}
		f := &flow{session: s}
		p.flows = append(p.flows, f)
		p.notifyWaitersLocked()
		p.mu.Unlock()
		f.monitor(p.ctx)
		p.notifyWaiters()
	})
}

// notifyWaitersLocked wakes all goroutines that wait for a flow. p.mu must be held.
func (p *pool) notifyWaitersLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) notifyWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyWaitersLocked()
}

// replaceIfNeeded replaces f if its requests fail, or if another flow reaches the same target.
func (p *pool) replaceIfNeeded(f *flow, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
	case f.failing() && now.Sub(p.failingReplaced) >= failingReplaceInterval:
		p.failingReplaced = now
		p.replace(f)
	case p.isDuplicate(f) && now.Sub(p.duplicateReplaced) >= p.duplicateReplaceInterval:
		p.duplicateReplaced = now
		p.duplicateReplaceInterval *= 2
		p.replace(f)
	}
}

// isDuplicate reports whether another flow reaches the target of f.
func (p *pool) isDuplicate(f *flow) bool {
	target := f.targetName()
	return target != "" && slices.ContainsFunc(p.flows, func(other *flow) bool {
		return other != f && other.targetName() == target
	})
}

// replace removes f from the pool and retires it. A new flow is opened when a request needs it.
func (p *pool) replace(f *flow) {
	p.flows = slices.DeleteFunc(p.flows, func(other *flow) bool { return other == f })
	p.tasks.Go(f.retire)
}

// close closes all flows and waits for their goroutines.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.notifyWaitersLocked()
	p.mu.Unlock()
	p.cancel()
	p.tasks.Wait()
}

package forward

import (
	"bytes"
	"time"

	"github.com/cowslipward/cowslipward/dispatch"
	"github.com/cowslipward/cowslipward/flow"
)

const (
	// searchRetryDelay is how long a search may take before it is retried. It exceeds the time in which
	// responses to a search are accepted.
	searchRetryDelay = dispatch.SearchTimeout + 10*time.Millisecond
	// maxSearchRetries is how often a balancer retries a search on its own. The last search has a separate
	// path for each target.
	maxSearchRetries = 2
	// searchRetriesPerSecond bounds the searches that a balancer retries. If far more do not end, such as
	// after a power failure, retries would use the bandwidth needed for requests that can be served; callers
	// retransmit their packets later.
	searchRetriesPerSecond = 20
	// maxBufferedSearches bounds the packets that are buffered for retries.
	maxBufferedSearches = 1024
)

// bufferedSearch is a packet whose flow is being searched for.
type bufferedSearch struct {
	packet      []byte
	startedAt   time.Duration // start of the search
	retriesLeft int
}

// searchBuffer holds the packets of searches that have not ended, so that the balancer can retry them or ask further
// targets. If a target on a search path does not respond, the caller retransmits the packet, but routers may send that to
// another balancer, whose search starts from the beginning.
type searchBuffer struct {
	flows      map[flow.Key]bufferedSearch
	timerArmed bool // the timer is running, or the balancer is closed
}

func (s *searchBuffer) add(key flow.Key, packet []byte, retries int, now time.Duration) {
	if s.flows == nil {
		s.flows = make(map[flow.Key]bufferedSearch)
	}
	if len(s.flows) < maxBufferedSearches {
		s.flows[key] = bufferedSearch{packet: bytes.Clone(packet), startedAt: now, retriesLeft: retries}
	}
}

func (s *searchBuffer) remove(key flow.Key) { delete(s.flows, key) }

// takeUnfinished removes the searches that did not end within searchRetryDelay and returns those that may be
// retried.
func (s *searchBuffer) takeUnfinished(now time.Duration) []bufferedSearch {
	var list []bufferedSearch
	for key, search := range s.flows {
		if now-search.startedAt < searchRetryDelay {
			continue
		}
		delete(s.flows, key)
		if search.retriesLeft > 0 {
			list = append(list, search)
		}
	}
	return list
}

// bufferSearch buffers a packet whose search starts.
func (b *Balancer) bufferSearch(key flow.Key, packet []byte, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searches.add(key, packet, retries, b.clock.now())
	b.armSearchTimer()
}

// armSearchTimer schedules the next check for unfinished searches, if there are any searches. b.mu must be
// held.
func (b *Balancer) armSearchTimer() {
	if b.searches.timerArmed || len(b.searches.flows) == 0 {
		return
	}
	b.searches.timerArmed = true
	time.AfterFunc(searchRetryDelay/2, b.retrySearches)
}

// retrySearches retries the searches that did not end.
func (b *Balancer) retrySearches() {
	b.mu.Lock()
	list := b.searches.takeUnfinished(b.clock.now())
	b.searches.timerArmed = false
	b.armSearchTimer()
	b.mu.Unlock()
	b.retryMu.Lock()
	defer b.retryMu.Unlock()
	for _, search := range list {
		if !b.searchRetryLimiter.Allow() {
			searchesAbandoned.Inc()
			continue
		}
		b.retryDecision(b.retryOutboxes, search.packet, 0, search.retriesLeft-1)
	}
	b.retryOutboxes.flush()
}

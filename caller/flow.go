package caller

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a flow.
const (
	// maxTicketsPerFlow limits the cached tickets; the oldest is evicted.
	maxTicketsPerFlow = 8
	// maxTicketAge is half of the ticket lifetime of the agents, since a caller cannot read the expiry from a ticket.
	maxTicketAge = time.Minute
	// maxLoadAge is how long a reported load is considered current.
	maxLoadAge = 5 * time.Second
	// minPenalty is how long a flow is avoided after its target fails a request. It doubles with each further
	// failure, up to maxPenalty. Without a penalty, a target that fails requests immediately would look less loaded
	// than a healthy one.
	minPenalty = time.Second
	maxPenalty = 10 * time.Second
	// failingThreshold is the number of consecutive failures after which a flow is replaced, since a new flow probably
	// reaches another target.
	failingThreshold = 3
	// avoidedTargetScore is higher than any load, so that an avoided target ranks last.
	avoidedTargetScore = 1000
	// maxActive limits the requests in progress on a flow. It is below the 64 streams that agents allow on a
	// connection, so that requests do not wait for a stream.
	maxActive = 60
)

// flow is a session with the state of its target as seen by the caller.
type flow struct {
	session session

	mu                  sync.Mutex
	target              string // VM name; empty until the first response
	load                float64
	loadReceived        time.Time
	limit               int
	tickets             []cachedTicket
	active              int                           // requests in progress, including their response bodies
	pending             map[*pendingExchange]struct{} // exchanges that wait for the response header
	retired             bool                          // receives no new requests
	penalty             time.Duration                 // the last penalty; 0 after a response
	consecutiveFailures int                           // failed requests since the last response
	avoidUntil          time.Time                     // end of the current penalty
}

// pendingExchange is an exchange that waits for the response header.
type pendingExchange struct {
	sent   time.Time
	cancel context.CancelCauseFunc
}

type cachedTicket struct {
	text     string
	received time.Time
}

// usable reports whether the flow may carry a new request.
func (f *flow) usable(now time.Time) bool {
	if f.session.context().Err() != nil || now.Sub(f.session.lastReceived()) > suspectTimeout {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.retired && f.active < maxActive
}

// registerExchange registers an exchange, so that monitor cancels it if the flow becomes unresponsive. The returned
// function unregisters it.
func (f *flow) registerExchange(cancel context.CancelCauseFunc) func() {
	exchange := &pendingExchange{sent: time.Now(), cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		f.pending = make(map[*pendingExchange]struct{})
	}
	f.pending[exchange] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pending, exchange)
	}
}

// cancelUnresponsive cancels the exchanges since whose start no packet was received, not even an acknowledgment,
// and all exchanges if nothing was received for suspectTimeout.
func (f *flow) cancelUnresponsive(now time.Time) {
	received := f.session.lastReceived()
	f.mu.Lock()
	defer f.mu.Unlock()
	for exchange := range f.pending {
		unacknowledged := received.Before(exchange.sent) && now.Sub(exchange.sent) > ackTimeout
		if unacknowledged || now.Sub(received) > suspectTimeout {
			exchange.cancel(errUnresponsive)
		}
	}
}

func (f *flow) targetName() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target
}

// score estimates the load of the target; lower is better. It is at least the load that the requests of this
// caller in progress cause, since the reported load may predate them.
func (f *flow) score(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	score := float64(f.active) / float64(max(f.limit, 1))
	if now.Before(f.avoidUntil) {
		score += avoidedTargetScore
	}
	if now.Sub(f.loadReceived) > maxLoadAge {
		return score
	}
	return max(f.load, score)
}

func (f *flow) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active == 0
}

func (f *flow) acquire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active++
}

// release ends a request that acquire counted. A retired flow is closed after its last request.
func (f *flow) release() {
	f.mu.Lock()
	f.active--
	idle := f.retired && f.active == 0
	f.mu.Unlock()
	if idle {
		f.session.close(errors.New("retired"))
	}
}

// retire excludes the flow from new requests. Requests in progress continue.
func (f *flow) retire() {
	f.mu.Lock()
	f.retired = true
	idle := f.active == 0
	f.mu.Unlock()
	if idle {
		f.session.close(errors.New("retired"))
	}
}

// recordOutcome applies a penalty if the target failed the request, or resets it after a response.
func (f *flow) recordOutcome(outcome Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch outcome {
	case Answered:
		f.penalty = 0
		f.consecutiveFailures = 0
	case NotRun, Unknown:
		f.consecutiveFailures++
		f.penalty = min(max(2*f.penalty, minPenalty), maxPenalty)
		f.avoidUntil = now.Add(f.penalty)
	}
}

// failing reports whether the last failingThreshold requests failed.
func (f *flow) failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.consecutiveFailures >= failingThreshold
}

// recordResponse stores the target name, its load and the next ticket from the response headers.
func (f *flow) recordResponse(a attemptResult, now time.Time) {
	if a.response == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.target != "" {
		f.target = a.target
	}
	if inProgress, limit, ok := parseLoad(a.response.Header.Get(headerLoad)); ok {
		f.load = float64(inProgress) / float64(limit)
		f.limit = limit
		f.loadReceived = now
	}
	if text := a.response.Header.Get(headerNextTicket); text != "" {
		f.addTicket(text, now)
	}
}

func (f *flow) addTicket(text string, now time.Time) {
	f.tickets = append(f.tickets, cachedTicket{text: text, received: now})
	if len(f.tickets) > maxTicketsPerFlow {
		f.tickets = f.tickets[1:]
	}
}

// takeTicket removes and returns the newest ticket, or returns an empty string if there is none younger than
// maxTicketAge.
func (f *flow) takeTicket(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tickets) == 0 {
		return ""
	}
	last := f.tickets[len(f.tickets)-1]
	if now.Sub(last.received) > maxTicketAge {
		f.tickets = nil
		return ""
	}
	f.tickets = f.tickets[:len(f.tickets)-1]
	return last.text
}

// parseLoad parses a load header of the form "IN_PROGRESS/LIMIT".
func parseLoad(text string) (inProgress, limit int, ok bool) {
	left, right, found := strings.Cut(text, "/")
	inProgress, err := strconv.Atoi(left)
	limit, limitErr := strconv.Atoi(right)
	ok = found && err == nil && limitErr == nil && inProgress >= 0 && limit > 0
	return inProgress, limit, ok
}

// monitor cancels unresponsive exchanges, closes the session if it is unresponsive or ctx is done, and returns
// when it is closed.
func (f *flow) monitor(ctx context.Context) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.session.close(errors.New("caller closed"))
			return
		case <-f.session.context().Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		f.cancelUnresponsive(now)
		if now.Sub(f.session.lastReceived()) > unresponsiveTimeout {
			f.session.close(errUnresponsive)
			return
		}
	}
}

// Package caller sends requests to a service over HTTP/3. It keeps a few flows that end at different targets, says what
// is known about each request, and retries only where that is safe and within a budget.
package caller

import (
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// Defaults of a caller.
const (
	DefaultDeadline = 10 * time.Second
	// maxAttempts bounds the attempts of one request, however large the budget is.
	maxAttempts = 6
	// maxTicketRounds is how many 428 answers a request follows. One is usual; a request that is refused elsewhere under
	// its ticket takes a new one with the next agent.
	maxTicketRounds = 4
	// retryPause is the longest pause before a retry. It is random, so that callers refused together do not come back
	// together.
	retryPause = 20 * time.Millisecond
)

var errClosed = errors.New("caller is closed")

// Config says which service a caller uses and how.
type Config struct {
	Address    netip.AddrPort // service address
	Local      netip.Addr     // source IP, optional
	TLS        *tls.Config    // trusts the callers' CA; ServerName defaults to the IP of Address
	Flows      int            // zero for DefaultFlows
	Deadline   time.Duration  // until the header of the answer, for requests whose context has no earlier one
	Repeatable []string       // methods that may run more than once; nil for GET and HEAD
	Budget     *Budget        // nil for RetryRatio and MinRetriesPerSecond
}

func (c Config) complete() Config {
	if c.TLS == nil {
		c.TLS = &tls.Config{MinVersion: tls.VersionTLS13}
	}
	if c.Flows <= 0 {
		c.Flows = DefaultFlows
	}
	if c.Deadline <= 0 {
		c.Deadline = DefaultDeadline
	}
	if c.Repeatable == nil {
		c.Repeatable = []string{http.MethodGet, http.MethodHead}
	}
	if c.Budget == nil {
		c.Budget = NewBudget(RetryRatio, MinRetriesPerSecond)
	}
	return c
}

// Caller owns the flows to one service and the retry budget.
type Caller struct {
	config Config
	pool   *pool
}

// New returns a caller. It opens flows when they are needed.
func New(config Config) *Caller {
	config = config.complete()
	return newCaller(config, newDialer(config))
}

func newCaller(config Config, dial dialer) *Caller {
	return &Caller{config: config, pool: newPool(dial, config.Flows)}
}

// Close ends all flows, with the requests on them.
func (c *Caller) Close() { c.pool.close() }

// Result is what came of a request.
type Result struct {
	Outcome  Outcome
	Response *http.Response // when Answered; its body must be closed and returns *Interrupted when it ends early
	Reason   string         // why it was not answered
	Target   string         // VM name of the last target that said something, empty when unknown
	Attempts int            // exchanges with an agent, the ones that only fetched a ticket included
	Err      error          // underlying error, if any
}

// Do sends a request and retries where it is safe. The deadline bounds the time until the header of the answer; the body
// then streams for as long as the context of the request lasts. A request with a body is retried only if GetBody is set.
func (c *Caller) Do(request *http.Request) *Result {
	c.config.Budget.RecordRequest()
	t := &try{
		caller:     c,
		request:    request,
		deadline:   time.Now().Add(c.config.Deadline),
		tried:      make(map[string]bool),
		repeatable: slices.Contains(c.config.Repeatable, request.Method),
	}
	if until, ok := request.Context().Deadline(); ok && until.Before(t.deadline) {
		t.deadline = until
	}
	return t.run()
}

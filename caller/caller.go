// Package caller is an HTTP/3 client for a service behind the balancers. A Caller maintains a small pool of
// connections (flows) to different targets, reports the outcome of each request, and retries only requests that
// are safe to repeat, within a retry budget.
package caller

import (
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// Defaults and limits of a Caller.
const (
	// DefaultDeadline is the deadline of a request if neither Config nor the context of the request sets an earlier
	// one.
	DefaultDeadline = 10 * time.Second
	// maxAttempts limits the attempts of one request, independent of the retry budget.
	maxAttempts = 6
	// maxTicketChallenges is the maximum number of 428 (Precondition Required) responses that a request acts on.
	// Usually there is one; a request whose ticket is refused gets a new ticket from the next agent.
	maxTicketChallenges = 4
	// maxRetryDelay limits the random delay before a retry. The jitter spreads the retries of callers that were
	// refused at the same time.
	maxRetryDelay = 20 * time.Millisecond
)

var errClosed = errors.New("caller is closed")

// Config configures a Caller.
type Config struct {
	Address    netip.AddrPort // address of the service
	Local      netip.Addr     // source IP; optional
	TLS        *tls.Config    // must trust the CA of the service certificates; ServerName defaults to the IP of Address
	Flows      int            // number of flows to keep open; 0: DefaultFlows
	Deadline   time.Duration  // longest wait for the response header; 0: DefaultDeadline
	Repeatable []string       // methods that may be executed more than once; nil: GET and HEAD
	Budget     *Budget        // retry budget; nil: RetryRatio and MinRetriesPerSecond
}

func (c Config) withDefaults() Config {
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

// Caller sends requests to one service. It owns the flows to the service and the retry budget.
type Caller struct {
	config Config
	pool   *pool
}

// New returns a Caller, which opens flows on demand.
func New(config Config) *Caller {
	config = config.withDefaults()
	return newCaller(config, newDialer(config))
}

func newCaller(config Config, dial dialer) *Caller {
	return &Caller{config: config, pool: newPool(dial, config.Flows)}
}

// Close closes all flows and aborts the requests in progress on them.
func (c *Caller) Close() { c.pool.close() }

// Result is the result of a request after all attempts.
type Result struct {
	Outcome  Outcome
	Response *http.Response // if Answered; its body must be closed and returns *Interrupted if it is cut off
	Reason   string         // why there is no response
	Target   string         // VM name of the target in the last attempt; empty if unknown
	Attempts int            // exchanges with agents, including those that only fetched a ticket
	Err      error          // underlying error, if any
}

// Do sends a request and retries it if that is safe. The deadline limits the time until the response header,
// unless the context of the request has an earlier one; the body may stream until that context ends. A request
// with a body is retried only if its GetBody is set.
func (c *Caller) Do(request *http.Request) *Result {
	c.config.Budget.RecordRequest()
	r := &retrier{
		caller:     c,
		request:    request,
		deadline:   time.Now().Add(c.config.Deadline),
		tried:      make(map[string]bool),
		repeatable: slices.Contains(c.config.Repeatable, request.Method),
	}
	if deadline, ok := request.Context().Deadline(); ok && deadline.Before(r.deadline) {
		r.deadline = deadline
	}
	return r.run()
}

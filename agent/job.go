package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cowslipward/cowslipward/agent/upstream"
	"github.com/cowslipward/cowslipward/rules"
)

// Errors of the check immediately before dispatch. The process may have been paused since the request was admitted.
var (
	errDeadlinePassed = errors.New(reasonDeadline)
	errTicketExpired  = errors.New(reasonTicketExpired)
	errUnconfirmed    = errors.New(reasonUnconfirmed)
	errDomainOut      = errors.New(reasonDomainOut)
	errPaused         = errors.New(reasonPaused)
	errWrongService   = errors.New(reasonWrongService)
)

// job is a request that the agent is processing.
type job struct {
	request      *http.Request
	url          *url.URL // as sent by the caller
	body         *sharedBody
	service      *rules.Service
	rules        *rules.Set // by which the request was validated
	deadline     time.Time
	ticketExpiry time.Time // zero without a ticket
	admittedAt   time.Time // when a slot was granted
	atMostOnce   bool      // the method is not repeatable
	fromPeer     bool      // handed off by a peer, must not be handed off again
	handoffTried bool      // a handoff to a peer was attempted

	unknownAtPeer *refusal // outcome at a peer that may have run the request, which rules out OutcomeNotRun
}

// newJob validates a request against the current rules.
func (a *Agent) newJob(r *http.Request) (*job, *refusal) {
	arrived := a.rules()
	if !a.awaitConfirmed(r.Context()) {
		return nil, notRun(reasonUnconfirmed)
	}
	set := a.rules()
	service := a.serviceIn(set)
	switch {
	case service == nil:
		return nil, notRun(reasonNoService)
	case arrived != set && a.isOtherService(service, arrived):
		return nil, notRun(reasonWrongService)
	}
	deadline, err := parseDeadline(r.Header, time.Now(), service.Deadline)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: reasonBadDeadline}
	}
	body := r.Body
	if body == nil {
		body = http.NoBody
	}
	return &job{
		request:    r,
		url:        r.URL,
		body:       &sharedBody{source: body},
		service:    service,
		rules:      set,
		deadline:   deadline,
		atMostOnce: !service.IsRepeatable(r.Method),
	}, nil
}

const (
	// confirmTimeout is how long a request waits for the view to be confirmed after a pause. The feed continues
	// with its last view after 2 s.
	confirmTimeout    = 2500 * time.Millisecond
	confirmPollPeriod = 5 * time.Millisecond
)

// awaitConfirmed waits for the view to be confirmed, and reports whether it was confirmed in time.
func (a *Agent) awaitConfirmed(ctx context.Context) bool {
	if a.config.Source.Confirmed() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	ticker := time.NewTicker(confirmPollPeriod)
	defer ticker.Stop()
	for !a.config.Source.Confirmed() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// checkDispatch returns an error if the request must not run any more. It is called immediately before the first
// byte is sent to the target.
func (a *Agent) checkDispatch(j *job) error {
	a.pause.Check()
	now := time.Now()
	paused := a.pausedAt.Load()
	switch {
	case !now.Before(j.deadline):
		return errDeadlinePassed
	case paused != nil && j.admittedAt.Before(*paused):
		return errPaused
	case !j.ticketExpiry.IsZero() && !now.Before(j.ticketExpiry):
		return errTicketExpired
	case !a.config.Source.Confirmed():
		return errUnconfirmed
	case a.lifecycle.current() == phaseDomainOut:
		return errDomainOut
	case !a.serves(j):
		return errWrongService
	}
	return nil
}

// isOtherService reports whether a set of rules gives this VM to another service.
func (a *Agent) isOtherService(service *rules.Service, set *rules.Set) bool {
	other := a.serviceIn(set)
	return other != nil && other.ID != service.ID
}

// serves reports whether the current rules give this VM to the service of the job. It searches the rules only if they have
// changed since the request was validated.
func (a *Agent) serves(j *job) bool {
	set := a.rules()
	if set == j.rules {
		return true
	}
	return a.serviceIn(set) != nil && !a.isOtherService(j.service, set)
}

// targetRequest returns the request to send to the target, with a body obtained from the job.
func (a *Agent) targetRequest(j *job, body io.ReadCloser) *http.Request {
	out := &http.Request{
		Method:        j.request.Method,
		URL:           a.upstream.URL(j.url),
		Host:          j.request.Host,
		Header:        make(http.Header, len(j.request.Header)+1),
		Body:          body,
		ContentLength: j.contentLength(),
	}
	upstream.CopyHeaders(out.Header, j.request.Header, headerPrefix)
	out.Header.Set(HeaderDeadline, formatTimeLeft(j.deadline, time.Now()))
	return out
}

// contentLength returns the length of the body, or -1 if the caller did not specify it.
func (j *job) contentLength() int64 {
	if j.request.ContentLength == 0 && j.body.source != http.NoBody {
		return -1
	}
	return j.request.ContentLength
}

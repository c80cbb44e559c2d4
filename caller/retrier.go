package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// retrier sends one request, with its retries.
type retrier struct {
	caller     *Caller
	request    *http.Request
	deadline   time.Time
	repeatable bool
	tried      map[string]bool
	ticket     string
	mayHaveRun bool // an earlier attempt may have been executed
	attempts   int
	challenges int // 428 responses whose ticket was accepted
	bodySent   bool
}

func (r *retrier) run() *Result {
	for {
		a := r.attempt()
		if r.acceptTicket(a) {
			continue
		}
		if a.outcome == Answered || !r.mayRetry(&a) {
			return r.result(a)
		}
		closeBody(a.response)
		r.prepareRetry(a)
	}
}

func (r *retrier) result(a attemptResult) *Result {
	if a.outcome != Answered {
		closeBody(a.response)
		a.response = nil
	}
	if a.outcome == NotRun && r.mayHaveRun {
		a.outcome = Unknown
	}
	return &Result{
		Outcome:  a.outcome,
		Response: a.response,
		Reason:   a.reason,
		Target:   a.target,
		Attempts: r.attempts,
		Err:      a.err,
	}
}

// closeBody closes the body of a response that is not returned, if there is one.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// acceptTicket adopts the ticket of a 428 response and reports whether the request must be sent again with it.
func (r *retrier) acceptTicket(a attemptResult) bool {
	if a.outcome != NotRun || a.response == nil || a.response.StatusCode != http.StatusPreconditionRequired {
		return false
	}
	ticket := a.response.Header.Get(headerTicket)
	if ticket == "" || r.challenges >= maxTicketChallenges || r.mayHaveRun || !r.rewindBody() {
		return false
	}
	r.challenges++
	r.ticket = ticket
	r.repeatable = false
	closeBody(a.response)
	return true
}

// mayRetry reports whether the request may be sent again. Unless nothing was sent, this takes a token from the
// retry budget. A request with a ticket is executed at most once however often it is sent, so it is retried
// after a lost connection, but not after an agent reported its outcome as unknown.
func (r *retrier) mayRetry(a *attemptResult) bool {
	retryable := false
	switch a.outcome {
	case NotRun:
		retryable = true
	case Unknown:
		retryable = r.repeatable || (r.ticket != "" && !a.reportedByAgent)
	case GivenUp:
		retryable = r.repeatable
	}
	if !retryable || a.permanent || r.attempts-r.challenges >= maxAttempts || !time.Now().Before(r.deadline) ||
		!r.rewindBody() {
		return false
	}
	if a.unsent {
		return true
	}
	if !r.caller.config.Budget.Take() {
		a.reason += "; " + ReasonBudgetExhausted
		return false
	}
	return true
}

// rewindBody makes the request body readable from its start for another attempt, and reports whether it could.
func (r *retrier) rewindBody() bool {
	if !r.bodySent {
		return true
	}
	if r.request.GetBody == nil {
		return false
	}
	body, err := r.request.GetBody()
	if err != nil {
		return false
	}
	r.request.Body = body
	r.bodySent = false
	return true
}

// prepareRetry updates the state for the next attempt and waits for a random delay.
func (r *retrier) prepareRetry(a attemptResult) {
	if a.target != "" {
		r.tried[a.target] = true
	}
	if a.outcome != NotRun {
		r.mayHaveRun = true
	}
	if !r.mayHaveRun {
		r.ticket = ""
	}
	delay := time.NewTimer(rand.N(maxRetryDelay))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-r.request.Context().Done():
	}
}

// attempt sends the request once.
func (r *retrier) attempt() attemptResult {
	ctx, cancel := context.WithCancelCause(r.request.Context())
	timer := time.AfterFunc(time.Until(r.deadline), func() { cancel(errDeadline) })
	f, err := r.caller.pool.acquireFlow(ctx, r.tried)
	if err != nil {
		timer.Stop()
		defer cancel(nil)
		return r.noFlowResult(ctx, err)
	}
	a := r.exchange(ctx, cancel, f)
	if !timer.Stop() && a.outcome == Answered && context.Cause(ctx) != nil {
		closeBody(a.response)
		return attemptResult{outcome: Unknown, reason: ReasonDeadline, err: errDeadline, target: a.target}
	}
	return a
}

// noFlowResult returns the result of an attempt for which no flow was available, so that nothing was sent.
func (r *retrier) noFlowResult(ctx context.Context, err error) attemptResult {
	r.attempts++
	a := classifyError(ctx, err, false)
	a.permanent = true
	if context.Cause(ctx) == nil {
		a.reason = ReasonNoFlow
	}
	return a
}

// exchange sends the request on a flow. The flow stays acquired until the response body is closed.
func (r *retrier) exchange(ctx context.Context, cancel context.CancelCauseFunc, f *flow) attemptResult {
	r.attempts++
	request := r.attemptRequest(ctx, f)
	unregister := f.registerExchange(cancel)
	response, sent, err := f.session.exchange(request)
	unregister()
	if err != nil {
		a := classifyError(ctx, err, sent)
		a.target = f.targetName()
		cancel(nil)
		f.recordOutcome(a.outcome, time.Now())
		if a.flowLost {
			f.retire()
		}
		f.release()
		return a
	}
	a := classifyResponse(response)
	now := time.Now()
	f.recordResponse(a, now)
	if response.StatusCode != http.StatusPreconditionRequired {
		f.recordOutcome(a.outcome, now)
	}
	r.caller.pool.replaceIfNeeded(f, now)
	response.Body = &body{ctx: ctx, cancel: cancel, flow: f, source: response.Body}
	return a
}

// attemptRequest returns a copy of the request with the protocol headers.
func (r *retrier) attemptRequest(ctx context.Context, f *flow) *http.Request {
	request := r.request.Clone(ctx)
	request.URL.Scheme = "https"
	if request.URL.Host == "" {
		request.URL.Host = r.caller.config.Address.String()
	}
	request.Header.Set(headerDeadline, strconv.FormatInt(max(0, time.Until(r.deadline).Milliseconds()), 10))
	if !r.repeatable {
		if r.ticket == "" {
			r.ticket = f.takeTicket(time.Now())
		}
		if r.ticket != "" {
			request.Header.Set(headerTicket, r.ticket)
		}
	}
	if request.Body != nil && request.Body != http.NoBody {
		r.bodySent = true
	}
	return request
}

// body is a response body that releases its flow when it is closed and returns *Interrupted if it is cut off.
type body struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	flow   *flow
	source io.ReadCloser
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	a := classifyError(b.ctx, b.flow.session.addCloseReason(err), true)
	if a.outcome == NotRun {
		a.outcome = Unknown
	}
	if a.flowLost {
		b.flow.retire()
	}
	return n, &Interrupted{Outcome: a.outcome, Reason: a.reason, Err: err}
}

// Close implements io.Closer. It may be called more than once.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.source.Close()
	b.cancel(nil)
	b.flow.release()
	return err
}

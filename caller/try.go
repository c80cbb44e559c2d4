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

// try is one request on its way through the attempts.
type try struct {
	caller     *Caller
	request    *http.Request
	deadline   time.Time
	repeatable bool
	tried      map[string]bool
	ticket     string
	ambiguous  bool // an earlier attempt with the ticket may have run
	attempts   int
	rounds     int // 428 answers
	bodyUsed   bool
}

func (t *try) run() *Result {
	for {
		a := t.attempt()
		if t.followTicket(a) {
			continue
		}
		if a.outcome == Answered || !t.mayRetry(&a) {
			return t.result(a)
		}
		discard(a.response)
		t.prepareRetry(a)
	}
}

func (t *try) result(a attempt) *Result {
	if a.outcome != Answered {
		discard(a.response)
		a.response = nil
	}
	if a.outcome == NotRun && t.ambiguous {
		a.outcome = Unknown
	}
	return &Result{
		Outcome:  a.outcome,
		Response: a.response,
		Reason:   a.reason,
		Target:   a.target,
		Attempts: t.attempts,
		Err:      a.err,
	}
}

// discard frees a response that nobody reads.
func discard(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// followTicket takes the ticket of a 428 answer and reports whether the request is to be sent again.
func (t *try) followTicket(a attempt) bool {
	if a.outcome != NotRun || a.response == nil || a.response.StatusCode != http.StatusPreconditionRequired {
		return false
	}
	ticket := a.response.Header.Get(headerTicket)
	if ticket == "" || t.rounds >= maxTicketRounds || t.ambiguous || !t.rewind() {
		return false
	}
	t.rounds++
	t.ticket = ticket
	t.repeatable = false
	discard(a.response)
	return true
}

// mayRetry reports whether the request may be sent again. A request under a ticket runs once however often it is sent,
// so it is sent again after a lost connection, but not after an agent said that its outcome is unknown.
func (t *try) mayRetry(a *attempt) bool {
	safe := false
	switch a.outcome {
	case NotRun:
		safe = true
	case Unknown:
		safe = t.repeatable || (t.ticket != "" && !a.explicit)
	case GivenUp:
		safe = t.repeatable
	}
	if !safe || a.final || t.attempts-t.rounds >= maxAttempts || !time.Now().Before(t.deadline) || !t.rewind() {
		return false
	}
	if a.unsent {
		return true
	}
	if !t.caller.config.Budget.Take() {
		a.reason += "; " + ReasonBudgetExhausted
		return false
	}
	return true
}

// rewind prepares the request body for another attempt.
func (t *try) rewind() bool {
	if !t.bodyUsed {
		return true
	}
	if t.request.GetBody == nil {
		return false
	}
	body, err := t.request.GetBody()
	if err != nil {
		return false
	}
	t.request.Body = body
	t.bodyUsed = false
	return true
}

// prepareRetry notes what the next attempt must know, and pauses for a moment.
func (t *try) prepareRetry(a attempt) {
	if a.target != "" {
		t.tried[a.target] = true
	}
	if a.outcome != NotRun {
		t.ambiguous = true
	}
	if !t.ambiguous {
		t.ticket = ""
	}
	pause := time.NewTimer(rand.N(retryPause))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-t.request.Context().Done():
	}
}

// attempt sends the request once.
func (t *try) attempt() attempt {
	ctx, cancel := context.WithCancelCause(t.request.Context())
	timer := time.AfterFunc(time.Until(t.deadline), func() { cancel(errDeadline) })
	f, err := t.caller.pool.take(ctx, t.tried)
	if err != nil {
		timer.Stop()
		defer cancel(nil)
		return t.noFlow(ctx, err)
	}
	a := t.exchange(ctx, cancel, f)
	if !timer.Stop() && a.outcome == Answered && context.Cause(ctx) != nil {
		discard(a.response)
		return attempt{outcome: Unknown, reason: ReasonDeadline, err: errDeadline, target: a.target}
	}
	return a
}

// noFlow is the outcome when the request could not even be sent.
func (t *try) noFlow(ctx context.Context, err error) attempt {
	t.attempts++
	a := classifyError(ctx, err, false)
	a.final = true
	if context.Cause(ctx) == nil {
		a.reason = ReasonNoFlow
	}
	return a
}

// exchange sends the request on a flow. The flow stays in use until the response body ends.
func (t *try) exchange(ctx context.Context, cancel context.CancelCauseFunc, f *flow) attempt {
	t.attempts++
	request := t.prepare(ctx, f)
	stop := f.await(cancel)
	response, sent, err := f.session.exchange(request)
	stop()
	if err != nil {
		a := classifyError(ctx, err, sent)
		a.target = f.targetName()
		cancel(nil)
		f.judge(a.outcome, time.Now())
		if a.flowLost {
			f.retire()
		}
		f.end()
		return a
	}
	a := classifyResponse(response)
	now := time.Now()
	f.learn(a, now)
	if response.StatusCode != http.StatusPreconditionRequired {
		f.judge(a.outcome, now)
	}
	t.caller.pool.review(f, now)
	response.Body = &body{ctx: ctx, cancel: cancel, flow: f, source: response.Body}
	return a
}

// prepare copies the request with the headers of the protocol.
func (t *try) prepare(ctx context.Context, f *flow) *http.Request {
	request := t.request.Clone(ctx)
	request.URL.Scheme = "https"
	if request.URL.Host == "" {
		request.URL.Host = t.caller.config.Address.String()
	}
	request.Header.Set(headerDeadline, strconv.FormatInt(max(0, time.Until(t.deadline).Milliseconds()), 10))
	if !t.repeatable {
		if t.ticket == "" {
			t.ticket = f.takeTicket(time.Now())
		}
		if t.ticket != "" {
			request.Header.Set(headerTicket, t.ticket)
		}
	}
	if request.Body != nil && request.Body != http.NoBody {
		t.bodyUsed = true
	}
	return request
}

// body is a response body that keeps its flow in use and says why it ended early.
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
	a := classifyError(b.ctx, b.flow.session.explain(err), true)
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
	b.flow.end()
	return err
}

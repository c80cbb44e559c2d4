package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipward/cowslipward/ticket"
)

// lossDelay is how long a canceled request waits for its connection to turn out lost. QUIC ends the streams of a lost
// connection one by one.
const lossDelay = 50 * time.Millisecond

// serveOnce runs a request that may not be repeated at most once.
func (a *Agent) serveOnce(w http.ResponseWriter, j *job) outcome {
	text := j.request.Header.Get(HeaderTicket)
	if text == "" {
		return a.demandTicket(w)
	}
	t, err := ticket.Parse(a.config.Keys.Current().Ticket, text)
	if err != nil {
		// The outcome is unknown, since the ticket may have run under a key that is no longer live.
		return outcome{refused: &refusal{status: http.StatusBadRequest, outcome: OutcomeUnknown, reason: reasonBadTicket}}
	}
	t.Request = ticket.Fingerprint(j.request.Method, j.url.RequestURI())
	switch {
	case a.issuer.Owns(t):
		return a.runOnce(w, j, t)
	case j.handed || t.Control == a.config.Self.Control:
		return outcome{refused: unknown(reasonIssuerGone)}
	default:
		return a.forwardToIssuer(w, j, t)
	}
}

// demandTicket answers a request without a ticket with a fresh one.
func (a *Agent) demandTicket(w http.ResponseWriter) outcome {
	switch a.lifecycle.current() {
	case phaseDraining, phaseStopped:
		return outcome{refused: notRun(reasonDraining)}
	case phaseOut:
		return outcome{refused: notRun(reasonDomainOut)}
	}
	w.Header().Set(HeaderTicket, a.issuer.Issue())
	return outcome{refused: &refusal{status: http.StatusPreconditionRequired, outcome: OutcomeNotRun, reason: reasonNoTicket}}
}

// runOnce runs a request under a ticket of this agent, or sends the answer of its one run.
func (a *Agent) runOnce(w http.ResponseWriter, j *job, t ticket.Ticket) outcome {
	wait, cancel := context.WithDeadline(j.request.Context(), j.deadline)
	defer cancel()
	run, answer, err := a.issuer.Begin(wait, t)
	switch {
	case err != nil:
		return outcome{refused: refusalOfTicket(err)}
	case answer != nil:
		sendStored(w, answer)
		return outcome{}
	}
	j.expiry = time.Now().Add(time.Until(t.Expiry))
	ctx, release := a.outlive(j)
	defer release()
	record := newRecorder(w)
	out := outcome{cut: true} // what stands if the run panics
	defer func() { endRun(run, record, out) }()
	out = a.execute(ctx, record, j)
	return out
}

// endRun keeps the answer for retries. The ticket is given back only when no byte of the request went to a target.
func endRun(run *ticket.Run, record *recorder, out outcome) {
	switch {
	case out.refused != nil && out.refused.outcome == OutcomeNotRun:
		run.Abandon()
	case out.refused != nil || out.cut:
		run.Finish(ticket.Response{Partial: true})
	default:
		run.Finish(record.answer())
	}
}

// outlive returns a context for a run that goes on up to its deadline when the caller's connection is lost, so that a
// retry over another flow finds the answer. A caller that cancels its request still cancels the run.
func (a *Agent) outlive(j *job) (context.Context, func()) {
	request := j.request.Context()
	ctx, cancel := context.WithCancel(context.WithoutCancel(request))
	stop := context.AfterFunc(request, func() {
		if connectionLost(request) {
			timer := time.AfterFunc(time.Until(j.deadline), cancel)
			context.AfterFunc(ctx, func() { timer.Stop() })
			return
		}
		cancel()
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// connectionLost reports whether a request ended because its connection did.
func connectionLost(request context.Context) bool {
	c, ok := request.Value(connectionKey{}).(*connection)
	if !ok {
		return false
	}
	select {
	case <-c.quic.Context().Done():
		return true
	case <-time.After(lossDelay):
		return false
	}
}

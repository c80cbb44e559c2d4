package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipward/cowslipward/ticket"
)

// connectionLossDelay is how long a canceled request waits to see whether its whole connection was lost. QUIC
// ends the streams of a lost connection one by one.
const connectionLossDelay = 50 * time.Millisecond

// serveAtMostOnce runs a non-repeatable request at most once, under its ticket.
func (a *Agent) serveAtMostOnce(w http.ResponseWriter, j *job) outcome {
	text := j.request.Header.Get(HeaderTicket)
	if text == "" {
		return a.offerTicket(w)
	}
	t, err := ticket.Parse(a.config.Keys.Current().Ticket, text)
	if err != nil {
		// The outcome is unknown, since the request may have run under the ticket with a key that is no longer
		// live.
		return outcome{refused: &refusal{status: http.StatusBadRequest, outcome: OutcomeUnknown, reason: reasonTicketInvalid}}
	}
	t.Request = ticket.Fingerprint(j.request.Method, j.url.RequestURI())
	switch {
	case a.issuer.Owns(t):
		return a.runWithTicket(w, j, t)
	case j.fromPeer || t.Control == a.config.Self.Control:
		return outcome{refused: unknown(reasonIssuerGone)}
	default:
		return a.forwardToIssuer(w, j, t)
	}
}

// offerTicket refuses a request without a ticket and returns a new ticket for it.
func (a *Agent) offerTicket(w http.ResponseWriter) outcome {
	switch a.lifecycle.current() {
	case phaseDraining, phaseStopped:
		return outcome{refused: notRun(reasonDraining)}
	case phaseDomainOut:
		return outcome{refused: notRun(reasonDomainOut)}
	}
	w.Header().Set(HeaderTicket, a.issuer.Issue())
	return outcome{refused: &refusal{status: http.StatusPreconditionRequired, outcome: OutcomeNotRun, reason: reasonTicketRequired}}
}

// runWithTicket runs a request under a ticket issued by this agent, or sends the response of the run that the
// ticket was already used for.
func (a *Agent) runWithTicket(w http.ResponseWriter, j *job, t ticket.Ticket) outcome {
	wait, cancel := context.WithDeadline(j.request.Context(), j.deadline)
	defer cancel()
	run, answer, err := a.issuer.Begin(wait, t)
	switch {
	case err != nil:
		return outcome{refused: refusalFromTicket(err)}
	case answer != nil:
		sendStoredAnswer(w, answer)
		return outcome{}
	}
	j.ticketExpiry = time.Now().Add(time.Until(t.Expiry))
	ctx, release := a.detachFromConnection(j)
	defer release()
	record := newRecorder(w)
	out := outcome{truncated: true} // stays if the run panics
	defer func() { finishRun(run, record, out) }()
	out = a.execute(ctx, record, j)
	return out
}

// finishRun stores the response for retries. The ticket becomes usable again only if no byte of the request was
// sent to a target.
func finishRun(run *ticket.Run, record *recorder, out outcome) {
	switch {
	case out.refused != nil && out.refused.outcome == OutcomeNotRun:
		run.Abandon()
	case out.refused != nil || out.truncated:
		run.Finish(ticket.Response{Partial: true})
	default:
		run.Finish(record.answer())
	}
}

// detachFromConnection returns a context that outlives the caller's connection: if the connection is lost, the
// run continues until its deadline, so that a retry over another flow gets the response. A caller that cancels
// its request still cancels the run.
func (a *Agent) detachFromConnection(j *job) (context.Context, func()) {
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

// connectionLost reports whether a request ended because its connection was lost.
func connectionLost(request context.Context) bool {
	c, ok := request.Value(connectionKey{}).(*connection)
	if !ok {
		return false
	}
	select {
	case <-c.quic.Context().Done():
		return true
	case <-time.After(connectionLossDelay):
		return false
	}
}

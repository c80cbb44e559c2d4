package agent

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/agent/upstream"
	"github.com/cowslipward/cowslipward/ticket"
)

// Reasons of refusals besides those of packages admission, ticket and upstream.
const (
	reasonDraining       = "draining"
	reasonDomainOut      = "domain-out"
	reasonNoService      = "no-service"
	reasonWrongService   = "wrong-service"
	reasonBadDeadline    = "bad-deadline"
	reasonDeadline       = "deadline"
	reasonUnconfirmed    = "view-unconfirmed"
	reasonPaused         = "paused" // the process did not run between admission and dispatch
	reasonNoTicket       = "ticket-required"
	reasonBadTicket      = "ticket-invalid"
	reasonTicketExpired  = "ticket-expired"
	reasonIssuerGone     = "ticket-issuer-gone"
	reasonIssuerOut      = "ticket-issuer-domain-out"
	reasonPeerUnreached  = "peer-unreachable"
	reasonPeerFailed     = "peer-failed"
	reasonBodyGone       = "body-partly-sent" // a peer refused after it had got a part of the body
	reasonInvalidHandoff = "invalid-handoff"
)

// refusal is an outcome without an answer of the target.
type refusal struct {
	status  int
	outcome string
	reason  string
}

// Error returns the outcome with its reason.
func (r *refusal) Error() string { return r.outcome + ": " + r.reason }

func notRun(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: reason}
}

func unknown(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
}

// refusalOf turns a failed exchange into the outcome that the caller learns.
func refusalOf(failure *upstream.Failure) *refusal {
	reason := string(failure.Reason)
	if failure.Reason == upstream.ReasonRefused {
		reason = failure.Cause.Error()
	}
	if !failure.Sent {
		return notRun(reason)
	}
	out := unknown(reason)
	if failure.Reason == upstream.ReasonDeadline {
		out.status = http.StatusGatewayTimeout
	}
	return out
}

// refusalOfAdmission returns the outcome of work that was not admitted.
func refusalOfAdmission(err error) *refusal {
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		return notRun(word(string(refused.Reason)))
	}
	return notRun(word(err.Error()))
}

// refusalOfTicket returns the outcome of a ticket that does not run its request now.
func refusalOfTicket(err error) *refusal {
	var refused *ticket.Error
	if errors.As(err, &refused) && refused.NotRun() {
		return notRun(word(refused.Reason))
	}
	out := unknown(word(err.Error()))
	if errors.Is(err, ticket.ErrStillRunning) || errors.Is(err, context.DeadlineExceeded) {
		out.status = http.StatusGatewayTimeout
	}
	return out
}

// word writes a reason in the form of the headers.
func word(reason string) string { return strings.ReplaceAll(reason, " ", "-") }

func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(HeaderOutcome, r.outcome)
	header.Set(HeaderReason, r.reason)
	w.WriteHeader(r.status)
}

// finish tells the caller of an outcome that is not a whole answer. It panics with http.ErrAbortHandler when the answer
// was cut short, which resets the stream; ending the stream normally would pass a part off as the whole answer.
func (o outcome) finish(w http.ResponseWriter) {
	countOutcome(o)
	switch {
	case o.cut:
		panic(http.ErrAbortHandler)
	case o.refused != nil:
		o.refused.write(w)
	}
}

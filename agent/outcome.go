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

// Reasons for refusals, in addition to those of packages admission, ticket and upstream.
const (
	reasonDraining        = "draining"
	reasonDomainOut       = "domain-out"
	reasonNoService       = "no-service"
	reasonWrongService    = "wrong-service"
	reasonBadDeadline     = "bad-deadline"
	reasonDeadline        = "deadline"
	reasonUnconfirmed     = "view-unconfirmed"
	reasonPaused          = "paused" // the process was paused between admission and dispatch
	reasonTicketRequired  = "ticket-required"
	reasonTicketInvalid   = "ticket-invalid"
	reasonTicketExpired   = "ticket-expired"
	reasonIssuerGone      = "ticket-issuer-gone"
	reasonIssuerDomainOut = "ticket-issuer-domain-out"
	reasonPeerUnreachable = "peer-unreachable"
	reasonPeerFailed      = "peer-failed"
	reasonBodyPartlySent  = "body-partly-sent" // a peer refused the request after receiving part of its body
	reasonInvalidHandoff  = "invalid-handoff"
)

// refusal is an outcome without a response from the target.
type refusal struct {
	status  int
	outcome string
	reason  string
}

// Error returns the outcome and its reason.
func (r *refusal) Error() string { return r.outcome + ": " + r.reason }

func notRun(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: reason}
}

func unknown(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
}

// refusalFromFailure converts a failed exchange to the outcome that is reported to the caller.
func refusalFromFailure(failure *upstream.Failure) *refusal {
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

// refusalFromAdmission converts an admission error to the outcome that is reported to the caller.
func refusalFromAdmission(err error) *refusal {
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		return notRun(hyphenate(string(refused.Reason)))
	}
	return notRun(hyphenate(err.Error()))
}

// refusalFromTicket converts an error of the ticket issuer to the outcome that is reported to the caller.
func refusalFromTicket(err error) *refusal {
	var refused *ticket.Error
	if errors.As(err, &refused) && refused.NotRun() {
		return notRun(hyphenate(refused.Reason))
	}
	out := unknown(hyphenate(err.Error()))
	if errors.Is(err, ticket.ErrStillRunning) || errors.Is(err, context.DeadlineExceeded) {
		out.status = http.StatusGatewayTimeout
	}
	return out
}

// hyphenate formats a reason for HeaderReason.
func hyphenate(reason string) string { return strings.ReplaceAll(reason, " ", "-") }

func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(HeaderOutcome, r.outcome)
	header.Set(HeaderReason, r.reason)
	w.WriteHeader(r.status)
}

// respond counts the outcome, and sends it to the caller unless a complete response was sent. It panics with
// http.ErrAbortHandler if the response was truncated, which resets the stream: a normal end of the stream would
// make a partial response look complete.
func (o outcome) respond(w http.ResponseWriter) {
	countOutcome(o)
	switch {
	case o.truncated:
		panic(http.ErrAbortHandler)
	case o.refused != nil:
		o.refused.write(w)
	}
}

package caller

import (
	"context"
	"errors"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Outcome reports whether a request was executed, as far as the caller can tell.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered means that the target responded; the response is in Result.Response.
	Answered Outcome = iota + 1
	// NotRun means that no byte of the request reached a target.
	NotRun
	// Unknown means that the request may have been executed.
	Unknown
	// GivenUp means that the flow was closed because its failure domain is out of service or its target was
	// replaced. The request may have been executed.
	GivenUp
	// Canceled means that the context of the request ended.
	Canceled
)

// String returns the name of the outcome for tables and messages.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case GivenUp:
		return "given-up"
	case Canceled:
		return "canceled"
	default:
		return "none"
	}
}

// Protocol headers and values of the outcome header, see docs/PROTOCOL.md.
const (
	headerDeadline   = "Cowslip-Deadline-Ms"
	headerTicket     = "Cowslip-Ticket"
	headerOutcome    = "Cowslip-Outcome"
	headerReason     = "Cowslip-Reason"
	headerTarget     = "Cowslip-Target"
	headerLoad       = "Cowslip-Load"
	headerNextTicket = "Cowslip-Next-Ticket"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// CodeDomainOut is the error code with which an agent closes its connections when its failure domain is out of
// service.
const CodeDomainOut = quic.ApplicationErrorCode(0xC0A5)

// Values of Result.Reason and Interrupted.Reason that the caller itself sets.
const (
	ReasonDomainOut       = "failure domain is out of service"
	ReasonStatelessReset  = "stateless reset"
	ReasonRejected        = "request rejected"
	ReasonNoFlow          = "no flow to a target"
	ReasonDeadline        = "deadline passed"
	ReasonUnresponsive    = "flow went silent"
	ReasonConnection      = "connection failed"
	ReasonCanceled        = "canceled"
	ReasonBudgetExhausted = "retry budget exhausted"
)

// Causes with which the caller cancels the context of an attempt.
var (
	errDeadline     = errors.New(ReasonDeadline)
	errUnresponsive = errors.New(ReasonUnresponsive)
)

// attemptResult is the result of one attempt to send a request.
type attemptResult struct {
	outcome         Outcome
	reason          string
	err             error
	response        *http.Response
	target          string
	flowLost        bool // the flow must not carry further requests
	reportedByAgent bool // the outcome was reported by the agent, not inferred from an error
	unsent          bool // no byte was sent, so that a retry adds no traffic and needs no budget
	permanent       bool // retrying would not help
}

// classifyResponse derives the result of an attempt from the response headers, which the agent sets.
func classifyResponse(response *http.Response) attemptResult {
	a := attemptResult{
		outcome:  Answered,
		response: response,
		target:   response.Header.Get(headerTarget),
		reason:   response.Header.Get(headerReason),
	}
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		a.outcome = NotRun
		a.reportedByAgent = true
		a.permanent = response.StatusCode == http.StatusBadRequest
	case outcomeUnknown:
		a.outcome = Unknown
		a.reportedByAgent = true
	}
	return a
}

// classifyError derives the result of an attempt from the error of the exchange. sent is false if no byte of the
// request was sent.
func classifyError(ctx context.Context, err error, sent bool) attemptResult {
	a := classifyConnectionError(err)
	if closedAfterGoAway(err) {
		a = attemptResult{outcome: NotRun, reason: ReasonRejected, flowLost: true, reportedByAgent: true}
	}
	if cause := context.Cause(ctx); cause != nil {
		a = classifyCancelCause(cause)
	}
	a.err = err
	a.unsent = !sent
	if !sent && a.outcome != Canceled {
		a.outcome = NotRun
	}
	return a
}

func classifyCancelCause(cause error) attemptResult {
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return attemptResult{outcome: Unknown, reason: ReasonDeadline}
	case errors.Is(cause, errUnresponsive):
		return attemptResult{outcome: Unknown, reason: ReasonUnresponsive, flowLost: true}
	default:
		return attemptResult{outcome: Canceled, reason: ReasonCanceled}
	}
}

// closedAfterGoAway reports whether quic-go itself closed the connection because it received a GOAWAY while no
// request was open. A request that starts at that moment fails with this error. The agent cannot have executed
// it, since it sent the GOAWAY before the request and rejects every later stream. The error of a connection that
// session.close closed has a message, by which it is told apart.
func closedAfterGoAway(err error) bool {
	var closed *quic.ApplicationError
	return errors.As(err, &closed) && !closed.Remote && closed.ErrorMessage == "" &&
		closed.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
}

// classifyConnectionError derives the result of an attempt from a QUIC or HTTP/3 error, see RFC 9000 section
// 10.3 and RFC 9114 section 8.1.
func classifyConnectionError(err error) attemptResult {
	if errors.Is(err, errUnresponsive) {
		return classifyCancelCause(errUnresponsive)
	}
	var reset *quic.StatelessResetError
	if errors.As(err, &reset) {
		return attemptResult{outcome: GivenUp, reason: ReasonStatelessReset, flowLost: true}
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		if closed.Remote && closed.ErrorCode == CodeDomainOut {
			return attemptResult{outcome: GivenUp, reason: ReasonDomainOut, flowLost: true}
		}
		return attemptResult{outcome: Unknown, reason: ReasonConnection, flowLost: true}
	}
	var stream *http3.Error
	if errors.As(err, &stream) {
		if stream.Remote && stream.ErrorCode == http3.ErrCodeRequestRejected {
			return attemptResult{outcome: NotRun, reason: ReasonRejected, flowLost: true, reportedByAgent: true}
		}
		return attemptResult{outcome: Unknown, reason: stream.Error()}
	}
	return attemptResult{outcome: Unknown, reason: ReasonConnection, flowLost: true}
}

// Interrupted is the error that a response body returns if it is cut off before its end.
type Interrupted struct {
	Outcome Outcome // Unknown, GivenUp or Canceled
	Reason  string
	Err     error
}

// Error implements error.
func (i *Interrupted) Error() string { return "response interrupted: " + i.Reason }

// Unwrap returns the error of the transport.
func (i *Interrupted) Unwrap() error { return i.Err }

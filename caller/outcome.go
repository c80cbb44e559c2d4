package caller

import (
	"context"
	"errors"
	"net/http"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Outcome is what is known about a request.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered means that the target's answer is in Result.Response.
	Answered Outcome = iota + 1
	// NotRun means that no byte of the request reached a target.
	NotRun
	// Unknown means that the request may have run.
	Unknown
	// GivenUp means that the flow ended because its failure domain is out or its target was replaced. The request may
	// have run.
	GivenUp
	// Canceled means that the context of the request ended.
	Canceled
)

// String returns the outcome as tables and exit messages show it.
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

// Headers on the wire, see docs/PROTOCOL.md.
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

// CodeDomainOut closes a connection whose failure domain is out.
const CodeDomainOut = quic.ApplicationErrorCode(0xC0A5)

// Reasons that the caller itself gives.
const (
	ReasonDomainOut       = "failure domain is out"
	ReasonStatelessReset  = "stateless reset"
	ReasonRejected        = "request rejected"
	ReasonNoFlow          = "no flow to a target"
	ReasonDeadline        = "deadline passed"
	ReasonUnresponsive    = "flow went silent"
	ReasonConnection      = "connection failed"
	ReasonCanceled        = "canceled"
	ReasonBudgetExhausted = "retry budget is used up"
)

// Causes by which the caller ends an attempt.
var (
	errDeadline = errors.New(ReasonDeadline)
	errSilent   = errors.New(ReasonUnresponsive)
)

// attempt is what one try of a request came to.
type attempt struct {
	outcome  Outcome
	reason   string
	err      error
	response *http.Response
	target   string
	flowLost bool // the flow must not be used again
	explicit bool // an agent said the outcome itself
	unsent   bool // no byte left, so that another attempt adds no traffic
	final    bool // another attempt would not help
}

// classifyResponse reads the outcome from the headers of an agent.
func classifyResponse(response *http.Response) attempt {
	a := attempt{
		outcome:  Answered,
		response: response,
		target:   response.Header.Get(headerTarget),
		reason:   response.Header.Get(headerReason),
	}
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		a.outcome = NotRun
		a.explicit = true
		a.final = response.StatusCode == http.StatusBadRequest
	case outcomeUnknown:
		a.outcome = Unknown
		a.explicit = true
	}
	return a
}

// classifyError says what an error of an exchange means for the request. sent is false when no byte of it left.
func classifyError(ctx context.Context, err error, sent bool) attempt {
	a := classifyLoss(err)
	if closedAfterGoAway(err) {
		a = attempt{outcome: NotRun, reason: ReasonRejected, flowLost: true, explicit: true}
	}
	if cause := context.Cause(ctx); cause != nil {
		a = classifyCause(cause)
	}
	a.err = err
	a.unsent = !sent
	if !sent && a.outcome != Canceled {
		a.outcome = NotRun
	}
	return a
}

func classifyCause(cause error) attempt {
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return attempt{outcome: Unknown, reason: ReasonDeadline}
	case errors.Is(cause, errSilent):
		return attempt{outcome: Unknown, reason: ReasonUnresponsive, flowLost: true}
	default:
		return attempt{outcome: Canceled, reason: ReasonCanceled}
	}
}

// closedAfterGoAway reports whether quic-go closed the connection itself because a GOAWAY came while no request was open.
// A request that begins at that moment gets this error. The agent cannot have run it: its GOAWAY was sent before the
// request, and it rejects every stream after that. Closing a session by its own wish gives a message.
func closedAfterGoAway(err error) bool {
	var closed *quic.ApplicationError
	return errors.As(err, &closed) && !closed.Remote && closed.ErrorMessage == "" &&
		closed.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
}

// classifyLoss reads QUIC and HTTP/3 errors, RFC 9000 section 10.3 and RFC 9114 section 8.1.
func classifyLoss(err error) attempt {
	if errors.Is(err, errSilent) {
		return classifyCause(errSilent)
	}
	var reset *quic.StatelessResetError
	if errors.As(err, &reset) {
		return attempt{outcome: GivenUp, reason: ReasonStatelessReset, flowLost: true}
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		if closed.Remote && closed.ErrorCode == CodeDomainOut {
			return attempt{outcome: GivenUp, reason: ReasonDomainOut, flowLost: true}
		}
		return attempt{outcome: Unknown, reason: ReasonConnection, flowLost: true}
	}
	var stream *http3.Error
	if errors.As(err, &stream) {
		if stream.Remote && stream.ErrorCode == http3.ErrCodeRequestRejected {
			return attempt{outcome: NotRun, reason: ReasonRejected, flowLost: true, explicit: true}
		}
		return attempt{outcome: Unknown, reason: stream.Error()}
	}
	return attempt{outcome: Unknown, reason: ReasonConnection, flowLost: true}
}

// Interrupted is the error of a response body that ended early.
type Interrupted struct {
	Outcome Outcome // Unknown, GivenUp or Canceled
	Reason  string
	Err     error
}

// Error returns the reason.
func (i *Interrupted) Error() string { return "response interrupted: " + i.Reason }

// Unwrap returns the underlying error.
func (i *Interrupted) Unwrap() error { return i.Err }

package upstream

import "fmt"

// Reason identifies why an exchange with the target failed.
type Reason string

// Reasons of failed exchanges.
const (
	ReasonUnreachable Reason = "target-unreachable"      // no connection could be opened
	ReasonDeadline    Reason = "deadline"                // no response header before the deadline
	ReasonCanceled    Reason = "canceled"                // the caller canceled the request
	ReasonClosed      Reason = "target-closed"           // the target closed the connection before it responded
	ReasonReset       Reason = "target-reset"            // the connection was reset or timed out, RFC 9293
	ReasonMalformed   Reason = "target-answer-malformed" // the response is not valid HTTP or has no known length
	ReasonMismatch    Reason = "target-answer-mismatch"  // the response is to an earlier request
	ReasonRefused     Reason = "refused-before-dispatch" // Request.Check returned an error, so nothing was sent
)

// Failure describes an exchange that ended without a response.
type Failure struct {
	// Sent is false only if no byte of the request has been sent to the target and none will be.
	Sent   bool
	Reason Reason
	Cause  error
}

// Error returns the reason, whether the request was sent, and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (request sent: %t): %v", f.Reason, f.Sent, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

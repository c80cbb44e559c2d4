package agent

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and responses, see docs/PROTOCOL.md.
const (
	HeaderDeadline   = "Cowslip-Deadline-Ms" // request: time left until the response header is due, in milliseconds
	HeaderTicket     = "Cowslip-Ticket"      // request: ticket; 428 response: the ticket to use
	HeaderOutcome    = "Cowslip-Outcome"     // response: OutcomeNotRun or OutcomeUnknown, on refusals only
	HeaderReason     = "Cowslip-Reason"      // response: reason, on refusals only
	HeaderTarget     = "Cowslip-Target"      // response: VM name of the target
	HeaderLoad       = "Cowslip-Load"        // response: requests in progress and their limit, such as 3/9
	HeaderNextTicket = "Cowslip-Next-Ticket" // response: a new ticket from the same agent

	// headerPrefix is the prefix of all headers above. Targets cannot set headers with this prefix.
	headerPrefix = "Cowslip-"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run" // no byte of the request was sent to the target
	OutcomeUnknown = "unknown"
)

// maxDeadline bounds the deadline that a caller may request.
const maxDeadline = time.Hour

var errDeadlineHeader = errors.New(HeaderDeadline + ": want a number of milliseconds")

// parseDeadline returns the time by which the response header is due.
func parseDeadline(header http.Header, now time.Time, fallback time.Duration) (time.Time, error) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(fallback), nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left < 0 {
		return time.Time{}, errDeadlineHeader
	}
	return now.Add(time.Duration(min(left, maxDeadline.Milliseconds())) * time.Millisecond), nil
}

// formatTimeLeft formats the time until the deadline for HeaderDeadline, rounded down.
func formatTimeLeft(deadline, now time.Time) string {
	return strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10)
}

// Package load generates the workloads of the customers, records what callers see, checks it against what targets ran,
// and runs the experiments and the demo.
package load

import (
	"context"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	GivenUp  Outcome = "given-up" // the failure domain of the flow is out
	Canceled Outcome = "canceled"
	Mixed    Outcome = "mixed" // an answer that belongs to another request
)

// Request is one request of a caller.
type Request struct {
	ID       string
	Method   string
	Path     string
	Body     []byte
	Deadline time.Duration
}

// Result is what the caller got.
type Result struct {
	Outcome Outcome
	Reason  string
	Target  string
	Body    []byte
}

// Flow is a flow of one caller to one service.
type Flow interface {
	Do(ctx context.Context, request Request) Result
	Close() error
}

// Dialer opens flows to a service.
type Dialer interface {
	// DialRaw opens a flow that is one bare connection, so that its loss shows. It serves one request at a time.
	DialRaw(ctx context.Context, service string) (Flow, error)
	// DialCaller opens a flow of the caller library. It serves many requests at a time.
	DialCaller(ctx context.Context, service string) (Flow, error)
}

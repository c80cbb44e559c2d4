package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/cowslipward/cowslipward/caller"
)

// callerFlow is a flow of the caller library.
type callerFlow struct {
	caller *caller.Caller
	base   string
}

// DialCaller returns a flow of the caller library. It connects on the first request.
func (c *Callers) DialCaller(_ context.Context, service string) (Flow, error) {
	address, err := c.place.ServiceAddress(service)
	if err != nil {
		return nil, err
	}
	return &callerFlow{caller: caller.New(caller.Config{Address: address, TLS: c.tls}), base: "https://" + address.String()}, nil
}

// Do makes one request; the library retries where it is safe.
func (f *callerFlow) Do(ctx context.Context, request Request) Result {
	r, err := http.NewRequestWithContext(ctx, request.Method, f.base+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Result{Outcome: NotRun, Reason: err.Error()}
	}
	answer := f.caller.Do(r)
	result := Result{Outcome: Outcome(answer.Outcome.String()), Reason: answer.Reason, Target: answer.Target}
	if answer.Err != nil {
		result.Reason += ": " + answer.Err.Error()
	}
	if answer.Outcome != caller.Answered {
		return result
	}
	defer func() { _ = answer.Response.Body.Close() }()
	result.Body, err = io.ReadAll(answer.Response.Body)
	var interrupted *caller.Interrupted
	switch {
	case errors.As(err, &interrupted):
		result.Outcome, result.Reason = Outcome(interrupted.Outcome.String()), interrupted.Error()
	case err != nil:
		result.Outcome, result.Reason = Unknown, err.Error()
	case answer.Response.StatusCode != http.StatusOK:
		result.Outcome, result.Reason = Unknown, answer.Response.Status
	}
	return result
}

// Close ends the flow.
func (f *callerFlow) Close() error {
	f.caller.Close()
	return nil
}

package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/agent/upstream"
)

// handoffMargin is how many requests above the pool's mean an agent may have before it hands requests off.
const handoffMargin = 1

// outcome is the result of a request. At most one field is set; the zero value stands for a complete response.
type outcome struct {
	refused   *refusal // nothing has been written to the caller
	truncated bool     // the response was started but not completed
}

// execute runs a request locally or at a peer, and sends the response.
func (a *Agent) execute(ctx context.Context, w http.ResponseWriter, j *job) outcome {
	switch a.lifecycle.current() {
	case phaseDraining, phaseStopped:
		return outcome{refused: notRun(reasonDraining)}
	case phaseDomainOut:
		return outcome{refused: notRun(reasonDomainOut)}
	}
	if maxWork, ok := a.overloaded(); ok {
		if out, done := a.handOff(ctx, w, j, maxWork); done {
			return out
		}
	}
	out := a.runLocally(ctx, w, j)
	if out.refused == nil || out.refused.outcome != OutcomeNotRun {
		return out
	}
	if ctx.Err() == nil {
		if moved, done := a.handOff(ctx, w, j, unlimitedWork); done {
			return moved
		}
	}
	if j.unknownAtPeer != nil {
		return outcome{refused: j.unknownAtPeer}
	}
	return out
}

// unlimitedWork allows a handoff to a peer with any load, provided that it has a free slot.
const unlimitedWork = 1 << 16

// overloaded reports whether to hand a request off to a peer, and the load that the peer must be below.
func (a *Agent) overloaded() (maxWork int, ok bool) {
	snapshot := a.limiter.Snapshot()
	if snapshot.InProgress >= snapshot.Limit || snapshot.Queued > 0 {
		return unlimitedWork, true
	}
	work := snapshot.InProgress + snapshot.Queued
	mean, count := a.pool.MeanLoad(work)
	if count > 1 && float64(work) > mean+handoffMargin {
		return work, true
	}
	return 0, false
}

// runLocally runs a request at this agent's target.
func (a *Agent) runLocally(ctx context.Context, w http.ResponseWriter, j *job) outcome {
	permit, err := a.limiter.Acquire(ctx, j.deadline)
	if err != nil {
		return outcome{refused: refusalFromAdmission(err)}
	}
	j.admittedAt = time.Now()
	result := admission.Canceled
	defer func() { permit.Done(result) }()
	body, ok := j.body.newAttempt()
	if !ok {
		return outcome{refused: notRun(reasonBodyPartlySent)}
	}
	answer, failure := a.upstream.Do(ctx, &upstream.Request{
		HTTP:     a.targetRequest(j, body),
		Deadline: j.deadline,
		Check:    func() error { return a.checkDispatch(j) },
	})
	if failure != nil {
		result = resultFromFailure(failure)
		return outcome{refused: refusalFromFailure(failure)}
	}
	defer answer.Body.Close()
	permit.HeaderReceived()
	a.setTargetHeaders(w)
	if isEventStream(answer.Response) {
		permit.Done(admission.Completed)
	}
	if err := sendAnswer(w, answer.Response, headerPrefix); err != nil {
		if errors.Is(err, errAnswerTruncated) {
			result = admission.Reset
		}
		return outcome{truncated: true}
	}
	result = resultFromStatus(answer.StatusCode)
	return outcome{}
}

// isEventStream reports whether a response is an event stream. An open stream does no work at the target, so it
// occupies no slot: streams that stay open all day would otherwise use up all slots. The connection limit bounds
// their number.
func isEventStream(response *http.Response) bool {
	return mediaType(response.Header.Get("Content-Type")) == "text/event-stream"
}

// resultFromFailure converts a failed exchange to the result that adjusts the concurrency limit.
func resultFromFailure(failure *upstream.Failure) admission.Result {
	switch failure.Reason {
	case upstream.ReasonDeadline:
		return admission.TimedOut
	case upstream.ReasonUnreachable, upstream.ReasonReset, upstream.ReasonClosed, upstream.ReasonMalformed:
		return admission.Reset
	default:
		return admission.Canceled
	}
}

// resultFromStatus converts a response status to the result that adjusts the concurrency limit.
func resultFromStatus(status int) admission.Result {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return admission.Refused
	}
	return admission.Completed
}

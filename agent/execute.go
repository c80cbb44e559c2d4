package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/agent/upstream"
)

// slotsAboveMean is how far above the pool's mean the work of an agent may be before it hands requests over.
const slotsAboveMean = 1

// outcome is how a request ended. At most one of the fields is set; none is for a whole answer.
type outcome struct {
	refused *refusal // nothing was written to the caller
	cut     bool     // an answer began but did not end
}

// execute runs a request here or at a peer, and sends the answer.
func (a *Agent) execute(ctx context.Context, w http.ResponseWriter, j *job) outcome {
	switch a.lifecycle.current() {
	case phaseDraining, phaseStopped:
		return outcome{refused: notRun(reasonDraining)}
	case phaseOut:
		return outcome{refused: notRun(reasonDomainOut)}
	}
	if most, ok := a.overloaded(); ok {
		if out, done := a.handOver(ctx, w, j, most); done {
			return out
		}
	}
	out := a.runHere(ctx, w, j)
	if out.refused == nil || out.refused.outcome != OutcomeNotRun {
		return out
	}
	if ctx.Err() == nil {
		if moved, done := a.handOver(ctx, w, j, anyWork); done {
			return moved
		}
	}
	if j.uncertain != nil {
		return outcome{refused: j.uncertain}
	}
	return out
}

// anyWork accepts a peer with any work as long as it has a free slot.
const anyWork = 1 << 16

// overloaded reports whether a request should go to a peer, and which work the peer must stay under.
func (a *Agent) overloaded() (most int, ok bool) {
	now := a.limiter.Snapshot()
	if now.InProgress >= now.Limit || now.Queued > 0 {
		return anyWork, true
	}
	work := now.InProgress + now.Queued
	mean, count := a.pool.MeanLoad(work)
	if count > 1 && float64(work) > mean+slotsAboveMean {
		return work, true
	}
	return 0, false
}

// runHere runs a request at this agent's target.
func (a *Agent) runHere(ctx context.Context, w http.ResponseWriter, j *job) outcome {
	permit, err := a.limiter.Acquire(ctx, j.deadline)
	if err != nil {
		return outcome{refused: refusalOfAdmission(err)}
	}
	j.admitted = time.Now()
	result := admission.Canceled
	defer func() { permit.Done(result) }()
	body, ok := j.body.take()
	if !ok {
		return outcome{refused: notRun(reasonBodyGone)}
	}
	answer, failure := a.upstream.Do(ctx, &upstream.Request{
		HTTP:     a.outgoing(j, body),
		Deadline: j.deadline,
		Check:    func() error { return a.mayDispatch(j) },
	})
	if failure != nil {
		result = resultOf(failure)
		return outcome{refused: refusalOf(failure)}
	}
	defer answer.Body.Close()
	permit.Answered()
	a.markAnswer(w)
	if isEventStream(answer.Response) {
		permit.Done(admission.Completed)
	}
	if err := sendAnswer(w, answer.Response, headerPrefix); err != nil {
		if errors.Is(err, errTargetCut) {
			result = admission.Reset
		}
		return outcome{cut: true}
	}
	result = resultOfStatus(answer.StatusCode)
	return outcome{}
}

// isEventStream reports whether the answer waits for events. It does no work at the target, so that it holds no slot;
// all-day views would take every slot otherwise. The connection limit bounds their number.
func isEventStream(response *http.Response) bool {
	return mediaType(response.Header.Get("Content-Type")) == "text/event-stream"
}

// resultOf turns a failed exchange into evidence about the target.
func resultOf(failure *upstream.Failure) admission.Result {
	switch failure.Reason {
	case upstream.ReasonDeadline:
		return admission.TimedOut
	case upstream.ReasonUnreachable, upstream.ReasonReset, upstream.ReasonClosed, upstream.ReasonMalformed:
		return admission.Reset
	default:
		return admission.Canceled
	}
}

// resultOfStatus turns the status of an answer into evidence about the target.
func resultOfStatus(status int) admission.Result {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return admission.Refused
	}
	return admission.Completed
}

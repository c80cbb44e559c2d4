package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// post sends a POST request, with the ticket unless that is empty, and returns the response and its body.
func post(t testing.TB, r *testAgent, path, ticket string) (*http.Response, string) {
	t.Helper()
	request := newRequest(t, http.MethodPost, path, strings.NewReader("paste"))
	if ticket != "" {
		request.Header.Set(HeaderTicket, ticket)
	}
	response, err := r.caller.Do(request)
	require.NoError(t, err)
	return response, readAll(t, response)
}

// obtainTicket requests a ticket from an agent.
func obtainTicket(t testing.TB, r *testAgent) string {
	t.Helper()
	response, _ := post(t, r, "/paste", "")
	require.Equal(t, http.StatusPreconditionRequired, response.StatusCode)
	require.Equal(t, OutcomeNotRun, response.Header.Get(HeaderOutcome))
	return response.Header.Get(HeaderTicket)
}

// countingTarget starts a target that responds with the number of its runs.
func countingTarget(t testing.TB, runs *atomic.Int32) string {
	return startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Run", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "run "+string('0'+rune(runs.Add(1))))
	})
}

func requireOutcome(t testing.TB, response *http.Response, outcome, reason string) {
	t.Helper()
	require.Equal(t, outcome, response.Header.Get(HeaderOutcome))
	require.Equal(t, reason, response.Header.Get(HeaderReason))
}

// Guards against a request that runs twice under its ticket: when it is retried over the same flow, through
// another agent, or through an agent that did not issue the ticket before the issuer has seen it.
func TestTicketRunsOnce(t *testing.T) {
	var runs atomic.Int32
	target := countingTarget(t, &runs)
	agents := startTestAgents(t, []string{target, target})
	text := obtainTicket(t, agents[0])
	for _, r := range []*testAgent{agents[1], agents[0], agents[1]} {
		response, body := post(t, r, "/paste", text)
		require.Equal(t, http.StatusCreated, response.StatusCode)
		require.Equal(t, "run 1", body)
		require.Equal(t, "1", response.Header.Get("X-Run"))
	}
	require.EqualValues(t, 1, runs.Load())
	response, _ := post(t, agents[0], "/other", text)
	require.Equal(t, OutcomeUnknown, response.Header.Get(HeaderOutcome))
	response, _ = post(t, agents[0], "/paste", text+"x")
	requireOutcome(t, response, OutcomeUnknown, reasonTicketInvalid)
	response, body := post(t, agents[0], "/paste", response.Header.Get(HeaderNextTicket))
	require.Equal(t, http.StatusCreated, response.StatusCode)
	require.Equal(t, "run 2", body)
}

// Guards against a retry that is refused or runs while the first attempt is still running.
func TestRetryWaitsForRunning(t *testing.T) {
	var runs atomic.Int32
	release := make(chan struct{})
	target := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	agents := startTestAgents(t, []string{target, target})
	text := obtainTicket(t, agents[0])
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			_, body := post(t, agents[i%2], "/paste", text)
			if body != "done" {
				t.Errorf("got %q", body)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	close(release)
	wg.Wait()
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a request that is canceled, or whose response is lost, because the caller's connection was
// lost.
func TestRunContinuesAfterConnectionLoss(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		select {
		case <-release:
			_, _ = io.WriteString(w, "done")
		case <-r.Context().Done():
		}
	})
	r := startTestAgent(t, target)
	text := obtainTicket(t, r)
	broken := newCaller(t, r.addr)
	go func() {
		request := newRequest(t, http.MethodPost, "/paste", strings.NewReader("paste"))
		request.Header.Set(HeaderTicket, text)
		_, _ = broken.Do(request)
	}()
	waitFor(t, started)
	require.NoError(t, broken.Transport.(io.Closer).Close())
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	response, body := post(t, r, "/paste", text)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "done", body)
}

// Guards against a canceled request that keeps running, and against a retry that runs it again.
func TestCanceledRunIsUnknown(t *testing.T) {
	started := make(chan struct{})
	canceled := make(chan struct{})
	target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	r := startTestAgent(t, target)
	text := obtainTicket(t, r)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	request := newRequest(t, http.MethodPost, "/paste", strings.NewReader("paste")).WithContext(ctx)
	request.Header.Set(HeaderTicket, text)
	_, err := r.caller.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	waitFor(t, canceled)
	response, _ := post(t, r, "/paste", text)
	require.Equal(t, OutcomeUnknown, response.Header.Get(HeaderOutcome))
}

// Guards against a second run, and against a not-run outcome, if the agent that issued the ticket has stopped or
// restarted.
func TestUnreachableIssuerIsUnknown(t *testing.T) {
	var runs atomic.Int32
	target := countingTarget(t, &runs)
	agents := startTestAgents(t, []string{target, target})
	text := obtainTicket(t, agents[0])
	agents[0].control.Close()
	agents[0].stop()
	response, _ := post(t, agents[1], "/paste", text)
	requireOutcome(t, response, OutcomeUnknown, reasonIssuerGone)

	earlier := obtainTicket(t, agents[1])
	restarted := startTestAgent(t, target, func(c *Config) {
		c.Self.Control = agents[1].vm.Control
		c.Started = c.Started.Add(time.Second)
	})
	response, _ = post(t, restarted, "/paste", earlier)
	requireOutcome(t, response, OutcomeUnknown, reasonIssuerGone)
	require.Zero(t, runs.Load())
}

// Guards against a ticket that becomes unusable although its request correctly got a not-run outcome, and
// against a not-run outcome of a request that ran.
func TestNotRunKeepsTicketUsable(t *testing.T) {
	var runs atomic.Int32
	target := countingTarget(t, &runs)
	r := startTestAgent(t, target)
	text := obtainTicket(t, r)
	permit, err := r.agent.limiter.Acquire(t.Context(), time.Now().Add(time.Minute))
	require.NoError(t, err)
	response, _ := post(t, r, "/paste", text)
	require.Equal(t, OutcomeNotRun, response.Header.Get(HeaderOutcome))
	permit.Done(0)
	_, body := post(t, r, "/paste", text)
	require.Equal(t, "run 1", body)
}

// Guards against a retry that gets part of a response because the response was too large to store.
func TestLargeResponseIsNotStoredPartially(t *testing.T) {
	target := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	r := startTestAgent(t, target)
	text := obtainTicket(t, r)
	_, body := post(t, r, "/paste", text)
	require.Len(t, body, 1<<20)
	response, _ := post(t, r, "/paste", text)
	require.Equal(t, OutcomeUnknown, response.Header.Get(HeaderOutcome))
}

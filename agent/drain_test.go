package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/fleet"
)

// slowTarget starts a target that sends its response in two parts with a pause between them.
func slowTarget(t testing.TB, pause time.Duration) string {
	return startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "second")
	})
}

func awaitState(t testing.TB, r *testAgent, state fleet.State) {
	t.Helper()
	require.Eventually(t, func() bool { return r.source.last().State == state }, 8*time.Second, 5*time.Millisecond)
}

// isRejected reports whether the caller can tell that its request did not run.
func isRejected(response *http.Response, err error) bool {
	if err == nil {
		return response.Header.Get(HeaderOutcome) == OutcomeNotRun
	}
	var stream *http3.Error
	var refused *quic.TransportError
	return errors.As(err, &stream) && stream.ErrorCode == http3.ErrCodeRequestRejected ||
		errors.As(err, &refused) && refused.ErrorCode == quic.ConnectionRefused
}

// Guards against a drain that cuts off a running request, keeps accepting new ones, or cannot be reverted.
func TestDrainByRule(t *testing.T) {
	r := startTestAgent(t, slowTarget(t, time.Second))
	open, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	setViews(t, []*testAgent{r}, rulesText+"drain bench-1 # asked by test\n")
	awaitState(t, r, fleet.StateDraining)
	require.Zero(t, r.source.last().Weight)
	require.False(t, r.agent.AcceptsNewFlow())
	ready, reason := r.agent.Ready()
	require.False(t, ready)
	require.Equal(t, "draining", reason)
	time.Sleep(50 * time.Millisecond)
	require.True(t, isRejected(r.caller.Do(newRequest(t, http.MethodGet, "/", nil))))
	require.True(t, isRejected(newCaller(t, r.addr).Do(newRequest(t, http.MethodGet, "/", nil))))
	require.Equal(t, "first second", readAll(t, open))

	setViews(t, []*testAgent{r}, rulesText)
	awaitState(t, r, fleet.StateWarming)
	response, err := newCaller(t, r.addr).Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, "first second", readAll(t, response))
	awaitState(t, r, fleet.StateServing)
}

// Guards against a VM that is removed while it serves callers, although the VM list marked it as leaving.
func TestLeavingVMDrains(t *testing.T) {
	r := startTestAgent(t, slowTarget(t, 0))
	vm := r.vm
	vm.Leaving = true
	r.source.Set(fleet.NewView(parseRules(t, rulesText), fleet.Observation{VMs: []fleet.VM{vm}}))
	awaitState(t, r, fleet.StateDraining)
}

// Guards against streams that never end and delay a drain forever.
func TestDrainPeriodEndsStreams(t *testing.T) {
	r := startTestAgent(t, slowTarget(t, time.Minute), func(c *Config) { c.DrainPeriod = 500 * time.Millisecond })
	open, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	start := time.Now()
	r.agent.Shutdown(t.Context())
	_, err = io.ReadAll(open.Body)
	require.Error(t, err)
	require.Less(t, time.Since(start), 3*time.Second)
	require.Equal(t, fleet.StateStopped, r.source.last().State)
}

// Guards against a shutdown under load that cuts off requests, or reports requests that ran as not run.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	var runs atomic.Int32
	target := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "second")
	})
	r := startTestAgent(t, target)
	var answered, rejected atomic.Int32
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 8 {
		caller := newCaller(t, r.addr)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				response, err := caller.Do(newRequest(t, http.MethodGet, "/", nil))
				if isRejected(response, err) {
					rejected.Add(1)
					continue
				}
				if err != nil {
					var idle *quic.IdleTimeoutError
					if !errors.As(err, &idle) && !errors.Is(err, http3.ErrTransportClosed) {
						t.Errorf("request cut off: %v", err)
					}
					return
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || string(body) != "first second" {
					t.Errorf("response truncated: %q %v", body, err)
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	r.agent.Shutdown(t.Context())
	close(stop)
	wg.Wait()
	require.NotZero(t, answered.Load())
	require.Equal(t, runs.Load(), answered.Load())
	require.Equal(t, fleet.StateStopped, r.source.last().State)
}

// Guards against a shutdown that cuts off the requests of other agents' callers.
func TestShutdownWaitsForHandoffs(t *testing.T) {
	target := slowTarget(t, time.Second)
	agents := startTestAgents(t, []string{target, target})
	defer fillSlots(t, agents[0])()
	open := openHandoff(t, agents[0])
	agents[1].agent.Shutdown(t.Context())
	agents[1].control.Close()
	require.Equal(t, "first second", readAll(t, open))
}

// Guards against flows that continue in a failure domain that is out or that end without a reason, and against
// an agent that does not resume when the domain returns.
func TestDomainOut(t *testing.T) {
	r := startTestAgent(t, slowTarget(t, time.Minute))
	open, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	setViews(t, []*testAgent{r}, rulesText+"out a # asked by test\n")
	_, err = io.ReadAll(open.Body)
	var closed *http3.Error
	require.ErrorAs(t, err, &closed)
	require.Equal(t, http3.ErrCode(CodeDomainOut), closed.ErrorCode)
	require.Contains(t, closed.ErrorMessage, "failure domain a is out")
	ready, reason := r.agent.Ready()
	require.False(t, ready)
	require.Equal(t, "out", reason)
	require.Zero(t, r.source.last().Weight)
	require.True(t, isRejected(newCaller(t, r.addr).Do(newRequest(t, http.MethodGet, "/", nil))))

	setViews(t, []*testAgent{r}, rulesText)
	awaitState(t, r, fleet.StateWarming)
	require.Less(t, int(r.source.last().Weight), fleet.WeightFull)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := newCaller(t, r.addr).Do(newRequest(t, http.MethodGet, "/", nil).WithContext(ctx))
	require.NoError(t, err)
	response.Body.Close()
}

// Guards against new flows to an agent whose target is down, and against a full weight right after the target is
// back.
func TestTargetDownStopsNewFlows(t *testing.T) {
	target := httptest.NewUnstartedServer(http.NotFoundHandler())
	address := target.Listener.Addr().String()
	target.Start()
	r := startTestAgent(t, "http://"+address)
	target.Close()
	awaitState(t, r, fleet.StateStarting)
	require.False(t, r.agent.AcceptsNewFlow())
	require.Zero(t, r.source.last().Weight)
}

// Guards against an agent that stops serving because of its target's health endpoint although requests succeed.
func TestUnhealthyTargetStillServes(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer target.Close()
	r := startTestAgent(t, target.URL)
	response, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NotZero(t, r.source.last().Weight)
}

// Guards against a weight that jumps after a start, and against one that is published on every small change.
func TestWeightRamps(t *testing.T) {
	var l lifecycle
	start := time.Now()
	c := conditions{hasService: true, reachable: true, healthy: true, limit: 9, slots: 9}
	published := 0
	for step := range 100 {
		if _, _, publish := l.update(c, start.Add(time.Duration(step)*100*time.Millisecond)); publish {
			published++
		}
		if step == 0 {
			require.EqualValues(t, minWeight, l.weight())
			require.Equal(t, fleet.StateWarming, l.state())
		}
	}
	require.EqualValues(t, fleet.WeightFull, l.weight())
	require.Equal(t, fleet.StateServing, l.state())
	require.LessOrEqual(t, published, 6)
	c.limit = 1
	_, _, publish := l.update(c, start.Add(time.Minute))
	require.True(t, publish)
	require.EqualValues(t, minWeight, l.weight())
}

package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/admission"
	"github.com/cowslipward/cowslipward/fleet"
)

// fillSlots occupies all slots of an agent and returns a function that releases them.
func fillSlots(t testing.TB, r *testAgent) (release func()) {
	t.Helper()
	var permits []*admission.Permit
	for range r.agent.Snapshot().Limit - r.agent.Snapshot().InProgress {
		permit, err := r.agent.limiter.Acquire(t.Context(), time.Now().Add(time.Minute))
		require.NoError(t, err)
		permits = append(permits, permit)
	}
	return func() {
		for _, permit := range permits {
			permit.Done(admission.Canceled)
		}
	}
}

// awaitHeartbeats waits until all agents have received each other's load.
func awaitHeartbeats() { time.Sleep(250 * time.Millisecond) }

func echoTarget(t testing.TB, name string) string {
	return startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, name+" "+r.Host+" "+r.Method+" "+r.URL.RequestURI()+" "+string(body))
	})
}

// Guards against refusals while a peer has free slots, and against a request that the handoff alters.
func TestFullAgentHandsOff(t *testing.T) {
	agents := startTestAgents(t, []string{echoTarget(t, "one"), echoTarget(t, "two")})
	defer fillSlots(t, agents[0])()
	awaitHeartbeats()
	request := newRequest(t, http.MethodGet, "/a%2Fb?q=1", strings.NewReader("body"))
	response, err := agents[0].caller.Do(request)
	require.NoError(t, err)
	require.Equal(t, "two localhost GET /a%2Fb?q=1 body", readAll(t, response))
	require.Equal(t, "bench-2", response.Header.Get(HeaderTarget))
	require.Equal(t, 1, agents[1].agent.PeerLoads()["bench-1"].InProgress)
	text := response.Header.Get(HeaderNextTicket)
	_, body := post(t, agents[0], "/paste", text)
	require.Equal(t, "two localhost POST /paste paste", body)
	response, body = post(t, agents[1], "/paste", text)
	require.Equal(t, "two localhost POST /paste paste", body, "stored at the issuer")
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a request that circulates among full agents, and against a wrong outcome of a refused handoff.
func TestAtMostOneHandoff(t *testing.T) {
	agents := startTestAgents(t, []string{echoTarget(t, "one"), echoTarget(t, "two")})
	awaitHeartbeats()
	defer fillSlots(t, agents[0])()
	defer fillSlots(t, agents[1])()
	response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, OutcomeNotRun, response.Header.Get(HeaderOutcome))
}

// Guards against an unknown outcome of a request that reached no target because the peer was down, and against
// the loss of a request that this agent can still run.
func TestUnreachablePeer(t *testing.T) {
	agents := startTestAgents(t, []string{echoTarget(t, "one"), echoTarget(t, "two")})
	release := fillSlots(t, agents[0])
	awaitHeartbeats()
	agents[1].control.Close()
	response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, OutcomeNotRun, response.Header.Get(HeaderOutcome))
	awaitHeartbeats()
	time.AfterFunc(50*time.Millisecond, release)
	response, err = agents[0].caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a repeatable request that is lost when the peer that runs it fails, and against a not-run
// outcome for it when this agent is full.
func TestPeerFailsDuringRequest(t *testing.T) {
	started := make(chan struct{}, 9)
	hanging := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { started <- struct{}{}; <-r.Context().Done() })
	for _, full := range []bool{false, true} {
		agents := startTestAgents(t, []string{echoTarget(t, "one"), hanging})
		release := fillSlots(t, agents[0])
		awaitHeartbeats()
		go func() {
			<-started
			if !full {
				release()
			}
			agents[1].control.Close()
		}()
		response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/", nil))
		require.NoError(t, err)
		if full {
			requireOutcome(t, response, OutcomeUnknown, reasonPeerFailed)
			continue
		}
		require.Equal(t, "one localhost GET / ", readAll(t, response))
	}
}

// Guards against a handoff into a failure domain that is out.
func TestNoHandoffIntoDomainOut(t *testing.T) {
	var runs atomic.Int32
	agents := startTestAgents(t, []string{echoTarget(t, "one"), countingTarget(t, &runs)})
	defer fillSlots(t, agents[0])()
	awaitHeartbeats()
	text := obtainTicket(t, agents[1])

	records := []fleet.MemberRecord{{VM: agents[0].vm, Service: 1}, {VM: agents[1].vm, Service: 1, State: fleet.StateServing, Weight: 1}}
	set := parseRules(t, rulesText+"out b # asked by test\n")
	agents[0].source.Set(fleet.NewView(set, fleet.Observation{Records: records}))
	response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	require.Equal(t, OutcomeNotRun, response.Header.Get(HeaderOutcome))
	response, _ = post(t, agents[0], "/paste", text)
	requireOutcome(t, response, OutcomeUnknown, reasonIssuerDomainOut)
	require.Zero(t, runs.Load())
}

// Guards against a request that continues at a peer, and against a connection that is kept open, in a failure
// domain that went out.
func TestDomainOutEndsHandoffs(t *testing.T) {
	target := slowTarget(t, time.Minute)
	agents := startTestAgents(t, []string{target, target})
	defer fillSlots(t, agents[0])()
	open := openHandoff(t, agents[0])
	set := parseRules(t, rulesText+"out b # asked by test\n")
	records := []fleet.MemberRecord{{VM: agents[0].vm, Service: 1}, {VM: agents[1].vm, Service: 1}}
	agents[0].source.Set(fleet.NewView(set, fleet.Observation{Records: records}))
	_, err := io.ReadAll(open.Body)
	require.Error(t, err)
	require.Eventually(t, func() bool {
		closed := true
		agents[1].conns.Range(func(_, state any) bool { closed = closed && state == http.StateClosed; return true })
		return closed
	}, 3*time.Second, 10*time.Millisecond)
}

// Guards against an agent that buffers a large body completely on its way to a peer.
func TestHandoffStreamsBothWays(t *testing.T) {
	step := make(chan struct{})
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		buffer := make([]byte, 4)
		for range 2 {
			if _, err := io.ReadFull(r.Body, buffer); err != nil {
				return
			}
			_, _ = w.Write(buffer)
			_ = http.NewResponseController(w).Flush()
			step <- struct{}{}
		}
	})
	agents := startTestAgents(t, []string{target, target})
	defer fillSlots(t, agents[0])()
	awaitHeartbeats()
	read, write := io.Pipe()
	go func() {
		_, _ = io.WriteString(write, "ping")
		<-step
		_, _ = io.WriteString(write, "pong")
		<-step
		write.Close()
	}()
	response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/", read))
	require.NoError(t, err)
	require.Equal(t, "pingpong", readAll(t, response))
	require.Equal(t, "bench-2", response.Header.Get(HeaderTarget))
}

// Guards against a peer's target that keeps working after the caller canceled, and against a truncated response
// that ends normally.
func TestHandoffCancelAndTruncation(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			_, _ = w.Write(make([]byte, 50000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	agents := startTestAgents(t, []string{target, target})
	defer fillSlots(t, agents[0])()
	awaitHeartbeats()
	response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/cut", nil))
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	awaitHeartbeats()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err = agents[0].caller.Do(newRequest(t, http.MethodGet, "/", nil).WithContext(ctx))
	require.ErrorIs(t, err, context.Canceled)
	waitFor(t, canceled)
}

// Guards against handoffs from outside the fleet and for another service.
func TestForgedHandoff(t *testing.T) {
	var runs atomic.Int32
	r := startTestAgent(t, countingTarget(t, &runs))
	plain := startHTTP(t, r.agent)
	response, err := http.Get(plain + handoffPath + "/x")
	require.NoError(t, err)
	requireOutcome(t, response, OutcomeNotRun, reasonInvalidHandoff)
	request, err := http.NewRequest(http.MethodGet, "https://"+r.vm.Control.String()+handoffPath+"/x", nil)
	require.NoError(t, err)
	request.Header.Set(headerService, "2")
	response, err = r.agent.peers.Do(request)
	require.NoError(t, err)
	requireOutcome(t, response, OutcomeNotRun, reasonWrongService)
	require.Zero(t, runs.Load())
}

func startHTTP(t testing.TB, a *Agent) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	_, handler := a.HandoffHandler()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return fmt.Sprintf("http://%s", listener.Addr())
}

// Guards against refusals while the agent's own target is down but a peer's target is up.
func TestTargetDownHandsOff(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	agents := startTestAgents(t, []string{server.URL, echoTarget(t, "two")})
	awaitHeartbeats()
	server.Close()
	response, err := agents[0].caller.Do(newRequest(t, http.MethodGet, "/", strings.NewReader("body")))
	require.NoError(t, err)
	require.Equal(t, "two localhost GET / body", readAll(t, response))
}

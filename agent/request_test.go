package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

// Guards against requests and responses that are not forwarded complete and with their headers.
func TestRequestIsForwarded(t *testing.T) {
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Echo", r.Header.Get("X-Ask")+r.Header.Get(HeaderTicket)+r.Header.Get("X-Hop"))
		w.Header().Set(HeaderOutcome, OutcomeNotRun)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	})
	r := startTestAgent(t, target)
	request := newRequest(t, http.MethodGet, "/scroll%2Fx/7?a=b&c", strings.NewReader("paste"))
	request.Header.Set("X-Ask", "hello")
	request.Header.Set(HeaderTicket, "secret")
	response, err := r.caller.Do(request)
	require.NoError(t, err)
	require.Equal(t, "GET /scroll%2Fx/7?a=b&c paste", readAll(t, response))
	require.Equal(t, "hello", response.Header.Get("X-Echo"))
	require.Equal(t, "bench-1", response.Header.Get(HeaderTarget))
	require.Equal(t, "1/1", response.Header.Get(HeaderLoad))
	require.NotEmpty(t, response.Header.Get(HeaderNextTicket))
	require.Empty(t, response.Header.Get(HeaderOutcome), "a target cannot set the outcome")
}

// Guards against responses that reach the wrong caller, or that are mixed up when they are late and out of
// order.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		var delay int
		_, _ = fmt.Sscanf(r.URL.Query().Get("delay"), "%d", &delay)
		time.Sleep(time.Duration(delay) * time.Millisecond)
		sum := sha256.Sum256([]byte(r.URL.Path))
		_, _ = w.Write(bytes.Repeat(sum[:], 1000))
	})
	r := startTestAgent(t, target)
	r.agent.limiter.SetLimits(limitsFromRule(r.agent.service()))
	var wg sync.WaitGroup
	var answered atomic.Int32
	for i := range 60 {
		wg.Go(func() {
			path := fmt.Sprintf("/%d", i)
			request := newRequest(t, http.MethodGet, fmt.Sprintf("%s?delay=%d", path, (60-i)%7), nil)
			response, err := r.caller.Do(request)
			if err != nil || response.StatusCode != http.StatusOK {
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			sum := sha256.Sum256([]byte(path))
			if err == nil && bytes.Equal(body, bytes.Repeat(sum[:], 1000)) {
				answered.Add(1)
				return
			}
			t.Error("wrong response", path, err)
		})
	}
	wg.Wait()
	require.NotZero(t, answered.Load())
}

// Guards against a target that keeps working after the caller canceled, and against a slot that is not released.
func TestCancellationReachesTarget(t *testing.T) {
	canceled := make(chan struct{})
	started := make(chan struct{})
	target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	r := startTestAgent(t, target)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil).WithContext(ctx))
	require.ErrorIs(t, err, context.Canceled)
	waitFor(t, canceled)
	require.Eventually(t, func() bool { return r.agent.Snapshot().InProgress == 0 }, time.Second, time.Millisecond)
}

func waitFor(t testing.TB, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("timeout")
	}
}

// Guards against a request that outlasts its caller's deadline, and against a wrong outcome at the deadline.
func TestDeadline(t *testing.T) {
	target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r := startTestAgent(t, target)
	request := newRequest(t, http.MethodGet, "/", nil)
	request.Header.Set(HeaderDeadline, "100")
	start := time.Now()
	response, err := r.caller.Do(request)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Equal(t, OutcomeUnknown, response.Header.Get(HeaderOutcome))
	require.Less(t, time.Since(start), time.Second)
	request.Header.Set(HeaderDeadline, "soon")
	response, err = r.caller.Do(request)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.Equal(t, OutcomeNotRun, response.Header.Get(HeaderOutcome))
}

// Guards against events of a stream that are held in a buffer, and against event streams that occupy all slots.
func TestEventStreamOccupiesNoSlot(t *testing.T) {
	events := make(chan string)
	target := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			select {
			case event := <-events:
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})
	r := startTestAgent(t, target)
	go func() { events <- "first" }()
	response, err := r.caller.Do(newRequest(t, http.MethodGet, "/", nil))
	require.NoError(t, err)
	defer response.Body.Close()
	buffer := make([]byte, 5)
	for _, event := range []string{"first", "again"} {
		_, err = io.ReadFull(response.Body, buffer)
		require.NoError(t, err)
		require.Equal(t, event, string(buffer))
		if event == "first" {
			events <- "again"
		}
	}
	require.Zero(t, r.agent.Snapshot().InProgress)
}

// Guards against a caller that stops reading and occupies the target's slot forever.
func TestStalledCallerTimesOut(t *testing.T) {
	done := make(chan error, 1)
	server := startCallerServer(t, func(w http.ResponseWriter, _ *http.Request) {
		out := &flushWriter{ResponseWriter: newRecorder(w), flush: true, stallTimeout: 200 * time.Millisecond}
		var err error
		for err == nil {
			_, err = out.Write(make([]byte, copyBufferBytes))
		}
		done <- err
	})
	response, err := server.Get("https://localhost/")
	require.NoError(t, err)
	defer response.Body.Close()
	require.ErrorIs(t, <-done, os.ErrDeadlineExceeded)
}

// startCallerServer serves HTTP/3 as the agent does and returns a client for it.
func startCallerServer(t *testing.T, handler http.HandlerFunc) *http.Client {
	store, err := testKeys()
	require.NoError(t, err)
	s := newServer(serverConfig{
		packetConn: listenUDP(t), keys: store, handler: handler, admit: func() bool { return true }, release: func() {},
	})
	go func() { _ = s.serve(context.Background(), store) }()
	t.Cleanup(func() { s.close() })
	return newCaller(t, s.transport.Conn.LocalAddr())
}

// Guards against a process that was paused and sends a request to its target after the deadline or based on an
// outdated view.
func TestLateDispatchIsRefused(t *testing.T) {
	var ran atomic.Int32
	target := startTarget(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	r := startTestAgent(t, target)
	j := &job{service: r.agent.service(), deadline: time.Now().Add(time.Minute), admittedAt: time.Now()}
	require.NoError(t, r.agent.checkDispatch(j))
	require.ErrorIs(t, r.agent.checkDispatch(&job{deadline: time.Now()}), errDeadlinePassed)
	j.ticketExpiry = time.Now()
	require.ErrorIs(t, r.agent.checkDispatch(j), errTicketExpired)
	j.ticketExpiry = time.Time{}
	r.source.setConfirmed(false)
	require.ErrorIs(t, r.agent.checkDispatch(j), errUnconfirmed)
	r.source.setConfirmed(true)
	r.agent.onPause(time.Second)
	require.ErrorIs(t, r.agent.checkDispatch(j), errPaused)
	require.Equal(t, 1, r.agent.Snapshot().Limit)
	j.admittedAt = time.Now()
	require.NoError(t, r.agent.checkDispatch(j))
	r.source.setConfirmed(false)
	request := newRequest(t, http.MethodGet, "/", nil)
	request.Header.Set(HeaderDeadline, "100")
	done := make(chan *http.Response, 1)
	go func() {
		response, err := r.caller.Do(request)
		if err == nil {
			done <- response
		}
	}()
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, ran.Load())
	r.source.setConfirmed(true)
	require.Equal(t, http.StatusOK, (<-done).StatusCode)
}

// Guards against 0-RTT data, which the network can replay: a non-repeatable request would run twice.
func TestNoEarlyData(t *testing.T) {
	r := startTestAgent(t, startTarget(t, func(http.ResponseWriter, *http.Request) {}))
	store, err := testKeys()
	require.NoError(t, err)
	config := &tls.Config{
		RootCAs: store.Current().CallerCA, ServerName: "localhost", NextProtos: []string{http3.NextProtoH3},
		ClientSessionCache: tls.NewLRUClientSessionCache(1),
	}
	for range 2 {
		conn, err := quic.DialAddrEarly(t.Context(), r.addr.String(), config, nil)
		require.NoError(t, err)
		waitFor(t, conn.HandshakeComplete())
		require.False(t, conn.ConnectionState().Used0RTT)
		time.Sleep(100 * time.Millisecond) // until the session ticket has arrived
		require.NoError(t, conn.CloseWithError(CodeNoError, ""))
	}
}

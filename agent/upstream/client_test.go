package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/agent/upstream"
)

// rawTarget is a target that writes raw bytes to its connections, so that it can violate HTTP.
type rawTarget struct {
	listener net.Listener
	requests atomic.Int32 // complete request headers received
	bytes    atomic.Int64
}

// startRawTarget starts a target that handles each connection with serve, and a client of it.
func startRawTarget(t *testing.T, serve func(*rawTarget, net.Conn, *bufio.Reader)) (*rawTarget, *upstream.Client) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	target := &rawTarget{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(target, conn, bufio.NewReader(&countingReader{conn, &target.bytes}))
			}()
		}
	}()
	return target, newClient(t, listener.Addr().String(), nil)
}

type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

func newClient(t *testing.T, address string, onInstanceChange func(string)) *upstream.Client {
	t.Helper()
	baseURL, err := url.Parse("http://" + address)
	require.NoError(t, err)
	client := upstream.New(upstream.Config{URL: baseURL, OnInstanceChange: onInstanceChange})
	t.Cleanup(client.Close)
	return client
}

// readRequest reads one request with its body and counts it. It returns false if no complete header arrives.
func (r *rawTarget) readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	r.requests.Add(1)
	_, _ = io.Copy(io.Discard, request.Body)
	return true
}

func do(client *upstream.Client, method string, timeout time.Duration, check func() error) (*upstream.Response, *upstream.Failure) {
	var body io.ReadCloser
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader("paste"))
	}
	request := &http.Request{
		Method: method, URL: client.URL(&url.URL{Path: "/x"}), Host: "bench", Body: body,
		Header: http.Header{"Idempotency-Key": {"1"}}, ContentLength: -1,
	}
	deadline := time.Now().Add(timeout)
	return client.Do(context.Background(), &upstream.Request{HTTP: request, Deadline: deadline, Check: check})
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a failure that is reported as not sent for a request that reached the target, which the agent turns
// into the outcome "not run", and against one reported as sent for a request that did not, which becomes "unknown".
func TestFailureReasons(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(*rawTarget, net.Conn, *bufio.Reader)
		check  func() error
		reason upstream.Reason
		sent   bool
	}{
		{
			name: "hangs", serve: func(r *rawTarget, _ net.Conn, b *bufio.Reader) { r.readRequest(b); time.Sleep(time.Second) },
			reason: upstream.ReasonDeadline, sent: true,
		},
		{
			name: "closes early", serve: func(r *rawTarget, _ net.Conn, b *bufio.Reader) { r.readRequest(b) },
			reason: upstream.ReasonClosed, sent: true,
		},
		{
			name: "resets", serve: func(r *rawTarget, c net.Conn, b *bufio.Reader) { r.readRequest(b); _ = c.(*net.TCPConn).SetLinger(0) },
			reason: upstream.ReasonReset, sent: true,
		},
		{
			name: "garbage", serve: func(r *rawTarget, c net.Conn, b *bufio.Reader) { r.readRequest(b); fmt.Fprint(c, "what\r\n\r\n") },
			reason: upstream.ReasonMalformed, sent: true,
		},
		{name: "no length", serve: func(r *rawTarget, c net.Conn, b *bufio.Reader) {
			r.readRequest(b)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		}, reason: upstream.ReasonMalformed, sent: true},
		{
			name: "check fails", serve: func(r *rawTarget, _ net.Conn, b *bufio.Reader) { r.readRequest(b) },
			check: func() error { return errors.New("late") }, reason: upstream.ReasonRefused,
		},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				target, client := startRawTarget(t, c.serve)
				_, failure := do(client, method, 300*time.Millisecond, c.check)
				require.NotNil(t, failure)
				require.Equal(t, c.reason, failure.Reason, failure)
				require.Equal(t, c.sent, failure.Sent, failure)
				if !c.sent {
					require.Zero(t, target.bytes.Load())
				}
			})
		}
	}
}

// Guards against a request that is reported as sent while the target is down.
func TestTargetDown(t *testing.T) {
	target, client := startRawTarget(t, nil)
	target.listener.Close()
	_, failure := do(client, http.MethodPost, time.Second, nil)
	require.NotNil(t, failure)
	require.Equal(t, upstream.ReasonUnreachable, failure.Reason)
	require.False(t, failure.Sent)
}

// Guards against a truncated response that ends like a complete one.
func TestTruncatedResponse(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
		_, client := startRawTarget(t, func(r *rawTarget, c net.Conn, b *bufio.Reader) {
			r.readRequest(b)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+head)
		})
		response, failure := do(client, http.MethodGet, time.Second, nil)
		require.Nil(t, failure)
		_, err := io.ReadAll(response.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		response.Body.Close()
	}
}

// Guards against automatic retries by net/http, which resends a GET, or a POST with an Idempotency-Key header, if a
// reused connection closes.
func TestNoRequestIsSentTwice(t *testing.T) {
	target, client := startRawTarget(t, func(r *rawTarget, c net.Conn, b *bufio.Reader) {
		if r.readRequest(b) {
			fmt.Fprint(c, completeResponse)
			r.readRequest(b)
		}
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		target.requests.Store(0)
		response, failure := do(client, method, time.Second, nil)
		require.Nil(t, failure)
		_, _ = io.ReadAll(response.Body)
		response.Body.Close()
		_, failure = do(client, method, time.Second, nil)
		require.NotNil(t, failure)
		require.True(t, failure.Sent)
		require.EqualValues(t, 2, target.requests.Load(), method)
	}
}

// Guards against a request that is reported as not sent but ran, and against one that runs twice, if the target closed
// the idle connection at about the time of the request, so that it is unknown whether the request arrived.
func TestClosedIdleConnection(t *testing.T) {
	target, client := startRawTarget(t, func(r *rawTarget, c net.Conn, b *bufio.Reader) {
		r.readRequest(b)
		fmt.Fprint(c, completeResponse)
	})
	for range 200 {
		before := target.requests.Load()
		response, failure := do(client, http.MethodPost, time.Second, nil)
		ran := target.requests.Load() - before
		require.LessOrEqual(t, ran, int32(1))
		if failure != nil {
			require.False(t, !failure.Sent && ran > 0, "reported as not sent, but ran")
			continue
		}
		_, _ = io.ReadAll(response.Body)
		response.Body.Close()
	}
}

// Guards against a target that keeps processing a request after the caller canceled it.
func TestCancelReachesTarget(t *testing.T) {
	closed := make(chan struct{})
	_, client := startRawTarget(t, func(r *rawTarget, _ net.Conn, b *bufio.Reader) {
		r.readRequest(b)
		_, _ = b.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	request := &http.Request{Method: http.MethodGet, URL: client.URL(&url.URL{Path: "/"}), Header: http.Header{}}
	_, failure := client.Do(ctx, &upstream.Request{HTTP: request, Deadline: time.Now().Add(time.Minute)})
	require.NotNil(t, failure)
	require.Equal(t, upstream.ReasonCanceled, failure.Reason)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection to the target was not closed after the cancellation")
	}
}

// Guards against a target restart that goes unnoticed, so that the new instance, still cold, receives the load of
// a warm one.
func TestInstanceChange(t *testing.T) {
	var instance atomic.Int32
	target, _ := startRawTarget(t, func(r *rawTarget, c net.Conn, b *bufio.Reader) {
		for r.readRequest(b) {
			fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\nX-Target-Instance: %d\r\n\r\n", instance.Load())
		}
	})
	var reasons []string
	client := newClient(t, target.listener.Addr().String(), func(reason string) { reasons = append(reasons, reason) })
	for _, now := range []int32{1, 1, 2, 2} {
		instance.Store(now)
		response, failure := do(client, http.MethodGet, time.Second, nil)
		require.Nil(t, failure)
		response.Body.Close()
	}
	require.Equal(t, []string{"target-instance-changed"}, reasons)
}

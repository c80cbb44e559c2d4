package caller

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/keys"
)

// testAgent is a QUIC and HTTP/3 server on the loopback interface that simulates an agent.
type testAgent struct {
	keys      *keys.Store
	socket    *net.UDPConn
	transport *quic.Transport
	server    *http3.Server
	conns     chan *quic.Conn
	address   netip.AddrPort
}

func newTestAgent(t *testing.T, handler http.HandlerFunc) *testAgent {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, nil, []net.IP{net.IPv4(127, 0, 0, 1)}))
	store, err := keys.Open(dir)
	require.NoError(t, err)
	s := &testAgent{keys: store}
	s.start(t, "127.0.0.1:0", handler)
	return s
}

// start listens on the address with a new transport, like an agent after a restart.
func (s *testAgent) start(t *testing.T, address string, handler http.HandlerFunc) {
	t.Helper()
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	require.NoError(t, err)
	s.socket, err = net.ListenUDP("udp4", udpAddress)
	require.NoError(t, err)
	s.address = s.socket.LocalAddr().(*net.UDPAddr).AddrPort()
	reset := quic.StatelessResetKey(s.keys.Current().Reset)
	s.transport = &quic.Transport{Conn: s.socket, StatelessResetKey: &reset}
	listener, err := s.transport.Listen(s.keys.CallerServer(http3.NextProtoH3), &quic.Config{})
	require.NoError(t, err)
	s.server = &http3.Server{Handler: handler}
	s.conns = make(chan *quic.Conn, 16)
	server, conns := s.server, s.conns
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			conns <- conn
			go func() { _ = server.ServeQUICConn(conn) }()
		}
	}()
	t.Cleanup(s.stop)
}

func (s *testAgent) stop() {
	_ = s.transport.Close()
	_ = s.socket.Close()
}

func (s *testAgent) caller(t *testing.T, address netip.AddrPort) *Caller {
	t.Helper()
	c := New(Config{
		Address: address,
		TLS:     &tls.Config{RootCAs: s.keys.Current().CallerCA, ServerName: "127.0.0.1"},
	})
	t.Cleanup(c.Close)
	return c
}

func getRequest(t *testing.T, path string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
	require.NoError(t, err)
	return request
}

func postRequest(t *testing.T, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	require.NoError(t, err)
	return request
}

// Guards against a truncated response body, and against a deadline that also limits the body of a streaming
// response, not only the response header.
func TestStreamOutlivesDeadline(t *testing.T) {
	s := newTestAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerTarget, "bench-1")
		for range 5 {
			_, _ = io.WriteString(w, "note\n")
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	})
	c := s.caller(t, s.address)
	c.config.Deadline = 300 * time.Millisecond
	result := c.Do(getRequest(t, "/view"))
	require.Equal(t, Answered, result.Outcome, result.Reason)
	require.Equal(t, "bench-1", result.Target)
	text, err := io.ReadAll(result.Response.Body)
	require.NoError(t, err)
	require.NoError(t, result.Response.Body.Close())
	require.Equal(t, strings.Repeat("note\n", 5), string(text))
}

// Guards against a non-repeatable request that fails because it has no ticket, and against one that is sent
// without its body when it is repeated with a ticket.
func TestTicketFromPreconditionRequired(t *testing.T) {
	var calls atomic.Int32
	s := newTestAgent(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		ticket := r.Header.Get(headerTicket)
		if ticket == "" {
			w.Header().Set(headerOutcome, outcomeNotRun)
			w.Header().Set(headerTicket, "first")
			w.WriteHeader(http.StatusPreconditionRequired)
			return
		}
		w.Header().Set(headerNextTicket, "next")
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, ticket+" "+string(body))
	})
	c := s.caller(t, s.address)
	for _, want := range []string{"first paste", "next paste"} {
		result := c.Do(postRequest(t, "/records", "paste"))
		require.Equal(t, Answered, result.Outcome, result.Reason)
		text, err := io.ReadAll(result.Response.Body)
		require.NoError(t, err)
		require.NoError(t, result.Response.Body.Close())
		require.Equal(t, want, string(text))
	}
	require.EqualValues(t, 3, calls.Load())
}

// Guards against requests that fail because an agent drains: a request after the GOAWAY must be reported as not
// sent, so that it is retried on another flow. It also fails if quic-go changes the error text by which unsent
// requests are recognized.
func TestGoAwayIsNotRun(t *testing.T) {
	unblock := make(chan struct{})
	s := newTestAgent(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerTarget, "bench-1")
		w.(http.Flusher).Flush()
		if r.URL.Path == "/view" {
			<-unblock
		}
	})
	c := s.caller(t, s.address)
	c.config.Flows, c.pool.maxFlows = 1, 1
	stream := c.Do(getRequest(t, "/view"))
	require.Equal(t, Answered, stream.Outcome)
	old := s.server
	s.server = nil
	go func() { _ = old.Shutdown(context.Background()) }()
	time.Sleep(200 * time.Millisecond)

	f := c.pool.flows[0]
	request := getRequest(t, "/")
	request.URL.Scheme, request.URL.Host = "https", s.address.String()
	_, sent, err := f.session.exchange(request)
	require.Error(t, err)
	require.False(t, sent, err)
	close(unblock)
	_, err = io.ReadAll(stream.Response.Body)
	require.NoError(t, err, "a response in progress continues after GOAWAY")
	_ = stream.Response.Body.Close()
}

// Guards against a streaming response that does not return an error at once when its failure domain is out of
// service.
func TestDomainOut(t *testing.T) {
	s := newTestAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Second)
	})
	c := s.caller(t, s.address)
	stream := c.Do(getRequest(t, "/view"))
	require.Equal(t, Answered, stream.Outcome)
	conn := <-s.conns
	started := time.Now()
	require.NoError(t, conn.CloseWithError(CodeDomainOut, "domain out"))
	_, err := io.ReadAll(stream.Response.Body)
	var interrupted *Interrupted
	require.ErrorAs(t, err, &interrupted)
	require.Equal(t, GivenUp, interrupted.Outcome)
	require.Equal(t, ReasonDomainOut, interrupted.Reason)
	require.Less(t, time.Since(started), time.Second)
	_ = stream.Response.Body.Close()
}

// Guards against a streaming response that hangs after its agent was replaced: a stateless reset must end it at
// once. The second request makes a packet that is long enough for quic-go to send a reset, which it does not for
// packets of 42 bytes or less.
func TestStatelessReset(t *testing.T) {
	s := newTestAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(8 * time.Second)
	})
	c := s.caller(t, s.address)
	c.config.Flows, c.pool.maxFlows = 1, 1
	stream := c.Do(getRequest(t, "/view"))
	require.Equal(t, Answered, stream.Outcome)
	// The socket is closed first, so that the old transport cannot send CONNECTION_CLOSE.
	_ = s.socket.Close()
	_ = s.transport.Close()
	s.start(t, s.address.String(), func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() })
	started := time.Now()
	result := c.Do(getRequest(t, "/"))
	require.Equal(t, Answered, result.Outcome, "a repeatable request is retried on a new flow")
	_ = result.Response.Body.Close()
	_, err := io.ReadAll(stream.Response.Body)
	var interrupted *Interrupted
	require.ErrorAs(t, err, &interrupted)
	require.Equal(t, GivenUp, interrupted.Outcome, err)
	require.Equal(t, ReasonStatelessReset, interrupted.Reason)
	require.Less(t, time.Since(started), time.Second)
	_ = stream.Response.Body.Close()
}

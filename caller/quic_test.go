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

// agentStand is a QUIC and HTTP/3 server on loopback in the place of an agent.
type agentStand struct {
	keys      *keys.Store
	socket    *net.UDPConn
	transport *quic.Transport
	server    *http3.Server
	conns     chan *quic.Conn
	address   netip.AddrPort
}

func newStand(t *testing.T, handler http.HandlerFunc) *agentStand {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, nil, []net.IP{net.IPv4(127, 0, 0, 1)}))
	store, err := keys.Open(dir)
	require.NoError(t, err)
	s := &agentStand{keys: store}
	s.start(t, "127.0.0.1:0", handler)
	return s
}

// start serves at the address with a new transport, as an agent does after a restart.
func (s *agentStand) start(t *testing.T, address string, handler http.HandlerFunc) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp4", address)
	require.NoError(t, err)
	s.socket, err = net.ListenUDP("udp4", at)
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

func (s *agentStand) stop() {
	_ = s.transport.Close()
	_ = s.socket.Close()
}

func (s *agentStand) caller(t *testing.T, address netip.AddrPort) *Caller {
	t.Helper()
	c := New(Config{
		Address: address,
		TLS:     &tls.Config{RootCAs: s.keys.Current().CallerCA, ServerName: "127.0.0.1"},
	})
	t.Cleanup(c.Close)
	return c
}

func get(t *testing.T, path string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
	require.NoError(t, err)
	return request
}

func post(t *testing.T, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	require.NoError(t, err)
	return request
}

// Guards against an answer that is cut, and against a view whose body is bound by the deadline of the header.
func TestStreamOutlivesDeadline(t *testing.T) {
	s := newStand(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerTarget, "bench-1")
		for range 5 {
			_, _ = io.WriteString(w, "note\n")
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	})
	c := s.caller(t, s.address)
	c.config.Deadline = 300 * time.Millisecond
	result := c.Do(get(t, "/view"))
	require.Equal(t, Answered, result.Outcome, result.Reason)
	require.Equal(t, "bench-1", result.Target)
	text, err := io.ReadAll(result.Response.Body)
	require.NoError(t, err)
	require.NoError(t, result.Response.Body.Close())
	require.Equal(t, strings.Repeat("note\n", 5), string(text))
}

// Guards against a paste record that is refused for want of a ticket, and against one whose body is lost on the way.
func TestTicketFromPreconditionRequired(t *testing.T) {
	var calls atomic.Int32
	s := newStand(t, func(w http.ResponseWriter, r *http.Request) {
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
		result := c.Do(post(t, "/records", "paste"))
		require.Equal(t, Answered, result.Outcome, result.Reason)
		text, err := io.ReadAll(result.Response.Body)
		require.NoError(t, err)
		require.NoError(t, result.Response.Body.Close())
		require.Equal(t, want, string(text))
	}
	require.EqualValues(t, 3, calls.Load())
}

// Guards against a drain that fails requests: after GOAWAY the next request must be reopened on another flow, and the
// text by which an unsent request is recognized must still be the library's.
func TestGoAwayIsNotRun(t *testing.T) {
	hold := make(chan struct{})
	s := newStand(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerTarget, "bench-1")
		w.(http.Flusher).Flush()
		if r.URL.Path == "/view" {
			<-hold
		}
	})
	c := s.caller(t, s.address)
	c.config.Flows, c.pool.most = 1, 1
	view := c.Do(get(t, "/view"))
	require.Equal(t, Answered, view.Outcome)
	old := s.server
	s.server = nil
	go func() { _ = old.Shutdown(context.Background()) }()
	time.Sleep(200 * time.Millisecond)

	f := c.pool.flows[0]
	request := get(t, "/")
	request.URL.Scheme, request.URL.Host = "https", s.address.String()
	_, sent, err := f.session.exchange(request)
	require.Error(t, err)
	require.False(t, sent, err)
	close(hold)
	_, err = io.ReadAll(view.Response.Body)
	require.NoError(t, err, "an open view goes on after GOAWAY")
	_ = view.Response.Body.Close()
}

// Guards against a flow into a domain that is out whose end the application does not learn at once.
func TestDomainOut(t *testing.T) {
	s := newStand(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Second)
	})
	c := s.caller(t, s.address)
	view := c.Do(get(t, "/view"))
	require.Equal(t, Answered, view.Outcome)
	conn := <-s.conns
	started := time.Now()
	require.NoError(t, conn.CloseWithError(CodeDomainOut, "domain out"))
	_, err := io.ReadAll(view.Response.Body)
	var interrupted *Interrupted
	require.ErrorAs(t, err, &interrupted)
	require.Equal(t, GivenUp, interrupted.Outcome)
	require.Equal(t, ReasonDomainOut, interrupted.Reason)
	require.Less(t, time.Since(started), time.Second)
	_ = view.Response.Body.Close()
}

// Guards against a view that hangs after its agent was replaced: a stateless reset must end it at once. The second
// request makes a packet long enough for a reset by quic-go, which answers none of 42 bytes or less.
func TestStatelessReset(t *testing.T) {
	s := newStand(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(8 * time.Second)
	})
	c := s.caller(t, s.address)
	c.config.Flows, c.pool.most = 1, 1
	view := c.Do(get(t, "/view"))
	require.Equal(t, Answered, view.Outcome)
	// The socket closes first, so that the old transport cannot say that it closes.
	_ = s.socket.Close()
	_ = s.transport.Close()
	s.start(t, s.address.String(), func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() })
	started := time.Now()
	result := c.Do(get(t, "/"))
	require.Equal(t, Answered, result.Outcome, "a repeatable request goes to a new flow")
	_ = result.Response.Body.Close()
	_, err := io.ReadAll(view.Response.Body)
	var interrupted *Interrupted
	require.ErrorAs(t, err, &interrupted)
	require.Equal(t, GivenUp, interrupted.Outcome, err)
	require.Equal(t, ReasonStatelessReset, interrupted.Reason)
	require.Less(t, time.Since(started), time.Second)
	_ = view.Response.Body.Close()
}

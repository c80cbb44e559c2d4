package peer_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipward/cowslipward/internal/peer"
	"github.com/cowslipward/cowslipward/keys"
)

// Guards against bytes that leave for a failure domain on an old view: both ends of a connection must stop at once when
// a write is not allowed, whatever part of HTTP/2 makes it.
func TestGuardStopsBothEnds(t *testing.T) {
	for _, side := range []string{"client", "server"} {
		t.Run(side, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, keys.Generate(dir, nil, nil))
			store, err := keys.Open(dir)
			require.NoError(t, err)
			var closed atomic.Bool
			allow := func() bool { return !closed.Load() }
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			counted := &countedListener{Listener: inner}
			server := peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if side == "server" {
					peer.GuardWrites(r.Context(), allow)
				}
				_, _ = io.WriteString(w, "hello")
			}))
			go func() { _ = server.Serve(peer.Secure(store, counted)) }()
			defer server.Close()

			clientAllow := allow
			if side == "server" {
				clientAllow = nil
			}
			session := peer.NewSession(store, netip.Addr{}, clientAllow)
			defer session.Close()
			get := func() error {
				answer, err := session.Client.Get("https://" + inner.Addr().String() + "/")
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					_ = answer.Body.Close()
				}
				return err
			}
			require.NoError(t, get())
			counted.awaitQuiet(t)
			closed.Store(true)
			read, written := counted.read.Load(), counted.written.Load()
			require.Error(t, get())
			if side == "client" {
				require.Equal(t, read, counted.read.Load(), "bytes from the client")
			} else {
				require.Equal(t, written, counted.written.Load(), "bytes from the server")
			}
		})
	}
}

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	read, written atomic.Int64
}

// awaitQuiet waits until HTTP/2 has written what follows an exchange, such as acknowledgements of settings. A write that
// was allowed before the view grew old may otherwise be counted after it.
func (l *countedListener) awaitQuiet(t *testing.T) {
	const quiet = 100 * time.Millisecond
	last, since := int64(-1), time.Now()
	require.Eventually(t, func() bool {
		if now := l.read.Load() + l.written.Load(); now != last {
			last, since = now, time.Now()
		}
		return time.Since(since) >= quiet
	}, 5*time.Second, quiet/20)
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, listener: l}, err
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.written.Add(int64(n))
	return n, err
}

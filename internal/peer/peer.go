// Package peer builds the HTTP clients and servers for connections between the processes of the fleet.
package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/keys"
)

// Time-outs and periods of connections between peers.
const (
	dialTimeout = time.Second

	// MinHandshakeTimeout is the shortest time that a TLS handshake may take.
	MinHandshakeTimeout = time.Second

	idleTimeout     = 30 * time.Second
	pingAfter       = time.Second // time without a received frame after which HTTP/2 pings the peer
	pingTimeout     = time.Second // the connection is closed if a ping is not answered within this time
	headerTimeout   = 5 * time.Second
	keepAlivePeriod = 5 * time.Second

	// sessionPingAfter exceeds the heartbeat and report periods of package feed, which make pings unnecessary.
	sessionPingAfter = 3 * time.Second
)

// NewClient returns an HTTP/2 client with mutual TLS. Connections are bound to the local IP if it is valid,
// so that servers can identify the VM by its source address. An unresponsive connection is closed after 2 s,
// and the next request dials from a new port.
func NewClient(store *keys.Store, local netip.Addr) *http.Client {
	return newClient(store, dialFrom(local), MinHandshakeTimeout, pingAfter)
}

// Session is a client for one peer that does not share its connections. Close closes them immediately, including
// unresponsive ones, so that nothing more is sent to the peer.
type Session struct {
	Client *http.Client

	mu     sync.Mutex
	closed bool
	conns  []net.Conn
}

// NewSession returns a session. TLS handshakes may take handshakeTimeout. Sessions carry heartbeats, so HTTP/2 sends
// pings only if those stop. If allow is not nil, it is called before each write; a write for which it returns false
// fails and closes the connection.
func NewSession(store *keys.Store, local netip.Addr, handshakeTimeout time.Duration, allow func() bool) *Session {
	s := &Session{}
	dial := dialFrom(local)
	s.Client = newClient(store, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s.track(conn)
		return newGuardedConn(conn, allow), nil
	}, handshakeTimeout, sessionPingAfter)
	return s
}

func (s *Session) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
	}
	s.conns = append(s.conns, conn)
}

// Close closes all connections of the session, including those dialed afterwards.
func (s *Session) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialFrom(local netip.Addr) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return dialer.DialContext
}

func newClient(store *keys.Store, dial dialFunc, handshakeTimeout, ping time.Duration) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     store.PeerClient(),
		TLSHandshakeTimeout: handshakeTimeout,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: pingTimeout},
	}}
}

// NewServer returns an HTTP server for the control address. Serve it on a listener returned by Listen or Secure.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: sessionPingAfter, PingTimeout: pingTimeout},
		ConnContext:       withGuardedConn,
		// Failed handshakes and lost connections of peers are common and would flood the log at a higher level.
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// Listen binds the control address and returns a listener with mutual TLS.
func Listen(store *keys.Store, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	return Secure(store, listener), nil
}

// Secure wraps the listener with mutual TLS and write guards; see GuardWrites.
func Secure(store *keys.Store, listener net.Listener) net.Listener {
	return tls.NewListener(guardedListener{listener}, store.PeerServer())
}

package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
)

// errGuarded is the error of a write that was refused.
var errGuarded = errors.New("nothing may be written to the peer now")

// guardedConn asks before each write whether it may leave. HTTP/2 writes pings, acknowledgements and heartbeats from
// goroutines of its own; a process that woke from a pause would otherwise send them on an old view of the fleet.
type guardedConn struct {
	net.Conn
	allow atomic.Pointer[func() bool]
}

func newGuarded(conn net.Conn, allow func() bool) *guardedConn {
	g := &guardedConn{Conn: conn}
	if allow != nil {
		g.allow.Store(&allow)
	}
	return g
}

// Write writes, or ends the connection without a further segment of data when the write is refused.
func (g *guardedConn) Write(p []byte) (int, error) {
	if allow := g.allow.Load(); allow != nil && !(*allow)() {
		g.abort()
		return 0, errGuarded
	}
	return g.Conn.Write(p)
}

// abort discards what has not been sent.
func (g *guardedConn) abort() {
	if conn, ok := g.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = g.Conn.Close()
}

// guardedListener makes the connections that it accepts guardable.
type guardedListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newGuarded(conn, nil), nil
}

type guardedKey struct{}

// withGuarded keeps the connection of a request in its context.
func withGuarded(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	return context.WithValue(ctx, guardedKey{}, conn)
}

// GuardWrites makes each later write on the connection that carries the request call allow first. It has no effect on
// requests that were not received through NewServer and Listen.
func GuardWrites(ctx context.Context, allow func() bool) {
	if g, ok := ctx.Value(guardedKey{}).(*guardedConn); ok {
		g.allow.Store(&allow)
	}
}

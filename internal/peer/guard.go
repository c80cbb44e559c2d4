package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
)

// errWriteRefused is returned for a write that allow refused.
var errWriteRefused = errors.New("write to peer refused by write guard")

// guardedConn calls allow before each write. HTTP/2 writes pings, acknowledgements and heartbeats from its
// own goroutines; without the check, a process that resumes after a pause would send them based on an
// outdated view of the fleet.
type guardedConn struct {
	net.Conn
	allow atomic.Pointer[func() bool]
}

func newGuardedConn(conn net.Conn, allow func() bool) *guardedConn {
	g := &guardedConn{Conn: conn}
	if allow != nil {
		g.allow.Store(&allow)
	}
	return g
}

// Write writes to the connection. If the write is refused, it aborts the connection without sending another data
// segment.
func (g *guardedConn) Write(p []byte) (int, error) {
	if allow := g.allow.Load(); allow != nil && !(*allow)() {
		g.abort()
		return 0, errWriteRefused
	}
	return g.Conn.Write(p)
}

// abort closes the connection and discards unsent data.
func (g *guardedConn) abort() {
	if conn, ok := g.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = g.Conn.Close()
}

// guardedListener wraps accepted connections in guardedConn, without a write guard at first.
type guardedListener struct {
	net.Listener
}

// Accept waits for the next connection and wraps it.
func (l guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newGuardedConn(conn, nil), nil
}

type guardedConnKey struct{}

// withGuardedConn stores the underlying connection in the context of its requests.
func withGuardedConn(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	return context.WithValue(ctx, guardedConnKey{}, conn)
}

// GuardWrites makes each later write on the connection that carries the request call allow first. It has no
// effect on requests that were not received through NewServer and Listen.
func GuardWrites(ctx context.Context, allow func() bool) {
	if g, ok := ctx.Value(guardedConnKey{}).(*guardedConn); ok {
		g.allow.Store(&allow)
	}
}

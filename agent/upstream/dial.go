package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections to the target.
const (
	dialTimeout = time.Second
	// tcpUserTimeout is the TCP user timeout, RFC 5482: a connection is closed if sent data stays unacknowledged for
	// this long. A middlebox that has lost its state for a connection drops packets silently.
	tcpUserTimeout = 4 * time.Second
	// keepAlivePeriod is the idle time before the first TCP keep-alive probe and the interval between probes. A target
	// may send nothing for hours on a streaming response.
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
	// idleTimeout is how long an idle connection is kept. One that has been idle for longer is not reused, because its
	// packets may be dropped silently by then.
	idleTimeout = 2 * time.Second
)

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlivePeriod,
			Interval: keepAlivePeriod,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

func dialPlain(dialer *net.Dialer, firstWrite *sync.Mutex) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, firstWrite: firstWrite}, nil
	}
}

// dialTLS wraps the TLS connection rather than the TCP connection in a gatedConn, so that handshake bytes do not count
// as bytes of the request.
func dialTLS(dialer *net.Dialer, firstWrite *sync.Mutex) func(context.Context, string, string) (net.Conn, error) {
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: &tls.Config{MinVersion: tls.VersionTLS12}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := tlsDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, firstWrite: firstWrite}, nil
	}
}

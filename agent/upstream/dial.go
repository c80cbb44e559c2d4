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

// Times of connections to the target.
const (
	dialTimeout = time.Second
	// userTimeout closes a connection whose bytes the target has not acknowledged, RFC 5482. A middlebox that lost its
	// entry for a connection drops its packets silently.
	userTimeout = 4 * time.Second
	// keepAlivePeriod probes a connection on which the target is silent, as it may be for hours in a live view.
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
	// idleTimeout is how long an unused connection is kept. No connection idle for longer is reused, since it may have
	// gone silent.
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
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

func dialPlain(dialer *net.Dialer, first *sync.Mutex) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, first: first}, nil
	}
}

// dialTLS puts the gate above TLS, so that the bytes of the handshake do not count as bytes of the request.
func dialTLS(dialer *net.Dialer, first *sync.Mutex) func(context.Context, string, string) (net.Conn, error) {
	secure := &tls.Dialer{NetDialer: dialer, Config: &tls.Config{MinVersion: tls.VersionTLS12}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := secure.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, first: first}, nil
	}
}

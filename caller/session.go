package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Timeouts and sizes of a connection.
const (
	// keepAlivePeriod is the idle time after which QUIC sends a PING, so that a working flow receives a packet at
	// least this often.
	keepAlivePeriod  = time.Second
	idleTimeout      = 10 * time.Second
	handshakeTimeout = time.Second
	// ackTimeout is the maximum time until a packet is acknowledged. Replies move to another balancer within 250
	// ms, so that even a flow whose balancer fails receives an acknowledgment within this time.
	ackTimeout = time.Second
	// suspectTimeout is the time without a received packet after which a flow gets no new requests.
	suspectTimeout = keepAlivePeriod + ackTimeout
	// unresponsiveTimeout is the time without a received packet after which a flow is closed, so that streaming
	// responses on it return an error.
	unresponsiveTimeout = 4 * time.Second
	monitorInterval     = 250 * time.Millisecond
	// socketBufferBytes is set explicitly, since the default of some systems drops packets of download bursts.
	socketBufferBytes = 1 << 20
	// initialPacketBytes leaves room for the tunnel header within an MTU of 1,500 bytes.
	initialPacketBytes = 1252
)

// session is a connection to one target.
type session interface {
	// exchange sends a request and waits for the response header. sent is false if no byte of the request was sent.
	exchange(request *http.Request) (response *http.Response, sent bool, err error)
	// addCloseReason joins the reason why the session was closed, if it was, with the error of a stream.
	addCloseReason(err error) error
	// context returns a context that is canceled when the session is closed.
	context() context.Context
	// lastReceived returns when the last packet from the peer arrived.
	lastReceived() time.Time
	close(err error)
}

// dialer opens sessions.
type dialer func(ctx context.Context) (session, error)

// quicSession is a QUIC connection with its own socket, so that each new session has a new source port and thus
// a new entry in the tables of middleboxes.
type quicSession struct {
	conn        *timestampConn
	transport   *quic.Transport
	quic        *quic.Conn
	http        *http3.ClientConn
	closeReason atomic.Pointer[error] // why the caller closed the session; nil if it did not
}

// newDialer returns a dialer that connects from the local IP to the service address.
func newDialer(config Config) dialer {
	tlsConfig := config.TLS.Clone()
	tlsConfig.NextProtos = []string{http3.NextProtoH3}
	if tlsConfig.ServerName == "" {
		tlsConfig.ServerName = config.Address.Addr().String()
	}
	return func(ctx context.Context) (session, error) {
		return dialQUIC(ctx, config.Address, config.Local, tlsConfig)
	}
}

func dialQUIC(ctx context.Context, address netip.AddrPort, local netip.Addr, tlsConfig *tls.Config) (session, error) {
	if !local.IsValid() {
		local = netip.IPv4Unspecified()
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil, fmt.Errorf("bind caller socket: %w", err)
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	s := &quicSession{conn: newTimestampConn(socket)}
	s.transport = &quic.Transport{Conn: s.conn}
	s.quic, err = s.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), tlsConfig, &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		InitialPacketSize:    initialPacketBytes,
		MaxIncomingStreams:   -1,
	})
	if err != nil {
		s.release()
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	s.http = (&http3.Transport{DisableCompression: true}).NewClientConn(s.quic)
	context.AfterFunc(s.quic.Context(), s.release)
	return s, nil
}

// release closes the transport and the socket.
func (s *quicSession) release() {
	_ = s.transport.Close()
	_ = s.conn.Close()
}

// unusableConnPrefix is the prefix of the error that quic-go v0.65.0 returns if no stream was opened. Its type
// is not exported, so the text is compared; TestGoAwayIsNotRun fails if the text changes.
const unusableConnPrefix = "http3: conn unusable"

func (s *quicSession) exchange(request *http.Request) (*http.Response, bool, error) {
	response, err := s.http.RoundTrip(request)
	if err == nil {
		return response, true, nil
	}
	sent := !strings.HasPrefix(err.Error(), unusableConnPrefix)
	return nil, sent, s.addCloseReason(err)
}

// addCloseReason puts the close reason first, so that it takes precedence over the error of the stream.
func (s *quicSession) addCloseReason(err error) error {
	if closeReason := s.closeReason.Load(); closeReason != nil {
		return errors.Join(*closeReason, err)
	}
	if cause := context.Cause(s.quic.Context()); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

func (s *quicSession) context() context.Context { return s.quic.Context() }

func (s *quicSession) lastReceived() time.Time { return s.conn.heard() }

func (s *quicSession) close(err error) {
	s.closeReason.CompareAndSwap(nil, &err)
	_ = s.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), err.Error())
}

// timestampConn records when the last packet arrived. It does not embed *net.UDPConn, since quic-go would then
// bypass ReadFrom.
type timestampConn struct {
	conn     *net.UDPConn
	start    time.Time
	received atomic.Int64 // time of the last packet, in nanoseconds since start
}

func newTimestampConn(conn *net.UDPConn) *timestampConn {
	return &timestampConn{conn: conn, start: time.Now()}
}

func (c *timestampConn) heard() time.Time { return c.start.Add(time.Duration(c.received.Load())) }

// ReadFrom implements net.PacketConn.
func (c *timestampConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.conn.ReadFrom(p)
	if err == nil {
		c.received.Store(int64(time.Since(c.start)))
	}
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *timestampConn) WriteTo(p []byte, addr net.Addr) (int, error) { return c.conn.WriteTo(p, addr) }

// SetReadBuffer does nothing, so that quic-go does not change the size that dialQUIC set.
func (c *timestampConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, so that quic-go does not change the size that dialQUIC set.
func (c *timestampConn) SetWriteBuffer(int) error { return nil }

// Close implements net.PacketConn.
func (c *timestampConn) Close() error { return c.conn.Close() }

// LocalAddr implements net.PacketConn.
func (c *timestampConn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *timestampConn) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *timestampConn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *timestampConn) SetWriteDeadline(t time.Time) error { return c.conn.SetWriteDeadline(t) }

package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/cowslipward/cowslipward/keys"
)

// QUIC settings for the connections of callers.
const (
	// keepAlivePeriod keeps long-lived event streams open and detects flows whose path no longer delivers
	// packets.
	keepAlivePeriod = 5 * time.Second
	// idleTimeout is three keep-alive periods, so that two lost keep-alives do not end a flow.
	idleTimeout      = 15 * time.Second
	handshakeTimeout = 5 * time.Second

	// Receive windows bound the memory of an upload. Callers are a few milliseconds away.
	initialStreamWindow     = 64 << 10
	maxStreamWindow         = 1 << 20
	initialConnectionWindow = 128 << 10
	maxConnectionWindow     = 2 << 20

	streamsPerConnection    = 64
	uniStreamsPerConnection = 8
	maxRequestHeaderBytes   = 64 << 10
)

// Error codes of connections that the agent closes.
const (
	CodeNoError   = quic.ApplicationErrorCode(http3.ErrCodeNoError)
	CodeDomainOut = quic.ApplicationErrorCode(0xC0A5) // the failure domain is out and the flow is abandoned
)

var errConnectionLimit = errors.New("connection limit reached")

// server terminates QUIC and HTTP/3 on a packet connection. It owns the callers' connections.
type server struct {
	transport *quic.Transport
	handler   http.Handler
	admit     func() bool // counts a connection against the limit, false if it must be refused
	release   func()

	mu         sync.Mutex
	generation *generation
}

// serverConfig configures a server.
type serverConfig struct {
	packetConn    net.PacketConn
	connectionIDs quic.ConnectionIDGenerator // nil for random IDs
	keys          *keys.Store
	handler       http.Handler
	admit         func() bool
	release       func()
}

func newServer(c serverConfig) *server {
	s := &server{handler: c.handler, admit: c.admit, release: c.release}
	reset := quic.StatelessResetKey(c.keys.Current().Reset)
	s.transport = &quic.Transport{
		Conn:                  c.packetConn,
		ConnectionIDGenerator: c.connectionIDs,
		StatelessResetKey:     &reset,
		ConnContext:           s.admitConnection,
	}
	s.generation = newGeneration(s.handler)
	return s
}

// quicConfig returns the QUIC configuration for callers. 0-RTT is disabled, since its data can be replayed.
func quicConfig() *quic.Config {
	return &quic.Config{
		Allow0RTT:                      false,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             streamsPerConnection,
		MaxIncomingUniStreams:          uniStreamsPerConnection,
	}
}

// admitConnection counts a connection against the connection limit until it closes.
func (s *server) admitConnection(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if !s.admit() {
		return nil, errConnectionLimit
	}
	context.AfterFunc(ctx, s.release)
	return ctx, nil
}

// serve accepts connections until the transport closes.
func (s *server) serve(ctx context.Context, store *keys.Store) error {
	listener, err := s.transport.Listen(store.CallerServer(http3.NextProtoH3), quicConfig())
	if err != nil {
		return err
	}
	defer listener.Close()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return err
		}
		go s.current().serve(conn)
	}
}

func (s *server) current() *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// renewGeneration starts a new generation after a reverted drain, so that later connections are served normally.
func (s *server) renewGeneration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = newGeneration(s.handler)
}

// close closes all connections and the transport.
func (s *server) close() error { return s.transport.Close() }

package balancer_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fabric sprays callers' packets over balancers at random, packet by packet, as the network does.
type fabric struct {
	mu        sync.RWMutex
	balancers []netip.AddrPort
}

func (f *fabric) set(balancers ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort{}, balancers...)
}

func (f *fabric) pick() netip.AddrPort {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.balancers[rand.IntN(len(f.balancers))]
}

// publicAddress is the service address that callers believe they communicate with.
var publicAddress = net.UDPAddrFromAddrPort(netip.MustParseAddrPort("192.0.2.1:443"))

// caller is a caller's socket behind the fabric. It has no ReadMsgUDP method, so that quic-go uses ReadFrom
// and WriteTo.
type caller struct {
	udp    *net.UDPConn
	fabric *fabric

	mu       sync.Mutex
	sent     int // largest datagram sent, in bytes
	received int // largest datagram received, in bytes
}

func (f *fabric) caller(t *testing.T) *caller {
	t.Helper()
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(anyPort)))
	require.NoError(t, err)
	return &caller{udp: udp, fabric: f}
}

func (c *caller) ReadFrom(p []byte) (int, net.Addr, error) {
	n, _, err := c.udp.ReadFrom(p)
	c.mu.Lock()
	c.received = max(c.received, n)
	c.mu.Unlock()
	return n, publicAddress, err
}

func (c *caller) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.mu.Lock()
	c.sent = max(c.sent, len(p))
	c.mu.Unlock()
	_, _ = c.udp.WriteToUDPAddrPort(p, c.fabric.pick())
	return len(p), nil
}

func (c *caller) largest() (sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.received
}

func (c *caller) Close() error                          { return c.udp.Close() }
func (c *caller) LocalAddr() net.Addr                   { return c.udp.LocalAddr() }
func (c *caller) SetDeadline(t time.Time) error         { return c.udp.SetDeadline(t) }
func (c *caller) SetReadDeadline(t time.Time) error     { return c.udp.SetReadDeadline(t) }
func (c *caller) SetWriteDeadline(t time.Time) error    { return c.udp.SetWriteDeadline(t) }
func (c *caller) SetReadBuffer(n int) error             { return c.udp.SetReadBuffer(n) }
func (c *caller) SetWriteBuffer(n int) error            { return c.udp.SetWriteBuffer(n) }
func (c *caller) SyscallConn() (syscall.RawConn, error) { return c.udp.SyscallConn() }

// Package tunnel is the agent's end of the tunnel between balancers and agents. It provides a net.PacketConn
// on which a QUIC server receives callers' datagrams as if the callers had sent them to the agent directly.
package tunnel

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/wire"
)

// Config configures the agent's end of the tunnel.
type Config struct {
	VM          string         // name of this VM
	Domain      string         // name of its failure domain
	Listen      netip.AddrPort // tunnel address to bind
	Advertise   netip.AddrPort // address in connection IDs and packets; defaults to Listen
	Control     netip.AddrPort // control address sent in revision notices
	Incarnation uint16
	Keys        *keys.Store
	Source      fleet.Source
	ReplyDirect bool // this VM owns the service's address, so the agent replies to callers without a balancer
	Log         *slog.Logger
}

// Conn is a net.PacketConn for quic.Transport. ReadFrom must be called continuously, because it also processes
// control packets. Conn has no ReadMsgUDP method: quic-go would use it to read the socket directly, bypassing
// ReadFrom.
type Conn struct {
	cfg         Config
	link        *link.Link
	ids         *idGenerator
	returnPaths *returnPaths
	decisions   *flowDecisions
	admit       atomic.Pointer[func() bool]

	identity atomic.Pointer[identity]

	readMu sync.Mutex // guards batch, count, next and header
	batch  *udpbatch.Batch
	count  int
	next   int
	header wire.Header

	direct directSocket
}

var _ net.PacketConn = (*Conn)(nil)

// Open binds the tunnel address and returns the connection.
func Open(cfg Config) (*Conn, error) {
	l, err := link.Open(link.Config{
		Role:        "agent",
		Listen:      cfg.Listen,
		Advertise:   cfg.Advertise,
		Control:     cfg.Control,
		Incarnation: cfg.Incarnation,
		Keys:        cfg.Keys,
		Source:      cfg.Source,
		Log:         cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	cfg.Advertise = l.Advertise
	cfg.Log = l.Log
	c := &Conn{cfg: cfg, link: l, returnPaths: newReturnPaths(l), decisions: newFlowDecisions()}
	c.ids = newGenerator(c)
	c.Handle(wire.ProbeAck, func(*wire.Header, []byte) {})
	return c, nil
}

// SetAdmitFunc sets the function that reports whether this agent may accept a new flow. If it returns false,
// the flow is passed to the next target if there is one. It is called in the reading goroutine and must not
// block.
func (c *Conn) SetAdmitFunc(admit func() bool) { c.admit.Store(&admit) }

// Handle sets the handler for control packets of the kind. The handler runs in the reading goroutine and must
// not block or retain its arguments.
func (c *Conn) Handle(kind wire.Kind, handler func(h *wire.Header, body []byte)) {
	if kind == wire.ProbeAck {
		next := handler
		handler = func(h *wire.Header, body []byte) {
			c.returnPaths.recordProbeAck(c.cfg.Source.View(), h.Sender)
			next(h, body)
		}
	}
	c.link.Handle(kind, handler)
}

// Send sends a control packet to another process. Delivery is not guaranteed. While the view is not confirmed,
// Send returns ErrViewUnconfirmed; other errors say why the packet could not be sent.
func (c *Conn) Send(kind wire.Kind, to netip.AddrPort, body []byte) error {
	if !c.link.Gate.Allow() {
		return ErrViewUnconfirmed
	}
	return c.link.Send(kind, to, body)
}

// ErrViewUnconfirmed is returned by Send until the view has been confirmed after a pause of the process.
var ErrViewUnconfirmed = fmt.Errorf("tunnel: view not confirmed")

// Counts returns the counters of this end of the tunnel.
func (c *Conn) Counts() *link.Counts { return c.link.Counts }

// LocalAddr returns the bound address.
func (c *Conn) LocalAddr() net.Addr { return c.link.Conn.LocalAddr() }

// Close closes the tunnel socket and, if it is open, the socket on the service's address.
func (c *Conn) Close() error {
	c.direct.close()
	return c.link.Close()
}

// SetDeadline sets the read and write deadlines.
func (c *Conn) SetDeadline(t time.Time) error { return c.link.Conn.SetDeadline(t) }

// SetReadDeadline sets the read deadline.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.link.Conn.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.link.Conn.SetWriteDeadline(t) }

// SetReadBuffer sets the receive buffer of the socket in bytes.
func (c *Conn) SetReadBuffer(n int) error { return c.link.Conn.SetReadBuffer(n) }

// SetWriteBuffer sets the send buffer of the socket in bytes.
func (c *Conn) SetWriteBuffer(n int) error { return c.link.Conn.SetWriteBuffer(n) }

// SyscallConn gives quic-go access to the socket, so that it can set the Don't Fragment bit, without which it
// does no path MTU discovery.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.link.Conn.SyscallConn() }

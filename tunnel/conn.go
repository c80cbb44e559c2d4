// Package tunnel is the agent's end of the tunnel: a packet connection on which a QUIC server sees callers as if they
// sent to it directly.
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

// Config describes an agent's end of the tunnel.
type Config struct {
	VM          string         // name of this VM
	Domain      string         // name of its failure domain
	Listen      netip.AddrPort // bound
	Advertise   netip.AddrPort // in connection IDs and packets; Listen when not valid
	Control     netip.AddrPort // control address named in revision notices
	Incarnation uint16
	Keys        *keys.Store
	Source      fleet.Source
	ReplyDirect bool // this VM owns the service's address and answers callers itself
	Log         *slog.Logger
}

// Conn is a net.PacketConn for quic.Transport. ReadFrom must be called all the time, since it also answers control
// packets. It has no ReadMsgUDP: quic-go would read the socket past ReadFrom.
type Conn struct {
	cfg   Config
	link  *link.Link
	ids   *generator
	back  *returns
	flows *flows
	admit atomic.Pointer[func() bool]

	identity atomic.Pointer[identity]

	readMu sync.Mutex // guards what follows
	batch  *udpbatch.Batch
	count  int
	next   int
	header wire.Header

	direct direct
}

var _ net.PacketConn = (*Conn)(nil)

// Open binds the tunnel address.
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
	c := &Conn{cfg: cfg, link: l, back: newReturns(l), flows: newFlows()}
	c.ids = newGenerator(c)
	c.Handle(wire.ProbeAck, func(*wire.Header, []byte) {})
	return c, nil
}

// SetAdmitFunc sets the function that says whether a new flow may be taken. When it reports false, the flow is passed to
// the next target. It is called in the reading goroutine and must not block.
func (c *Conn) SetAdmitFunc(admit func() bool) { c.admit.Store(&admit) }

// Handle sets the handler of a control kind. It runs in the reading goroutine, must not block and must not keep its
// arguments.
func (c *Conn) Handle(kind wire.Kind, handler func(h *wire.Header, body []byte)) {
	if kind == wire.ProbeAck {
		taken := handler
		handler = func(h *wire.Header, body []byte) {
			c.back.answered(c.cfg.Source.View(), h.Sender)
			taken(h, body)
		}
	}
	c.link.Handle(kind, handler)
}

// Send sends a control packet to another process. The error says why it could not be sent; delivery is not assured.
func (c *Conn) Send(kind wire.Kind, to netip.AddrPort, body []byte) error {
	if !c.link.Gate.Allow() {
		return ErrViewUnconfirmed
	}
	return c.link.Send(kind, to, body)
}

// ErrViewUnconfirmed says that nothing is sent until the view has been confirmed after a pause of the process.
var ErrViewUnconfirmed = fmt.Errorf("tunnel: the view is not confirmed")

// Counts returns the counters of this end.
func (c *Conn) Counts() *link.Counts { return c.link.Counts }

// LocalAddr returns the bound address.
func (c *Conn) LocalAddr() net.Addr { return c.link.Conn.LocalAddr() }

// Close closes the socket.
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

// SyscallConn lets quic-go set the Don't Fragment bit, without which it does no path MTU discovery.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.link.Conn.SyscallConn() }

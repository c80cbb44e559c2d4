// Package link implements what both endpoints of the tunnel, balancer and agent, share: the socket, the
// codecs for the current keys, authentication and replay checks, per-peer state, probes and revision notices.
package link

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/connid"
	"github.com/cowslipward/cowslipward/fleet"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/internal/viewgate"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/wire"
)

// Config configures a tunnel endpoint.
type Config struct {
	Role        string         // balancer or agent; part of the metric names
	Listen      netip.AddrPort // address to bind
	Advertise   netip.AddrPort // sender address in packet headers; defaults to Listen
	Control     netip.AddrPort // control address sent in revision notices
	Incarnation uint16
	Keys        *keys.Store
	Source      fleet.Source
	Log         *slog.Logger
}

// Handler processes a control packet. It runs on the goroutine that reads the socket, so it must not block,
// and must not retain its arguments.
type Handler func(h *wire.Header, body []byte)

// Link is a tunnel endpoint.
type Link struct {
	Config
	Conn   *udpbatch.Conn
	Gate   *viewgate.Gate
	Counts *Counts

	start     time.Time
	startUnix uint64 // start in Unix nanoseconds, the base of sequence numbers
	sequence  atomic.Uint64
	codecs    atomic.Pointer[Codecs]
	peers     peers
	handlers  [wire.NumKinds]atomic.Pointer[Handler]
	stop      chan struct{}
	closed    atomic.Bool
}

// Codecs holds the codecs for one set of keys.
type Codecs struct {
	Keys *keys.Set
	Wire *wire.Codec
	ID   *connid.Codec
}

// Open binds the tunnel socket and starts the view gate.
func Open(cfg Config) (*Link, error) {
	if !cfg.Advertise.IsValid() {
		cfg.Advertise = cfg.Listen
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	conn, err := udpbatch.Listen(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	if got, want, short := conn.ShortBuffer(); short {
		cfg.Log.Warn("receive_buffer_short", "address", cfg.Listen, "bytes", got, "wanted", want)
	}
	now := time.Now()
	l := &Link{Config: cfg, Conn: conn, start: now, startUnix: uint64(now.UnixNano()), stop: make(chan struct{})}
	if l.Advertise.Port() == 0 {
		l.Advertise = conn.Address()
	}
	if err := l.swapCodecs(cfg.Keys.Current()); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open tunnel: %w", err)
	}
	l.Counts = newCounts(cfg.Role)
	l.Gate = viewgate.New(cfg.Source.Confirmed, l.Now)
	l.Counts.Gauge("cowslip_"+cfg.Role+"_view_holds_total", func() float64 { return float64(l.Gate.Holds()) })
	go l.Gate.Run(l.stop)
	return l, nil
}

// Close stops the view gate, unregisters the metrics and closes the socket. Further calls have no effect.
func (l *Link) Close() error {
	if !l.closed.CompareAndSwap(false, true) {
		return nil
	}
	close(l.stop)
	l.Counts.unregister()
	return l.Conn.Close()
}

// Closed reports whether Close was called.
func (l *Link) Closed() bool { return l.closed.Load() }

// Now returns the monotonic time since Open.
func (l *Link) Now() time.Duration { return time.Since(l.start) }

// Codecs returns the codecs for the current keys. It rebuilds them after a key change; if that fails, it logs
// the error and returns the previous codecs.
func (l *Link) Codecs() *Codecs {
	codecs := l.codecs.Load()
	set := l.Keys.Current()
	if codecs.Keys == set {
		return codecs
	}
	if err := l.swapCodecs(set); err != nil {
		l.Log.Error("keys_refused", "error", err)
	}
	return l.codecs.Load()
}

func (l *Link) swapCodecs(set *keys.Set) error {
	id, err := connid.NewCodec(set.ConnID)
	if err != nil {
		return err
	}
	l.codecs.Store(&Codecs{Keys: set, Wire: wire.NewCodec(set.Tunnel), ID: id})
	return nil
}

// Sequence reserves n consecutive sequence numbers and returns the first. Sequence numbers follow the clock,
// so that a receiver can tell a late packet from a recent one without a replay window over all packets of the
// sender.
func (l *Link) Sequence(n uint64) uint64 {
	now := l.startUnix + uint64(l.Now())
	for {
		last := l.sequence.Load()
		first := max(last+1, now)
		if l.sequence.CompareAndSwap(last, first+n-1) {
			return first
		}
	}
}

// Header returns a header with the address and incarnation of this endpoint and the revision in force.
func (l *Link) Header(kind wire.Kind) wire.Header {
	return wire.Header{
		Kind:        kind,
		Revision:    l.Source.View().Rules().Revision,
		Sender:      l.Advertise,
		Incarnation: l.Incarnation,
	}
}

// Handle sets the handler for a control kind. The link itself answers Probe and processes RevisionNotice
// before calling the handler.
func (l *Link) Handle(kind wire.Kind, handler Handler) { l.handlers[kind].Store(&handler) }

// Send sends a control packet.
func (l *Link) Send(kind wire.Kind, to netip.AddrPort, body []byte) error {
	if kind.IsData() {
		return fmt.Errorf("send tunnel packet: kind %d is not a control kind", kind)
	}
	if !to.Addr().Is4() || to.Port() == 0 {
		return fmt.Errorf("send tunnel packet: %s is not an IPv4 address with a port", to)
	}
	if wire.MaxHeaderLen+len(body) > wire.MaxPacket {
		return fmt.Errorf("send tunnel packet: body of %d bytes is too long", len(body))
	}
	h := l.Header(kind)
	h.Sequence = l.Sequence(1)
	packet := make([]byte, 0, wire.MaxHeaderLen+len(body))
	packet = l.Codecs().Wire.Append(packet, &h, body)
	packet = append(packet, body...)
	if _, err := l.Conn.WriteToUDPAddrPort(packet, to); err != nil {
		return fmt.Errorf("send tunnel packet: %w", err)
	}
	return nil
}

// confirmPollPeriod is how often WaitConfirmed checks the gate.
const confirmPollPeriod = 5 * time.Millisecond

// WaitConfirmed blocks until the gate allows use of the view. It reports false if the link is closed in the
// meantime. Packets are delayed rather than dropped: confirmation usually takes milliseconds, a
// retransmission longer.
func (l *Link) WaitConfirmed() bool {
	for !l.Gate.Allow() {
		if l.Closed() {
			return false
		}
		time.Sleep(confirmPollPeriod)
	}
	return true
}

// Package link holds what the two ends of the tunnel share: the socket, the codecs of the live keys, authentication and
// replay checks, the peers heard, probes and revision notices.
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

// Config describes one end of the tunnel.
type Config struct {
	Role        string         // names the metrics: balancer or agent
	Listen      netip.AddrPort // bound
	Advertise   netip.AddrPort // named in packets; Listen when not valid
	Control     netip.AddrPort // named in revision notices
	Incarnation uint16
	Keys        *keys.Store
	Source      fleet.Source
	Log         *slog.Logger
}

// Handler takes a control packet. It runs in the reading goroutine and must not block or keep its arguments.
type Handler func(h *wire.Header, body []byte)

// Link is one end of the tunnel.
type Link struct {
	Config
	Conn   *udpbatch.Conn
	Gate   *viewgate.Gate
	Counts *Counts

	start    time.Time
	startAt  uint64 // Unix nanoseconds of start, the base of sequences
	sequence atomic.Uint64
	codecs   atomic.Pointer[Codecs]
	peers    peers
	handlers [wire.NumKinds]atomic.Pointer[Handler]
	stop     chan struct{}
	closed   atomic.Bool
}

// Codecs are the codecs for one set of keys.
type Codecs struct {
	Keys *keys.Set
	Wire *wire.Codec
	ID   *connid.Codec
}

// Open binds the tunnel socket.
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
	l := &Link{Config: cfg, Conn: conn, start: now, startAt: uint64(now.UnixNano()), stop: make(chan struct{})}
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

// Close closes the socket.
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

// Now returns the monotonic time since the start.
func (l *Link) Now() time.Duration { return time.Since(l.start) }

// Codecs returns the codecs of the keys in use. It renews them when the keys were replaced.
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

// Sequence returns the first of n sequence numbers. They follow the clock, so that a receiver can tell a late packet
// from a recent one without a window over all packets of the sender.
func (l *Link) Sequence(n uint64) uint64 {
	now := l.startAt + uint64(l.Now())
	for {
		last := l.sequence.Load()
		first := max(last+1, now)
		if l.sequence.CompareAndSwap(last, first+n-1) {
			return first
		}
	}
}

// Header returns a header of this end with the revision in force.
func (l *Link) Header(kind wire.Kind) wire.Header {
	return wire.Header{
		Kind:        kind,
		Revision:    l.Source.View().Rules().Revision,
		Sender:      l.Advertise,
		Incarnation: l.Incarnation,
	}
}

// Handle sets the handler of a control kind. Probe, ProbeAck and RevisionNotice are also answered by the link itself.
func (l *Link) Handle(kind wire.Kind, handler Handler) { l.handlers[kind].Store(&handler) }

// Send sends a control packet.
func (l *Link) Send(kind wire.Kind, to netip.AddrPort, body []byte) error {
	if kind.IsData() {
		return fmt.Errorf("send tunnel packet: kind %d carries callers' datagrams", kind)
	}
	if !to.Addr().Is4() || to.Port() == 0 {
		return fmt.Errorf("send tunnel packet: %s is no IPv4 tunnel address", to)
	}
	if wire.MaxHeaderLen+len(body) > wire.MaxPacket {
		return fmt.Errorf("send tunnel packet: body of %d bytes does not fit", len(body))
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

// heldPoll is how often a held data path looks whether the view has been confirmed.
const heldPoll = 5 * time.Millisecond

// WaitConfirmed waits until the view may be acted on. It reports false when the link was closed meanwhile. Packets wait
// rather than being dropped: the confirmation usually takes milliseconds, a retransmission longer.
func (l *Link) WaitConfirmed() bool {
	for !l.Gate.Allow() {
		if l.Closed() {
			return false
		}
		time.Sleep(heldPoll)
	}
	return true
}

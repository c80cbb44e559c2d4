package tunnel

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/wire"
)

// packets recycles buffers for writes.
var packets = sync.Pool{New: func() any { return new([wire.MaxPacket]byte) }}

// WriteTo sends a datagram to a caller through a balancer. It fails with EMSGSIZE when the datagram does not fit the
// tunnel, which quic-go's path MTU discovery takes as a lost probe.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, &net.OpError{Op: "write", Net: "udp", Addr: to, Err: net.InvalidAddrError("want a UDP address")}
	}
	if !c.link.WaitConfirmed() {
		return 0, net.ErrClosed
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	self := c.identify()
	if c.cfg.ReplyDirect && c.direct.write(c, self.address, caller, p) {
		c.link.Counts.Add(link.EventReplied, 1)
		return len(p), nil
	}
	balancer, ok := c.back.choose(self, caller, c.link.Now())
	if !ok {
		c.link.Counts.Drop(link.DropNoReturnPath)
		return len(p), nil
	}
	h := c.link.Header(wire.Reply)
	h.Service = self.service
	h.Caller = caller
	h.Sequence = c.link.Sequence(1)
	if len(p)+headerLen(caller) > wire.MaxPacket {
		c.link.Counts.Drop(link.DropOversized)
		return 0, &net.OpError{Op: "write", Net: "udp", Addr: to, Err: unix.EMSGSIZE}
	}
	if c.write(&h, balancer, p) {
		c.link.Counts.Add(link.EventReplied, 1)
	}
	return len(p), nil
}

func headerLen(caller netip.AddrPort) int {
	return wire.HeaderLenNoIP + caller.Addr().BitLen()/8
}

// write sends a data packet. A loss on the way down is left to QUIC, but counted.
func (c *Conn) write(h *wire.Header, to netip.AddrPort, body []byte) bool {
	buf := packets.Get().(*[wire.MaxPacket]byte)
	defer packets.Put(buf)
	packet := c.link.Codecs().Wire.Append(buf[:0], h, body)
	if len(packet)+len(body) > wire.MaxPacket {
		c.link.Counts.Drop(link.DropOversized)
		return false
	}
	packet = append(packet, body...)
	if _, err := c.link.Conn.WriteToUDPAddrPort(packet, to); err != nil {
		c.link.Counts.Drop(link.DropSendFailed)
		return false
	}
	return true
}

// Times of the return path.
const (
	// heardWithin is how recent a sign of life keeps a caller's replies at its balancer.
	heardWithin = 250 * time.Millisecond
	// probePeriod bounds how often balancers are probed when none has been heard of late.
	probePeriod = 100 * time.Millisecond
	// maxProbed bounds the balancers that are probed at a time.
	maxProbed = 3
)

// maxCallers bounds each of the two generations of the caller table. Without an entry replies go through the balancer
// heard last, which works too, so that a flood of forged callers does no harm.
const maxCallers = 8192

// path is the return path of one caller.
type path struct {
	address  *net.UDPAddr // as given to quic-go
	balancer netip.AddrPort
}

// returns chooses the balancers for replies.
type returns struct {
	link *link.Link

	mu      sync.Mutex
	current map[netip.AddrPort]*path
	older   map[netip.AddrPort]*path
	last    []netip.AddrPort // balancers, the one heard last first
	probed  time.Duration
}

func newReturns(l *link.Link) *returns {
	return &returns{link: l, current: make(map[netip.AddrPort]*path)}
}

// heard notes that the balancer delivered a datagram of the caller, and returns the caller's address for quic-go.
func (r *returns) heard(caller, balancer netip.AddrPort, now time.Duration) *net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promote(balancer)
	p := r.find(caller)
	if p == nil {
		p = &path{address: net.UDPAddrFromAddrPort(caller), balancer: balancer}
		r.insert(caller, p)
	}
	return p.address
}

// maxLast bounds the list of balancers heard.
const maxLast = 64

// promote puts the balancer at the front of the list.
func (r *returns) promote(balancer netip.AddrPort) {
	if len(r.last) > 0 && r.last[0] == balancer {
		return
	}
	at := len(r.last)
	for i, other := range r.last {
		if other == balancer {
			at = i
			break
		}
	}
	switch {
	case at == len(r.last) && at < maxLast:
		r.last = append(r.last, balancer)
	case at == len(r.last):
		at--
	}
	copy(r.last[1:at+1], r.last[:at])
	r.last[0] = balancer
}

func (r *returns) find(caller netip.AddrPort) *path {
	if p, ok := r.current[caller]; ok {
		return p
	}
	p, ok := r.older[caller]
	if ok {
		r.insert(caller, p)
	}
	return p
}

func (r *returns) insert(caller netip.AddrPort, p *path) {
	if len(r.current) >= maxCallers {
		r.older = r.current
		r.current = make(map[netip.AddrPort]*path)
	}
	r.current[caller] = p
}

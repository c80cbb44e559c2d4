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

// packetBuffers is a pool of buffers for outgoing packets.
var packetBuffers = sync.Pool{New: func() any { return new([wire.MaxPacket]byte) }}

// WriteTo sends a datagram to a caller through a balancer, or from the service's address if ReplyDirect is set
// and that works. It fails with EMSGSIZE if the datagram does not fit into a tunnel packet, which quic-go's
// path MTU discovery treats as a lost probe.
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
	self := c.currentIdentity()
	if c.cfg.ReplyDirect && c.direct.write(c, self.address, caller, p) {
		c.link.Counts.Add(link.EventReplied, 1)
		return len(p), nil
	}
	balancer, ok := c.returnPaths.chooseBalancer(self, caller, c.link.Now())
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
	if c.writeData(&h, balancer, p) {
		c.link.Counts.Add(link.EventReplied, 1)
	}
	return len(p), nil
}

func headerLen(caller netip.AddrPort) int {
	return wire.HeaderLenNoIP + caller.Addr().BitLen()/8
}

// writeData sends a data packet. Failures to send are counted; QUIC recovers from the loss.
func (c *Conn) writeData(h *wire.Header, to netip.AddrPort, body []byte) bool {
	buf := packetBuffers.Get().(*[wire.MaxPacket]byte)
	defer packetBuffers.Put(buf)
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

// Timing and limits of return paths.
const (
	// balancerTimeout is how long a caller's replies stay with a balancer from which no packet arrives.
	balancerTimeout = 250 * time.Millisecond
	// probeInterval is the minimum time between rounds of probes while no balancer is responsive.
	probeInterval = 100 * time.Millisecond
	// probesPerRound is the maximum number of balancers probed in a round.
	probesPerRound = 3
)

// maxCallers limits each of the two generations of the caller table. A flood of forged callers does no harm:
// replies to a caller without an entry go through the balancer that sent a packet most recently, which also
// works.
const maxCallers = 8192

// returnPath is the return path of one caller.
type returnPath struct {
	address  *net.UDPAddr // returned to quic-go by ReadFrom
	balancer netip.AddrPort
}

// returnPaths chooses the balancers through which replies are sent.
type returnPaths struct {
	link *link.Link

	mu              sync.Mutex
	current         map[netip.AddrPort]*returnPath
	older           map[netip.AddrPort]*returnPath
	recentBalancers []netip.AddrPort // balancers that sent packets, most recent first
	lastProbeAt     time.Duration
}

func newReturnPaths(l *link.Link) *returnPaths {
	return &returnPaths{link: l, current: make(map[netip.AddrPort]*returnPath)}
}

// recordDelivery records that the balancer delivered a datagram from the caller, and returns the caller's
// address for quic-go.
func (r *returnPaths) recordDelivery(caller, balancer netip.AddrPort, now time.Duration) *net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveToFront(balancer)
	p := r.lookup(caller)
	if p == nil {
		p = &returnPath{address: net.UDPAddrFromAddrPort(caller), balancer: balancer}
		r.insert(caller, p)
	}
	return p.address
}

// maxRecentBalancers limits the list of balancers that sent packets.
const maxRecentBalancers = 64

// moveToFront moves the balancer to the front of the recent balancers.
func (r *returnPaths) moveToFront(balancer netip.AddrPort) {
	if len(r.recentBalancers) > 0 && r.recentBalancers[0] == balancer {
		return
	}
	at := len(r.recentBalancers)
	for i, other := range r.recentBalancers {
		if other == balancer {
			at = i
			break
		}
	}
	switch {
	case at == len(r.recentBalancers) && at < maxRecentBalancers:
		r.recentBalancers = append(r.recentBalancers, balancer)
	case at == len(r.recentBalancers):
		at--
	}
	copy(r.recentBalancers[1:at+1], r.recentBalancers[:at])
	r.recentBalancers[0] = balancer
}

func (r *returnPaths) lookup(caller netip.AddrPort) *returnPath {
	if p, ok := r.current[caller]; ok {
		return p
	}
	p, ok := r.older[caller]
	if ok {
		r.insert(caller, p)
	}
	return p
}

func (r *returnPaths) insert(caller netip.AddrPort, p *returnPath) {
	if len(r.current) >= maxCallers {
		r.older = r.current
		r.current = make(map[netip.AddrPort]*returnPath)
	}
	r.current[caller] = p
}

package tunnel

import (
	"net"
	"time"

	"github.com/cowslipward/cowslipward/internal/link"
	"github.com/cowslipward/cowslipward/internal/quicpacket"
	"github.com/cowslipward/cowslipward/internal/udpbatch"
	"github.com/cowslipward/cowslipward/wire"
)

// ReadFrom returns the next datagram from a caller and the caller's address.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for {
		for c.next < c.count {
			i := c.next
			c.next++
			if n, from := c.process(i, p); from != nil {
				return n, from, nil
			}
		}
		if err := c.readBatch(); err != nil {
			return 0, nil, err
		}
	}
}

// readBatch reads the next batch of packets from the socket.
func (c *Conn) readBatch() error {
	if c.batch == nil {
		c.batch = udpbatch.GetBatch()
	}
	c.count, c.next = 0, 0
	n, err := c.link.Conn.Read(c.batch)
	if err != nil {
		return err
	}
	if !c.link.WaitConfirmed() {
		return net.ErrClosed
	}
	c.count = n
	return nil
}

// process handles packet i of the batch. It returns a nil address if the packet is not for the QUIC server.
func (c *Conn) process(i int, p []byte) (int, net.Addr) {
	packet, complete := c.batch.Packet(i)
	now := c.link.Now()
	body, ok := c.link.Accept(packet, complete, &c.header, now)
	if !ok {
		return 0, nil
	}
	if !c.deliverable(&c.header, body, now) {
		return 0, nil
	}
	from := c.returnPaths.recordDelivery(c.header.Caller, c.header.Sender, now)
	c.link.Counts.Add(link.EventDelivered, 1)
	return copy(p, body), from
}

// deliverable reports whether a datagram is for the QUIC server of this agent. It passes new flows that the
// agent does not accept to another target.
func (c *Conn) deliverable(h *wire.Header, body []byte, now time.Duration) bool {
	counts := c.link.Counts
	if h.Kind != wire.Forward || !h.Caller.IsValid() {
		counts.Drop(link.DropUnexpectedKind)
		return false
	}
	self := c.currentIdentity()
	if self.domainOut {
		counts.Drop(link.DropDomainOut)
		return false
	}
	if self.service == 0 || h.Service != self.service {
		counts.Drop(link.DropWrongService)
		return false
	}
	packet, ok := quicpacket.Parse(body)
	if !ok {
		counts.Drop(link.DropUnroutable)
		return false
	}
	id, routable := c.link.Codecs().ID.Decode(packet.RoutableID())
	switch {
	case !routable && !packet.MayOpenConnection:
		counts.Drop(link.DropUnroutable)
		return false
	case !routable:
		return c.acceptOrPass(h, packet.Destination, body, now)
	case id.Agent != c.cfg.Advertise:
		counts.Drop(link.DropOtherAgent)
		return false
	case id.Service != self.service:
		counts.Drop(link.DropWrongService)
		return false
	case id.Incarnation != c.cfg.Incarnation:
		// The QUIC server does not know the connection and responds with a stateless reset.
		counts.Add(link.EventReplaced, 1)
	}
	return true
}

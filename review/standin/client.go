package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Timing of the ends of a flow.
const (
	retransmitMin  = 200 * time.Millisecond
	retransmitMax  = 1600 * time.Millisecond
	maxRetransmits = 8
	resetWindow    = 76_800
)

// synEnds are when the wait after each copy of a SYN ends.
var synEnds = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// client is a machine on which clients run.
type client struct {
	bed   *bed
	ip    netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	client   *client
	key      flowKey
	incoming chan packet
	seq, ack uint32
	open     bool
	synAt    []time.Time      // when each copy of the SYN was sent
	through  []netip.AddrPort // the node that each copy was sent to
}

func (b *bed) newClient(n int) (*client, error) {
	ip := b.ip(netClients, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portPackets)))
	if err != nil {
		return nil, err
	}
	c := &client{bed: b, ip: ip, conn: conn, flows: make(map[uint16]*clientFlow), port: 1024}
	go c.run()
	return c, nil
}

func (c *client) run() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := decode(append([]byte(nil), buffer[:n]...))
		if err != nil {
			c.bed.rec.say("ALTERED: client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.incoming <- p:
		default:
		}
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{client: c, key: flowKey{netip.AddrPortFrom(c.ip, c.port), route}, incoming: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	return f
}

// connect opens the flow. It reports how the attempt ended: "open", "reset" or "no answer".
func (f *clientFlow) connect() string {
	started := time.Now()
	for copyNo, end := range synEnds {
		f.send(flagSyn, uint32(copyNo), nil)
		timer := time.NewTimer(time.Until(started.Add(end)))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case p := <-f.incoming:
				switch {
				case p.has(flagReset):
					f.client.bed.rec.add("client: the attempt %s is reset", f.key)
					return "reset"
				case p.has(flagSyn) && p.has(flagAck) && p.ack == f.seq+1:
					f.seq++
					f.ack, f.open = p.seq+1, true
					return "open"
				}
			}
		}
	}
	f.client.bed.rec.add("client: the attempt %s gets no answer", f.key)
	return "no answer"
}

// do sends a request and returns the response, or "" with the reason why there is none: "reset" or "deadline".
func (f *clientFlow) do(id string, work, deadline time.Duration) (response, failure string) {
	end := time.Now().Add(deadline)
	data := fmt.Appendf(nil, "GET /x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nWork-Ms: %d\r\n\r\n",
		f.key.route.Addr(), id, deadline.Milliseconds(), work.Milliseconds())
	f.client.bed.rec.add("client: request %s is sent on %s", id, f.key)
	for pause := retransmitMin; ; pause = min(2*pause, retransmitMax) {
		f.send(flagAck, f.ack, data)
		timer := time.NewTimer(min(pause, time.Until(end)))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case p := <-f.incoming:
				switch {
				case p.has(flagReset) && inWindow(p.seq-f.ack):
					f.client.bed.rec.add("client: the open flow %s is reset, sum %v", f.key, p.seq)
					return "", "reset"
				case len(p.data) > 0 && p.seq == f.ack:
					f.seq += uint32(len(data))
					f.ack += uint32(len(p.data))
					f.send(flagAck, f.ack, nil)
					f.client.bed.rec.add("client: request %s is answered: %.12s by %s", id, p.data, headerOf(string(p.data), "Server-Stamp"))
					if got := headerOf(string(p.data), "Request-Id"); got != id {
						f.client.bed.rec.say("MIXED: the answer to request %s is that of %s", id, got)
					}
					return string(p.data), ""
				}
			}
		}
		if !time.Now().Before(end) {
			f.client.bed.rec.add("client: request %s gets no answer before its deadline", id)
			return "", "deadline"
		}
	}
}

func inWindow(distance uint32) bool {
	return int32(distance) >= -resetWindow && int32(distance) <= resetWindow
}

// finish closes the flow.
func (f *clientFlow) finish() {
	if f.open {
		f.send(flagAck|flagFin, f.ack, nil)
	}
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key.client.Port())
}

func (f *clientFlow) send(flags byte, ack uint32, data []byte) {
	p := packet{src: f.key.client, dst: f.key.route, flags: flags, seq: f.seq, ack: ack, data: data}
	node, ok := f.client.bed.router.nodeOf(f.key)
	if flags == flagSyn {
		f.synAt = append(f.synAt, time.Now())
		f.through = append(f.through, node)
		f.client.bed.rec.add("client: SYN of %s, copy %d, to %s", f.key, ack, node)
	}
	if ok {
		_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), node)
	}
}

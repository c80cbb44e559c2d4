package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resetWindow is how far the sequence number of a reset may be from a client's last acknowledgement on an open flow.
const resetWindow = 76_800

// synWaits are the times, from the first SYN on, at which the wait after each copy of a SYN ends.
var synWaits = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// Ends of a request without an answer.
var (
	errRefused  = errors.New("flow did not open")
	errReset    = errors.New("open flow was reset by the system")
	errDeadline = errors.New("no answer before the deadline")
	errClosed   = errors.New("flow was closed by its host")
)

// client is a stand-in for a machine of clients.
type client struct {
	ip     [4]byte
	udp    *net.UDPConn
	router *router
	rec    *record

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	next  uint16
}

func newClient(address netip.AddrPort, r *router, rec *record) (*client, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("start client: %w", err)
	}
	_ = udp.SetReadBuffer(4 << 20)
	c := &client{ip: address.Addr().As4(), udp: udp, router: r, rec: rec, flows: make(map[uint16]*clientFlow), next: 1024}
	go c.receiveAll()
	return c, nil
}

func (c *client) stop() { _ = c.udp.Close() }

func (c *client) receiveAll() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.udp.Read(buffer)
		if err != nil {
			return
		}
		p, err := decode(buffer[:n])
		if err != nil {
			c.rec.breach("MIXED", "client %v got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f == nil || f.key.route != p.src {
			continue
		}
		select {
		case f.inbox <- p:
		default: // a full buffer drops datagrams
		}
	}
}

// clientFlow is the client's end of a flow. One goroutine at a time uses it.
type clientFlow struct {
	client *client
	key    flowKey
	inbox  chan *packet
	seq    uint32 // next byte that the client sends
	ack    uint32 // next byte expected from the host
	open   bool
	ended  bool // the host has sent its FIN
	input  []byte
}

// openFlow opens a flow to the address of a route.
func (c *client) openFlow(route endpoint) (*clientFlow, error) {
	c.mu.Lock()
	c.next = max(1024, c.next+1)
	f := &clientFlow{client: c, inbox: make(chan *packet, 256), seq: rand.Uint32()}
	f.key = flowKey{client: endpoint{ip: c.ip, port: c.next}, route: route}
	c.flows[c.next] = f
	c.mu.Unlock()
	started := time.Now()
	for number, wait := range synWaits {
		f.send(&packet{src: f.key.client, dst: route, seq: f.seq, ack: uint32(number), flags: flagSYN})
		for {
			p := f.receive(time.Until(started.Add(wait)))
			if p == nil {
				break
			}
			if p.has(flagRST) {
				f.remove()
				return nil, errRefused
			}
			if p.has(flagSYN) && p.has(flagACK) {
				f.seq++
				f.ack, f.open = p.seq+1, true
				return f, nil
			}
		}
	}
	f.remove()
	return nil, errRefused
}

func (f *clientFlow) remove() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key.client.port)
}

// maxLinger is how long a client waits for the host to close a flow as well.
const maxLinger = 2 * time.Second

// close closes the flow from the client's side without waiting for the host.
func (f *clientFlow) close() {
	go func() {
		defer f.remove()
		fin := &packet{src: f.key.client, dst: f.key.route, seq: f.seq, ack: f.ack, flags: flagACK | flagFIN}
		f.seq++
		f.send(fin)
		acked := false
		for until := time.Now().Add(maxLinger); time.Now().Before(until) && !(acked && f.ended); {
			p := f.receive(retransmitMin)
			switch {
			case p == nil && !acked:
				fin.ack = f.ack
				f.send(fin)
				continue
			case p == nil:
				continue
			case p.has(flagRST):
				return
			}
			acked = acked || int32(p.ack-f.seq) >= 0
			if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.ack {
				f.ack++
				f.ended = true
			}
			if p.has(flagFIN) || len(p.data) > 0 {
				f.acknowledge()
			}
		}
	}()
}

func (f *clientFlow) send(p *packet) {
	if to, ok := f.client.router.choose(f.key); ok {
		_, _ = f.client.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}

func (f *clientFlow) acknowledge() {
	f.send(&packet{src: f.key.client, dst: f.key.route, seq: f.seq, ack: f.ack, flags: flagACK})
}

// receive returns the next packet, or nil after the limit.
func (f *clientFlow) receive(limit time.Duration) *packet {
	timer := time.NewTimer(max(limit, 0))
	defer timer.Stop()
	select {
	case p := <-f.inbox:
		return p
	case <-timer.C:
		return nil
	}
}

// request is what a client asks on a flow.
type request struct {
	id       string
	method   string
	work     time.Duration // which stands for the kind of request; the host takes this long
	bytes    int           // of the body
	deadline time.Duration
}

func (r *request) text() []byte {
	return fmt.Appendf(nil, "%s / HTTP/1.1\r\nHost: reviewed\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nWork: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.id, r.deadline.Milliseconds(), r.work, r.bytes, strings.Repeat("x", r.bytes))
}

// do sends a request on the flow and waits for its answer.
func (f *clientFlow) do(r *request) error {
	if f.ended {
		return errClosed
	}
	text := r.text()
	var unsent []*packet
	for len(text) > 0 {
		n := min(len(text), maxData)
		unsent = append(unsent, &packet{src: f.key.client, dst: f.key.route, seq: f.seq, flags: flagACK, data: text[:n]})
		f.seq += uint32(n)
		text = text[n:]
	}
	f.client.rec.add("client sends request %s (%s, %s of work) on flow %s", r.id, r.method, r.work, f.key)
	end := time.Now().Add(r.deadline)
	for wait := retransmitMin; ; wait = min(2*wait, retransmitMax) {
		for _, p := range unsent {
			p.ack = f.ack
			f.send(p)
		}
		err := f.awaitAnswer(r, &unsent, min(wait, time.Until(end)))
		if !errors.Is(err, errWait) {
			return err
		}
		if !time.Now().Before(end) {
			return errDeadline
		}
	}
}

var errWait = errors.New("no answer yet")

// awaitAnswer handles packets until the answer is complete or the limit has passed.
func (f *clientFlow) awaitAnswer(r *request, unsent *[]*packet, limit time.Duration) error {
	until := time.Now().Add(limit)
	for {
		p := f.receive(time.Until(until))
		if p == nil {
			return errWait
		}
		if f.isReset(p) {
			return f.resetError(p)
		}
		for len(*unsent) > 0 && int32(p.ack-(*unsent)[0].endSeq()) >= 0 {
			*unsent = (*unsent)[1:]
		}
		if done, err := f.takeAnswer(r, p); done {
			return err
		}
	}
}

// isReset reports whether the packet is a reset that the client accepts.
func (f *clientFlow) isReset(p *packet) bool {
	if !p.has(flagRST) {
		return false
	}
	distance := int32(p.seq - f.ack)
	return distance >= -resetWindow && distance <= resetWindow
}

func (f *clientFlow) resetError(p *packet) error {
	if p.isSystemReset() {
		return errReset
	}
	return errClosed
}

// takeAnswer handles a packet with data of the answer, and reports whether the request has ended.
func (f *clientFlow) takeAnswer(r *request, p *packet) (done bool, err error) {
	if p.seq != f.ack || (len(p.data) == 0 && !p.has(flagFIN)) {
		if len(p.data) > 0 {
			f.acknowledge()
		}
		return false, nil
	}
	f.ack += uint32(len(p.data))
	f.input = append(f.input, p.data...)
	if p.has(flagFIN) {
		f.ack++
		f.ended = true
	}
	f.acknowledge()
	head, body, found := bytes.Cut(f.input, []byte("\r\n\r\n"))
	length, _ := strconv.Atoi(headerOf(head, "Content-Length"))
	if !found || len(body) < length {
		return f.ended, errClosed
	}
	f.input = body[length:]
	if string(body[:length]) != "done "+r.id || headerOf(head, "Server-Stamp") == "" {
		f.client.rec.breach("MIXED", "request %s got the answer %q", r.id, body[:length])
	}
	return true, nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fallTime is how long a host that got more than it bears still runs.
const fallTime = 50 * time.Millisecond

// entryLifetime is how long the entry of a silent host stays in the store. No host of a case starts again under its ID.
const entryLifetime = 3 * heartbeat

// hostConfig describes a host.
type hostConfig struct {
	id, service, zone string
	ip                netip.Addr
	slots, queue      int
	maxConns          int
	warmup            time.Duration // it is cold for so long after its start
	bears             int           // flows in one second with which it falls over while it is cold, less one; 0: no limit
}

// opening is an opening packet that a host took.
type opening struct {
	flow    flowKey
	copyNo  int // which copy of the SYN
	at      time.Time
	host    string
	service string
	cold    bool // the host was cold
}

// host is a stand-in for a host: it ends flows, runs requests in its slots and returns the packets of flows that it does
// not hold.
type host struct {
	hostConfig
	bed      *bed
	conn     *net.UDPConn
	health   *http.Server
	outbound netip.AddrPort
	born     time.Time
	slot     chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	closed   bool
	coldEnd  time.Time // until then it is cold
	openings []opening
	waiting  int
	seq      int // of its entry
}

// hostFlow is a flow at a host.
type hostFlow struct {
	open     bool
	seq      uint32 // of the host's next byte
	next     uint32 // of the client's next byte
	response []byte // not acknowledged yet, or nil
	sentAt   uint32 // sequence number of the response
	busy     bool
}

// startHost starts a host and writes its entry.
func (b *bed) startHost(c hostConfig) (*host, error) {
	at := netip.AddrPortFrom(c.ip, portApp)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	h := &host{
		hostConfig: c, bed: b, conn: conn, outbound: netip.AddrPortFrom(c.ip, portOutbound), born: time.Now(),
		slot: make(chan struct{}, c.slots), flows: make(map[flowKey]*hostFlow),
	}
	h.coldEnd = h.born.Add(c.warmup)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", c.id) })
	h.health = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = h.health.Serve(listener) }()
	go h.run()
	b.rec.add("host %s of %s starts at %s", c.id, c.service, at)
	go h.report()
	return h, nil
}

// crash ends the host without a word. Its flows are lost.
func (h *host) crash(why string) {
	h.mu.Lock()
	wasClosed := h.closed
	h.closed = true
	h.mu.Unlock()
	if wasClosed {
		return
	}
	h.bed.rec.add("host %s crashes: %s", h.id, why)
	time.AfterFunc(entryLifetime, func() { h.bed.store.remove("servers/" + h.id) })
	_ = h.conn.Close()
	_ = h.health.Close()
}

// report writes the host's entry at its start and with each heartbeat while more than seq changes.
func (h *host) report() {
	for {
		h.mu.Lock()
		left := max(0, time.Until(h.coldEnd))
		closed := h.closed
		h.seq++
		entry := fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":"v1","concurrency":%d,"state":"ready","warmupLeftMs":%d,"seq":%d,"born":%d}`,
			h.service, h.ip, portApp, h.zone, h.slots, left.Milliseconds(), h.seq, h.born.UnixMilli())
		h.mu.Unlock()
		if closed {
			return
		}
		h.bed.store.put("servers/"+h.id, entry)
		if left == 0 {
			return
		}
		time.Sleep(min(heartbeat, left+time.Millisecond))
	}
}

func (h *host) run() {
	buffer := make([]byte, 2048)
	for {
		n, err := h.conn.Read(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, err := decode(raw)
		if err != nil || p.has(flagBounced) {
			h.bed.rec.say("ALTERED: host %s got a packet that its sender did not write so", h.id)
			continue
		}
		h.receive(&p, raw)
	}
}

func (h *host) receive(p *packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	key := flowKey{client: p.src, route: p.dst}
	f := h.flows[key]
	switch {
	case p.has(flagSyn) && f != nil:
		h.send(key, flagSyn|flagAck, f.seq-1, f.next, nil)
	case p.has(flagSyn) && len(h.flows) < h.maxConns:
		f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1}
		h.flows[key] = f
		h.openings = append(h.openings, opening{key, int(p.ack), time.Now(), h.id, h.service, time.Now().Before(h.coldEnd)})
		h.bed.rec.add("host %s of %s takes the SYN of %s, copy %d", h.id, h.service, key, p.ack)
		if h.isOverloaded() {
			time.AfterFunc(fallTime, func() { h.crash("it got more than it bears while it is cold") })
		}
		h.send(key, flagSyn|flagAck, f.seq-1, f.next, nil)
	case f == nil, !f.open && p.ack != f.seq:
		raw[10] |= flagBounced
		raw[11] = 0
		_, _ = h.conn.WriteToUDPAddrPort(raw, h.outbound)
	default:
		h.receiveOpen(key, f, p)
	}
}

// isOverloaded reports whether a cold host has taken more flows in the last second than it bears. h.mu must be locked.
func (h *host) isOverloaded() bool {
	if h.bears == 0 || time.Now().After(h.coldEnd) {
		return false
	}
	recent := 0
	for _, o := range h.openings {
		if time.Since(o.at) < time.Second && o.cold {
			recent++
		}
	}
	return recent > h.bears
}

// receiveOpen handles a packet of a flow that the host holds. h.mu must be locked.
func (h *host) receiveOpen(key flowKey, f *hostFlow, p *packet) {
	if !f.open {
		f.open = true
		h.bed.rec.add("host %s: flow %s is open", h.id, key)
	}
	if f.response != nil && p.ack == f.sentAt+uint32(len(f.response)) {
		f.response = nil
	}
	switch {
	case p.has(flagReset):
		delete(h.flows, key)
	case p.has(flagFin):
		delete(h.flows, key)
		h.send(key, flagAck, f.seq, p.seq+1, nil)
	case len(p.data) > 0 && p.seq == f.next && !f.busy:
		f.next += uint32(len(p.data))
		f.busy = true
		go h.serve(key, f, string(p.data))
	case len(p.data) > 0 && f.response != nil:
		h.send(key, flagAck, f.sentAt, f.next, f.response)
	case len(p.data) > 0:
		h.send(key, flagAck, f.seq, f.next, nil)
	}
}

// serve runs a request in a slot and answers it.
func (h *host) serve(key flowKey, f *hostFlow, request string) {
	id, work := headerOf(request, "Request-Id"), headerOf(request, "Work-Ms")
	h.mu.Lock()
	full := h.waiting >= h.queue+h.slots
	if !full {
		h.waiting++
	}
	h.mu.Unlock()
	if full {
		h.respond(key, f, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return
	}
	h.slot <- struct{}{}
	runs := !h.isClosed()
	if runs {
		h.bed.rec.add("host %s of %s runs request %s", h.id, h.service, id)
		ms, _ := strconv.Atoi(work)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	<-h.slot
	h.mu.Lock()
	h.waiting--
	h.mu.Unlock()
	if runs {
		h.respond(key, f, "HTTP/1.1 200 OK\r\nServer-Stamp: "+h.id+"\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
}

func (h *host) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// respond sends a response and repeats it until the client has acknowledged it.
func (h *host) respond(key flowKey, f *hostFlow, text string) {
	h.mu.Lock()
	f.response, f.sentAt, f.busy = []byte(text), f.seq, false
	f.seq += uint32(len(text))
	h.mu.Unlock()
	pause := retransmitMin
	for range maxRetransmits {
		h.mu.Lock()
		done := f.response == nil || h.closed || h.flows[key] != f
		if !done {
			h.send(key, flagAck, f.sentAt, f.next, f.response)
		}
		h.mu.Unlock()
		if done {
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, retransmitMax)
	}
}

// send sends a packet of the host to the node beside it. h.mu must be locked.
func (h *host) send(key flowKey, flags byte, seq, ack uint32, data []byte) {
	p := packet{src: key.route, dst: key.client, flags: flags, seq: seq, ack: ack, data: data}
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), h.outbound)
}

// openingsSoFar returns the opening packets that the host took.
func (h *host) openingsSoFar() []opening {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]opening(nil), h.openings...)
}

// turnCold makes the host cold again for a time, and writes its entry.
func (h *host) turnCold(d time.Duration) {
	h.mu.Lock()
	h.coldEnd = time.Now().Add(d)
	h.mu.Unlock()
	h.bed.rec.add("host %s is cold for %s", h.id, d)
	go h.report()
}

// setMaxConns changes how many flows the host holds.
func (h *host) setMaxConns(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxConns = n
}

// headerOf returns the value of a header of an HTTP message.
func headerOf(message, name string) string {
	_, rest, found := strings.Cut(message, "\r\n"+name+": ")
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/platform/platformtest"
)

const (
	heartbeat     = 770 * time.Millisecond
	retransmitMin = 200 * time.Millisecond
	retransmitMax = 1600 * time.Millisecond
	maxRetransmit = 8
	maxFlows      = 2000
	queueFactor   = 4 // requests that a host queues, as a multiple of its slots
)

// hostConfig describes a host.
type hostConfig struct {
	id, service, zone string
	app, outbound     netip.AddrPort
	slots             int
	maxFlowAge        time.Duration // flows that are older are discarded; 0: never
}

// host is a stand-in for a host: it holds flows, runs requests in its slots and registers itself in the store.
type host struct {
	hostConfig
	rec   *record
	store *platformtest.Store
	udp   *net.UDPConn
	web   *http.Server
	born  time.Time
	end   chan struct{}

	mu        sync.Mutex
	flows     map[flowKey]*hostFlow
	running   int
	queue     []func()
	state     string
	seq       int
	closed    bool
	arrived   func(key flowKey)
	busySince time.Time // when the last request with long work began
}

// hostFlow is the host's end of a flow.
type hostFlow struct {
	key      flowKey
	since    time.Time
	open     bool
	seq      uint32 // next byte that the host sends
	acked    uint32 // bytes that the client has acknowledged
	expect   uint32 // next byte from the client
	input    []byte
	packets  int // packets with data since the last acknowledgement
	sent     []*packet
	tries    int
	timer    *time.Timer
	finSent  bool
	finGot   bool
	requests int // requests that the host has and has not answered
}

// startHost starts a host. It registers at once and then each heartbeat, unless the store refuses.
func startHost(c hostConfig, store *platformtest.Store, storeDown func() bool, rec *record) (*host, error) {
	h := &host{
		hostConfig: c, rec: rec, store: store, born: time.Now(), end: make(chan struct{}),
		flows: make(map[flowKey]*hostFlow), state: "ready",
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.app))
	if err != nil {
		return nil, fmt.Errorf("start host: %w", err)
	}
	_ = udp.SetReadBuffer(4 << 20)
	listener, err := net.Listen("tcp4", c.app.String())
	if err != nil {
		_ = udp.Close()
		return nil, fmt.Errorf("start host: %w", err)
	}
	h.udp = udp
	h.web = &http.Server{Handler: http.HandlerFunc(h.health), ReadHeaderTimeout: time.Second}
	go func() { _ = h.web.Serve(listener) }()
	go h.receiveAll()
	go h.beat(storeDown)
	if c.maxFlowAge > 0 {
		go h.discardOld()
	}
	return h, nil
}

const discardPeriod = 100 * time.Millisecond

// discardOld discards the flows that are older than maxFlowAge.
func (h *host) discardOld() {
	for {
		select {
		case <-h.end:
			return
		case <-time.After(discardPeriod):
		}
		h.mu.Lock()
		for _, f := range h.flows {
			if age := time.Since(f.since); age > h.maxFlowAge {
				h.rec.add("host %s discards flow %s, %.1f s old, with %d requests", h.id, f.key, age.Seconds(), f.requests)
				h.discard(f)
			}
		}
		h.mu.Unlock()
	}
}

// onArrival sets a function that is called for each new flow.
func (h *host) onArrival(arrived func(key flowKey)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrived = arrived
}

func (h *host) health(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	leaving := h.state != "ready"
	h.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// beat writes the host's entry to the store.
func (h *host) beat(storeDown func() bool) {
	for {
		if !storeDown() {
			h.register()
		}
		select {
		case <-h.end:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (h *host) register() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.seq++
	text, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.app.String(), "zone": h.zone, "version": "v1", "concurrency": h.slots,
		"state": h.state, "warmupLeftMs": 0, "seq": h.seq,
		"born": h.born.UnixMilli(),
	})
	h.store.PutTarget(h.id, string(text))
}

// drain reports that the host leaves. With closePort it stops to listen for health checks, as a server does that shuts
// down: it takes no new connections and goes on with what it has.
func (h *host) drain(closePort bool) {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	h.register()
	if closePort {
		_ = h.web.Close()
	}
}

// stop ends the host. Its flows are lost without a packet.
func (h *host) stop() {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.closed = true
	for _, f := range h.flows {
		f.stopTimer()
	}
	h.mu.Unlock()
	close(h.end)
	_ = h.web.Close()
	_ = h.udp.Close()
}

// holds reports whether the host runs and the flow is open there, and since when.
func (h *host) holds(key flowKey) (since time.Time, requests int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	if h.closed || f == nil || !f.open || (f.finSent && f.finGot) {
		return since, 0, false
	}
	return f.since, f.requests, true
}

// openFlows returns the number of flows that the host has.
func (h *host) openFlows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

func (h *host) receiveAll() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := h.udp.Read(buffer)
		if err != nil {
			return
		}
		p, err := decode(buffer[:n])
		if err != nil || p.has(flagSYN) && p.has(flagACK) {
			h.rec.breach("UNASKED", "host %s got a packet that its sender did not write so", h.id)
			continue
		}
		h.receive(p, buffer[:n])
	}
}

func (h *host) receive(p *packet, datagram []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := flowKey{client: p.src, route: p.dst}
	f := h.flows[key]
	switch {
	case p.has(flagSYN) && f == nil:
		h.accept(key, p, datagram)
	case p.has(flagSYN):
		h.send(&packet{src: key.route, dst: key.client, seq: f.seq - 1, ack: f.expect, flags: flagSYN | flagACK})
	case f == nil || (!f.open && p.ack != f.seq):
		h.bounce(datagram)
	case p.has(flagRST):
		h.discard(f)
	default:
		h.advance(f, p)
	}
}

func (h *host) bounce(datagram []byte) {
	b := bytes.Clone(datagram)
	b[10] |= flagBounced
	b[11] = 0
	_, _ = h.udp.WriteToUDPAddrPort(b, h.outbound)
}

// accept takes a new flow, unless the host has no room.
func (h *host) accept(key flowKey, p *packet, datagram []byte) {
	if h.running+len(h.queue) >= h.slots*(1+queueFactor) || len(h.flows) >= maxFlows {
		h.bounce(datagram)
		return
	}
	if h.arrived != nil {
		h.arrived(key)
	}
	f := &hostFlow{key: key, since: time.Now(), seq: rand.Uint32(), expect: p.seq + 1}
	h.flows[key] = f
	h.send(&packet{src: key.route, dst: key.client, seq: f.seq, ack: f.expect, flags: flagSYN | flagACK})
	f.seq++
	f.acked = f.seq
}

func (h *host) discard(f *hostFlow) {
	f.stopTimer()
	delete(h.flows, f.key)
}

func (f *hostFlow) stopTimer() {
	if f.timer != nil {
		f.timer.Stop()
	}
}

// advance handles a packet of a flow that the host holds.
func (h *host) advance(f *hostFlow, p *packet) {
	if !f.open {
		f.open = true
		h.rec.count("flows opened")
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked, f.tries = p.ack, 0
		for len(f.sent) > 0 && int32(f.acked-f.sent[0].endSeq()) >= 0 {
			f.sent = f.sent[1:]
		}
		if len(f.sent) == 0 {
			f.stopTimer()
		}
	}
	if len(p.data) > 0 {
		h.takeData(f, p)
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.expect && !f.finGot {
		f.finGot = true
		f.expect++
		h.acknowledge(f)
		if !f.finSent && f.requests == 0 {
			h.sendData(f, nil, true)
		}
	}
	if f.finSent && f.finGot && len(f.sent) == 0 {
		h.discard(f)
	}
}

func (h *host) acknowledge(f *hostFlow) {
	f.packets = 0
	h.send(&packet{src: f.key.route, dst: f.key.client, seq: f.seq, ack: f.expect, flags: flagACK})
}

// takeData adds data to the input of a flow and starts the requests that are complete.
func (h *host) takeData(f *hostFlow, p *packet) {
	if p.seq != f.expect {
		if f.packets++; f.packets >= 2 {
			h.acknowledge(f)
		}
		return
	}
	f.expect += uint32(len(p.data))
	f.input = append(f.input, p.data...)
	if f.packets++; f.packets >= 2 {
		h.acknowledge(f)
	}
	for {
		head, rest, found := bytes.Cut(f.input, []byte("\r\n\r\n"))
		if !found {
			return
		}
		length, _ := strconv.Atoi(headerOf(head, "Content-Length"))
		if len(rest) < length {
			return
		}
		f.input = rest[length:]
		f.requests++
		h.queueRequest(f, string(head))
	}
}

// headerOf returns the value of a header in the head of a request or response.
func headerOf(head []byte, name string) string {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if value, found := strings.CutPrefix(line, name+": "); found {
			return value
		}
	}
	return ""
}

const (
	longWork   = 400 * time.Millisecond
	busyPeriod = 50 * time.Millisecond
)

// awaitLongWork waits until the host has just begun a request with long work, or the limit has passed.
func (h *host) awaitLongWork(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(busyPeriod / 5) {
		h.mu.Lock()
		since := h.busySince
		h.mu.Unlock()
		if time.Since(since) < busyPeriod {
			return
		}
	}
}

// queueRequest runs a request when a slot is free. Its work is named by the client, which stands for the kind of request.
func (h *host) queueRequest(f *hostFlow, head string) {
	id := headerOf([]byte(head), "Request-Id")
	work, _ := time.ParseDuration(headerOf([]byte(head), "Work"))
	run := func() {
		h.rec.add("host %s runs request %s of flow %s", h.id, id, f.key)
		if work >= longWork {
			h.busySince = time.Now()
		}
		time.AfterFunc(work, func() { h.answer(f, id) })
	}
	if h.running < h.slots {
		h.running++
		run()
		return
	}
	h.queue = append(h.queue, run)
}

// answer ends a request and sends its response, if the flow is still there.
func (h *host) answer(f *hostFlow, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.running--
	if len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		next()
	}
	if h.flows[f.key] != f {
		h.rec.add("host %s has run request %s, but its flow is gone", h.id, id)
		return
	}
	f.requests--
	body := "done " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	h.sendData(f, []byte(text), h.state == "draining" || (f.finGot && f.requests == 0))
}

// sendData sends data, with a FIN if it is the last of the flow, until it is acknowledged.
func (h *host) sendData(f *hostFlow, data []byte, last bool) {
	p := &packet{src: f.key.route, dst: f.key.client, seq: f.seq, ack: f.expect, flags: flagACK, data: data}
	if last && !f.finSent {
		p.flags |= flagFIN
		f.finSent = true
	}
	f.seq = p.endSeq()
	f.packets = 0
	f.sent = append(f.sent, p)
	h.send(p)
	f.tries = 0
	h.armRetransmission(f)
}

// endSeq returns the sequence number after the packet.
func (p *packet) endSeq() uint32 {
	end := p.seq + uint32(len(p.data))
	if p.has(flagFIN) {
		end++
	}
	return end
}

func (h *host) armRetransmission(f *hostFlow) {
	f.stopTimer()
	f.timer = time.AfterFunc(min(retransmitMin<<f.tries, retransmitMax), func() { h.retransmit(f) })
}

func (h *host) retransmit(f *hostFlow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.flows[f.key] != f || len(f.sent) == 0 {
		return
	}
	if f.tries++; f.tries > maxRetransmit {
		h.discard(f)
		return
	}
	h.send(f.sent[0])
	h.armRetransmission(f)
}

func (h *host) send(p *packet) {
	_, _ = h.udp.WriteToUDPAddrPort(p.encode(), h.outbound)
}

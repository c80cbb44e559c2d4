package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform"
	"github.com/cowslipward/cowslipward/platform/platformtest"
)

// heartbeat is the interval at which hosts write their entries.
const heartbeat = 770 * time.Millisecond

// host is a stand-in for a host: the project's target, behind a port that records the opening packets that it gets.
type host struct {
	bed     *bed
	id      string
	side    string // name of the process on its machine
	service string
	zone    string
	ip      netip.Addr
	slots   int
	work    time.Duration
	warmup  time.Duration // for which it is cold after a start during traffic

	mu       sync.Mutex
	target   *platformtest.Target
	conn     *net.UDPConn
	tcp      net.Listener
	born     time.Time
	cold     time.Duration
	arrivals map[flow.Key]time.Time // of opening packets, since the start
}

// start starts the host. It is cold for h.warmup if isCold is set.
func (h *host) start(isCold bool) error {
	p := &h.bed.ports
	target, err := platformtest.NewTarget(platformtest.TargetConfig{ID: h.id, Service: h.service, Domain: h.zone, Slots: h.slots, ServiceTime: h.work},
		at(h.ip, p.inner), at(h.ip, p.outbound), h.bed.ledger)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at(h.ip, p.app)))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", at(h.ip, p.app).String())
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.target, h.conn, h.tcp, h.born, h.cold = target, conn, tcp, time.Now(), 0
	h.arrivals = make(map[flow.Key]time.Time)
	if isCold {
		h.cold = h.warmup
	}
	h.mu.Unlock()
	go h.accept(tcp)
	go h.receive(conn)
	h.bed.record.event("host %s started, cold for %s", h.id, h.cold)
	return nil
}

// accept answers health checks.
func (h *host) accept(tcp net.Listener) {
	for {
		conn, err := tcp.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		_ = conn.Close()
	}
}

// receive records opening packets and hands all packets to the target.
func (h *host) receive(conn *net.UDPConn) {
	inner := at(h.ip, h.bed.ports.inner)
	buffer := make([]byte, platform.MaxPacketBytes+1)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if p, err := platform.DecodePacket(buffer[:n]); err == nil && p.OpensFlow() {
			h.mu.Lock()
			if _, known := h.arrivals[p.KeyFromCaller()]; !known {
				h.arrivals[p.KeyFromCaller()] = time.Now()
			}
			h.mu.Unlock()
		}
		_, _ = conn.WriteToUDPAddrPort(buffer[:n], inner)
	}
}

// stop ends the host, as a crash does: its flows are lost.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target == nil {
		return
	}
	h.target.Close()
	_ = h.conn.Close()
	_ = h.tcp.Close()
	h.target = nil
}

// coldLeft returns how long the host remains cold.
func (h *host) coldLeft() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.cold-time.Since(h.born))
}

// register writes the entry of the host.
func (h *host) register() {
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":%d,"state":"ready","warmupLeftMs":%d,"seq":1,"born":%d}`,
		h.service, at(h.ip, h.bed.ports.app), h.zone, h.slots, h.coldLeft().Milliseconds(), h.born.UnixMilli())
	h.bed.store.PutTarget(h.id, entry)
}

// registerUntilWarm writes the entry at each heartbeat while it changes. isUp reports whether the store accepts it.
func (h *host) registerUntilWarm(isUp func() bool) {
	for {
		left := h.coldLeft()
		if isUp() {
			h.register()
			if left == 0 {
				return
			}
		}
		time.Sleep(heartbeat)
	}
}

// busiestSecond returns the largest number of requests that were sent and arrived inside one second while the host was
// cold, and when that second began.
func (h *host) busiestSecond() (most int, from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := h.born.Add(h.cold)
	for key := range h.arrivals {
		start := h.bed.sentAt(key)
		if start.Before(h.born) || start.Add(time.Second).After(end) {
			continue
		}
		count := 0
		for other, arrived := range h.arrivals {
			if !h.bed.sentAt(other).Before(start) && arrived.Before(start.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, from = count, start
		}
	}
	return most, from
}

package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// harm is what happens to the datagrams between two VMs.
type harm struct {
	name  string
	to    bool    // datagrams to the agent are harmed
	from  bool    // datagrams from the agent are harmed
	loss  float64 // share that is lost
	delay time.Duration
}

var noHarm = harm{}

var harms = []harm{
	{name: "cut", to: true, from: true, loss: 1},
	{name: "cut to the agent", to: true, loss: 1},
	{name: "cut from the agent", from: true, loss: 1},
	{name: "loss", to: true, from: true, loss: 0.2},
	{name: "delay", to: true, from: true, delay: 100 * time.Millisecond},
}

// way is a direction between two VMs, by the addresses of their processes.
type way struct{ from, to netip.Addr }

// mesh carries the datagrams between balancers and agents on loopback and harms what passes. Each VM is known to the
// others by an address at which the mesh receives for it.
type mesh struct {
	mu    sync.Mutex
	ends  map[netip.Addr]*end // by the address of the process
	harms map[way]harm
}

// end receives for one VM.
type end struct {
	conn    *net.UDPConn
	process netip.AddrPort
}

func newMesh() *mesh {
	return &mesh{ends: make(map[netip.Addr]*end), harms: make(map[way]harm)}
}

// add begins to receive for a VM at the address by which others know it.
func (m *mesh) add(shown netip.Addr, process netip.AddrPort) error {
	address := net.UDPAddrFromAddrPort(netip.AddrPortFrom(shown, process.Port()))
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return fmt.Errorf("open mesh: %w", err)
	}
	e := &end{conn: conn, process: process}
	m.mu.Lock()
	m.ends[process.Addr()] = e
	m.mu.Unlock()
	go m.carry(e)
	return nil
}

// carry passes what arrives for one VM on to its process, from the address by which that process knows the sender.
func (m *mesh) carry(to *end) {
	buffer := make([]byte, 64<<10)
	for {
		n, sender, err := to.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the process of an earlier datagram does not run
		}
		m.mu.Lock()
		from := m.ends[sender.Addr()]
		h := m.harms[way{sender.Addr(), to.process.Addr()}]
		m.mu.Unlock()
		if from == nil || rand.Float64() < h.loss {
			continue
		}
		if h.delay == 0 {
			_, _ = from.conn.WriteToUDPAddrPort(buffer[:n], to.process) // datagrams may be lost
			continue
		}
		late := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(h.delay, func() { _, _ = from.conn.WriteToUDPAddrPort(late, to.process) })
	}
}

// set harms the ways between an agent and balancers.
func (m *mesh) set(agent netip.Addr, balancers []netip.Addr, h harm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, balancer := range balancers {
		delete(m.harms, way{balancer, agent})
		delete(m.harms, way{agent, balancer})
		if h.to {
			m.harms[way{balancer, agent}] = h
		}
		if h.from {
			m.harms[way{agent, balancer}] = h
		}
	}
}

func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.ends {
		_ = e.conn.Close()
	}
}

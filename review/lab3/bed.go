package main

import (
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipward/cowslipward/flow"
	"github.com/cowslipward/cowslipward/platform/platformtest"
	"github.com/cowslipward/cowslipward/test/child"
)

// Third bytes of the loopback addresses of the machines.
const (
	netFronts  = 1
	netSides   = 2
	netCallers = 3
)

// ports are the ports of a deployment, the same on all machines.
type ports struct{ packets, tunnel, control, ready, metrics, outbound, app, inner int }

// bed is a deployment: the programs of the deploy file as processes, and stand-ins for the store, hosts and clients.
type bed struct {
	program  string
	dir      string
	net      byte
	ports    ports
	store    *platformtest.Store
	ledger   *platformtest.Ledger
	record   *record
	fronts   []netip.Addr
	children map[string]*child.Process
	hosts    []*host

	mu    sync.Mutex
	sent  map[flow.Key]time.Time // when the first packet of each flow was sent
	ids   atomic.Int64
	alone bool // fronts do not know each other
}

// newBed returns a deployment without processes, in a temporary folder.
func newBed(rec *record) (*bed, error) {
	program := os.Getenv("COWSLIP_L4")
	if program == "" {
		program = "target/cowslip-l4"
	}
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	store.HideEra(true)
	b := &bed{
		program: program, dir: dir, net: byte(16 + os.Getpid()%200), store: store, ledger: platformtest.NewLedger(),
		record: rec, children: make(map[string]*child.Process), sent: make(map[flow.Key]time.Time),
	}
	return b, b.choosePorts()
}

// choosePorts chooses ports that are free for TCP on the usual loopback address.
func (b *bed) choosePorts() error {
	p := &b.ports
	for _, port := range []*int{&p.packets, &p.tunnel, &p.control, &p.ready, &p.metrics, &p.outbound, &p.app, &p.inner} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

func (b *bed) ip(kind byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.net, kind, byte(n + 1)})
}

func at(ip netip.Addr, port int) netip.AddrPort { return netip.AddrPortFrom(ip, uint16(port)) }

// start starts a role with the settings that the template of the deploy file yields.
func (b *bed) start(name, role string, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(b.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	if err := os.Setenv("COWSLIPWARD_SETTINGS", file); err != nil {
		return err
	}
	process, err := child.Start(b.dir, name, b.program, role)
	if err != nil {
		return err
	}
	b.children[name] = process
	b.record.event("%s started", name)
	return nil
}

func (b *bed) common(name, zone string, ip netip.Addr) map[string]any {
	return map[string]any{
		"vm": name, "failure_domain": zone, "packets": at(ip, b.ports.packets), "tunnel": at(ip, b.ports.tunnel),
		"ready": at(ip, b.ports.ready), "metrics": at(ip, b.ports.metrics), "stop_delay": "2s",
		"load_control": map[string]any{"max_slots": 2}, "log": map[string]any{"level": "info", "rate": 500},
	}
}

// startFront starts the process of front machine n.
func (b *bed) startFront(n int, zone string) error {
	ip := b.ip(netFronts, n)
	name := frontName(n)
	s := b.common(name, zone, ip)
	s["peers"], s["store"] = at(ip, b.ports.control), b.store.Address()
	s["seeds"] = b.seeds(n)
	s["domain_out"], s["domain_out_flows"] = "5000ms", "keep"
	if n >= len(b.fronts) {
		b.fronts = append(b.fronts, ip)
	}
	return b.start(name, "balancer", s)
}

// startSide starts the process beside a host.
func (b *bed) startSide(h *host) error {
	s := b.common(h.side, h.zone, h.ip)
	s["service"], s["target"], s["outbound"] = h.service, at(h.ip, b.ports.app), at(h.ip, b.ports.outbound)
	s["reset_ended_flows"], s["flow_ttl_s"] = true, 60
	return b.start(h.side, "agent", s)
}

// route returns the front to which the routers send a packet of a flow.
func (b *bed) route(key flow.Key) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.sent[key]; !known {
		b.sent[key] = time.Now()
	}
	return at(b.fronts[key.Hash()%uint64(len(b.fronts))], b.ports.packets), true
}

// sentAt returns when the first packet of a flow was sent.
func (b *bed) sentAt(key flow.Key) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[key]
}

// close ends all processes that the bed started, by their IDs.
func (b *bed) close() {
	for _, process := range b.children {
		if !process.HasEnded() {
			process.Kill()
		}
	}
	for _, h := range b.hosts {
		h.stop()
	}
	b.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// seeds returns the seeds of front machine n.
func (b *bed) seeds(n int) []netip.AddrPort {
	if b.alone {
		return []netip.AddrPort{at(b.ip(netFronts, n), b.ports.control)}
	}
	return []netip.AddrPort{at(b.ip(netFronts, 0), b.ports.control), at(b.ip(netFronts, 1), b.ports.control)}
}

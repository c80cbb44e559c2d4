package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/cowslipward/cowslipward/platform/platformtest"
)

// Ports of a machine, counted from a base that is the same on all machines of a run.
const (
	portPackets = iota
	portTunnel  // first port of the range for communication between nodes
	portMetrics // last one of it
	portControl
	portReady
	portOutbound
	portApp
	portCount
)

// machine is a machine with one process of the system.
type machine struct {
	name, role, class, zone, service string
	ip                               netip.Addr
	log                              *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	runs    bool // the process is meant to run: an end is one of its own
}

// fleet is a deployment on loopback: machines with processes of the system, hosts, clients and a store.
type fleet struct {
	dir     string
	net     byte
	base    uint16
	store   *platformtest.Store
	rec     *record
	zones   []string
	fronts  []*machine
	sides   []*machine
	clients []*client
	hosts   []*host
	router  *router
	way     *way // between the balancers and the store

	mu        sync.Mutex
	isDown    bool // the store refuses all calls
	version   int
	lastHosts int
}

func newFleet(dir string, zones []string, rec *record) (*fleet, error) {
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, net: byte(64 + rand.IntN(128)), base: uint16(20_000 + portCount*rand.IntN(1000)),
		store: store, rec: rec, zones: zones,
	}
	f.way, err = newWay(store.Address())
	if err != nil {
		return nil, err
	}
	f.router = newRouter(f)
	return f, nil
}

// ip returns the loopback address of the nth machine of a kind.
func (f *fleet) ip(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.net, byte(kind), byte(n + 1)})
}

// Kinds of machines in loopback addresses.
const (
	kindFront = iota + 1
	kindSide
	kindClient
)

func (f *fleet) address(m *machine, port int) netip.AddrPort {
	return netip.AddrPortFrom(m.ip, f.base+uint16(port))
}

// route returns the address of the nth route.
func route(n int) endpoint { return endpoint{ip: [4]byte{198, 18, 0, byte(n + 1)}, port: 443} }

// setStoreDown makes the store refuse all calls, or serve them again.
func (f *fleet) setStoreDown(down bool) {
	f.mu.Lock()
	f.isDown = down
	f.mu.Unlock()
	f.way.set(down)
	f.rec.add("store down: %t", down)
}

func (f *fleet) storeDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDown
}

// publish writes a configuration with a route to each service, in their order.
func (f *fleet) publish(services ...string) {
	f.version++
	var routes, list []map[string]any
	for n, s := range services {
		r := route(n)
		routes = append(routes, map[string]any{
			"name": "r-" + s, "host": fmt.Sprintf("%d.%d.%d.%d", r.ip[0], r.ip[1], r.ip[2], r.ip[3]),
			"prefix": fmt.Sprintf("/%d/", r.port), "type": "unsafe", "timeoutMs": 5000, "sloMs": 300, "priority": 1,
			"service": s, "attempts": 2,
		})
		list = append(list, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": maxFlows, "protocol": "h1", "tls": false,
			"warmupS": 2.0, "warmupPerS": 0.0,
		})
	}
	text, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.store.PutConfig(string(text))
}

// addFronts adds balancers, one a zone in turn, and starts them.
func (f *fleet) addFronts(count int) error {
	for n := range count {
		zone := f.zones[n%len(f.zones)]
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n+1), role: "balancer", class: "front", zone: zone, ip: f.ip(kindFront, n)}
		f.fronts = append(f.fronts, m)
	}
	for _, m := range f.fronts {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// addHost adds a machine with an agent and a host beside it, and starts both.
func (f *fleet) addHost(c hostConfig) (*machine, *host, error) {
	n := len(f.sides)
	m := &machine{name: fmt.Sprintf("side-%s-%d", c.zone, n+1), role: "agent", class: "side", zone: c.zone, service: c.service, ip: f.ip(kindSide, n)}
	f.sides = append(f.sides, m)
	if err := f.start(m); err != nil {
		return nil, nil, err
	}
	h, err := f.startHost(m, c)
	return m, h, err
}

// startHost starts a host on a machine.
func (f *fleet) startHost(m *machine, c hostConfig) (*host, error) {
	c.app, c.outbound = f.address(m, portApp), f.address(m, portOutbound)
	if c.id == "" {
		f.lastHosts++
		c.id = fmt.Sprintf("i-%d", f.lastHosts)
	}
	h, err := startHost(c, f.store, f.storeDown, f.rec)
	if err == nil {
		f.hosts = append(f.hosts, h)
		f.rec.add("host %s of %s starts on %s", c.id, c.service, m.name)
	}
	return h, err
}

// addClients adds machines of clients.
func (f *fleet) addClients(count int) error {
	for n := range count {
		c, err := newClient(netip.AddrPortFrom(f.ip(kindClient, n), f.base+portPackets), f.router, f.rec)
		if err != nil {
			return err
		}
		f.clients = append(f.clients, c)
	}
	return nil
}

// fields returns the fields of the platform that the templates of the deploy file use.
func (f *fleet) fields(m *machine) map[string]any {
	seeds := make([]string, 0, 3)
	for _, front := range f.fronts[:min(3, len(f.fronts))] {
		seeds = append(seeds, f.address(front, portControl).String())
	}
	return map[string]any{
		"nodeName": m.name, "zone": m.zone, "ip": m.ip.String(), "service": m.service, "app": f.address(m, portApp).String(),
		"portRange.0": f.base + portTunnel, "portRange.1": f.base + portMetrics,
		"listen.packetAddr": f.address(m, portPackets).String(), "listen.readyAddr": f.address(m, portReady).String(),
		"listen.control": f.address(m, portControl).String(), "listen.outbound": f.address(m, portOutbound).String(),
		"platform.address": f.way.address(), "seeds": seeds, "bounds.evacuateMs": 5000,
	}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// fill fills a template of the deploy file in.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		if parts[2] == "" {
			return fmt.Sprint(fields[parts[1]])
		}
		text, _ := json.Marshal(fields[parts[1]])
		return string(text)
	})
}

// start starts the process of a machine with the command and the settings of the deploy file.
func (f *fleet) start(m *machine) error {
	template, err := os.ReadFile(filepath.Join("deploy", m.role+".json.tmpl"))
	if err != nil {
		return err
	}
	settings := filepath.Join(f.dir, m.name+".json")
	if err := os.WriteFile(settings, []byte(fill(string(template), f.fields(m))), 0o600); err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
			return err
		}
	}
	command := exec.Command("target/cowslip-l4", m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "COWSLIPWARD_SETTINGS=" + settings}
	command.Stdout, command.Stderr = m.log, m.log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.runs = command, exited, true
	m.mu.Unlock()
	f.rec.add("process of %s starts", m.name)
	go func() {
		err := command.Wait()
		m.mu.Lock()
		own := m.runs
		m.mu.Unlock()
		if own {
			f.rec.breach("Fault", "process of %s ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a machine. After SIGTERM and SIGKILL it waits for the end of the process.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	command, exited := m.command, m.exited
	ends := s == syscall.SIGTERM || s == syscall.SIGKILL
	if ends {
		m.runs = false
	}
	m.mu.Unlock()
	if command == nil {
		return
	}
	f.rec.add("process of %s gets %s", m.name, s)
	_ = command.Process.Signal(s)
	if ends {
		<-exited
	}
}

// stop ends everything that the fleet started.
func (f *fleet) stop() {
	close(f.router.end)
	for _, c := range f.clients {
		c.stop()
	}
	for _, h := range f.hosts {
		h.stop()
	}
	for _, m := range append(f.fronts, f.sides...) {
		f.signal(m, syscall.SIGKILL)
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	f.way.close()
	f.store.Close()
}

// holder returns the host that holds an open flow, or nil.
func (f *fleet) holder(key flowKey) (*host, time.Time) {
	for _, h := range f.hosts {
		if since, _, ok := h.holds(key); ok {
			return h, since
		}
	}
	return nil, time.Time{}
}

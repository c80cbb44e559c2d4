package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Ports, the same on all machines.
const (
	portPackets  = 18172
	portTunnel   = 17720
	portMetrics  = 17735
	portControl  = 18166
	portReady    = 18167
	portOutbound = 18162
	portApp      = 18165
	portStore    = 18169
)

// Third bytes of the loopback addresses.
const (
	netFronts  = 1
	netSides   = 2
	netClients = 3
	netStore   = 4
	netRoutes  = 5
)

// Bounds of the deployments of the users' pages.
const (
	heartbeat        = 770 * time.Millisecond
	rollbackSlack    = 250 * time.Millisecond
	warmupFactor     = 1.5
	coldSlack        = 5
	idleTimeoutMs    = 15_000
	startLimit       = 15 * time.Second
	programOfProject = "target/cowslip-l4"
)

// node is a machine with a process of the project.
type node struct {
	name, role, zone, service string
	ip                        netip.Addr
	process                   *process
}

// bed is a deployment in one zone of clients.
type bed struct {
	rec     *record
	net     byte // second byte of all addresses
	dir     string
	store   *store
	router  *router
	fronts  []*node
	sides   []*node
	hosts   []*host
	version int

	seedsDown bool // the seeds in the settings are machines that are down
}

func (b *bed) ip(kind byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.net, kind, byte(n + 1)})
}

// routeAddress returns the address of route n. Nothing listens there: it stands only in the headers of packets.
func (b *bed) routeAddress(n int) netip.AddrPort { return netip.AddrPortFrom(b.ip(netRoutes, n), 443) }

// newBed returns a bed whose addresses are free.
func newBed(rec *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "cowslip-review-")
	if err != nil {
		return nil, err
	}
	for range 50 {
		b := &bed{rec: rec, net: byte(20 + rand.IntN(200)), dir: dir}
		probe, err := net.Listen("tcp4", netip.AddrPortFrom(b.ip(netStore, 0), portStore+1).String())
		if err != nil {
			continue
		}
		b.store, err = newStore(netip.AddrPortFrom(b.ip(netStore, 0), portStore))
		_ = probe.Close()
		if err == nil {
			return b, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// close ends all processes and hosts.
func (b *bed) close() {
	for _, n := range append(append([]*node(nil), b.fronts...), b.sides...) {
		if n.process != nil {
			n.process.kill()
		}
	}
	for _, h := range b.hosts {
		h.crash("the test ends")
	}
	if b.router != nil {
		b.router.stop()
	}
	b.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name    string
	address netip.AddrPort
	service string
	sloMs   int
	prio    int
}

// putConfig writes the next version of the configuration.
func (b *bed) putConfig(routes []route, services map[string]float64) {
	b.version += 1 + rand.IntN(3)
	type wireRoute struct {
		Name      string `json:"name"`
		Host      string `json:"host"`
		Prefix    string `json:"prefix"`
		Type      string `json:"type"`
		TimeoutMs int    `json:"timeoutMs"`
		SloMs     int    `json:"sloMs"`
		Priority  int    `json:"priority"`
		Service   string `json:"service"`
		Attempts  int    `json:"attempts"`
	}
	wire := []wireRoute{}
	names := []string{}
	for _, r := range routes {
		wire = append(wire, wireRoute{r.name, r.address.Addr().String(), fmt.Sprintf("/%d/", r.address.Port()), "unsafe", 5000, r.sloMs, r.prio, r.service, 2})
		names = append(names, r.name+"="+r.service)
	}
	list := []map[string]any{}
	for name, perS := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": 2.0, "warmupPerS": perS})
	}
	text, err := json.Marshal(map[string]any{
		"version": b.version, "routes": wire, "services": list,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
	})
	if err != nil {
		panic(err) // unreachable: the value is always encodable
	}
	b.store.put("op/config", string(text))
	b.rec.add("operator: version %d is acknowledged: %s", b.version, strings.Join(names, " "))
}

// settings returns the settings file of a node, as the templates of the deploy file lay it out.
func (b *bed) settings(n *node) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	s := map[string]any{
		"vm": n.name, "failure_domain": n.zone, "packets": at(portPackets), "tunnel": at(portTunnel), "ready": at(portReady),
		"metrics": at(portMetrics), "stop_delay": "2s",
	}
	if n.role == "agent" {
		s["service"], s["target"], s["outbound"] = n.service, at(portApp), at(portOutbound)
		return s
	}
	s["peers"], s["store"], s["domain_out"], s["domain_out_flows"] = at(portControl), b.store.address.String(), "5000ms", "keep"
	var seeds []string
	for i := range min(3, len(b.fronts)) {
		seed := b.fronts[i].ip
		if b.seedsDown {
			seed = b.ip(netFronts, 200+i) // no machine has these addresses
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed, portControl))
	}
	s["seeds"] = seeds
	return s
}

// start starts the process of a node with the command of the deploy file.
func (b *bed) start(n *node) error {
	text, err := json.Marshal(b.settings(n))
	if err != nil {
		return err
	}
	file := filepath.Join(b.dir, n.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	n.process, err = startProcess(filepath.Join(b.dir, n.name+".log"), "COWSLIPWARD_SETTINGS="+file, programOfProject, n.role)
	b.rec.add("platform: %s of %s starts", n.role, n.name)
	return err
}

// kill ends the process of a node with SIGKILL.
func (b *bed) kill(n *node) {
	b.rec.add("platform: SIGKILL to %s of %s", n.role, n.name)
	n.process.kill()
}

// addFronts adds front machines, spread over the zones.
func (b *bed) addFronts(count int, zones ...string) {
	for i := range count {
		zone := zones[i%len(zones)]
		b.fronts = append(b.fronts, &node{name: fmt.Sprintf("front-%d", i+1), role: "balancer", zone: zone, ip: b.ip(netFronts, i)})
	}
}

// addSide starts a side machine: the node and then its host.
func (b *bed) addSide(c hostConfig) (*node, *host, error) {
	n := &node{name: fmt.Sprintf("side-%d", len(b.sides)+1), role: "agent", zone: c.zone, service: c.service, ip: b.ip(netSides, len(b.sides))}
	b.sides = append(b.sides, n)
	if err := b.start(n); err != nil {
		return nil, nil, err
	}
	time.Sleep(300 * time.Millisecond) // the node is up before its host takes requests
	c.ip = n.ip
	h, err := b.startHost(c)
	if err != nil {
		return nil, nil, err
	}
	b.hosts = append(b.hosts, h)
	return n, h, nil
}

// startFronts starts the front machines and waits until all are in rotation.
func (b *bed) startFronts() error {
	for _, n := range b.fronts {
		if err := b.start(n); err != nil {
			return err
		}
	}
	b.router = newRouter(b.rec, b.fronts)
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(b.router.inRotation()) == len(b.fronts) {
			return nil
		}
	}
	return fmt.Errorf("the fronts are not ready")
}

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cowslipward/cowslipward/platform/platformtest"
	"github.com/cowslipward/cowslipward/test/child"
)

// Third bytes of the loopback addresses of the machines.
const (
	netFronts = 1
	netSides  = 2
)

const (
	zone        = "atl-a"
	serviceName = "members"
	slots       = 7
	readyLimit  = 10 * time.Second
)

// ports are the ports of all machines.
type ports struct{ packets, tunnel, control, ready, metrics, outbound, app int }

// bed has small deployments of one front each, with the programs of the deploy file as processes. They share one host, the
// process beside it, and one stand-in for the store.
type bed struct {
	program string
	dir     string
	net     byte
	ports   ports
	store   *platformtest.Store
	target  *platformtest.Target
	record  *record
	fronts  []*child.Process
	side    *child.Process
}

// newBed starts the stand-ins and the process beside the host, in a temporary folder.
func newBed(rec *record, fronts int) (*bed, error) {
	program, err := filepath.Abs("target/cowslip-l4")
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
	b := &bed{program: program, dir: dir, net: byte(16 + os.Getpid()%200), store: store, record: rec, fronts: make([]*child.Process, fronts)}
	if err := b.choosePorts(); err != nil {
		b.close()
		return nil, err
	}
	if err := b.startHost(); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// Ports are chosen below the range from which the system takes those of outgoing connections.
const (
	firstPort = 15_000
	lastPort  = 30_000
)

// choosePorts chooses ports that are free for TCP on the usual loopback address.
func (b *bed) choosePorts() error {
	p := &b.ports
	for _, port := range []*int{&p.packets, &p.tunnel, &p.control, &p.ready, &p.metrics, &p.outbound, &p.app} {
		listener, err := listenAnywhere()
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// listenAnywhere listens on a free port.
func listenAnywhere() (listener net.Listener, err error) {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}

func (b *bed) ip(kind byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.net, kind, byte(n + 1)})
}

func at(ip netip.Addr, port int) netip.AddrPort { return netip.AddrPortFrom(ip, uint16(port)) }

// startHost starts the host and the process beside it, and writes the configuration and the host's entry.
func (b *bed) startHost() error {
	ip := b.ip(netSides, 0)
	c := platformtest.TargetConfig{ID: "i-0", Service: serviceName, Domain: zone, Slots: slots, ServiceTime: 40 * time.Millisecond}
	target, err := platformtest.NewTarget(c, at(ip, b.ports.app), at(ip, b.ports.outbound), platformtest.NewLedger())
	if err != nil {
		return err
	}
	b.target = target
	b.publish()
	b.store.PutTarget(c.ID, target.Entry(at(ip, b.ports.app), "ready"))
	s := b.common("side-0", ip)
	s["service"], s["target"], s["outbound"] = serviceName, at(ip, b.ports.app), at(ip, b.ports.outbound)
	s["reset_ended_flows"], s["flow_ttl_s"] = true, 60
	b.side, err = b.start("side-0", "agent", s)
	return err
}

// publish writes a configuration with one route.
func (b *bed) publish() {
	const text = `{"version":7,"routes":[{"name":"r-members","host":"127.255.0.1","prefix":"/8443/","type":"safe","timeoutMs":3000,` +
		`"sloMs":200,"priority":2,"service":"members","attempts":2}],"services":[{"name":"members","healthPath":"/health",` +
		`"maxConns":2000,"protocol":"h1","tls":false,"warmupS":2.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,` +
		`"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	b.store.PutConfig(text)
	b.record.event("configuration: %s", text)
}

// common returns the settings that the templates of both roles have.
func (b *bed) common(name string, ip netip.Addr) map[string]any {
	return map[string]any{
		"vm": name, "failure_domain": zone, "packets": at(ip, b.ports.packets), "tunnel": at(ip, b.ports.tunnel),
		"ready": at(ip, b.ports.ready), "metrics": at(ip, b.ports.metrics), "stop_delay": "2s",
		"load_control": map[string]any{"max_slots": 2},
	}
}

// start starts a role as the deploy file does, with the settings file named by the variable of the platform.
func (b *bed) start(name, role string, settings map[string]any) (*child.Process, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(b.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.Setenv("COWSLIPWARD_SETTINGS", file); err != nil {
		return nil, err
	}
	return child.Start(b.dir, name, b.program, role)
}

func frontName(n int) string { return fmt.Sprintf("front-%d", n) }

// startFront starts the process of front machine n, the only seed of its deployment.
func (b *bed) startFront(n int) error {
	ip := b.ip(netFronts, n)
	s := b.common(frontName(n), ip)
	s["peers"], s["store"] = at(ip, b.ports.control), b.store.Address()
	s["seeds"] = []netip.AddrPort{at(ip, b.ports.control)}
	s["domain_out"], s["domain_out_flows"] = "5000ms", "keep"
	process, err := b.start(frontName(n), "balancer", s)
	if err != nil {
		return err
	}
	b.fronts[n] = process
	return nil
}

// awaitReady waits until all fronts answer the routers' checks.
func (b *bed) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyLimit)
	for n := range b.fronts {
		url := "http://" + at(b.ip(netFronts, n), b.ports.ready).String() + "/cowslipward/ready"
		for {
			response, err := client.Get(url)
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", frontName(n), readyLimit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the bed started, by their IDs.
func (b *bed) close() {
	for _, process := range append(b.fronts, b.side) {
		if process != nil && !process.HasEnded() {
			process.Kill()
		}
	}
	if b.target != nil {
		b.target.Close()
	}
	b.store.Close()
	_ = os.RemoveAll(b.dir)
}

package testbed

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/test/child"

	"github.com/cowslipward/cowslipward/test/standin/fabric"
	"github.com/cowslipward/cowslipward/test/standin/platform"
)

// VM is a machine of the test bed with its processes.
type VM struct {
	Name    string
	Domain  string
	Service string // empty for a balancer
	Slots   int
	Leaving bool

	bed *Bed
	ip  netip.Addr

	mu     sync.Mutex
	daemon *child.Process // nil until it is started
	target *child.Process // nil for a balancer
}

// processes returns the daemon and the target; each may be nil.
func (v *VM) processes() (daemon, target *child.Process) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemon, v.target
}

func (v *VM) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// Admin returns the address of the daemon's admin listener.
func (v *VM) Admin() netip.AddrPort { return v.at(portAdmin) }

// Addr returns the IP of the VM.
func (v *VM) Addr() netip.Addr { return v.ip }

func (v *VM) isBalancer() bool { return v.Service == "" }

// entry returns the VM as the platform lists it.
func (v *VM) entry() platform.VM {
	role, state := "target", "live"
	if v.isBalancer() {
		role = "balancer"
	}
	if v.Leaving {
		state = "leaving"
	}
	return platform.VM{
		Name: v.Name, FailureDomain: v.Domain, Role: role, State: state, Data: v.at(portAdvertiseData).String(),
		Control: v.at(portAdvertiseControl).String(), Admin: v.at(portAdmin).String(),
	}
}

// node returns the VM as the fabric knows it.
func (v *VM) node() fabric.VM {
	node := fabric.VM{Name: v.Name, Domain: v.Domain, IP: v.ip, Relays: []fabric.Relay{
		{Network: "udp", Listen: v.at(portAdvertiseData), To: v.at(portData)},
		{Network: "tcp", Listen: v.at(portAdvertiseControl), To: v.at(portControl)},
	}}
	if v.isBalancer() {
		node.Ready = v.Admin()
		return node
	}
	node.Relays = append(node.Relays, fabric.Relay{
		Network: "tcp", Listen: v.at(portTargetRelay), To: v.at(portTarget), Local: true,
	})
	return node
}

// writeSettings writes the settings file of the daemon and returns its path.
func (v *VM) writeSettings() (string, error) {
	b := v.bed
	url := "http://" + b.net.at(hostPlatform, portPlatformRelay).String()
	s := map[string]any{
		"vm": v.Name, "failure_domain": v.Domain,
		"listen":    map[string]any{"data": v.at(portData), "control": v.at(portControl), "admin": v.at(portAdmin)},
		"advertise": map[string]any{"data": v.at(portAdvertiseData), "control": v.at(portAdvertiseControl)},
		"platform":  map[string]any{"config_url": url, "rules_key": rulesKey, "vms_url": url},
		"keys":      map[string]any{"dir": b.KeyDir()},
		"log":       map[string]any{"level": b.options.LogLevel, "format": "text"},
	}
	if v.isBalancer() {
		s["service_host"] = v.ip
		s["shutdown_delay"] = b.options.ShutdownDelay.String()
	} else {
		s["target"] = map[string]any{"url": "http://" + v.at(portTargetRelay).String()}
		s["drain_period"] = b.options.DrainPeriod.String()
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(b.Dir, v.Name+".settings.json")
	return path, os.WriteFile(path, text, 0o644)
}

// startTarget starts the back end of the VM.
func (v *VM) startTarget() error {
	o := v.bed.options
	p, err := child.Start(v.bed.Dir, v.Name+".target", v.bed.program("cowslip-standin"), "target",
		"--listen", v.at(portTarget).String(), "--control", v.at(portTargetControl).String(), "--service", v.Service,
		"--slots", fmt.Sprint(v.Slots), "--cold-slots", fmt.Sprint(o.ColdSlots), "--cold-time", o.ColdTime.String())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target = p
	return err
}

// startDaemon starts the balancer or the agent of the VM.
func (v *VM) startDaemon() error {
	path, err := v.writeSettings()
	if err != nil {
		return err
	}
	program := "cowslip-agent"
	if v.isBalancer() {
		program = "cowslip-balancer"
	}
	p, err := child.Start(v.bed.Dir, v.Name, v.bed.program(program), "--settings", path)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemon = p
	return err
}

// awaitReady waits until the daemon says that it is ready.
func (v *VM) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	daemon, _ := v.processes()
	for {
		err := v.bed.get("http://"+v.Admin().String()+"/readyz", nil)
		if err == nil {
			return nil
		}
		select {
		case <-daemon.Exited():
			return fmt.Errorf("%s has ended: %v\n%s", v.Name, daemon.Err(), daemon.Tail(logTail))
		default:
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready after %s: %w\n%s", v.Name, limit, err, daemon.Tail(logTail))
		}
		time.Sleep(readyPeriod)
	}
}

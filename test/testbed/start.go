package testbed

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/test/child"
	"github.com/cowslipward/cowslipward/test/standin/fabric"
)

func (b *Bed) start() error {
	if err := b.prepare(); err != nil {
		return err
	}
	if err := b.startPlatform(); err != nil {
		return err
	}
	if err := b.startFabric(); err != nil {
		return err
	}
	for _, vm := range b.VMs() {
		if err := b.startVM(vm); err != nil {
			return err
		}
	}
	return b.AwaitReady(startLimit)
}

// prepare takes a subnet, writes the keys and lays out the VMs.
func (b *Bed) prepare() error {
	if b.Dir == "" {
		dir, err := os.MkdirTemp("", "cowslip-bed-")
		if err != nil {
			return err
		}
		b.Dir, b.ownDir = dir, true
	}
	network, err := takeSubnet()
	if err != nil {
		return err
	}
	b.net = network
	var names []string
	for _, s := range b.Deployment.Services {
		names = append(names, s.Name)
	}
	ips := []net.IP{b.net.ip(hostService).AsSlice()}
	if err := keys.Generate(b.KeyDir(), names, ips); err != nil {
		return err
	}
	b.rules = b.Deployment.rules(b.net.ip(hostService).String())
	for i := range b.Deployment.Balancers {
		b.addVM(fmt.Sprintf("entry-%d", i+1), b.domain(i), Service{})
	}
	for _, s := range b.Deployment.Services {
		for i := range s.Hosts {
			b.addVM(fmt.Sprintf("%s-%d", s.Name, i+1), b.domain(i), s)
		}
	}
	return nil
}

func (b *Bed) domain(i int) string { return b.Deployment.Domains[i%len(b.Deployment.Domains)] }

func (b *Bed) addVM(name, domain string, service Service) *VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	vm := &VM{Name: name, Domain: domain, Service: service.Name, Slots: service.Slots, bed: b, ip: b.net.ip(b.nextHost)}
	b.nextHost++
	b.vms[name] = vm
	b.order = append(b.order, name)
	return vm
}

func (b *Bed) startVM(vm *VM) error {
	if !vm.isBalancer() {
		if err := vm.startTarget(); err != nil {
			return err
		}
	}
	return vm.startDaemon()
}

func (b *Bed) startPlatform() error {
	p, err := child.Start(b.Dir, "platform", b.program("cowslip-standin"), "platform",
		"--listen", b.net.at(hostPlatform, portPlatform).String())
	if err != nil {
		return err
	}
	b.platform = p
	if err := b.awaitHTTP(p, b.platformURL()+"/control/reads"); err != nil {
		return err
	}
	if err := b.publishVMs(); err != nil {
		return err
	}
	_, err = b.publish()
	return err
}

func (b *Bed) startFabric() error {
	config := fabric.Config{
		Admin: b.net.at(hostFabric, portFabric), Edge: b.net.ip(hostEdge), Loss: b.options.Loss, Seed: b.options.Seed,
		Delays: map[string]time.Duration{"between": b.Deployment.Between, "callers": b.Deployment.Callers},
	}
	for _, s := range b.Deployment.Services {
		config.Services = append(config.Services, b.net.at(hostService, uint16(s.Port)))
	}
	for _, vm := range b.VMs() {
		config.VMs = append(config.VMs, vm.node())
	}
	config.VMs = append(config.VMs, fabric.VM{
		Name: "platform", Domain: "platform", IP: b.net.ip(hostPlatform), Relays: []fabric.Relay{{
			Network: "tcp", Listen: b.net.at(hostPlatform, portPlatformRelay), To: b.net.at(hostPlatform, portPlatform),
		}},
	})
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(b.Dir, fabricConfig)
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	p, err := child.Start(b.Dir, "fabric", b.program("cowslip-standin"), "fabric", "--config", path)
	if err != nil {
		return err
	}
	b.fabric = p
	return b.awaitHTTP(p, b.fabricURL()+"/counters")
}

func (b *Bed) awaitHTTP(p *child.Process, url string) error {
	deadline := time.Now().Add(startLimit)
	for {
		err := b.get(url, nil)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not answer: %w\n%s", p.Name, err, p.Tail(logTail))
		}
		time.Sleep(readyPeriod)
	}
}

// AwaitReady waits until every daemon that runs is ready.
func (b *Bed) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	var errs []error
	for _, vm := range b.VMs() {
		errs = append(errs, vm.awaitReady(time.Until(deadline)))
	}
	return errors.Join(errs...)
}

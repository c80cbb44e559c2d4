package testbed

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cowslipward/cowslipward/test/child"
)

const (
	rulesKey     = "cowslipward/rules"
	readyPeriod  = 50 * time.Millisecond
	startLimit   = 20 * time.Second
	logTail      = 12
	callTimeout  = 2 * time.Second
	fabricConfig = "fabric.json"
)

// Options set how a test bed is built. Zero values give defaults.
type Options struct {
	Deployment    Deployment
	Bin           string // directory of the programs
	Dir           string // directory for settings, keys and logs; a new temporary one when empty
	Loss          float64
	Seed          uint64
	LogLevel      string
	DrainPeriod   time.Duration
	ShutdownDelay time.Duration
	ColdTime      time.Duration
	ColdSlots     int
}

func (o *Options) complete() {
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
	if o.DrainPeriod == 0 {
		o.DrainPeriod = time.Minute
	}
	if o.ShutdownDelay == 0 {
		o.ShutdownDelay = time.Second
	}
	if o.ColdSlots == 0 {
		o.ColdSlots = 2
	}
}

// Bed is a running deployment.
type Bed struct {
	Dir        string
	Deployment Deployment

	options  Options
	net      *subnet
	http     *http.Client
	platform *child.Process
	fabric   *child.Process
	ownDir   bool

	mu       sync.Mutex
	vms      map[string]*VM
	order    []string
	nextHost byte
	rules    []string // lines without drains and outs
	drains   map[string]bool
	outs     map[string]bool
}

// Start builds the deployment and waits until every process is ready. Stop must be called also after an error.
func Start(options Options) (*Bed, error) {
	options.complete()
	b := &Bed{
		Dir: options.Dir, Deployment: options.Deployment, options: options, vms: make(map[string]*VM), nextHost: hostFirstVM,
		http: &http.Client{Timeout: callTimeout}, drains: make(map[string]bool), outs: make(map[string]bool),
	}
	if err := b.start(); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

// Stop ends every process that the test bed started. The directory stays unless it is a temporary one.
func (b *Bed) Stop() {
	for _, p := range b.processes() {
		p.Kill()
	}
	if b.net != nil {
		b.net.release()
	}
	if b.ownDir && os.Getenv("COWSLIP_KEEP") == "" {
		_ = os.RemoveAll(b.Dir)
	}
}

func (b *Bed) processes() []*child.Process {
	all := []*child.Process{b.fabric, b.platform}
	for _, vm := range b.VMs() {
		daemon, target := vm.processes()
		all = append(all, daemon, target)
	}
	var started []*child.Process
	for _, p := range all {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

// VMs returns the VMs in the order they were added.
func (b *Bed) VMs() []*VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	vms := make([]*VM, 0, len(b.order))
	for _, name := range b.order {
		vms = append(vms, b.vms[name])
	}
	return vms
}

// VM returns the VM with the name, or an error.
func (b *Bed) VM(name string) (*VM, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	vm, ok := b.vms[name]
	if !ok {
		return nil, fmt.Errorf("no VM %q", name)
	}
	return vm, nil
}

// KeyDir returns the key directory that all daemons use.
func (b *Bed) KeyDir() string { return filepath.Join(b.Dir, "keys") }

// ServiceAddress returns where callers reach a service.
func (b *Bed) ServiceAddress(name string) (netip.AddrPort, error) {
	for _, s := range b.Deployment.Services {
		if s.Name == name {
			return b.net.at(hostService, uint16(s.Port)), nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no service %q", name)
}

func (b *Bed) program(name string) string { return filepath.Join(b.options.Bin, name) }

func (b *Bed) platformURL() string { return "http://" + b.net.at(hostPlatform, portPlatform).String() }

func (b *Bed) fabricURL() string { return "http://" + b.net.at(hostFabric, portFabric).String() }

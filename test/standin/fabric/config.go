// Package fabric is a stand-in for the platform's network: it sprays callers' packets over the ready balancers and
// relays the tunnel and control addresses of each VM with the delay, the loss and the cuts of the path.
package fabric

import (
	"net/netip"
	"time"
)

// Config describes the network.
type Config struct {
	Admin    netip.AddrPort           `json:"admin"`    // the fabric's own HTTP API
	Edge     netip.Addr               `json:"edge"`     // source IP of callers' packets towards balancers
	Services []netip.AddrPort         `json:"services"` // service addresses that the fabric owns
	VMs      []VM                     `json:"vms"`
	Delays   map[string]time.Duration `json:"delays"` // keys between and callers, one way, in nanoseconds
	Loss     float64                  `json:"loss"`   // share of UDP packets that vanish between any two VMs
	Seed     uint64                   `json:"seed"`
}

// VM is a machine on the network.
type VM struct {
	Name   string         `json:"name"`
	Domain string         `json:"domain"`
	IP     netip.Addr     `json:"ip"`
	Ready  netip.AddrPort `json:"ready"` // admin address whose /readyz is polled; a balancer when set
	Relays []Relay        `json:"relays"`
}

// Relay passes what reaches an advertised address on to the address that the process binds.
type Relay struct {
	Network string         `json:"network"` // udp or tcp
	Listen  netip.AddrPort `json:"listen"`
	To      netip.AddrPort `json:"to"`
	Local   bool           `json:"local"` // between two processes of the VM itself
}

// Cut is a command: packets from A to B vanish, or no longer. Each is a VM, a domain, "callers" or "*".
type Cut struct {
	A      string `json:"a"`
	B      string `json:"b"`
	OneWay bool   `json:"one_way,omitempty"`
	Heal   bool   `json:"heal,omitempty"`
}

// Kinds of connections that can go silent.
const (
	SilenceControl = "control" // TCP between VMs and to the platform
	SilenceTarget  = "target"  // TCP between an agent and its target
	SilenceCallers = "callers" // UDP of all callers
)

// Silence is a command: the open connections of a kind carry nothing any more, while new ones work.
type Silence struct {
	Kind string `json:"kind"`
	Of   string `json:"of"` // a VM or a domain; not used for callers
}

// Counters count what the fabric did.
type Counters struct {
	Sprayed    uint64             `json:"sprayed"`
	NoBalancer uint64             `json:"no_balancer"`
	Cut        uint64             `json:"cut"`
	Lost       uint64             `json:"lost"`
	Ready      []string           `json:"ready"`
	Into       map[string]uint64  `json:"into"`    // packets and stream pieces into a domain by their sender
	Control    map[string]Control `json:"control"` // control traffic of each VM
	Callers    int                `json:"callers"`
}

// Control counts the control traffic of a VM in bytes: streams to control addresses and the platform, and the tunnel
// packets that carry no caller's datagram.
type Control struct {
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

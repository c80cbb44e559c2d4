// Package directory holds a process's copy of the deployment state: the configuration in force, the targets, and the
// failure domains that operators have taken out of service. A Directory merges changes in any order and provides
// immutable views.
package directory

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/flow"
)

// Choice is a service that receives a share of a route's new flows.
type Choice struct {
	Service string
	Weight  uint32 // relative to the weights of the route's other choices
}

// Route maps an address to the services that receive the new flows to it.
type Route struct {
	Name      string
	Address   flow.Endpoint
	Choices   []Choice
	Objective time.Duration // latency objective: an answer within it counts as in time
	Priority  int           // 0 is the highest
}

// Service describes a service, which is a set of interchangeable targets.
type Service struct {
	Name     string
	ColdRate float64 // limit on new flows per second for a cold target; 0: no limit
}

// Config is a full configuration.
type Config struct {
	Version     int64
	Routes      []Route // sorted by address in a Directory; if several have the same address, the last one counts
	Services    []Service
	IdleTimeout time.Duration // after which an idle flow may be removed
}

// TargetState is the state that a target reports of itself.
type TargetState uint8

// States of a target.
const (
	TargetReady TargetState = iota + 1
	TargetDraining
)

// String returns the state as it appears in logs.
func (s TargetState) String() string {
	if s == TargetDraining {
		return "draining"
	}
	return "ready"
}

// Target is an entry in the platform's list of targets. UpdatedAt and ExpiredAt are monotonic times.
type Target struct {
	ID          string
	Service     string
	Address     flow.Endpoint
	Domain      string // failure domain
	Slots       int    // number of requests that it processes concurrently
	State       TargetState
	ColdLeft    time.Duration // remaining time, from UpdatedAt, for which it is cold after its start
	StartUnixMs int64         // start of the target in Unix milliseconds, by its own clock

	Seed      uint64        `json:"-"` // hash of the ID, for rendezvous hashing
	UpdatedAt time.Duration // when this process last stored the entry
	ExpiredAt time.Duration // when the entry was found to have expired during a store outage; 0: not expired
}

// ColdUntil returns the monotonic time until which the target is cold.
func (t *Target) ColdUntil() time.Duration { return t.UpdatedAt + t.ColdLeft }

// Kind is the kind of a record.
type Kind uint8

// Kinds of record.
const (
	KindConfig Kind = iota + 1
	KindTarget
	KindDomainOut // a failure domain that is out of service
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case KindConfig:
		return "config"
	case KindTarget:
		return "target"
	case KindDomainOut:
		return "domain_out"
	default:
		return "unknown"
	}
}

// Record is a decoded record of the platform's store, or one received from a peer. Depending on the kind, at most
// one of Config, Change and Target is set. The record of an expiry that is received from a peer includes the
// expired target. A record that cannot be used has Refusal set and contains no target and no configuration.
type Record struct {
	Kind            Kind
	Name            string   // ID of the target, name of the failure domain, or empty
	Revision        Revision // store revision of the last write
	ContentRevision Revision `json:",omitempty"` // in a peer's record: revision at which the content last changed
	Removed         bool
	Expired         bool          `json:",omitempty"` // removed during a store outage and may be renewed shortly
	Refusal         *Refusal      `json:",omitempty"` // why the record cannot be used; nil if it can
	Config          *Config       `json:",omitempty"`
	Change          *ConfigChange `json:",omitempty"` // in a peer's record, instead of the full configuration
	Target          *Target       `json:",omitempty"`
}

// View is an immutable view of the deployment state.
type View struct {
	Revision   Revision // store revision up to which the view contains all changes
	Config     *Config
	OutDomains []string // failure domains out of service, sorted
	Refused    []RefusedRecord

	routes         map[flow.Endpoint]*Route
	services       map[string]*Service
	targets        map[string][]*Target // by service, ordered by ID
	byIP           map[[4]byte]*Target
	shadowed       []*Target           // entries at the address of another one in byIP that has another service
	formerServices map[string][]string // by route name: services used by earlier configurations only
}

// Route returns the route of an address, or nil.
func (v *View) Route(address flow.Endpoint) *Route { return v.routes[address] }

// Service returns the service with the name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Targets returns the targets of a service in any state, ordered by ID. The caller must not modify them.
func (v *View) Targets(service string) []*Target { return v.targets[service] }

// ServiceNames returns the names of the services that have targets, in no particular order.
func (v *View) ServiceNames() []string { return slices.Collect(maps.Keys(v.targets)) }

// TargetByIP returns the target on the VM with the IP address, or nil.
func (v *View) TargetByIP(ip [4]byte) *Target { return v.byIP[ip] }

// TargetOfService returns the entry at the IP address whose service has the tag, or the one in use there. It returns nil
// if there is none.
func (v *View) TargetOfService(ip [4]byte, tag uint32) *Target {
	current := v.byIP[ip]
	if current == nil || NameHash(current.Service) == tag {
		return current
	}
	for _, t := range v.shadowed {
		if t.Address.IP == ip && NameHash(t.Service) == tag {
			return t
		}
	}
	return current
}

// Shadowed returns the entries at addresses for which another entry, of another service, is in use. One of the two is
// left over from an earlier target, or wrong. The caller must not modify them.
func (v *View) Shadowed() []*Target { return v.shadowed }

// TargetIPs returns the IP addresses of the VMs of all targets in ascending order.
func (v *View) TargetIPs() [][4]byte {
	return slices.SortedFunc(maps.Keys(v.byIP), func(a, b [4]byte) int { return bytes.Compare(a[:], b[:]) })
}

// FormerServices returns the names of the services that earlier configurations used for the route and the current one
// does not.
func (v *View) FormerServices(route string) []string { return v.formerServices[route] }

// IsDomainOut reports whether the failure domain is out of service.
func (v *View) IsDomainOut(domain string) bool {
	_, found := slices.BinarySearch(v.OutDomains, domain)
	return found
}

// TargetCount returns the total number of targets of all services.
func (v *View) TargetCount() int {
	n := 0
	for _, targets := range v.targets {
		n += len(targets)
	}
	return n
}

// ContainsTargetsOf reports whether v has each target of the other view, at the same address and in the same service.
func (v *View) ContainsTargetsOf(other *View) bool {
	for _, t := range other.byIP {
		if !v.contains(t) {
			return false
		}
	}
	return !slices.ContainsFunc(other.shadowed, func(t *Target) bool { return !v.contains(t) })
}

// contains reports whether v has the target at the same address and in the same service.
func (v *View) contains(t *Target) bool {
	isSame := func(own *Target) bool {
		return own.ID == t.ID && own.Service == t.Service && own.Address.IP == t.Address.IP
	}
	own := v.byIP[t.Address.IP]
	return own != nil && isSame(own) || slices.ContainsFunc(v.shadowed, isSame)
}

// ChooseService returns the name of the service for a new flow with the hash, or "" if the route has none.
// Processes with the same configuration return the same service.
func (r *Route) ChooseService(hash uint64) string {
	if len(r.Choices) == 1 {
		return r.Choices[0].Service
	}
	point, sum := r.HashPoint(hash)
	if sum == 0 {
		return ""
	}
	for _, c := range r.Choices {
		if point < uint64(c.Weight) {
			return c.Service
		}
		point -= uint64(c.Weight)
	}
	return ""
}

// HashPoint returns the point of a flow's hash among the weights of the choices, which follow each other from 0, and the
// sum of the weights.
func (r *Route) HashPoint(hash uint64) (point, sum uint64) {
	for _, c := range r.Choices {
		sum += uint64(c.Weight)
	}
	if sum == 0 {
		return 0, 0
	}
	return hash % sum, sum
}

// NameHash returns the hash that identifies a service or a failure domain in messages between processes.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

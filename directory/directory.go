// Package directory holds what a process knows of the deployment: the configuration in force, the targets and the
// failure domains that operators have taken out. A Directory takes changes in any order and yields immutable views.
package directory

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipward/cowslipward/flow"
)

// Choice is a service that takes a share of a route's new flows.
type Choice struct {
	Service string
	Weight  uint32 // relative to the other choices of the route
}

// Route says where new flows to an address go.
type Route struct {
	Name      string
	Address   flow.Endpoint
	Choices   []Choice
	Objective time.Duration // within which an answer is in time
	Priority  int           // 0 is the highest
}

// Service describes the targets of one kind.
type Service struct {
	Name     string
	ColdRate float64 // new flows a second that a cold target bears; 0 is no limit
}

// Config is a whole configuration.
type Config struct {
	Version     int64
	Routes      []Route // a directory orders them by their addresses; of several with one address the last counts
	Services    []Service
	IdleTimeout time.Duration // after which an idle flow may be forgotten
}

// TargetState is what a target says of itself.
type TargetState uint8

// States of a target.
const (
	TargetReady TargetState = iota + 1
	TargetDraining
)

// String returns the state as logs show it.
func (s TargetState) String() string {
	if s == TargetDraining {
		return "draining"
	}
	return "ready"
}

// Target is one entry of the platform's list of targets.
type Target struct {
	ID          string
	Service     string
	Address     flow.Endpoint
	Domain      string // failure domain
	Slots       int    // requests that it works on at once
	State       TargetState
	ColdLeft    time.Duration // how long it stays cold, counted from Seen
	StartUnixMs int64         // start of the target, Unix milliseconds by its own clock

	Seed      uint64        `json:"-"` // hash of the ID, for orders of preference
	UpdatedAt time.Duration // steady time at which this process took the entry over
	ExpiredAt time.Duration // steady time at which the entry lapsed while the store was away; 0: it holds
}

// ColdUntil returns the steady time until which the target is cold.
func (t *Target) ColdUntil() time.Duration { return t.UpdatedAt + t.ColdLeft }

// Kind says what a record of the store describes.
type Kind uint8

// Kinds of record.
const (
	KindConfig Kind = iota + 1
	KindTarget
	KindDomainOut // a failure domain is out of service
)

// Record is one record of the store in the product's types. Exactly one of Config, Change and Target is set where the kind
// has a body; a lapse that a peer tells has the entry that lapsed. A record that cannot be read has Unreadable set and
// stands for no target and no configuration.
type Record struct {
	Kind            Kind
	Name            string // ID of the target, failure domain, or empty
	Revision        uint64 // the store's revision of the last change
	ContentRevision uint64 `json:",omitempty"` // of a peer's record: the revision since which it says the same
	Removed         bool
	Expired         bool          `json:",omitempty"` // removed while the store was away: it may come back at once
	DecodeError     string        `json:",omitempty"` // why the record could not be read
	Config          *Config       `json:",omitempty"`
	Change          *ConfigChange `json:",omitempty"` // of a peer's record, in place of the whole configuration
	Target          *Target       `json:",omitempty"`
}

// View is an immutable picture of the deployment.
type View struct {
	Revision   uint64 // of the store: everything up to it is in the view
	Config     *Config
	OutDomains []string // failure domains out of service, sorted

	routes   map[flow.Endpoint]*Route
	services map[string]*Service
	targets  map[string][]*Target // by service, ordered by ID
	byIP     map[[4]byte]*Target
	formerly map[string][]string // by the name of the route: services that earlier configurations named
}

// Route returns the route of an address, or nil.
func (v *View) Route(address flow.Endpoint) *Route { return v.routes[address] }

// Service returns the description of a service, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Targets returns the targets of a service, ordered by ID, in any state. The caller must not change them.
func (v *View) Targets(service string) []*Target { return v.targets[service] }

// ServiceNames returns the services that have targets.
func (v *View) ServiceNames() []string { return slices.Collect(maps.Keys(v.targets)) }

// TargetByIP returns the target on the VM with the address, or nil.
func (v *View) TargetByIP(ip [4]byte) *Target { return v.byIP[ip] }

// TargetIPs returns the VMs of all targets in order.
func (v *View) TargetIPs() [][4]byte {
	return slices.SortedFunc(maps.Keys(v.byIP), func(a, b [4]byte) int { return bytes.Compare(a[:], b[:]) })
}

// FormerServices returns services that earlier configurations named for the route and the present one does not.
func (v *View) FormerServices(route string) []string { return v.formerly[route] }

// IsDomainOut reports whether the failure domain is out of service.
func (v *View) IsDomainOut(domain string) bool {
	_, found := slices.BinarySearch(v.OutDomains, domain)
	return found
}

// TargetCount returns the number of targets of all services.
func (v *View) TargetCount() int {
	n := 0
	for _, targets := range v.targets {
		n += len(targets)
	}
	return n
}

// ChooseService returns the service for a new flow. Processes with the same configuration choose the same.
func (r *Route) ChooseService(hash uint64) string {
	if len(r.Choices) == 1 {
		return r.Choices[0].Service
	}
	var sum uint64
	for _, c := range r.Choices {
		sum += uint64(c.Weight)
	}
	if sum == 0 {
		return ""
	}
	point := hash % sum
	for _, c := range r.Choices {
		if point < uint64(c.Weight) {
			return c.Service
		}
		point -= uint64(c.Weight)
	}
	return ""
}

// NameHash returns the number by which messages between processes name a service or a failure domain.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func newView(revision uint64, config *Config, targets map[string]*Target, out map[string]bool, formerly map[string][]string) *View {
	v := &View{
		Revision: revision,
		Config:   config,
		routes:   make(map[flow.Endpoint]*Route),
		services: make(map[string]*Service),
		targets:  make(map[string][]*Target),
		byIP:     make(map[[4]byte]*Target, len(targets)),
		formerly: formerly,
	}
	if config != nil {
		for i := range config.Routes {
			v.routes[config.Routes[i].Address] = &config.Routes[i]
		}
		for i := range config.Services {
			v.services[config.Services[i].Name] = &config.Services[i]
		}
	}
	for _, t := range targets {
		v.byIP[t.Address.IP] = newer(v.byIP[t.Address.IP], t)
	}
	for _, t := range v.byIP {
		v.targets[t.Service] = append(v.targets[t.Service], t)
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	for domain := range out {
		v.OutDomains = append(v.OutDomains, domain)
	}
	slices.Sort(v.OutDomains)
	return v
}

// newer returns the target that uses an address now, where the entry of an earlier user still stands.
func newer(a, b *Target) *Target {
	switch {
	case a == nil:
		return b
	case (a.ExpiredAt != 0) != (b.ExpiredAt != 0):
		if a.ExpiredAt != 0 {
			return b
		}
		return a
	case b.StartUnixMs != a.StartUnixMs:
		if b.StartUnixMs > a.StartUnixMs {
			return b
		}
		return a
	default:
		if b.ID > a.ID { // both orders of the same entries yield the same view
			return b
		}
		return a
	}
}

// Package rules parses and validates the operators' rule file and represents it as an immutable set.
package rules

import (
	"net/netip"
	"path"
	"strings"
	"time"
)

// Revision is the revision of an accepted rule file. It is the modify index of the file in the configuration
// service and only increases.
type Revision uint64

// ServiceID identifies a service in connection IDs and tunnel packets. Zero is not a valid ID.
type ServiceID uint16

// DomainID identifies a failure domain in connection IDs. Zero is not a valid ID.
type DomainID uint8

// wildcards are the characters that make a pool entry a glob.
const wildcards = `*?[\\`

// Domain is a declared failure domain.
type Domain struct {
	Name      string
	ID        DomainID
	Region    string
	Out       bool   // an out rule takes the domain out of service
	Requester string // who requested the domain rule
}

// Service is a declared service with its address, its pool and its limits.
type Service struct {
	Name        string
	ID          ServiceID
	Address     netip.AddrPort // where callers reach the service
	Pool        []string       // VM names or globs
	Slots       int            // requests that one target can run concurrently
	Connections int            // maximum number of caller connections per target
	Deadline    time.Duration  // default deadline of a request
	Queue       time.Duration  // maximum wait for a slot
	Repeatable  []string       // methods whose requests may run more than once; empty for none
	Objective   float64        // service level objective: share of good outcomes, in percent
	Requester   string         // who requested the service rule
}

// HasVM reports whether the pool of the service contains the VM.
func (s *Service) HasVM(vm string) bool {
	for _, pattern := range s.Pool {
		if ok, err := path.Match(pattern, vm); err == nil && ok {
			return true
		}
	}
	return false
}

// IsRepeatable reports whether a request with this method may run more than once.
func (s *Service) IsRepeatable(method string) bool {
	for _, m := range s.Repeatable {
		if m == method {
			return true
		}
	}
	return false
}

// Set is an accepted rule file. It is immutable.
type Set struct {
	Revision Revision
	Text     string // the file as accepted, for deltas and for peers
	Services []Service
	Domains  []Domain
	Drained  map[string]string // requester by VM name

	index *index
}

// index provides lookups without a scan. With 2,700 services, a scan for each packet and each VM would be too
// slow.
type index struct {
	byID          map[ServiceID]*Service
	byName        map[string]*Service
	byVM          map[string]*Service // by pool entry without a wildcard
	globServices  []*Service          // services with a glob in their pool, in declaration order
	domainsByID   [maxDomainID + 1]*Domain
	domainsByName map[string]*Domain
}

// NewSet returns a set with its indexes built. It does not validate the rules; Parse does.
func NewSet(revision Revision, services []Service, domains []Domain, drained map[string]string) *Set {
	set := &Set{Revision: revision, Services: services, Domains: domains, Drained: drained}
	set.buildIndex()
	return set
}

func (s *Set) buildIndex() {
	x := &index{
		byID:          make(map[ServiceID]*Service, len(s.Services)),
		byName:        make(map[string]*Service, len(s.Services)),
		byVM:          make(map[string]*Service),
		domainsByName: make(map[string]*Domain, len(s.Domains)),
	}
	for i := range s.Services {
		x.addService(&s.Services[i])
	}
	for i := range s.Domains {
		x.domainsByID[s.Domains[i].ID] = &s.Domains[i]
		x.domainsByName[s.Domains[i].Name] = &s.Domains[i]
	}
	s.index = x
}

func (x *index) addService(service *Service) {
	x.byID[service.ID] = service
	x.byName[service.Name] = service
	hasGlob := false
	for _, pattern := range service.Pool {
		if strings.ContainsAny(pattern, wildcards) {
			hasGlob = true
			continue
		}
		x.byVM[pattern] = service
	}
	if hasGlob {
		x.globServices = append(x.globServices, service)
	}
}

// Service returns the service with the ID, or nil.
func (s *Set) Service(id ServiceID) *Service {
	if s.index == nil {
		return nil
	}
	return s.index.byID[id]
}

// ServiceByName returns the service with the name, or nil.
func (s *Set) ServiceByName(name string) *Service {
	if s.index == nil {
		return nil
	}
	return s.index.byName[name]
}

// ServiceOfVM returns the service whose pool contains the VM, or nil. An exact name takes precedence over a
// glob; if globs of several services match, the service declared first wins.
func (s *Set) ServiceOfVM(vm string) *Service {
	if s.index == nil {
		return nil
	}
	if service, ok := s.index.byVM[vm]; ok {
		return service
	}
	for _, service := range s.index.globServices {
		if service.HasVM(vm) {
			return service
		}
	}
	return nil
}

// Domain returns the failure domain with the ID, or nil.
func (s *Set) Domain(id DomainID) *Domain {
	if s.index == nil {
		return nil
	}
	return s.index.domainsByID[id]
}

// DomainByName returns the failure domain with the name, or nil.
func (s *Set) DomainByName(name string) *Domain {
	if s.index == nil {
		return nil
	}
	return s.index.domainsByName[name]
}

// Package rules holds the operators' rule file: its grammar, its validation and the immutable set that it yields.
package rules

import (
	"net/netip"
	"path"
	"strings"
	"time"
)

// Revision numbers accepted rule files. It is the modify index of the file in the configuration service and only rises.
type Revision uint64

// ServiceID identifies a service in connection IDs and tunnel packets. Zero is not a valid ID.
type ServiceID uint16

// DomainID identifies a failure domain in connection IDs. Zero is not a valid ID.
type DomainID uint8

// wildcards are the bytes that make a pool entry a glob.
const wildcards = `*?[\\`

// Domain is a declared failure domain.
type Domain struct {
	Name      string
	ID        DomainID
	Region    string
	Out       bool   // true while an out rule names the domain
	Requester string // who asked for the domain rule
}

// Service is a declared service with its address, its pool and its limits.
type Service struct {
	Name        string
	ID          ServiceID
	Address     netip.AddrPort // where callers reach the service
	Pool        []string       // VM names or globs
	Slots       int            // requests that one target can run at once
	Connections int            // caller connections that one target may hold
	Deadline    time.Duration  // default deadline of a request
	Queue       time.Duration  // longest wait for a slot
	Repeatable  []string       // methods whose requests may run more than once; empty for none
	Objective   float64        // share of good outcomes aimed at, in percent
	Requester   string         // who asked for the service rule
}

// HasVM reports whether the pool of the service names the VM.
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
	Drained  map[string]string // VM name to who asked

	index *index
}

// index finds rules without a scan; 2,700 services would make a scan for each packet and each VM too slow.
type index struct {
	services map[ServiceID]*Service
	byName   map[string]*Service
	byVM     map[string]*Service // pool entries without a wildcard
	globs    []*Service          // services with a wildcard in their pool
	domains  [maxDomainID + 1]*Domain
	byDomain map[string]*Domain
}

// NewSet returns a set with its lookups prepared. It does not validate; Parse does.
func NewSet(revision Revision, services []Service, domains []Domain, drained map[string]string) *Set {
	set := &Set{Revision: revision, Services: services, Domains: domains, Drained: drained}
	set.buildIndex()
	return set
}

func (s *Set) buildIndex() {
	x := &index{
		services: make(map[ServiceID]*Service, len(s.Services)),
		byName:   make(map[string]*Service, len(s.Services)),
		byVM:     make(map[string]*Service),
		byDomain: make(map[string]*Domain, len(s.Domains)),
	}
	for i := range s.Services {
		x.addService(&s.Services[i])
	}
	for i := range s.Domains {
		x.domains[s.Domains[i].ID] = &s.Domains[i]
		x.byDomain[s.Domains[i].Name] = &s.Domains[i]
	}
	s.index = x
}

func (x *index) addService(service *Service) {
	x.services[service.ID] = service
	x.byName[service.Name] = service
	wild := false
	for _, pattern := range service.Pool {
		if strings.ContainsAny(pattern, wildcards) {
			wild = true
			continue
		}
		x.byVM[pattern] = service
	}
	if wild {
		x.globs = append(x.globs, service)
	}
}

// Service returns the service with the ID, or nil.
func (s *Set) Service(id ServiceID) *Service {
	if s.index == nil {
		return nil
	}
	return s.index.services[id]
}

// ServiceByName returns the service with the name, or nil.
func (s *Set) ServiceByName(name string) *Service {
	if s.index == nil {
		return nil
	}
	return s.index.byName[name]
}

// ServiceOfVM returns the service whose pool names the VM, or nil. An exact name wins over a glob, and of two globs the
// one that was declared first.
func (s *Set) ServiceOfVM(vm string) *Service {
	if s.index == nil {
		return nil
	}
	if service, ok := s.index.byVM[vm]; ok {
		return service
	}
	for _, service := range s.index.globs {
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
	return s.index.domains[id]
}

// DomainByName returns the failure domain with the name, or nil.
func (s *Set) DomainByName(name string) *Domain {
	if s.index == nil {
		return nil
	}
	return s.index.byDomain[name]
}

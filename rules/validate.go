package rules

import (
	"fmt"
	"slices"
	"strings"
)

var (
	requiredServiceKeys = []string{"id", "address", "pool"}
	requiredDomainKeys  = []string{"id"}
)

// listKeys returns the keys in alphabetical order, separated by commas.
func listKeys[T any](parsers map[string]optionParser[T]) string {
	keys := make([]string, 0, len(parsers))
	for key := range parsers {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

func (p *parser) parseService(line int, name word, options []word, requester string) {
	service := Service{
		Name:        name.text,
		Slots:       defaultSlots,
		Connections: defaultConnections,
		Deadline:    defaultDeadline,
		Queue:       defaultQueue,
		Objective:   defaultObjective,
		Requester:   requester,
	}
	applyOptions(p, line, options, serviceOptions, requiredServiceKeys, &service)
	p.set.Services = append(p.set.Services, service)
	p.servicePositions = append(p.servicePositions, position{line: line, column: name.column})
}

func (p *parser) parseDomain(line int, name word, options []word, requester string) {
	domain := Domain{Name: name.text, Requester: requester}
	applyOptions(p, line, options, domainOptions, requiredDomainKeys, &domain)
	p.set.Domains = append(p.set.Domains, domain)
	p.domainPositions = append(p.domainPositions, position{line: line, column: name.column})
}

// validate checks the constraints between rules.
func (p *parser) validate() {
	p.set.buildIndex()
	p.checkDomains()
	p.checkServices()
	p.checkPools()
	p.applyOutRules()
	p.applyDrainRules()
	slices.SortStableFunc(p.errs, func(a, b *Error) int { return a.Line - b.Line })
}

// checkUnique adds an error if the value has been seen before.
func checkUnique[K comparable](p *parser, seen map[K]int, value K, at position, kind string) {
	if first, ok := seen[value]; ok {
		p.addError(at.line, at.column, fmt.Sprintf("duplicate %s %v", kind, value),
			fmt.Sprintf("a value that differs from line %d", first))
		return
	}
	seen[value] = at.line
}

func (p *parser) checkDomains() {
	names := make(map[string]int)
	ids := make(map[DomainID]int)
	for i, domain := range p.set.Domains {
		checkUnique(p, names, domain.Name, p.domainPositions[i], "domain")
		checkUnique(p, ids, domain.ID, p.domainPositions[i], "domain id")
	}
}

func (p *parser) checkServices() {
	names := make(map[string]int)
	ids := make(map[ServiceID]int)
	addresses := make(map[string]int)
	for i, service := range p.set.Services {
		checkUnique(p, names, service.Name, p.servicePositions[i], "service")
		checkUnique(p, ids, service.ID, p.servicePositions[i], "service id")
		checkUnique(p, addresses, service.Address.String(), p.servicePositions[i], "address")
	}
}

// checkPools rejects a VM name in the pools of two services, since a target serves only one service. An overlap
// of two globs can be detected only with the VM list; such a VM belongs to the service declared first.
func (p *parser) checkPools() {
	owners := make(map[string]int)
	for i, service := range p.set.Services {
		for _, pattern := range service.Pool {
			if owner, ok := owners[pattern]; ok {
				found := fmt.Sprintf("pool entry %s of service %s", quote(pattern), p.set.Services[owner].Name)
				p.addError(p.servicePositions[i].line, p.servicePositions[i].column, found, "each VM in the pool of one service")
				continue
			}
			owners[pattern] = i
		}
	}
	p.checkGlobs()
}

// checkGlobs rejects a VM name in the pool of one service that a glob of another service also matches.
func (p *parser) checkGlobs() {
	for i := range p.set.Services {
		for _, name := range p.set.Services[i].Pool {
			if !strings.ContainsAny(name, wildcards) {
				p.checkVMName(i, name)
			}
		}
	}
}

func (p *parser) checkVMName(owner int, name string) {
	for _, other := range p.set.index.globServices {
		if other.ID == p.set.Services[owner].ID || !other.HasVM(name) || slices.Contains(other.Pool, name) {
			continue
		}
		found := fmt.Sprintf("VM %s, also in the pool of service %s", quote(name), other.Name)
		p.addError(p.servicePositions[owner].line, p.servicePositions[owner].column, found, "each VM in the pool of one service")
	}
}

func (p *parser) applyOutRules() {
	seen := make(map[string]int)
	for _, out := range p.outRules {
		checkUnique(p, seen, out.name, out.position, "out")
		domain := p.set.DomainByName(out.name)
		if domain == nil {
			p.addError(out.line, out.column, quote(out.name), "a failure domain that a domain rule declares")
			continue
		}
		domain.Out = true
	}
}

func (p *parser) applyDrainRules() {
	seen := make(map[string]int)
	for _, drain := range p.drainRules {
		checkUnique(p, seen, drain.name, drain.position, "drain")
		if p.set.ServiceOfVM(drain.name) == nil {
			p.addError(drain.line, drain.column, quote(drain.name), "a VM in the pool of a service")
			continue
		}
		p.set.Drained[drain.name] = drain.requester
	}
}

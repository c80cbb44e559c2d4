package rules

import (
	"fmt"
	"slices"
	"strings"
)

var (
	requiredOfService = []string{"id", "address", "pool"}
	requiredOfDomain  = []string{"id"}
)

// keysOf lists the keys in alphabetical order.
func keysOf[T any](known map[string]option[T]) string {
	keys := make([]string, 0, len(known))
	for key := range known {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

func (p *parser) parseService(line int, name word, options []word, asker string) {
	service := Service{
		Name:        name.text,
		Slots:       defaultSlots,
		Connections: defaultConns,
		Deadline:    defaultDeadline,
		Queue:       defaultQueue,
		Objective:   defaultObjective,
		Requester:   asker,
	}
	applyOptions(p, line, options, serviceOptions, requiredOfService, &service)
	p.set.Services = append(p.set.Services, service)
	p.serves = append(p.serves, site{line: line, column: name.column})
}

func (p *parser) parseDomain(line int, name word, options []word, asker string) {
	domain := Domain{Name: name.text, Requester: asker}
	applyOptions(p, line, options, domainOptions, requiredOfDomain, &domain)
	p.set.Domains = append(p.set.Domains, domain)
	p.domains = append(p.domains, site{line: line, column: name.column})
}

// validate checks what holds between rules.
func (p *parser) validate() {
	p.set.buildIndex()
	p.checkDomains()
	p.checkServices()
	p.checkPools()
	p.applyOuts()
	p.applyDrains()
	slices.SortStableFunc(p.errs, func(a, b *Error) int { return a.Line - b.Line })
}

// unique reports the second use of a value.
func unique[K comparable](p *parser, seen map[K]int, value K, at site, what string) {
	if first, ok := seen[value]; ok {
		p.fail(at.line, at.column, fmt.Sprintf("%s %v again", what, value), fmt.Sprintf("another than in line %d", first))
		return
	}
	seen[value] = at.line
}

func (p *parser) checkDomains() {
	names := make(map[string]int)
	ids := make(map[DomainID]int)
	for i, domain := range p.set.Domains {
		unique(p, names, domain.Name, p.domains[i], "domain")
		unique(p, ids, domain.ID, p.domains[i], "domain id")
	}
}

func (p *parser) checkServices() {
	names := make(map[string]int)
	ids := make(map[ServiceID]int)
	addresses := make(map[string]int)
	for i, service := range p.set.Services {
		unique(p, names, service.Name, p.serves[i], "service")
		unique(p, ids, service.ID, p.serves[i], "service id")
		unique(p, addresses, service.Address.String(), p.serves[i], "address")
	}
}

// checkPools refuses a VM name that stands in the pools of two services, since a target serves one service only. An
// overlap of two globs shows only against the VM list; there the service declared first wins.
func (p *parser) checkPools() {
	owners := make(map[string]int)
	for i, service := range p.set.Services {
		for _, pattern := range service.Pool {
			if owner, ok := owners[pattern]; ok {
				found := fmt.Sprintf("pool entry %s of service %s", quote(pattern), p.set.Services[owner].Name)
				p.fail(p.serves[i].line, p.serves[i].column, found, "each VM in the pool of one service")
				continue
			}
			owners[pattern] = i
		}
	}
	p.checkGlobs()
}

// checkGlobs refuses a VM name of one service that a glob of another service matches too.
func (p *parser) checkGlobs() {
	for i := range p.set.Services {
		for _, name := range p.set.Services[i].Pool {
			if !strings.ContainsAny(name, wildcards) {
				p.checkName(i, name)
			}
		}
	}
}

func (p *parser) checkName(owner int, name string) {
	for _, other := range p.set.index.globs {
		if other.ID == p.set.Services[owner].ID || !other.HasVM(name) || slices.Contains(other.Pool, name) {
			continue
		}
		found := fmt.Sprintf("VM %s, also in the pool of service %s", quote(name), other.Name)
		p.fail(p.serves[owner].line, p.serves[owner].column, found, "each VM in the pool of one service")
	}
}

func (p *parser) applyOuts() {
	seen := make(map[string]int)
	for _, out := range p.outs {
		unique(p, seen, out.name, out.site, "out")
		domain := p.set.DomainByName(out.name)
		if domain == nil {
			p.fail(out.line, out.column, quote(out.name), "a failure domain that a domain rule declares")
			continue
		}
		domain.Out = true
	}
}

func (p *parser) applyDrains() {
	seen := make(map[string]int)
	for _, drain := range p.drains {
		unique(p, seen, drain.name, drain.site, "drain")
		if p.set.ServiceOfVM(drain.name) == nil {
			p.fail(drain.line, drain.column, quote(drain.name), "a VM in the pool of a service")
			continue
		}
		p.set.Drained[drain.name] = drain.asker
	}
}

package directory

import (
	"maps"
	"slices"
	"strings"

	"github.com/cowslipward/cowslipward/flow"
)

// newView returns the view of the current content of the directory.
func (d *Directory) newView() *View {
	v := &View{
		Revision:       d.revision,
		Config:         d.config,
		OutDomains:     slices.Sorted(maps.Keys(d.outDomains)),
		Refused:        d.refusedRecords(),
		routes:         make(map[flow.Endpoint]*Route),
		services:       make(map[string]*Service),
		targets:        make(map[string][]*Target),
		byIP:           make(map[[4]byte]*Target, len(d.targets)),
		formerServices: cloneLists(d.formerServices),
	}
	if d.config != nil {
		for i := range d.config.Routes {
			v.routes[d.config.Routes[i].Address] = &d.config.Routes[i]
		}
		for i := range d.config.Services {
			v.services[d.config.Services[i].Name] = &d.config.Services[i]
		}
	}
	v.addTargets(d.targets)
	return v
}

// addTargets adds the targets. Of several entries at one address, one is in use.
func (v *View) addTargets(targets map[string]*Target) {
	for _, t := range targets {
		v.byIP[t.Address.IP] = v.preferredTarget(v.byIP[t.Address.IP], t)
	}
	for _, t := range v.byIP {
		v.targets[t.Service] = append(v.targets[t.Service], t)
	}
	byID := func(a, b *Target) int { return strings.Compare(a.ID, b.ID) }
	for _, list := range v.targets {
		slices.SortFunc(list, byID)
	}
	if len(v.byIP) == len(targets) {
		return
	}
	for _, t := range targets {
		if v.byIP[t.Address.IP].Service != t.Service {
			v.shadowed = append(v.shadowed, t)
		}
	}
	slices.SortFunc(v.shadowed, byID)
}

// preferredTarget returns which of two targets with the same address is the current one; the other one's entry is
// left over from an earlier target, or names a service that the configuration does not have. a may be nil.
func (v *View) preferredTarget(a, b *Target) *Target {
	if a == nil {
		return b
	}
	for _, isWorse := range []func(*Target) bool{
		func(t *Target) bool { return v.Config != nil && v.services[t.Service] == nil },
		func(t *Target) bool { return t.ExpiredAt != 0 },
	} {
		switch {
		case isWorse(a) && !isWorse(b):
			return b
		case isWorse(b) && !isWorse(a):
			return a
		}
	}
	switch {
	case b.StartUnixMs > a.StartUnixMs:
		return b
	case b.StartUnixMs < a.StartUnixMs:
		return a
	case b.ID > a.ID: // the view must not depend on the order of the entries
		return b
	default:
		return a
	}
}

func cloneLists(m map[string][]string) map[string][]string {
	clone := make(map[string][]string, len(m))
	for key, list := range m {
		clone[key] = slices.Clone(list)
	}
	return clone
}

package directory

import (
	"bytes"
	"cmp"
	"slices"
)

// applyConfig puts the configuration of a record in force if its version is higher than the current one. It reports
// whether it did.
func (d *Directory) applyConfig(r *Record) bool {
	if r.Refusal != nil {
		return r.Revision > d.configRevision && d.noteRefusal(configEntryKey, r)
	}
	if r.Revision > d.refused[configEntryKey].Revision {
		d.clearRefusal(configEntryKey) // replaced, also by the configuration in force
	}
	d.noteStoreConfig(r)
	next := d.resolveConfig(r)
	if next == nil || (d.config != nil && next.Version <= d.config.Version) {
		return false
	}
	d.recordFormerServices(next)
	d.recordTransition(r, next)
	d.config, d.configRevision, d.dirty = next, r.Revision, true
	d.awaitsConfig = r.ContentRevision != 0 && r.Revision.Era() != 0
	d.endCarrying()
	return true
}

// withSortedRoutes returns the configuration with its routes sorted by address, so that a different order of
// routes in the platform's store does not count as a change. It does not modify c.
func withSortedRoutes(c *Config) *Config {
	if c == nil || slices.IsSortedFunc(c.Routes, compareAddresses) {
		return c
	}
	sorted := *c
	sorted.Routes = slices.Clone(c.Routes)
	slices.SortStableFunc(sorted.Routes, compareAddresses)
	return &sorted
}

func compareAddresses(a, b Route) int {
	return cmp.Or(bytes.Compare(a.Address.IP[:], b.Address.IP[:]), cmp.Compare(a.Address.Port, b.Address.Port))
}

// recordFormerServices records, for each route of the next configuration, the services that it no longer uses,
// because open flows stay on the targets of those services.
func (d *Directory) recordFormerServices(next *Config) {
	if d.config == nil {
		return
	}
	current := make(map[string]*Route, len(d.config.Routes))
	for i := range slices.Backward(d.config.Routes) { // if several routes have the same name, the first one counts
		current[d.config.Routes[i].Name] = &d.config.Routes[i]
	}
	former := make(map[string][]string)
	for i := range next.Routes {
		route := &next.Routes[i]
		if services := route.droppedServices(d.formerServices[route.Name], current[route.Name]); len(services) > 0 {
			former[route.Name] = services
		}
	}
	d.formerServices = former
}

// droppedServices returns the services that earlier versions of the route used and r does not. former lists those of
// versions before the current one; current may be nil.
func (r *Route) droppedServices(former []string, current *Route) []string {
	var services []string
	add := func(service string) {
		if !r.hasService(service) && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	for _, service := range former {
		add(service)
	}
	if current != nil {
		for _, c := range current.Choices {
			add(c.Service)
		}
	}
	return services
}

func (r *Route) hasService(service string) bool {
	return slices.ContainsFunc(r.Choices, func(c Choice) bool { return c.Service == service })
}

// resolveConfig returns the configuration that a record describes, with its routes sorted by address. It returns
// nil if the record is outdated, has no readable configuration, or changes a configuration other than the current
// one.
func (d *Directory) resolveConfig(r *Record) *Config {
	version, _ := r.version()
	switch {
	case r.Revision < d.configRevision || (d.config != nil && version <= d.config.Version):
		return nil
	case r.Change == nil:
		return withSortedRoutes(r.Config)
	case !r.Change.appliesTo(d.config, d.configRevision):
		d.baseMismatch = true
		return nil
	default:
		return r.Change.apply(d.config)
	}
}

// TakeBaseMismatch reports whether, since the last call, a change could not be applied because its base is not the
// current configuration. The caller then has to fetch a snapshot.
func (d *Directory) TakeBaseMismatch() bool {
	mismatch := d.baseMismatch
	d.baseMismatch = false
	return mismatch
}

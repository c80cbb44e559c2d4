package directory

import (
	"bytes"
	"cmp"
	"slices"
)

// applyConfig takes over a configuration with a higher version than the one in force.
func (d *Directory) applyConfig(r *Record) bool {
	next := d.resolve(r)
	if next == nil || (d.config != nil && next.Version <= d.config.Version) {
		return false
	}
	d.noteFormerServices(next)
	d.noteStep(r, next)
	d.config, d.configRev, d.dirty = next, r.Revision, true
	return true
}

// ordered returns the configuration with its routes in the order of their addresses, so that the order in which the platform
// writes them is no change.
func ordered(c *Config) *Config {
	if c == nil || slices.IsSortedFunc(c.Routes, byAddress) {
		return c
	}
	sorted := *c
	sorted.Routes = slices.Clone(c.Routes)
	slices.SortStableFunc(sorted.Routes, byAddress)
	return &sorted
}

func byAddress(a, b Route) int {
	return cmp.Or(bytes.Compare(a.Address.IP[:], b.Address.IP[:]), cmp.Compare(a.Address.Port, b.Address.Port))
}

// noteFormerServices remembers the services that the present configuration names for each route, since open flows stay
// where they are.
func (d *Directory) noteFormerServices(next *Config) {
	if d.config == nil {
		return
	}
	present := make(map[string]*Route, len(d.config.Routes))
	for i := range slices.Backward(d.config.Routes) { // of several with one name the first counts
		present[d.config.Routes[i].Name] = &d.config.Routes[i]
	}
	kept := make(map[string][]string)
	for i := range next.Routes {
		route := &next.Routes[i]
		if names := route.lacks(d.formerly[route.Name], present[route.Name]); len(names) > 0 {
			kept[route.Name] = names
		}
	}
	d.formerly = kept
}

// lacks returns the services that the route had before, formerly or in its present form, and does not name.
func (r *Route) lacks(formerly []string, present *Route) []string {
	var names []string
	note := func(service string) {
		if !r.names(service) && !slices.Contains(names, service) {
			names = append(names, service)
		}
	}
	for _, service := range formerly {
		note(service)
	}
	if present != nil {
		for _, c := range present.Choices {
			note(c.Service)
		}
	}
	return names
}

func (r *Route) names(service string) bool {
	return slices.ContainsFunc(r.Choices, func(c Choice) bool { return c.Service == service })
}

// resolve returns the configuration of a record with its routes in order, nil where the record is old or changes one that is
// not held.
func (d *Directory) resolve(r *Record) *Config {
	switch {
	case r.Revision <= d.configRev:
		return nil
	case r.Change == nil:
		return ordered(r.Config)
	case d.config == nil || r.Change.Base != d.configRev:
		d.unmet = true
		return nil
	default:
		return r.Change.apply(d.config)
	}
}

// TakeBaseMismatch reports whether a change could not be applied since the last call, for lack of the configuration that it
// changes. All that holds has to be taken over then.
func (d *Directory) TakeBaseMismatch() bool {
	unmet := d.unmet
	d.unmet = false
	return unmet
}

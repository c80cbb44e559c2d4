package directory

import (
	"reflect"
	"slices"
)

// ConfigChange is the difference between two configurations. With thousands of routes it is far smaller than the full
// configuration.
type ConfigChange struct {
	Base Revision // store revision of the configuration to which the change applies
	// BaseVersion is the version of that configuration; 0 from peers that do not send it. After a restoration of the
	// store, processes that had different configurations count them as written at the same revision.
	BaseVersion int64 `json:",omitempty"`

	Next Config   // new configuration, with only the routes that are new or changed
	Gone []string // names of removed routes
}

// size returns the size of the change in units of one route of a full configuration. A change is sent instead of the
// full configuration only if it is clearly smaller.
func (c *ConfigChange) size() int { return 2*len(c.Next.Routes) + len(c.Gone) }

// diffConfigs returns the change from old, the configuration at store revision base, to next. It reports false if the
// change is not smaller than the full configuration, or if applying it would not reproduce next: route names are not
// unique, or the order of routes that share an address has changed.
func diffConfigs(old *Config, base Revision, next *Config) (*ConfigChange, bool) {
	c := &ConfigChange{Base: base, Next: *next}
	if base.Era() > 0 {
		c.BaseVersion = old.Version
	}
	c.Next.Routes = nil
	oldRoutes := make(map[string]*Route, len(old.Routes))
	for i := range old.Routes {
		oldRoutes[old.Routes[i].Name] = &old.Routes[i]
	}
	for i := range next.Routes {
		route := &next.Routes[i]
		if previous := oldRoutes[route.Name]; previous == nil || !reflect.DeepEqual(previous, route) {
			c.Next.Routes = append(c.Next.Routes, *route)
		}
		delete(oldRoutes, route.Name)
	}
	for i := range old.Routes {
		if oldRoutes[old.Routes[i].Name] != nil {
			c.Gone = append(c.Gone, old.Routes[i].Name)
		}
	}
	return c, c.size() < len(next.Routes) && reflect.DeepEqual(c.apply(old), next)
}

// appliesTo reports whether the change is one of the configuration at a store revision. old may be nil.
func (c *ConfigChange) appliesTo(old *Config, revision Revision) bool {
	return old != nil && c.Base == revision && (c.BaseVersion == 0 || c.BaseVersion == old.Version)
}

// apply returns the configuration that results from applying the change to old, with its routes sorted by address.
func (c *ConfigChange) apply(old *Config) *Config {
	next := c.Next
	next.Routes = make([]Route, 0, len(old.Routes)+len(c.Next.Routes))
	added := make(map[string]*Route, len(c.Next.Routes))
	for i := range c.Next.Routes {
		added[c.Next.Routes[i].Name] = &c.Next.Routes[i]
	}
	gone := make(map[string]bool, len(c.Gone))
	for _, name := range c.Gone {
		gone[name] = true
	}
	for i := range old.Routes {
		route := &old.Routes[i]
		if changed := added[route.Name]; changed != nil {
			next.Routes = append(next.Routes, *changed)
			delete(added, route.Name)
		} else if !gone[route.Name] {
			next.Routes = append(next.Routes, *route)
		}
	}
	for i := range c.Next.Routes {
		if added[c.Next.Routes[i].Name] != nil {
			next.Routes = append(next.Routes, c.Next.Routes[i])
		}
	}
	slices.SortStableFunc(next.Routes, compareAddresses)
	return &next
}

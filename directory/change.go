package directory

import (
	"reflect"
	"slices"
)

// ConfigChange leads from one configuration to the next. At thousands of routes it is a small part of the whole.
type ConfigChange struct {
	Base uint64   // the store's revision of the configuration that it changes
	Next Config   // with those routes only that are new or changed
	Gone []string // names of routes that the next configuration lacks
}

// size measures the change in routes of a whole configuration. A change is worth telling where it is clearly less.
func (c *ConfigChange) size() int { return 2*len(c.Next.Routes) + len(c.Gone) }

// changeOf returns the change from the configuration of a revision to the next one. It reports false where the change is no
// less than the whole, and where the routes cannot be told apart by their names, or those of one address stand in another order.
func changeOf(old *Config, base uint64, next *Config) (*ConfigChange, bool) {
	c := &ConfigChange{Base: base, Next: *next}
	c.Next.Routes = nil
	held := make(map[string]*Route, len(old.Routes))
	for i := range old.Routes {
		held[old.Routes[i].Name] = &old.Routes[i]
	}
	for i := range next.Routes {
		route := &next.Routes[i]
		if before := held[route.Name]; before == nil || !reflect.DeepEqual(before, route) {
			c.Next.Routes = append(c.Next.Routes, *route)
		}
		delete(held, route.Name)
	}
	for i := range old.Routes {
		if held[old.Routes[i].Name] != nil {
			c.Gone = append(c.Gone, old.Routes[i].Name)
		}
	}
	return c, c.size() < len(next.Routes) && reflect.DeepEqual(c.apply(old), next)
}

// apply returns the next configuration, its routes in order.
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
	slices.SortStableFunc(next.Routes, byAddress)
	return &next
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// pathLengths are the maximum numbers of targets on a path in the first, second and later searches for a flow. A
// target that does not answer cuts off the targets behind it on its path: shorter paths lose fewer targets, but
// use more bandwidth of the balancer.
var pathLengths = [...]int{1 + encap.MaxPathLen, 2, 1}

// missLifetime is how long the result of a search that found no target is valid. Later packets may belong to another
// flow with the same endpoints.
const missLifetime = time.Second

// SearchPath is a list of targets that a packet visits in turn until one of them owns its flow.
type SearchPath struct {
	First  *directory.Target
	Header encap.Header // its path contains the targets after the first
}

// searchScope is a part of the targets of a view. A search asks those of one scope after the other.
type searchScope uint8

const (
	// scopeRoute contains the targets of the services of the route, including former services that this process has
	// seen. Nearly all flows are found here.
	scopeRoute searchScope = iota
	// scopeOthers contains all other targets. A process that started after the route was given another service does
	// not know which targets its older flows are on. If two entries name one address, both are asked.
	scopeOthers
)

// search is the state of the search for the target of an open flow.
type search struct {
	scope           searchScope
	running         bool
	startedAt       time.Duration   // when this search started
	firstStartedAt  time.Duration   // when the first search since the target was last known started; 0: there was none
	viewConfirmedAt time.Duration   // when the store confirmed the view that the search started with
	round           uint8           // number of the search, which identifies late answers of earlier searches
	attempts        int             // searches since the last one that all targets answered
	openPaths       int             // paths whose end was not reported yet
	incomplete      bool            // targets in closed failure domains were omitted
	view            *directory.View // view whose targets are searched
}

// isRunning reports whether the search still waits for answers.
func (s *search) isRunning(now time.Duration) bool {
	return s.running && now-s.startedAt < SearchTimeout
}

// startSearch sends a packet of an open flow along several paths to the targets that are likely to own the flow. If
// some of them did not answer the search before, the packet also goes to all others, since answers may never come.
func (d *Dispatcher) startSearch(key flow.Key, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	firstStartedAt := cmp.Or(e.search.firstStartedAt, now)
	e.search = search{running: true, startedAt: now, firstStartedAt: firstStartedAt, viewConfirmedAt: d.confirmedAt, round: e.search.round + 1, attempts: e.search.attempts + 1, view: d.view}
	paths := d.searchPaths(e, d.searchOrder(d.view, key, route, scopeRoute), e.search.attempts, now)
	if len(paths) == 0 {
		return d.searchOthers(key, e, p, now)
	}
	if e.search.attempts > 1 {
		others := d.searchPaths(e, d.searchOrder(d.view, key, route, scopeOthers), e.search.attempts-1, now)
		if d.wideSearches.take(len(others), now) {
			e.search.scope, paths = scopeOthers, append(paths, others...)
		}
	}
	e.search.openPaths = len(paths)
	return Decision{Outcome: OutcomeSearch, Cause: CauseSearch, Paths: paths}
}

// searchOthers continues a search that found no target of the route's services with all other targets of the view
// that the search started with.
func (d *Dispatcher) searchOthers(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	e.search.scope, e.search.startedAt = scopeOthers, now
	e.search.round++ // late answers about the first scope do not count for this one
	route := e.search.view.Route(key.Service)
	paths := d.searchPaths(e, d.searchOrder(e.search.view, key, route, scopeOthers), e.search.attempts, now)
	if len(paths) == 0 {
		return d.handleMiss(key, e, p, now)
	}
	if !d.wideSearches.take(len(paths), now) {
		e.search.running, e.search.attempts = false, 0
		return Decision{Cause: CauseSearchLimit}
	}
	e.search.openPaths = len(paths)
	return Decision{Outcome: OutcomeSearch, Cause: CauseSearchOthers, Paths: paths}
}

// searchPaths returns the paths of a search over the targets, which were asked in attempts-1 searches before that did
// not end. Targets that are known to be silent get paths of their own.
func (d *Dispatcher) searchPaths(e *entry, targets []*directory.Target, attempts int, now time.Duration) []SearchPath {
	pathLength := pathLengths[min(attempts-1, len(pathLengths)-1)]
	answering, silent := d.splitSilent(targets, now)
	paths := make([]SearchPath, 0, 1+len(answering)/pathLength+len(silent))
	for start := 0; start < len(answering); {
		end := start
		for end < len(answering) && end-start < pathLength && answering[end].Service == answering[start].Service {
			end++
		}
		paths = d.appendPath(paths, e, answering[start:end], now)
		start = end
	}
	for i := range silent {
		paths = d.appendPath(paths, e, silent[i:i+1], now)
	}
	return paths
}

// splitSilent separates the targets that are known not to answer from the others. On a shared path they would cut off
// the targets behind them.
func (d *Dispatcher) splitSilent(targets []*directory.Target, now time.Duration) (answering, silent []*directory.Target) {
	d.silentBuffer = d.silentBuffer[:0]
	answering = targets[:0]
	for _, t := range targets {
		if d.loads.Unresponsive(t.Address.IP, now) {
			d.silentBuffer = append(d.silentBuffer, t)
		} else {
			answering = append(answering, t)
		}
	}
	return answering, d.silentBuffer
}

// appendPath appends the path over the targets, unless all of them are in closed failure domains.
func (d *Dispatcher) appendPath(paths []SearchPath, e *entry, targets []*directory.Target, now time.Duration) []SearchPath {
	if path, ok := d.newPath(e, targets, now); ok {
		return append(paths, path)
	}
	return paths
}

// newPath returns a path over targets of one service, omitting those in closed failure domains. It returns false
// if no target is left.
func (d *Dispatcher) newPath(e *entry, targets []*directory.Target, now time.Duration) (path SearchPath, ok bool) {
	for _, t := range targets {
		if d.isDomainClosed(t.Domain, now) {
			e.search.incomplete = true
			continue
		}
		d.loads.RecordSent(t.Address.IP, false, now)
		if path.First == nil {
			path.First = t
			continue
		}
		path.Header.Path.Add(t.Address.IP)
	}
	if path.First == nil {
		return path, false
	}
	path.Header.Kind = encap.KindForward
	path.Header.Service = directory.NameHash(path.First.Service)
	path.Header.Search = true
	path.Header.Round = e.search.round
	return path, true
}

// searchOrder returns the targets of a scope in the order of the search. The result is valid until the next call.
func (d *Dispatcher) searchOrder(view *directory.View, key flow.Key, route *directory.Route, scope searchScope) []*directory.Target {
	services := routeServices(view, key, route)
	if scope == scopeOthers {
		services = slices.DeleteFunc(view.ServiceNames(), func(name string) bool { return slices.Contains(services, name) })
		slices.Sort(services)
	}
	d.searchBuffer = d.chooser.SearchOrder(view, services, key.Hash(), d.searchBuffer[:0])
	if scope == scopeOthers {
		d.searchBuffer = append(d.searchBuffer, view.Shadowed()...)
	}
	return d.searchBuffer
}

// routeServices returns the services of scopeRoute: the one that the route chooses for the flow, its other services,
// and those that it formerly had.
func routeServices(view *directory.View, key flow.Key, route *directory.Route) []string {
	services := []string{route.ChooseService(key.Hash())}
	for _, c := range route.Choices {
		if !slices.Contains(services, c.Service) {
			services = append(services, c.Service)
		}
	}
	return append(services, view.FormerServices(route.Name)...)
}

// handlePathEnd records that no target on a path owns the flow.
func (d *Dispatcher) handlePathEnd(key flow.Key, e *entry, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	if !e.search.running || h.Round != e.search.round {
		return Decision{Cause: CauseStaleReturn}
	}
	e.search.openPaths--
	if e.search.openPaths > 0 {
		return Decision{Cause: CauseSearching}
	}
	if e.search.scope == scopeRoute {
		return d.searchOthers(key, e, p, now)
	}
	return d.handleMiss(key, e, p, now)
}

// handleMiss ends a search that found no target. The flow is reset only after a search over all targets of a view
// that the store confirmed after the first miss: such a view contains every target that other balancers already
// used.
func (d *Dispatcher) handleMiss(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	first := e.firstMissAt == 0
	e.search.running, e.search.attempts, e.target = false, 0, nil
	if first {
		e.firstMissAt = now
	}
	if first || e.search.incomplete || e.search.viewConfirmedAt <= e.firstMissAt {
		return Decision{Outcome: OutcomeHold, Cause: CauseMissUnconfirmed}
	}
	return d.rejectUnknownFlow(key, e, p, now)
}

// isMissConfirmed reports whether the search that found no target covered all targets of a view that was confirmed
// since then, so that another search would visit the same targets. After a power failure this halves the number of
// search packets.
func (d *Dispatcher) isMissConfirmed(e *entry, now time.Duration) bool {
	if e.firstMissAt == 0 || now-e.firstMissAt > missLifetime || d.confirmedAt <= e.firstMissAt {
		return false
	}
	if e.search.running || e.search.incomplete || e.search.view == nil {
		return false
	}
	return d.viewComparison.coversTargets(e.search.view, d.view)
}

// viewComparison caches whether one view contains all targets of another: after a power failure the same two views are
// compared for thousands of flows.
type viewComparison struct {
	earlier, later *directory.View
	covered        bool
}

// coversTargets reports whether the earlier view contains all targets of the later one.
func (c *viewComparison) coversTargets(earlier, later *directory.View) bool {
	if earlier == later {
		return true
	}
	if c.earlier != earlier || c.later != later {
		c.earlier, c.later, c.covered = earlier, later, earlier.ContainsTargetsOf(later)
	}
	return c.covered
}

// rejectUnknownFlow resets a flow that no target owns.
func (d *Dispatcher) rejectUnknownFlow(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	d.table.Delete(key)
	if p.Reset {
		return Decision{Cause: CauseCallerReset}
	}
	return Decision{Outcome: OutcomeReset, Cause: CauseUnknownFlow, Seq: p.Ack, SearchTime: now - e.search.firstStartedAt}
}

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

// search is the state of the search for the target of an open flow.
type search struct {
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

// startSearch sends a packet of an open flow along several paths to all targets that may own the flow.
func (d *Dispatcher) startSearch(key flow.Key, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	pathLength := pathLengths[min(e.search.attempts, len(pathLengths)-1)]
	firstStartedAt := cmp.Or(e.search.firstStartedAt, now)
	e.search = search{running: true, startedAt: now, firstStartedAt: firstStartedAt, viewConfirmedAt: d.confirmedAt, round: e.search.round + 1, attempts: e.search.attempts + 1, view: d.view}
	answering, silent := d.splitSilent(d.searchOrder(key, route), now)
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
	e.search.openPaths = len(paths)
	if e.search.openPaths == 0 {
		return d.handleMiss(key, e, p, now)
	}
	return Decision{Outcome: OutcomeSearch, Cause: CauseSearch, Paths: paths}
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

// searchOrder returns the targets that may own a flow of the route, in the order of the search: the targets of
// the service that the route chooses for the flow, of its other services, and of services that it formerly had.
// The result is valid until the next call.
func (d *Dispatcher) searchOrder(key flow.Key, route *directory.Route) []*directory.Target {
	services := []string{route.ChooseService(key.Hash())}
	for _, c := range route.Choices {
		if !slices.Contains(services, c.Service) {
			services = append(services, c.Service)
		}
	}
	services = append(services, d.view.FormerServices(route.Name)...)
	d.searchBuffer = d.chooser.SearchOrder(d.view, services, key.Hash(), d.searchBuffer[:0])
	return d.searchBuffer
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
func (d *Dispatcher) isMissConfirmed(key flow.Key, e *entry, route *directory.Route, now time.Duration) bool {
	if e.firstMissAt == 0 || now-e.firstMissAt > missLifetime || d.confirmedAt <= e.firstMissAt {
		return false
	}
	searchedView := e.search.view
	if e.search.running || e.search.incomplete || searchedView == nil || searchedView.Config != d.view.Config {
		return false
	}
	if searchedView == d.view {
		return true
	}
	for _, t := range d.searchOrder(key, route) {
		previous := searchedView.TargetByIP(t.Address.IP)
		if previous == nil || previous.ID != t.ID || previous.Service != t.Service {
			return false
		}
	}
	return true
}

// rejectUnknownFlow resets a flow that no target owns.
func (d *Dispatcher) rejectUnknownFlow(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	d.table.Delete(key)
	if p.Reset {
		return Decision{Cause: CauseCallerReset}
	}
	return Decision{Outcome: OutcomeReset, Cause: CauseUnknownFlow, Seq: p.Ack, SearchTime: now - e.search.firstStartedAt}
}

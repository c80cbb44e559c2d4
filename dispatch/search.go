package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/flow"
)

// pathLengths are the numbers of targets on each path of the first, the second and all later searches of a flow. A
// shorter path loses fewer targets to one that does not answer, and costs the link of the balancer more bytes.
var pathLengths = [...]int{1 + encap.MaxPathLen, 2, 1}

// missLife is how long the end of a search in vain counts. Later packets may be those of another flow of the same ends.
const missLife = time.Second

// SearchPath is a list of targets that a packet visits in turn until one of them holds its flow.
type SearchPath struct {
	First  *directory.Target
	Header encap.Header // with the path after the first target
}

// search is the state of the search for the target of an open flow.
type search struct {
	running bool
	at      time.Duration   // of its start
	began   time.Duration   // of the first search since the flow was known; 0: it is
	known   time.Duration   // when the store confirmed the view by which it began
	round   uint8           // number of the search, by which late answers are told apart
	tries   int             // searches since the last one that all targets answered
	open    int             // paths that have not ended
	skipped bool            // some targets were not asked
	view    *directory.View // whose targets were asked
}

// isRunning reports whether answers of the search may still come.
func (s *search) isRunning(now time.Duration) bool {
	return s.running && now-s.at < SearchTimeout
}

// startSearch sends a packet of an open flow to all targets that may hold it, along several paths.
func (d *Dispatcher) startSearch(key flow.Key, e *entry, p *flow.Packet, route *directory.Route, now time.Duration) Decision {
	length := pathLengths[min(e.search.tries, len(pathLengths)-1)]
	began := cmp.Or(e.search.began, now)
	e.search = search{running: true, at: now, began: began, known: d.known, round: e.search.round + 1, tries: e.search.tries + 1, view: d.view}
	order, alone := d.apart(d.searchOrder(key, route), now)
	paths := make([]SearchPath, 0, 1+len(order)/length+len(alone))
	for start := 0; start < len(order); {
		end := start
		for end < len(order) && end-start < length && order[end].Service == order[start].Service {
			end++
		}
		paths = d.appendPath(paths, e, order[start:end], now)
		start = end
	}
	for i := range alone {
		paths = d.appendPath(paths, e, alone[i:i+1], now)
	}
	e.search.open = len(paths)
	if e.search.open == 0 {
		return d.miss(key, e, p, now)
	}
	return Decision{Outcome: OutcomeSearch, Cause: CauseSearch, Paths: paths}
}

// apart splits the targets that are known not to answer from the others. On a path they would keep it from those behind.
func (d *Dispatcher) apart(targets []*directory.Target, now time.Duration) (answering, silent []*directory.Target) {
	d.silent = d.silent[:0]
	answering = targets[:0]
	for _, t := range targets {
		if d.loads.Unresponsive(t.Address.IP, now) {
			d.silent = append(d.silent, t)
		} else {
			answering = append(answering, t)
		}
	}
	return answering, d.silent
}

// appendPath adds the path over the targets, unless none of them may be asked.
func (d *Dispatcher) appendPath(paths []SearchPath, e *entry, targets []*directory.Target, now time.Duration) []SearchPath {
	if path, ok := d.newPath(e, targets, now); ok {
		return append(paths, path)
	}
	return paths
}

// newPath returns a path over targets of one service, without those in domains that get no packet any more. It reports
// false where none is left.
func (d *Dispatcher) newPath(e *entry, targets []*directory.Target, now time.Duration) (path SearchPath, ok bool) {
	for _, t := range targets {
		if d.isClosed(t.Domain, now) {
			e.search.skipped = true
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

// searchOrder lists the targets that may hold a flow of the route: those of the service that it chooses, of the route's
// other services and of those that it named before.
func (d *Dispatcher) searchOrder(key flow.Key, route *directory.Route) []*directory.Target {
	services := []string{route.ChooseService(key.Hash())}
	for _, c := range route.Choices {
		if !slices.Contains(services, c.Service) {
			services = append(services, c.Service)
		}
	}
	services = append(services, d.view.FormerServices(route.Name)...)
	d.search = d.chooser.SearchOrder(d.view, services, key.Hash(), d.search[:0])
	return d.search
}

// pathEnded notes that no target on a path holds the flow.
func (d *Dispatcher) pathEnded(key flow.Key, e *entry, h *encap.Header, p *flow.Packet, now time.Duration) Decision {
	if !e.search.running || h.Round != e.search.round {
		return Decision{Cause: CauseStaleReturn}
	}
	e.search.open--
	if e.search.open > 0 {
		return Decision{Cause: CauseSearching}
	}
	return d.miss(key, e, p, now)
}

// miss ends a search that found nothing. The flow is reset once a search has asked all targets of a view that the store
// confirmed after the first miss: a target that another balancer knew of already is found by then.
func (d *Dispatcher) miss(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	first := e.missAt == 0
	e.search.running, e.search.tries, e.target = false, 0, nil
	if first {
		e.missAt = now
	}
	if first || e.search.skipped || e.search.known <= e.missAt {
		return Decision{Outcome: OutcomeHold, Cause: CauseMissUnconfirmed}
	}
	return d.unknown(key, e, p, now)
}

// isMissProved reports whether the search that found nothing has asked all targets of a view which was confirmed since, so
// that another search would ask the same ones. After a loss of power that halves the packets of searches.
func (d *Dispatcher) isMissProved(key flow.Key, e *entry, route *directory.Route, now time.Duration) bool {
	if e.missAt == 0 || now-e.missAt > missLife || d.known <= e.missAt {
		return false
	}
	asked := e.search.view
	if e.search.running || e.search.skipped || asked == nil || asked.Config != d.view.Config {
		return false
	}
	if asked == d.view {
		return true
	}
	for _, t := range d.searchOrder(key, route) {
		before := asked.TargetByIP(t.Address.IP)
		if before == nil || before.ID != t.ID || before.Service != t.Service {
			return false
		}
	}
	return true
}

// unknown refuses a flow that no target holds.
func (d *Dispatcher) unknown(key flow.Key, e *entry, p *flow.Packet, now time.Duration) Decision {
	d.table.Delete(key)
	if p.Reset {
		return Decision{Cause: CauseCallerReset}
	}
	return Decision{Outcome: OutcomeReset, Cause: CauseUnknownFlow, Seq: p.Ack, SearchTime: now - e.search.began}
}

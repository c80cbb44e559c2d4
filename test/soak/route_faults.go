package soak

import "time"

const (
	configGap = 80 * time.Millisecond // between configurations in quick succession
	// fullAfterMove lets the last SYNs of the callers find room again.
	fullAfterMove = 300 * time.Millisecond
)

// giveRouteAndRestart gives the shared route to another service and then restarts a balancer, which does not learn the
// former service. Open flows of the route stay where they are.
func (f *faults) giveRouteAndRestart(i injection) {
	f.moveSharedRoute(1, false)
	time.Sleep(i.last)
	f.restart(i)
}

// moveRouteFromFullTargets gives the shared route to another service while the targets of its present one accept no new
// flows, so that callers send SYNs of one flow before and after the change. At times the route is dropped in between.
func (f *faults) moveRouteFromFullTargets(i injection) {
	if _, busy := f.busy.LoadOrStore("shared", true); busy {
		return
	}
	defer f.busy.Delete("shared")
	full := f.bed.targetsOfSharedRoute(f.services)
	for _, target := range full {
		target.SetFull(true)
	}
	time.Sleep(time.Duration(i.random.IntN(100)) * time.Millisecond)
	if i.random.IntN(2) == 0 {
		f.moveSharedRoute(0, true)
		time.Sleep(configGap)
	}
	f.moveSharedRoute(1, false)
	time.Sleep(fullAfterMove)
	for _, target := range full {
		target.SetFull(false)
	}
}

// moveSharedRoute publishes a configuration in which the shared route belongs to a later service, or is dropped.
func (f *faults) moveSharedRoute(by int, dropped bool) {
	f.bed.mu.Lock()
	defer f.bed.mu.Unlock()
	f.bed.shared += by
	f.bed.dropped = dropped
	f.bed.publishConfig(f.services)
}

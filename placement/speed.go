package placement

import (
	"time"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/directory"
)

const (
	// maxLossInTime limits the loss of a caller at a slow target that answers it in time anyway. It is below
	// remotePenalty, so that such a target is preferred to one in another failure domain.
	maxLossInTime = 0.25
	// inTimeShare is the share of the latency objective up to which the mean duration at a target leaves enough time for
	// the network, for a wait and for longer requests.
	inTimeShare = 0.5
)

// routeOfFlow is what the cost of a target depends on besides the target.
type routeOfFlow struct {
	objective time.Duration
	tag       uint8
}

// SetRoute sets the route of the flows that are placed until the next call. Only costs by learned capacity depend on it.
func (c *Chooser) SetRoute(route *directory.Route) {
	c.route = routeOfFlow{objective: route.Objective, tag: capacity.RouteTag(route.Address)}
}

// SetLearned sets the learned capacity of the target on the VM, by which flows are placed from then on.
func (l *LoadTracker) SetLearned(ip [4]byte, learned *capacity.Target) {
	l.loadOf(ip).learned = learned
}

// ForgetLearned makes flows be placed by the slots of the target on the VM alone.
func (l *LoadTracker) ForgetLearned(ip [4]byte) {
	if entry := l.byIP[ip]; entry != nil {
		entry.learned = nil
	}
}

// Learned returns the learned capacity of the target on the VM, or nil.
func (l *LoadTracker) Learned(ip [4]byte) *capacity.Target {
	entry := l.byIP[ip]
	if entry == nil {
		return nil
	}
	return entry.learned
}

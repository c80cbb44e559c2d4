package dispatch

import (
	"time"

	"github.com/cowslipward/cowslipward/capacity"
	"github.com/cowslipward/cowslipward/directory"
	"github.com/cowslipward/cowslipward/encap"
	"github.com/cowslipward/cowslipward/packetstatus"
)

// CapacityChange is a change of the learned capacity of a target.
type CapacityChange struct {
	Target *directory.Target
	capacity.Change
}

// maxCapacityChanges bounds the changes that are kept until the next call of TakeCapacityChanges.
const maxCapacityChanges = 32

// capacityChanges holds the changes that were not taken yet.
type capacityChanges struct {
	list        []CapacityChange
	dropped     int // changes beyond maxCapacityChanges
	implausible int // reports with values out of their range
}

// resetCapacity forgets all learned capacities, and learns new ones if the load control says so for any service.
func (d *Dispatcher) resetCapacity() {
	if d.speeds != nil {
		for _, ip := range d.speeds.Outdated(func([4]byte, string) bool { return false }) {
			d.forgetCapacity(ip)
		}
	}
	d.speeds, d.changes = nil, capacityChanges{}
	if s := &d.loadControl; s.LearnedCapacity && s.MaxSlots > 0 {
		d.speeds = capacity.NewSpeeds(s.MinWeight, s.MaxWeight)
	}
}

// learn updates the learned capacity of the target on the VM from a report of its agent.
func (d *Dispatcher) learn(ip [4]byte, h *encap.Header, now time.Duration) {
	if h.Kind != encap.KindReport || d.speeds == nil {
		return
	}
	t := d.view.TargetByIP(ip)
	if t == nil || !d.loadControl.Learns(t.Service, t.Slots) {
		d.forgetCapacity(ip)
		return
	}
	if h.Capacity.Limit == 0 && h.Capacity.RouteTag == 0 && h.Capacity.DurationCode == 0 {
		return
	}
	learned, change := d.speeds.Record(ip, t.Service, t.Slots, h.Capacity, now)
	d.loads.SetLearned(ip, learned)
	if change.Implausible {
		d.changes.implausible++
	}
	d.changes.add(t, &change)
}

// forgetCapacity removes what was learned about the target on the VM.
func (d *Dispatcher) forgetCapacity(ip [4]byte) {
	d.loads.ForgetLearned(ip)
	d.speeds.Forget(ip)
}

// pruneCapacity removes the learned capacity of targets that are no longer in the view, or that another target has
// replaced.
func (d *Dispatcher) pruneCapacity() {
	if d.speeds == nil {
		return
	}
	for _, ip := range d.speeds.Outdated(func(ip [4]byte, service string) bool {
		t := d.view.TargetByIP(ip)
		return t != nil && t.Service == service && d.loadControl.Learns(t.Service, t.Slots)
	}) {
		d.loads.ForgetLearned(ip)
		d.speeds.Forget(ip)
	}
}

func (c *capacityChanges) add(t *directory.Target, change *capacity.Change) {
	switch {
	case !change.IsLogged():
	case len(c.list) < maxCapacityChanges:
		c.list = append(c.list, CapacityChange{Target: t, Change: *change})
	default:
		c.dropped++
	}
}

// TakeCapacityChanges returns the changes of learned capacities since the last call, as far as they were kept, the
// number of those that were not, and the number of reports with implausible values.
func (d *Dispatcher) TakeCapacityChanges() (list []CapacityChange, dropped, implausible int) {
	list, dropped, implausible = d.changes.list, d.changes.dropped, d.changes.implausible
	d.changes = capacityChanges{}
	return list, dropped, implausible
}

// describeCapacity adds the learned capacity of a target to its status.
func (d *Dispatcher) describeCapacity(t *directory.Target, status *packetstatus.Target, now time.Duration) {
	learned := d.loads.Learned(t.Address.IP)
	if learned == nil {
		return
	}
	status.Speed = learned.Speed(now)
	status.Limit = learned.Limit(t.Slots, now)
	status.DurationMS = float64(learned.LongestDuration(now)) / float64(time.Millisecond)
}

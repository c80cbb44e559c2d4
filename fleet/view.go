// Package fleet holds what a process knows of the fleet: the rules in force, the VMs and the record that each process
// publishes of itself.
package fleet

import (
	"net/netip"
	"slices"

	"github.com/cowslipward/cowslipward/rules"
)

// Role says what a VM does.
type Role uint8

// Roles of a VM.
const (
	RoleUnknown Role = iota
	RoleBalancer
	RoleTarget
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name          string
	FailureDomain string
	Role          Role
	Leaving       bool           // the platform says that the VM is about to go
	Data          netip.AddrPort // tunnel, UDP
	Control       netip.AddrPort // connect-go and handoff, TCP
	Admin         netip.AddrPort // metrics, readiness and administration API, TCP
}

// State is the state that a process publishes of itself, or the verdict of its peers.
type State uint8

// States of a member. Down is a verdict of the peers; a process never publishes it of itself.
const (
	StateUnknown State = iota
	StateStarting
	StateWarming
	StateServing
	StateDraining
	StateStopped
	StateDown
)

// WeightFull is the weight of a target that may receive its full share of new flows.
const WeightFull = 1000

// MemberRecord is what a process publishes of itself. Only its owner raises (Started, Sequence).
type MemberRecord struct {
	VM          VM
	Incarnation uint16 // as in connection IDs
	Started     uint64 // start time of the process, Unix milliseconds
	Sequence    uint64 // rises with each change of the record
	State       State
	Service     rules.ServiceID // zero for a balancer
	Weight      uint16          // 0 to WeightFull
	Revision    rules.Revision  // rules in force at the process
}

// Supersedes reports whether r replaces old as the record of the same process.
func (r *MemberRecord) Supersedes(old *MemberRecord) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Sequence > old.Sequence
}

// Target is a member of a service's pool as the view sees it.
type Target struct {
	VM          VM
	Domain      rules.DomainID
	Service     rules.ServiceID
	Incarnation uint16
	Started     uint64 // start time of the process, Unix milliseconds; zero before its first record
	State       State
	Weight      uint16 // share of new flows, 0 to WeightFull; zero when not eligible
	Reason      string // why the target is in this state, for operators
}

// Eligible reports whether the target may receive new flows.
func (t *Target) Eligible() bool {
	return t.Weight > 0
}

// View is an immutable picture of the fleet.
type View struct {
	rules     *rules.Set
	vms       []VM // nil where it follows from the other fields
	rest      []VM // VMs that are neither balancer nor target
	targets   map[rules.ServiceID][]Target
	byData    map[netip.AddrPort]*Target
	balancers []MemberRecord
	outs      [256]bool
	limits    map[string]uint16
}

// Observation is what a view is built from besides the rules: the VM list, the records and the verdicts.
type Observation struct {
	VMs     []VM
	Records []MemberRecord
	Down    map[string]bool // VM names with a verdict of their peers

	// WeightLimits caps the weights of failure domains by name, in thousandths, while they return to service.
	WeightLimits map[string]uint16
}

// weigh returns the weight of a target for new flows and the reason for it.
func (v *View) weigh(t *Target, domain *rules.Domain, leaving, down bool) (uint16, string) {
	asker, drained := v.rules.Drained[t.VM.Name]
	switch {
	case domain == nil:
		return 0, "failure domain is not declared in the rules"
	case domain.Out:
		return 0, "failure domain is out"
	case drained:
		return 0, "drained by rule, asked by " + asker
	case down:
		return 0, "down by verdict of its peers"
	case leaving:
		return 0, "leaving by the VM list"
	case t.State == StateServing || t.State == StateWarming:
		return v.limit(t)
	default:
		return 0, t.State.String()
	}
}

// limit returns the weight under the ramp of a domain that returned. A target keeps a weight above zero.
func (v *View) limit(t *Target) (uint16, string) {
	limit, ramping := v.limits[t.VM.FailureDomain]
	if !ramping || t.Weight == 0 {
		return t.Weight, t.State.String()
	}
	return max(1, uint16(uint32(t.Weight)*uint32(limit)/WeightFull)), "failure domain returns"
}

// Ramping reports whether weights rise with time, so that the view has to be built again.
func (v *View) Ramping() bool { return len(v.limits) > 0 }

// Rules returns the rules in force. Its revision is zero before the first rules arrive.
func (v *View) Rules() *rules.Set { return v.rules }

// VMs returns the VMs that the process knows of. The caller must not change it.
func (v *View) VMs() []VM {
	if v.vms != nil {
		return v.vms
	}
	// A list beside the targets would take a megabyte at 7,820 VMs, and few need it.
	vms := slices.Clone(v.rest)
	for i := range v.balancers {
		vms = append(vms, v.balancers[i].VM)
	}
	for _, targets := range v.targets {
		for i := range targets {
			vms = append(vms, targets[i].VM)
		}
	}
	return vms
}

// VM returns what the process knows of the VM, or nil. It searches; a data path must not call it for each packet.
func (v *View) VM(name string) *VM {
	for i := range v.vms {
		if v.vms[i].Name == name {
			return &v.vms[i]
		}
	}
	for i := range v.rest {
		if v.rest[i].Name == name {
			return &v.rest[i]
		}
	}
	for i := range v.balancers {
		if v.balancers[i].VM.Name == name {
			return &v.balancers[i].VM
		}
	}
	if service := v.rules.ServiceOfVM(name); service != nil {
		return find(v.targets[service.ID], name)
	}
	return nil
}

func find(targets []Target, name string) *VM {
	for i := range targets {
		if targets[i].VM.Name == name {
			return &targets[i].VM
		}
	}
	return nil
}

// Targets returns the pool of a service in the order of the VM names. The caller must not change it.
func (v *View) Targets(id rules.ServiceID) []Target { return v.targets[id] }

// TargetByAddress returns the target with the tunnel address, or nil.
func (v *View) TargetByAddress(data netip.AddrPort) *Target { return v.byData[data] }

// Balancers returns the records of the balancers. The caller must not change it.
func (v *View) Balancers() []MemberRecord { return v.balancers }

// DomainOut reports whether the failure domain is out.
func (v *View) DomainOut(id rules.DomainID) bool { return v.outs[id] }

// String returns the state as logs and tables show it.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateWarming:
		return "warming"
	case StateServing:
		return "serving"
	case StateDraining:
		return "draining"
	case StateStopped:
		return "stopped"
	case StateDown:
		return "down"
	default:
		return "unknown"
	}
}

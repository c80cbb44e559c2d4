// Package fleet models the fleet as known to one process: the rules in force, the VMs and the record that each
// process publishes about itself.
package fleet

import (
	"net/netip"
	"slices"

	"github.com/cowslipward/cowslipward/rules"
)

// Role is the function of a VM in the fleet.
type Role uint8

// Roles of a VM.
const (
	RoleUnknown Role = iota
	RoleBalancer
	RoleTarget
)

// VM is an entry in the platform's VM list.
type VM struct {
	Name          string
	FailureDomain string
	Role          Role
	Leaving       bool           // the platform is about to remove the VM
	Data          netip.AddrPort // tunnel, UDP
	Control       netip.AddrPort // connect-go and handoff, TCP
	Admin         netip.AddrPort // metrics, readiness and administration API, TCP
}

// HasUsableAddresses reports whether each address that is set is an IPv4 address with a port: the messages between
// processes have no room for others.
func (v *VM) HasUsableAddresses() bool {
	for _, address := range []netip.AddrPort{v.Data, v.Control, v.Admin} {
		if address != (netip.AddrPort{}) && (!address.Addr().Is4() || address.Port() == 0) {
			return false
		}
	}
	return true
}

// State is the lifecycle state of a member, as published by its process or determined by its peers.
type State uint8

// States of a member. StateDown is determined by the peers; a process never publishes it about itself.
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

// MemberRecord is what a process publishes about itself. The pair (Started, Sequence) orders the records of a
// VM; only the process itself increases it.
type MemberRecord struct {
	VM          VM
	Incarnation uint16 // as encoded in connection IDs
	Started     uint64 // start time of the process, Unix milliseconds
	Sequence    uint64 // incremented with each change of the record
	State       State
	Service     rules.ServiceID // zero for a balancer
	Weight      uint16          // 0 to WeightFull
	Revision    rules.Revision  // rules in force at the process
}

// Supersedes reports whether r is newer than old, a record of the same VM.
func (r *MemberRecord) Supersedes(old *MemberRecord) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Sequence > old.Sequence
}

// Target is a member of a service's pool in a view.
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

// View is an immutable snapshot of the fleet.
type View struct {
	rules            *rules.Set
	vms              []VM // the VM list; nil if it can be derived from the other fields
	otherVMs         []VM // VMs that are neither in a pool nor a balancer with a record
	targets          map[rules.ServiceID][]Target
	targetsByAddress map[netip.AddrPort]*Target
	balancers        []MemberRecord
	domainsOut       [256]bool
	weightLimits     map[string]uint16
}

// Observation is the input of a view besides the rules: the VM list, the records and the VMs considered down.
type Observation struct {
	VMs     []VM
	Records []MemberRecord
	Down    map[string]bool // names of VMs that their peers consider down

	// WeightLimits caps the weights of targets, in thousandths, by the name of a failure domain that is
	// returning to service.
	WeightLimits map[string]uint16
}

// newFlowWeight returns the weight of a target for new flows and the reason for that weight.
func (v *View) newFlowWeight(t *Target, domain *rules.Domain, leaving, down bool) (uint16, string) {
	requester, drained := v.rules.Drained[t.VM.Name]
	switch {
	case domain == nil:
		return 0, "failure domain is not declared in the rules"
	case domain.Out:
		return 0, "failure domain is out"
	case drained:
		return 0, "drained by rule, asked by " + requester
	case down:
		return 0, "down by verdict of its peers"
	case leaving:
		return 0, "leaving by the VM list"
	case t.State == StateServing || t.State == StateWarming:
		return v.limitWeight(t)
	default:
		return 0, t.State.String()
	}
}

// limitWeight caps the weight of a target whose failure domain is ramping up after its return to service. A
// nonzero weight stays at least 1. It also returns the reason for the weight.
func (v *View) limitWeight(t *Target) (uint16, string) {
	limit, ramping := v.weightLimits[t.VM.FailureDomain]
	if !ramping || t.Weight == 0 {
		return t.Weight, t.State.String()
	}
	return max(1, uint16(uint32(t.Weight)*uint32(limit)/WeightFull)), "failure domain returns"
}

// Ramping reports whether weights are limited while failure domains return to service. The limits increase with
// time, so the view has to be rebuilt periodically.
func (v *View) Ramping() bool { return len(v.weightLimits) > 0 }

// Rules returns the rules in force. Their revision is zero before the first rules arrive.
func (v *View) Rules() *rules.Set { return v.rules }

// VMs returns all VMs in the view. The caller must not modify the slice.
func (v *View) VMs() []VM {
	if v.vms != nil {
		return v.vms
	}
	// Storing a list in addition to the targets would take 1 MB at 7,820 VMs, and few callers need it.
	vms := slices.Clone(v.otherVMs)
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

// VM returns the VM with the name, or nil. It searches linearly, so a data path must not call it for each packet.
func (v *View) VM(name string) *VM {
	for i := range v.vms {
		if v.vms[i].Name == name {
			return &v.vms[i]
		}
	}
	for i := range v.otherVMs {
		if v.otherVMs[i].Name == name {
			return &v.otherVMs[i]
		}
	}
	for i := range v.balancers {
		if v.balancers[i].VM.Name == name {
			return &v.balancers[i].VM
		}
	}
	if service := v.rules.ServiceOfVM(name); service != nil {
		return findVM(v.targets[service.ID], name)
	}
	return nil
}

func findVM(targets []Target, name string) *VM {
	for i := range targets {
		if targets[i].VM.Name == name {
			return &targets[i].VM
		}
	}
	return nil
}

// Targets returns the pool of a service, sorted by VM name. The caller must not modify the slice.
func (v *View) Targets(id rules.ServiceID) []Target { return v.targets[id] }

// TargetByAddress returns the target with the tunnel address, or nil.
func (v *View) TargetByAddress(data netip.AddrPort) *Target { return v.targetsByAddress[data] }

// Balancers returns the records of the balancers. The caller must not modify the slice.
func (v *View) Balancers() []MemberRecord { return v.balancers }

// DomainOut reports whether an out rule takes the failure domain out of service.
func (v *View) DomainOut(id rules.DomainID) bool { return v.domainsOut[id] }

// String returns the state as shown in logs and tables.
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

// Package fleetpb converts between the types of packages fleet and rules and their protobuf messages.
package fleetpb

import (
	"net/netip"
	"unique"

	"github.com/cowslipward/cowslipward/fleet"
	fleetv1 "github.com/cowslipward/cowslipward/gen/cowslipward/fleet/v1"
	"github.com/cowslipward/cowslipward/rules"
)

// MaxSuspects is the maximum number of VMs that one process reports as unreachable.
const MaxSuspects = 16

func addressBytes(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	text, _ := address.MarshalBinary() // never fails
	return text
}

func parseAddress(text []byte) netip.AddrPort {
	var address netip.AddrPort
	if len(text) == 0 || address.UnmarshalBinary(text) != nil {
		return netip.AddrPort{}
	}
	return address
}

// intern returns a shared copy of a name, since thousands of members have the same failure domain or relay.
func intern(name string) string { return unique.Make(name).Value() }

// FromMember converts a member to its message.
func FromMember(m *fleet.Member) *fleetv1.Member {
	r := &m.Record
	return &fleetv1.Member{
		Vm:            r.VM.Name,
		FailureDomain: r.VM.FailureDomain,
		Role:          uint32(r.VM.Role),
		Data:          addressBytes(r.VM.Data),
		Control:       addressBytes(r.VM.Control),
		Admin:         addressBytes(r.VM.Admin),
		ListIndex:     m.ListIndex,
		Listed:        m.Listed,
		Leaving:       r.VM.Leaving,
		Started:       r.Started,
		Sequence:      r.Sequence,
		Incarnation:   uint32(r.Incarnation),
		State:         uint32(r.State),
		Service:       uint32(r.Service),
		Weight:        uint32(r.Weight),
		Revision:      uint64(r.Revision),
		Down:          m.Down,
		Removed:       m.Removed,
		Via:           m.Relay,
		Suspects:      m.Suspects,
	}
}

// ToMember converts a message to a member. It returns false if a field is out of range, the message lacks a
// VM name or a valid control address, or an address is no IPv4 address.
func ToMember(p *fleetv1.Member) (m fleet.Member, valid bool) {
	m = fleet.Member{
		Record: fleet.MemberRecord{
			VM: fleet.VM{
				Name:          p.GetVm(),
				FailureDomain: intern(p.GetFailureDomain()),
				Role:          fleet.Role(p.GetRole()),
				Leaving:       p.GetLeaving(),
				Data:          parseAddress(p.GetData()),
				Control:       parseAddress(p.GetControl()),
				Admin:         parseAddress(p.GetAdmin()),
			},
			Incarnation: uint16(p.GetIncarnation()),
			Started:     p.GetStarted(),
			Sequence:    p.GetSequence(),
			State:       fleet.State(p.GetState()),
			Service:     rules.ServiceID(p.GetService()),
			Weight:      uint16(min(p.GetWeight(), fleet.WeightFull)),
			Revision:    rules.Revision(p.GetRevision()),
		},
		ListIndex: p.GetListIndex(),
		Listed:    p.GetListed(),
		Down:      p.GetDown(),
		Removed:   p.GetRemoved(),
		Relay:     intern(p.GetVia()),
		Suspects:  p.GetSuspects(),
	}
	inRange := p.GetRole() <= uint32(fleet.RoleTarget) && p.GetState() <= uint32(fleet.StateDown) &&
		len(m.Suspects) <= MaxSuspects && p.GetService() <= 1<<16-1 && p.GetIncarnation() <= 1<<16-1
	vm := &m.Record.VM
	return m, inRange && vm.Name != "" && vm.Control.IsValid() && vm.HasUsableAddresses()
}

// FromDelta converts a line delta to its message.
func FromDelta(d *rules.Delta) *fleetv1.RulesChange {
	change := &fleetv1.RulesChange{BaseRevision: uint64(d.Base), Revision: uint64(d.Revision), Hash: d.Hash}
	for _, e := range d.Edits {
		change.Edits = append(change.Edits, &fleetv1.Edit{From: uint32(e.From), Count: uint32(e.Count), Lines: e.Lines})
	}
	return change
}

// ToDelta converts a message to a line delta.
func ToDelta(p *fleetv1.RulesChange) *rules.Delta {
	d := &rules.Delta{
		Base:     rules.Revision(p.GetBaseRevision()),
		Revision: rules.Revision(p.GetRevision()),
		Hash:     p.GetHash(),
	}
	for _, e := range p.GetEdits() {
		d.Edits = append(d.Edits, rules.Edit{From: int(e.GetFrom()), Count: int(e.GetCount()), Lines: e.GetLines()})
	}
	return d
}

package admin

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/cowslipward/cowslipward/fleet"
	adminv1 "github.com/cowslipward/cowslipward/gen/cowslipward/admin/v1"
	"github.com/cowslipward/cowslipward/rules"
)

// DryRunRules implements AdminService.
func (s *service) DryRunRules(_ context.Context, r *connect.Request[adminv1.DryRunRulesRequest]) (*connect.Response[adminv1.DryRunRulesResponse], error) {
	view := s.config.Source.View()
	response := &adminv1.DryRunRulesResponse{BaseRevision: uint64(view.Rules().Revision)}
	next, err := rules.Parse(r.Msg.Text, view.Rules().Revision+1)
	if err != nil {
		response.Errors = ruleErrors(err)
		return connect.NewResponse(response), nil
	}
	response.Accepted = true
	for _, change := range rules.Diff(view.Rules(), next) {
		response.Changes = append(response.Changes, &adminv1.RuleChange{
			Kind:    string(change.Kind),
			Subject: change.Subject,
			Before:  change.Before,
			After:   change.After,
		})
	}
	response.Effects = effects(view, next)
	return connect.NewResponse(response), nil
}

func ruleErrors(err error) []*adminv1.RuleError {
	var faults rules.Errors
	if !errors.As(err, &faults) {
		return []*adminv1.RuleError{{Line: 1, Column: 1, Found: err.Error(), Want: "a rule file"}}
	}
	list := make([]*adminv1.RuleError, len(faults))
	for i, fault := range faults {
		list[i] = &adminv1.RuleError{
			Line:   uint32(fault.Line),
			Column: uint32(fault.Column),
			Found:  fault.Found,
			Want:   fault.Want,
		}
	}
	return list
}

// ruleState is what a rule set specifies for a VM. It does not depend on the state that the VM reports.
type ruleState struct {
	service     string
	domainFault string // why its failure domain keeps it from getting new flows; empty if it does not
	drained     bool
	domainOut   bool
}

func ruleStateOf(set *rules.Set, vm *fleet.VM) ruleState {
	var s ruleState
	if svc := set.ServiceOfVM(vm.Name); svc != nil {
		s.service = svc.Name
	}
	_, s.drained = set.Drained[vm.Name]
	switch domain := set.DomainByName(vm.FailureDomain); {
	case domain == nil:
		s.domainFault = "its failure domain " + vm.FailureDomain + " is not declared"
	case domain.Out:
		s.domainOut = true
	}
	return s
}

// effects describes, for each target VM in the view, what changes if next replaces the rules in force.
func effects(view *fleet.View, next *rules.Set) []*adminv1.Effect {
	var list []*adminv1.Effect
	for _, vm := range knownTargets(view) {
		before, after := ruleStateOf(view.Rules(), &vm), ruleStateOf(next, &vm)
		for _, text := range describeChanges(before, after) {
			list = append(list, &adminv1.Effect{Vm: vm.Name, Service: after.service, Effect: text})
		}
	}
	return list
}

// knownTargets returns the target VMs in the VM list and in the member records, without duplicates.
func knownTargets(view *fleet.View) []fleet.VM {
	seen := make(map[string]bool)
	var vms []fleet.VM
	add := func(vm fleet.VM) {
		if !seen[vm.Name] {
			seen[vm.Name] = true
			vms = append(vms, vm)
		}
	}
	for _, vm := range view.VMs() {
		if vm.Role == fleet.RoleTarget {
			add(vm)
		}
	}
	for i := range view.Rules().Services {
		targets := view.Targets(view.Rules().Services[i].ID)
		for j := range targets {
			add(targets[j].VM)
		}
	}
	return vms
}

// describeChanges returns a text for each difference between two rule states of a VM.
func describeChanges(before, after ruleState) []string {
	var texts []string
	switch {
	case before.service == after.service:
	case after.service == "":
		texts = append(texts, fmt.Sprintf("leaves service %s; no service has it in its pool", before.service))
	case before.service == "":
		texts = append(texts, fmt.Sprintf("joins service %s", after.service))
	default:
		texts = append(texts, fmt.Sprintf("moves from service %s to service %s", before.service, after.service))
	}
	switch {
	case after.domainOut && !before.domainOut:
		texts = append(texts, "its failure domain is taken out: its flows are given up, it gets no packets after 4 s")
	case before.domainOut && !after.domainOut:
		texts = append(texts, "its failure domain returns: it gets new flows again by a ramp")
	}
	switch {
	case after.drained && !before.drained:
		texts = append(texts, "drains: no new work after 4 s, open streams go on up to the drain period")
	case before.drained && !after.drained:
		texts = append(texts, "no longer drains: it gets new flows again by a ramp")
	}
	if after.domainFault != before.domainFault && after.domainFault != "" {
		texts = append(texts, "gets no new flows: "+after.domainFault)
	}
	return texts
}
